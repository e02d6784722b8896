//! Routes that versions change, and the checks of how calls on them are handled.
//!
//! What a route is in a version follows from the version's number, so that a call shows which versions may be in force at
//! the node that handled it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::plaintext_site::request;
use crate::soak::load::{KEPT_ROUTES, Observations, STALENESS_LIMIT, lock, own_prefix};
use crate::soak::probes::{
    CONTACT_TIME, DISTURBED_SLACK, Disturbance, REGRESSION_SLACK, staleness_bound,
};

/// Number of threads that call the changing routes, and of those whose calls get no answer from the target.
pub(super) const CHANGE_CALLERS: u64 = 4;
pub(super) const HANGING_CALLERS: u64 = 4;
/// Time between two calls of one thread.
const CALL_INTERVAL: Duration = Duration::from_millis(8);
const HANGING_INTERVAL: Duration = Duration::from_millis(150);
/// Difference of version numbers after which the routes change.
const PHASE_LENGTH: u64 = 18;
/// Number of the first version that has the service `late`.
const LATE_FROM: u64 = 12;
/// Route timeouts of unanswered calls, in milliseconds.
const TIMEOUTS: [u64; 2] = [400, 900];
/// Weights of the split, in turn.
const WEIGHTS: [[u64; 2]; 3] = [[90, 10], [50, 50], [20, 80]];
/// Phases during which the weights stay the same.
const WEIGHT_PHASES: u64 = 3;
/// Time after a route's timeout by which a call has its final answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Calls that outlast their timeout from which on their fraction without a timely answer counts; it may be a quarter.
const MIN_OUTLASTING: usize = 8;
/// Calls on later routes from which on the fraction served counts.
const MIN_LATER: usize = 20;
/// Least fraction of calls served on later routes, as a fraction of that on the first routes.
const LATER_FRACTION: f64 = 0.25;
/// Calls with the same weights from which on the shares count, and the largest difference from the weights.
const MIN_SPLIT: usize = 200;
const SHARE_TOLERANCE: f64 = 0.2;
/// Fraction of refused calls of a split up to which no part counts as short of room.
const MAX_REFUSED: f64 = 0.02;
/// Part of the path at which targets send no complete answer.
pub(super) const HANGING_PATH: &str = "/hang/";

/// Service that the target beside a node belongs to.
pub(super) fn service_of(node: usize) -> &'static str {
    match node % 16 {
        3 => "annex",
        4 => "late",
        _ => "desk",
    }
}

/// Service of the route that a version adds.
pub(super) fn own_service(version: u64) -> &'static str {
    match version % 4 {
        0 => "annex",
        1 if version >= LATE_FROM => "late",
        _ => "desk",
    }
}

fn moved_service(version: u64) -> &'static str {
    ["desk", "annex"][(version / PHASE_LENGTH % 2) as usize]
}

fn has_dropped_route(version: u64) -> bool {
    version / PHASE_LENGTH % 3 != 1
}

fn timeout(version: u64) -> Duration {
    Duration::from_millis(TIMEOUTS[(version / PHASE_LENGTH % 2) as usize])
}

fn weights(version: u64) -> [u64; 2] {
    WEIGHTS[(version / (PHASE_LENGTH * WEIGHT_PHASES) % 3) as usize]
}

/// Adds the changing routes and their services to the document of a version.
pub(super) fn add_routes(document: &mut Value, version: u64) {
    let services = ["annex", "late"];
    let desk = document["services"]["desk"].clone();
    for service in services.iter().take(if version >= LATE_FROM { 2 } else { 1 }) {
        document["services"][service] = desk.clone();
    }
    let route = |prefix: &str| {
        json!({ "host": "d.example", "prefix": prefix, "semantics": "idempotent", "timeout_ms": 2_000,
            "objective_ms": 500, "rank": 2, "attempts": 2 })
    };
    let mut moved = route("/moved/");
    moved["service"] = json!(moved_service(version));
    let mut hanging = route(HANGING_PATH);
    hanging["service"] = json!("desk");
    hanging["timeout_ms"] = json!(timeout(version).as_millis() as u64);
    hanging["objective_ms"] = json!(TIMEOUTS[0]);
    let mut split = route("/split/");
    let [desk, annex] = weights(version);
    split["split"] =
        json!([{ "service": "desk", "weight": desk }, { "service": "annex", "weight": annex }]);
    let routes = &mut document["routes"];
    routes["moved"] = moved;
    routes["hanging"] = hanging;
    routes["split"] = split;
    if has_dropped_route(version) {
        let mut dropped = route("/dropped/");
        dropped["service"] = json!("desk");
        routes["dropped"] = dropped;
    }
}

/// Route that a call used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// A route that is the same in all versions.
    First,
    Moved,
    Dropped,
    Split,
    Hanging,
    /// The route that a confirmed version has added.
    Later(u64),
}

