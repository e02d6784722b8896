//! Probes of the configuration that is in force at each node.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::plaintext_site::request;
use crate::soak::load::{KEPT_ROUTES, Observations, STALENESS_LIMIT, lock, own_prefix};

/// Time between two probes of one prober.
const PROBE_INTERVAL: Duration = Duration::from_millis(15);
/// Time without a disturbance after which bounds hold for a process.
pub(super) const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time by which disturbances of a minority of the members may delay a version.
const UNSTABLE_SLACK: Duration = Duration::from_secs(5);
/// Time after which a node never handles a call by an older version than it has shown.
pub(super) const REGRESSION_SLACK: Duration = Duration::from_millis(250);
/// The same for a node that was paused or whose links were disturbed in the meantime.
pub(super) const DISTURBED_SLACK: Duration = Duration::from_secs(2);

/// What a node has shown of one version.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    node: String,
    /// Version whose own route was called.
    version: u64,
    sent_at: Instant,
    answered_at: Instant,
    /// Whether the route was there; `None` for an answer that says nothing of that.
    has_route: Option<bool>,
}

/// A time in which a process or its links were disturbed.
#[derive(Debug, Clone)]
pub(super) struct Disturbance {
    pub(super) process: String,
    pub(super) began_at: Instant,
    /// `None` while it goes on.
    pub(super) ended_at: Option<Instant>,
    /// Whether the process was started anew at its end.
    pub(super) is_restart: bool,
    /// Whether the process does nothing meanwhile; the others then go on without it.
    pub(super) is_absent: bool,
}

impl Disturbance {
    /// Returns whether the others had to adapt to the disturbance between `from` and `to`.
    fn unsettles(&self, from: Instant, to: Instant) -> bool {
        let is_within = |at: Instant| at >= from && at <= to;
        let has_edge = is_within(self.began_at) || self.ended_at.is_some_and(is_within);
        has_edge || (!self.is_absent && self.overlaps(from, to))
    }

    pub(super) fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.began_at <= to && self.ended_at.is_none_or(|ended_at| ended_at >= from)
    }
}

/// Calls the routes of recent versions at all nodes, given by name and address, until `is_stopped` is set.
pub(super) fn probe_nodes(
    nodes: &[(String, String)],
    seed: u64,
    observations: &Observations,
    is_stopped: &AtomicBool,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut count = 0_u64;
    while !is_stopped.load(Ordering::Acquire) {
        std::thread::sleep(PROBE_INTERVAL);
        let recent: Vec<u64> = {
            let confirmed = lock(&observations.confirmed);
            let refused = lock(&observations.refused);
            let newest = confirmed.keys().rev().take(3);
            // The routes of these versions were dropped lately.
            let dropped = confirmed.keys().rev().skip(KEPT_ROUTES).take(2);
            newest.chain(dropped).chain(refused.keys().rev().take(1)).copied().collect()
        };
        let (node, address) = &nodes[rng.random_range(0..nodes.len())];
        let version = recent[rng.random_range(0..recent.len())];
        count += 1;
        let headers = format!("host: c.example\r\nx-call: p{seed}-{count}\r\nx-left: 1000\r\n");
        let path = own_prefix(version);
        let sent_at = Instant::now();
        let response = request(address, "GET", &path, &headers, "");
        let has_route = match response.status {
            404 => Some(false),
            200 => Some(true),
            _ => None,
        };
        let (node, answered_at) = (node.clone(), Instant::now());
        lock(&observations.probes).push(Probe { node, version, sent_at, answered_at, has_route });
    }
}

/// Checks all probes against the versions that were confirmed or refused.
///
/// Returns the number of probes that showed something, and the longest time after its confirmation at which an undisturbed
/// node lacked a version.
pub(super) fn check_probes(
    disturbances: &[Disturbance],
    members: usize,
    observations: &Observations,
) -> (usize, Duration) {
    let mut longest_lag = Duration::ZERO;
    let probes = std::mem::take(&mut *lock(&observations.probes));
    let mut shown: BTreeMap<&str, Vec<&Probe>> = BTreeMap::new();
    for probe in &probes {
        match probe.has_route {
            Some(true) => {
                check_refused(probe, observations);
                let lag = check_dropped(probe, disturbances, members, observations);
                longest_lag = longest_lag.max(lag);
                shown.entry(&probe.node).or_default().push(probe);
            }
            Some(false) => {
                let earlier = shown.get(probe.node.as_str()).map_or(&[][..], Vec::as_slice);
                let lag = check_missing(probe, earlier, disturbances, members, observations);
                longest_lag = longest_lag.max(lag);
            }
            None => {}
        }
    }
    (probes.iter().filter(|probe| probe.has_route.is_some()).count(), longest_lag)
}

fn check_refused(probe: &Probe, observations: &Observations) {
    let refused_at = lock(&observations.refused).get(&probe.version).copied();
    let is_confirmed = lock(&observations.confirmed).contains_key(&probe.version);
    if refused_at.is_some_and(|at| at < probe.sent_at) && !is_confirmed {
        observations.record_violation(format!(
            "{} has version {} in force, which was refused",
            probe.node, probe.version
        ));
    }
}

