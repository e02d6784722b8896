//! Statistics of calls by target version during moves, and average service times of routes.

use std::collections::HashMap;
use std::time::Duration;

use kingcuplift_schema::control::{Evidence, EvidenceCount};
use kingcuplift_traffic::{MoveEvidence, Side, TargetKey};
use smol_str::SmolStr;

use crate::clock::monotonic_ms;

/// Number of buckets in the histogram of service times.
const BUCKETS: usize = 24;
/// Inverse weight of the newest sample in a route's average service time.
const AVERAGE_DIVISOR: f32 = 64.0;
/// Time for which evidence waits for a link to the relay.
const REPORT_TTL: Duration = Duration::from_secs(6);
/// Maximum number of routes whose average service time is kept.
const MAX_ROUTES: usize = 4_096;

/// Service, target version and route of a count.
type CountKey = (SmolStr, SmolStr, SmolStr);

/// Call statistics since the last report, and average service times.
#[derive(Debug, Default)]
pub(crate) struct EvidenceTable {
    counts: HashMap<CountKey, EvidenceCount>,
    /// Monotonic time until which everything is reported, in milliseconds.
    reported_ms: u64,
    /// Evidence that this node alone has collected on moves, by service and new version.
    moves: HashMap<(SmolStr, SmolStr), MoveEvidence>,
    average_ms: HashMap<SmolStr, f32>,
}

impl EvidenceTable {
    /// Records the service time of a call and returns it as a multiple of the route's average.
    pub(crate) fn record_time(&mut self, route: &SmolStr, service_time: Duration) -> f32 {
        let ms = service_time.as_secs_f32() * 1_000.0;
        if self.average_ms.len() >= MAX_ROUTES {
            self.average_ms.clear();
        }
        let average = self.average_ms.entry(route.clone()).or_insert(ms);
        *average += (ms - *average) / AVERAGE_DIVISOR;
        ms / average.max(0.1)
    }

    /// Returns the average service time of a route, if any call of it was recorded.
    pub(crate) fn average_time(&self, route: &SmolStr) -> Option<Duration> {
        self.average_ms.get(route).map(|ms| Duration::from_secs_f32(ms / 1_000.0))
    }

    /// Returns whether so many of this node's calls to the new version of a move fail that the node stops using it.
    pub(crate) fn is_tripped(&self, service: &SmolStr, to: &SmolStr) -> bool {
        let seen = self.moves.get(&(service.clone(), to.clone()));
        seen.is_some_and(MoveEvidence::is_tripped)
    }

    /// Counts one answered call during a move to the version `to`.
    pub(crate) fn count(
        &mut self,
        target: &TargetKey,
        to: &SmolStr,
        route: &SmolStr,
        failed: bool,
        service_time: Duration,
    ) {
        self.count_for_trip(target, to, route, failed);
        let count = self.count_of(target, route);
        match failed {
            true => count.failed += 1,
            false => {
                count.answered += 1;
                count.times[bucket(service_time)] += 1;
            }
        }
    }

    /// Counts one call towards this node's own decision to stop using the new version, but not for the reports.
    pub(crate) fn count_for_trip(
        &mut self,
        target: &TargetKey,
        to: &SmolStr,
        route: &SmolStr,
        failed: bool,
    ) {
        let side = match target.version == *to {
            true => Side::New,
            false => Side::Old,
        };
        let mut single = EvidenceCount { route: route.to_string(), ..EvidenceCount::default() };
        match failed {
            true => single.failed = 1,
            false => single.answered = 1,
        }
        let seen = self.moves.entry((target.service.clone(), to.clone())).or_default();
        seen.add(side, &single, monotonic_ms());
    }

    /// Counts a call that ran at a local target, whether it got an answer or not.
    pub(crate) fn count_run(&mut self, target: &TargetKey, route: &SmolStr, is_answered: bool) {
        let count = self.count_of(target, route);
        count.ran += 1;
        count.unanswered += u64::from(!is_answered);
        if count.node.is_empty() {
            count.node = target.node.to_string();
        }
    }

    /// Counts a call whose caller left while a local target ran it.
    pub(crate) fn count_abandoned(&mut self, target: &TargetKey, route: &SmolStr, after: Duration) {
        let count = self.count_of(target, route);
        count.abandoned.resize(BUCKETS, 0);
        count.abandoned[bucket(after)] += 1;
        count.node = target.node.to_string();
    }

    fn count_of(&mut self, target: &TargetKey, route: &SmolStr) -> &mut EvidenceCount {
        let key = (target.service.clone(), target.version.clone(), route.clone());
        self.counts.entry(key).or_insert_with(|| EvidenceCount {
            service: target.service.to_string(),
            version: target.version.to_string(),
            route: route.to_string(),
            times: vec![0; BUCKETS],
            ..EvidenceCount::default()
        })
    }

    /// Passes the evidence since the last report to `send`, and resets it if that returns true.
    ///
    /// Evidence that can't be sent for [`REPORT_TTL`] is dropped, as what it says of the present is little by then.
    pub(crate) fn report(&mut self, now_ms: u64, send: impl FnOnce(Evidence) -> bool) {
        if self.counts.is_empty() {
            self.reported_ms = now_ms;
            return;
        }
        let is_sent = send(Evidence { counts: self.counts.values().cloned().collect() });
        if is_sent || now_ms > self.reported_ms + REPORT_TTL.as_millis() as u64 {
            self.counts.clear();
            self.reported_ms = now_ms;
        }
    }
}

/// Returns the histogram bucket of a service time; each bucket's bound is 1.5 times the previous one.
fn bucket(service_time: Duration) -> usize {
    let ms = service_time.as_secs_f64() * 1_000.0;
    (ms.max(1.0).ln() / 1.5_f64.ln()).floor().clamp(0.0, (BUCKETS - 1) as f64) as usize
}