/// A call, and what its caller saw of it.
#[derive(Debug, Clone)]
pub(super) struct ChangeCall {
    node: String,
    kind: Kind,
    sent_at: Instant,
    answered_at: Instant,
    status: u16,
    /// Service whose target ran the call.
    service: Option<&'static str>,
}

impl ChangeCall {
    /// Returns whether a version allows what happened; `None` if the call shows nothing of that.
    fn fits(&self, version: u64) -> Option<bool> {
        match (self.kind, self.status) {
            (Kind::Moved, 200) => self.service.map(|service| service == moved_service(version)),
            (Kind::Dropped, 200) => Some(has_dropped_route(version)),
            (Kind::Dropped, 404) => Some(!has_dropped_route(version)),
            _ => None,
        }
    }
}

/// Calls the changing routes at all nodes, given by name and address, until `is_stopped` is set.
pub(super) fn call_routes(
    nodes: &[(String, String)],
    seed: u64,
    is_hanging: bool,
    observations: &Observations,
    is_stopped: &AtomicBool,
) {
    let mut rng = SmallRng::seed_from_u64(seed ^ u64::from(is_hanging) << 40);
    let mut count = 0_u64;
    while !is_stopped.load(Ordering::Acquire) {
        std::thread::sleep(if is_hanging { HANGING_INTERVAL } else { CALL_INTERVAL });
        let Some((node, address)) = nodes.choose(&mut rng) else { return };
        let kind = if is_hanging { Kind::Hanging } else { draw_kind(&mut rng, observations) };
        let (host, path) = match kind {
            Kind::First => ("a.example", "/read/1".to_owned()),
            Kind::Moved => ("d.example", "/moved/1".to_owned()),
            Kind::Dropped => ("d.example", "/dropped/1".to_owned()),
            Kind::Split => ("d.example", "/split/1".to_owned()),
            Kind::Hanging if rng.random_bool(0.5) => ("d.example", format!("{HANGING_PATH}drip")),
            Kind::Hanging => ("d.example", format!("{HANGING_PATH}1")),
            Kind::Later(version) => ("c.example", own_prefix(version)),
        };
        count += 1;
        let headers =
            format!("host: {host}\r\nx-call: r{seed}-{is_hanging}-{count}\r\nx-left: 8000\r\n");
        let sent_at = Instant::now();
        let response = request(address, "GET", &path, &headers, "");
        let number =
            response.header("x-own").and_then(|name| name.strip_prefix("i-")?.parse().ok());
        let call = ChangeCall {
            node: node.clone(),
            kind,
            sent_at,
            answered_at: Instant::now(),
            status: response.status,
            service: number.map(service_of),
        };
        lock(&observations.change_calls).push(call);
    }
}

fn draw_kind(rng: &mut SmallRng, observations: &Observations) -> Kind {
    match rng.random_range(0..100) {
        0..10 => Kind::First,
        10..30 => Kind::Moved,
        30..45 => Kind::Dropped,
        45..80 => Kind::Split,
        _ => {
            let confirmed = lock(&observations.confirmed);
            let is_due = |at: Instant| at.elapsed() > STALENESS_LIMIT;
            // Versions in between may have got no clear answer.
            let due = confirmed.iter().rev().take(KEPT_ROUTES / 2).filter(|(_, v)| is_due(v.at));
            let due: Vec<u64> = due.map(|(number, _)| *number).take(3).collect();
            due.choose(rng).map_or(Kind::First, |number| Kind::Later(*number))
        }
    }
}

/// What the calls on changing routes have shown.
#[derive(Debug, Clone, Default)]
pub struct ChangeReport {
    /// Calls that showed which versions may be in force.
    pub telling: usize,
    /// Calls that outlasted their route's timeout at nodes in touch, and those without a timely answer.
    pub outlasting: (usize, usize),
    /// Calls on the first routes in steady state, and those served.
    pub first: (usize, usize),
    /// The same on later routes, by service.
    pub later: BTreeMap<&'static str, (usize, usize)>,
    /// Shares of the first part of the split, by weight, with the number of calls.
    pub shares: BTreeMap<u64, (usize, f64)>,
}

impl std::fmt::Display for ChangeReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} telling, outlasting {:?}, first {:?}, later {:?}, shares {:.2?}",
            self.telling, self.outlasting, self.first, self.later, self.shares
        )
    }
}