/// Returns how long after its confirmation a version must be in force at a node for a call, if the node is in touch.
pub(super) fn staleness_bound(
    node: &str,
    (sent_at, answered_at): (Instant, Instant),
    confirmed_at: Instant,
    disturbances: &[Disturbance],
    members: usize,
) -> Option<Duration> {
    let own = |disturbance: &&Disturbance| disturbance.process == node;
    let since = |time: Duration| sent_at.checked_sub(time).unwrap_or(sent_at);
    let is_calm =
        |disturbance: &Disturbance| !disturbance.overlaps(since(CONTACT_TIME), answered_at);
    let is_in_touch = disturbances.iter().filter(own).all(is_calm);
    let is_member = |disturbance: &&Disturbance| disturbance.process.starts_with("core");
    let has_majority = |from: Instant| {
        let disturbed = disturbances.iter().filter(is_member);
        let disturbed = disturbed.filter(|d| d.overlaps(from, answered_at));
        let processes: BTreeSet<_> = disturbed.map(|d| d.process.as_str()).collect();
        processes.len() * 2 < members
    };
    let calm_since = since(CONTACT_TIME);
    let is_stable = !disturbances
        .iter()
        .filter(is_member)
        .any(|disturbance| disturbance.unsettles(calm_since, answered_at));
    match () {
        () if !is_in_touch => None,
        () if is_stable && has_majority(calm_since) => Some(STALENESS_LIMIT),
        () if has_majority(confirmed_at) => Some(STALENESS_LIMIT + UNSTABLE_SLACK),
        () => None,
    }
}

/// Checks a probe that found the route of a version; returns how late the version is that dropped the route, if any.
fn check_dropped(
    probe: &Probe,
    disturbances: &[Disturbance],
    members: usize,
    observations: &Observations,
) -> Duration {
    let confirmed = lock(&observations.confirmed);
    let drops = |chain: &[u64]| {
        let dropped = chain.len().saturating_sub(KEPT_ROUTES);
        chain[..dropped].contains(&probe.version)
    };
    let later = confirmed.range(probe.version + 1..);
    let dropped_by =
        later.filter(|(_, other)| drops(&other.chain)).min_by_key(|(_, other)| other.at);
    let Some((number, at)) = dropped_by.map(|(number, other)| (*number, other.at)) else {
        return Duration::ZERO;
    };
    drop(confirmed);
    let age = probe.sent_at.saturating_duration_since(at);
    let times = (probe.sent_at, probe.answered_at);
    let bound = staleness_bound(&probe.node, times, at, disturbances, members);
    if bound.is_some_and(|bound| age > bound) {
        observations.record_violation(format!(
            "{} has the route of version {} {:.2} s after the confirmation of {number}, which dropped it",
            probe.node,
            probe.version,
            age.as_secs_f64()
        ));
    }
    match bound {
        Some(STALENESS_LIMIT) => age,
        _ => Duration::ZERO,
    }
}

/// Checks a probe that found no route of a version; returns how late the version is, or zero if bounds don't hold.
fn check_missing(
    probe: &Probe,
    earlier: &[&Probe],
    disturbances: &[Disturbance],
    members: usize,
    observations: &Observations,
) -> Duration {
    let confirmed = lock(&observations.confirmed);
    let Some(version) = confirmed.get(&probe.version) else { return Duration::ZERO };
    // A newer version may have dropped the route, also one whose submission got no clear answer.
    let later = confirmed.range(probe.version + 1..);
    let newer = later.filter(|(_, other)| other.at <= probe.answered_at).count();
    let confirmed_at = version.at;
    drop(confirmed);
    if newer + 3 >= KEPT_ROUTES {
        return Duration::ZERO;
    }
    let times = (probe.sent_at, probe.answered_at);
    let bound = staleness_bound(&probe.node, times, confirmed_at, disturbances, members);
    let own = |disturbance: &&Disturbance| disturbance.process == probe.node;
    let age = probe.sent_at.saturating_duration_since(confirmed_at);
    if bound.is_some_and(|bound| age > bound) {
        observations.record_violation(format!(
            "{} lacks version {} {:.2} s after its confirmation",
            probe.node,
            probe.version,
            age.as_secs_f64()
        ));
    }
    let regressed = earlier.iter().rev().find(|other| {
        let between = |d: &&Disturbance| d.overlaps(other.sent_at, probe.answered_at);
        let mut between = disturbances.iter().filter(own).filter(between).peekable();
        let slack = if between.peek().is_some() { DISTURBED_SLACK } else { REGRESSION_SLACK };
        other.version >= probe.version
            && other.answered_at + slack < probe.sent_at
            && !between.any(|disturbance| disturbance.is_restart)
    });
    if let Some(other) = regressed {
        observations.record_violation(format!(
            "{} lacks version {}, though it had shown version {} {:.2} s before",
            probe.node,
            probe.version,
            other.version,
            (probe.sent_at - other.answered_at).as_secs_f64()
        ));
    }
    match bound {
        Some(STALENESS_LIMIT) => age,
        _ => Duration::ZERO,
    }
}