/// Checks the calls on changing routes against the versions that may have been in force.
pub(super) fn check_changes(
    disturbances: &[Disturbance],
    members: usize,
    observations: &Observations,
) -> ChangeReport {
    let calls = std::mem::take(&mut *lock(&observations.change_calls));
    let refused = lock(&observations.refused).clone();
    let mut submitted = lock(&observations.submitted).clone();
    submitted.retain(|number, _| !refused.contains_key(number));
    let confirmed = lock(&observations.confirmed);
    let confirmed = confirmed.iter().map(|(number, version)| (*number, version.at)).collect();
    let check = Check { calls, submitted, confirmed, disturbances, members, observations };
    check.check_regress();
    ChangeReport {
        telling: check.check_versions(),
        outlasting: check.check_timeouts(),
        shares: check.check_shares(),
        ..check.check_later()
    }
}

/// Calls, and what may have been in force when.
struct Check<'a> {
    calls: Vec<ChangeCall>,
    /// Versions that were not refused, with the time of the submission.
    submitted: BTreeMap<u64, Instant>,
    confirmed: BTreeMap<u64, Instant>,
    disturbances: &'a [Disturbance],
    members: usize,
    observations: &'a Observations,
}

impl Check<'_> {
    fn bound(&self, call: &ChangeCall, confirmed_at: Instant) -> Option<Duration> {
        let times = (call.sent_at, call.answered_at);
        staleness_bound(&call.node, times, confirmed_at, self.disturbances, self.members)
    }

    /// Returns the newest version that must be in force at the node of a call.
    fn floor(&self, call: &ChangeCall) -> u64 {
        let is_due = |at: Instant| {
            let age = call.sent_at.saturating_duration_since(at);
            age > STALENESS_LIMIT && self.bound(call, at).is_some_and(|bound| age > bound)
        };
        let mut versions = self.confirmed.iter().rev();
        versions.find(|(_, at)| is_due(**at)).map_or(0, |(number, _)| *number)
    }

    /// Returns the versions from `floor` on that may be in force at the node of a call.
    fn possible(&self, call: &ChangeCall, floor: u64) -> impl Iterator<Item = u64> {
        let answered_at = call.answered_at;
        let versions = self.submitted.range(floor..).filter(move |(_, at)| **at <= answered_at);
        versions.map(|(number, _)| *number)
    }

    /// Returns whether nothing was disturbed for a while before a call and until its end.
    fn is_steady(&self, call: &ChangeCall) -> bool {
        let from = call.sent_at.checked_sub(CONTACT_TIME).unwrap_or(call.sent_at);
        !self.disturbances.iter().any(|disturbance| disturbance.overlaps(from, call.answered_at))
    }

    /// Checks that no call is handled as only a version allows that is older than one that must be in force.
    fn check_versions(&self) -> usize {
        let mut telling = 0;
        for call in &self.calls {
            if call.status == 404 && !matches!(call.kind, Kind::Dropped | Kind::Later(_)) {
                let text = format!(
                    "{} answered 404 to {:?}, which all versions have",
                    call.node, call.kind
                );
                self.observations.record_violation(text);
            }
            if call.fits(1).is_none() {
                continue;
            }
            telling += 1;
            let floor = self.floor(call);
            if !self.possible(call, floor).any(|number| call.fits(number) == Some(true)) {
                self.observations.record_violation(format!(
                    "{} handled a call on {:?} ({}, {:?}) as only a version before {floor} allows, {:.2} s after its \
                     confirmation",
                    call.node,
                    call.kind,
                    call.status,
                    call.service,
                    self.confirmed.get(&floor).map_or(0.0, |at| (call.sent_at - *at).as_secs_f64())
                ));
            }
        }
        telling
    }

    /// Checks that no node goes back to an older version than it has shown in the same lifetime.
    fn check_regress(&self) {
        let nodes: BTreeSet<&str> = self.calls.iter().map(|call| call.node.as_str()).collect();
        for node in nodes {
            let own = self.disturbances.iter().filter(|d| d.process == node).collect::<Vec<_>>();
            let calls = self.calls.iter().filter(|call| call.node == node);
            let mut calls: Vec<_> = calls.filter(|call| call.fits(1).is_some()).collect();
            calls.sort_by_key(|call| call.answered_at);
            let mut shown: Vec<(&ChangeCall, u64)> = Vec::new();
            for call in calls {
                let is_earlier = |other: &ChangeCall| {
                    let mut between = own
                        .iter()
                        .filter(|d| d.overlaps(other.sent_at, call.answered_at))
                        .peekable();
                    let slack =
                        if between.peek().is_some() { DISTURBED_SLACK } else { REGRESSION_SLACK };
                    other.answered_at + slack < call.sent_at && !between.any(|d| d.is_restart)
                };
                let earlier = shown.iter().filter(|(other, _)| is_earlier(other));
                let earlier = earlier.max_by_key(|(_, number)| *number);
                let floor = earlier.map_or(0, |(_, number)| *number);
                let mut versions = self.possible(call, floor);
                match versions.find(|number| call.fits(*number) == Some(true)) {
                    Some(number) => shown.push((call, number)),
                    None => self.observations.record_violation(format!(
                        "{node} handled a call on {:?} ({}, {:?}) as only a version before {floor} allows, {:.2} s after \
                         it had shown that one",
                        call.kind,
                        call.status,
                        call.service,
                        earlier.map_or(0.0, |(other, _)| (call.sent_at - other.answered_at).as_secs_f64())
                    )),
                }
            }
        }
    }

    /// Checks that calls that targets leave unanswered are answered soon after their route's timeout.
    fn check_timeouts(&self) -> (usize, usize) {
        let (mut outlasting, mut late) = (0, 0);
        for call in self.calls.iter().filter(|call| call.kind == Kind::Hanging) {
            if self.bound(call, call.sent_at) != Some(STALENESS_LIMIT) {
                continue;
            }
            let versions = self.possible(call, self.floor(call));
            let limit = versions.map(timeout).max().unwrap_or_default();
            let time = call.answered_at - call.sent_at;
            outlasting += usize::from(time > limit);
            late += usize::from(time > limit + ANSWER_SLACK);
        }
        if outlasting >= MIN_OUTLASTING && late * 4 > outlasting {
            self.observations.record_violation(format!(
                "{late} of {outlasting} calls that outlasted their route's timeout had no answer {ANSWER_SLACK:?} after it"
            ));
        }
        (outlasting, late)
    }

    /// Checks that calls on routes that were added later are served.
    fn check_later(&self) -> ChangeReport {
        let mut report = ChangeReport::default();
        for call in self.calls.iter().filter(|call| self.is_steady(call)) {
            let count = match call.kind {
                Kind::First => &mut report.first,
                Kind::Later(version) => report.later.entry(own_service(version)).or_default(),
                _ => continue,
            };
            count.0 += 1;
            count.1 += usize::from(call.status == 200);
        }
        let (sent, served) = report
            .later
            .values()
            .fold((0, 0), |(sent, served), count| (sent + count.0, served + count.1));
        let share = |sent: usize, served: usize| served as f64 / sent.max(1) as f64;
        let first = share(report.first.0, report.first.1);
        if sent >= MIN_LATER && share(sent, served) < first * LATER_FRACTION {
            let text = format!(
                "{served} of {sent} calls on later routes were served, {first:.2} of the others"
            );
            self.observations.record_violation(text);
        }
        report
    }

    /// Checks the shares of the parts of a split against their weights.
    fn check_shares(&self) -> BTreeMap<u64, (usize, f64)> {
        let mut counts: BTreeMap<u64, SplitCount> = BTreeMap::new();
        for call in self.calls.iter().filter(|call| call.kind == Kind::Split) {
            let versions = self.possible(call, self.floor(call));
            let mut possible: Vec<[u64; 2]> = versions.map(weights).collect();
            possible.dedup();
            let ([[weight, _]], true) = (&possible[..], self.is_steady(call)) else { continue };
            counts.entry(*weight).or_default().add(SplitCount {
                sent: 1,
                desk: usize::from(call.service == Some("desk")),
                annex: usize::from(call.service == Some("annex")),
                expected: *weight as f64 / 100.0,
            });
        }
        let mut shares = BTreeMap::new();
        let mut total = SplitCount::default();
        for (weight, count) in counts {
            shares.insert(weight, (count.sent, count.share()));
            total.add(count);
            self.check_share(count);
        }
        self.check_share(total);
        shares
    }

    fn check_share(&self, count: SplitCount) {
        if count.sent >= MIN_SPLIT && count.is_off() {
            let text = format!("the shares of a split differ from its weights: {count:?}");
            self.observations.record_violation(text);
        }
    }
}

/// Calls on a split, and how many ran at each part.
#[derive(Debug, Clone, Copy, Default)]
struct SplitCount {
    sent: usize,
    desk: usize,
    annex: usize,
    /// Calls that should have run at the first part.
    expected: f64,
}

impl SplitCount {
    fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.desk += other.desk;
        self.annex += other.annex;
        self.expected += other.expected;
    }

    /// Returns the share of the first part of all calls that ran.
    fn share(&self) -> f64 {
        self.desk as f64 / (self.desk + self.annex).max(1) as f64
    }

    fn is_off(&self) -> bool {
        let sent = self.sent as f64;
        let (desk, annex, expected) =
            (self.desk as f64 / sent, self.annex as f64 / sent, self.expected / sent);
        match desk + annex < 1.0 - MAX_REFUSED {
            // A part that is short of room may refuse calls; none may move to the other part.
            true => desk > expected + SHARE_TOLERANCE || annex > 1.0 - expected + SHARE_TOLERANCE,
            false => (self.share() - expected).abs() > SHARE_TOLERANCE,
        }
    }
}
