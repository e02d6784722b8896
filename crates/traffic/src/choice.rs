//! Target selection: a call goes to the target with the least expected cost.
//!
//! The cost is the expected loss of the call's value: the risk that the answer comes after the call's latency
//! objective, the failure rate of the target, and a charge for another availability zone. A load report from the
//! target's node counts for a short time, and calls sent since then are added to it. A target without a recent report
//! is assumed to be as loaded as the others, and a cold target is charged extra; otherwise all nodes would send their
//! calls to the same idle target at once.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use kingcuplift_core::ZoneName;
use rand::Rng;
use smol_str::SmolStr;

use crate::table::TargetKey;

/// Cost of a call to another availability zone.
const CROSS_ZONE_COST: f64 = 0.12;
/// Cost of a call that leaves this VM: time, processor time, and bytes on links that a few calls can fill.
const REMOTE_COST: f64 = 0.08;
/// Cost of a target at which every call fails.
const FAILURE_COST: f64 = 2.0;
/// Cost of a target that is held back while a move puts other targets of its version under load.
const HELD_BACK_COST: f64 = 0.4;
/// Latency without lateness cost, as a fraction of the objective.
const FREE_LATENCY: f64 = 0.5;
/// Range of latency over which the lateness cost rises from zero to the whole value, as a fraction of the objective.
const LATENESS_RANGE: f64 = 0.7;
/// Largest lateness cost, and largest latency that [`LATENCY_COST`] counts.
const MAX_LATENESS: f64 = 1.5;
/// Cost of the latency itself when it equals the objective, so that the faster of otherwise equal targets wins.
const LATENCY_COST: f64 = 0.1;
/// Utilization above which targets slow down.
const FREE_UTILIZATION: f64 = 0.7;
/// Extra latency of a target with all slots in use, as a fraction of the usual latency.
const FULL_LOAD_DELAY: f64 = 0.4;
/// Cost of waiting for a slot, however short the wait.
const QUEUE_COST: f64 = 0.1;
/// Cost of the load itself when all slots are in use.
const LOAD_COST: f64 = 0.06;
/// Cost of a target that has announced that it is cold.
const COLD_COST: f64 = 0.25;
/// Largest random part of the cost; keeps nodes from making identical choices.
const MAX_JITTER: f64 = 0.02;
/// Time for which a load report counts, in milliseconds.
const REPORT_TTL_MS: u64 = 1_000;
/// Weight of the newest answer in the moving averages of failure rate and slowness.
const AVERAGE_WEIGHT: f32 = 0.1;
/// Half-life of the failure rate without answers, in milliseconds.
const FAILURE_HALF_LIFE_MS: u64 = 3_000;
/// Smallest and largest slowness that counts.
const SLOWNESS_RANGE: (f32, f32) = (0.4, 8.0);
/// Back-off after the first refusal of a target, in milliseconds; it doubles with each further one.
const FIRST_BACKOFF_MS: u64 = 250;
/// Longest back-off, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;
/// Time for which a target that its node does not know is avoided unless it is announced anew, in milliseconds.
const UNKNOWN_BACKOFF_MS: u64 = 15_000;

/// Load of a target, as reported by the node beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that run or wait.
    pub busy: u32,
    /// Calls that may run at a time.
    pub limit: u32,
}

/// What a target's latest announcement says of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// Incarnation of the announcement.
    pub incarnation: u64,
    /// Time until which the target is cold, in milliseconds.
    pub cold_until_ms: u64,
    /// Fraction of the answers that the target loses or spoils, in thousandths.
    pub lost_permille: u32,
}

/// Estimate of a call before it is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallEstimate {
    /// Usual latency of the call, as a fraction of the time left until its objective.
    pub latency_fraction: f64,
}

impl Default for CallEstimate {
    /// A call that usually takes a third of the time until its objective.
    fn default() -> Self {
        Self { latency_fraction: 1.0 / 3.0 }
    }
}

/// What restricts and influences the selection of a target for one call.
#[derive(Debug, Clone, Copy)]
pub struct SelectionContext<'a> {
    /// Name of this node.
    pub node: &'a str,
    /// Availability zone of this node.
    pub zone: &'a ZoneName,
    /// Target version; `None` means any.
    pub version: Option<&'a SmolStr>,
    /// Targets that the call was already sent to.
    pub tried: &'a [TargetKey],
    /// Targets that are held back during a move.
    pub held_back: &'a [TargetKey],
    /// Estimate of the call.
    pub estimate: CallEstimate,
}

/// A target that calls can be sent to, with its load as far as this node knows it.
#[derive(Debug)]
pub struct Candidate {
    /// Service, version and node of the target.
    pub key: TargetKey,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address on which the node beside the target takes calls.
    pub peer: String,
    /// Number of calls that the target runs at a time.
    pub slots: u32,
    /// Name that the target chose for itself at its start; empty if it has none.
    pub instance: SmolStr,
    /// Calls of this node that the target runs or queues.
    in_flight: AtomicU32,
    /// Consecutive refusals.
    refusals: AtomicU32,
    /// End of the back-off after a refusal, in milliseconds.
    avoided_until: AtomicU64,
    /// Latest report: calls that run or wait, and the limit.
    busy: AtomicU32,
    limit: AtomicU32,
    /// Calls of this node that were in flight when the report came.
    in_flight_at_report: AtomicU32,
    reported_at: AtomicU64,
    /// Incarnation of the latest announcement.
    incarnation: AtomicU64,
    /// Time until which the target is cold, in milliseconds.
    cold_until: AtomicU64,
    /// Announced fraction of lost answers, in thousandths.
    lost_permille: AtomicU32,
    /// Moving average of the failure rate, as bits of an `f32`.
    failure_rate: AtomicU32,
    failure_rate_at: AtomicU64,
    /// Moving average of the latency as a multiple of what is usual for the route, as bits of an `f32`.
    slowness: AtomicU32,
}

impl Candidate {
    /// Creates a candidate without load.
    pub fn new(key: TargetKey, zone: ZoneName, peer: String, slots: u32) -> Self {
        Self {
            key,
            zone,
            peer,
            slots: slots.max(1),
            instance: SmolStr::default(),
            in_flight: AtomicU32::new(0),
            refusals: AtomicU32::new(0),
            avoided_until: AtomicU64::new(0),
            busy: AtomicU32::new(0),
            limit: AtomicU32::new(0),
            in_flight_at_report: AtomicU32::new(0),
            reported_at: AtomicU64::new(0),
            incarnation: AtomicU64::new(0),
            cold_until: AtomicU64::new(0),
            lost_permille: AtomicU32::new(0),
            failure_rate: AtomicU32::new(0),
            failure_rate_at: AtomicU64::new(0),
            slowness: AtomicU32::new(1.0_f32.to_bits()),
        }
    }

    /// Sets the name that the target chose for itself at its start.
    #[must_use]
    pub fn with_instance(mut self, instance: SmolStr) -> Self {
        self.instance = instance;
        self
    }

    /// Records an announcement; a new one ends the back-off.
    pub fn record_announcement(&self, announcement: Announcement) {
        let Announcement { incarnation, cold_until_ms, lost_permille } = announcement;
        self.cold_until.store(cold_until_ms, Ordering::Relaxed);
        self.lost_permille.store(lost_permille, Ordering::Relaxed);
        if self.incarnation.swap(incarnation, Ordering::Relaxed) != incarnation {
            self.refusals.store(0, Ordering::Relaxed);
            self.avoided_until.store(0, Ordering::Relaxed);
        }
    }

    /// Records that a call was sent.
    pub fn call_started(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a call has ended.
    pub fn call_ended(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that the target itself answered a call, which ends its run of refusals.
    pub fn record_answer(&self) {
        self.refusals.store(0, Ordering::Relaxed);
    }

    /// Records a load report of the target's node.
    pub fn record_load(&self, report: LoadReport, now_ms: u64) {
        self.busy.store(report.busy, Ordering::Relaxed);
        self.limit.store(report.limit.max(1), Ordering::Relaxed);
        self.in_flight_at_report.store(self.in_flight.load(Ordering::Relaxed), Ordering::Relaxed);
        self.reported_at.store(now_ms.max(1), Ordering::Relaxed);
    }

    /// Records whether a call that ran at the target failed.
    pub fn record_outcome(&self, failed: bool, now_ms: u64) {
        let sample = if failed { 1.0 } else { 0.0 };
        let rate = self.failure_rate(now_ms);
        let next = rate + (sample - rate) * AVERAGE_WEIGHT;
        self.failure_rate.store(next.to_bits(), Ordering::Relaxed);
        self.failure_rate_at.store(now_ms, Ordering::Relaxed);
    }

    /// Records the latency of an answer, as a multiple of what is usual for its route.
    pub fn record_latency(&self, relative_latency: f32) {
        let average = f32::from_bits(self.slowness.load(Ordering::Relaxed));
        let sample = relative_latency.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        let next = average + (sample - average) * AVERAGE_WEIGHT;
        self.slowness.store(next.to_bits(), Ordering::Relaxed);
    }

    /// Records that a call was refused or its answer lost, and avoids the target for the back-off.
    pub fn record_refusal(&self, now_ms: u64) {
        let earlier = self.refusals.fetch_add(1, Ordering::Relaxed);
        let backoff = FIRST_BACKOFF_MS << earlier.min(5);
        let until = now_ms + backoff.min(MAX_BACKOFF_MS);
        self.avoided_until.store(until, Ordering::Relaxed);
    }

    /// Records that the node beside the target does not know it, and avoids the target until it is announced anew.
    pub fn record_unknown(&self, now_ms: u64) {
        self.avoided_until.store(now_ms + UNKNOWN_BACKOFF_MS, Ordering::Relaxed);
    }

    fn failure_rate(&self, now_ms: u64) -> f32 {
        let average = f32::from_bits(self.failure_rate.load(Ordering::Relaxed));
        let age = now_ms.saturating_sub(self.failure_rate_at.load(Ordering::Relaxed));
        average * 0.5_f32.powf(age as f32 / FAILURE_HALF_LIFE_MS as f32)
    }

    /// Returns the utilization of the target by its latest report, if that still counts.
    fn reported_utilization(&self, now_ms: u64) -> Option<f64> {
        self.is_reported(now_ms).then(|| {
            let (busy, limit) = self.load(now_ms, 0.0);
            busy / limit
        })
    }

    fn is_reported(&self, now_ms: u64) -> bool {
        let reported_at = self.reported_at.load(Ordering::Relaxed);
        reported_at != 0 && now_ms <= reported_at + REPORT_TTL_MS
    }

    /// Estimates the calls that run or wait, and the limit.
    ///
    /// `typical` is the utilization that is assumed for a target without a recent report.
    fn load(&self, now_ms: u64, typical: f64) -> (f64, f64) {
        let own = self.in_flight.load(Ordering::Relaxed);
        if !self.is_reported(now_ms) {
            let slots = f64::from(self.slots);
            return (f64::from(own).max(typical * slots), slots);
        }
        let at_report = self.in_flight_at_report.load(Ordering::Relaxed);
        let since = f64::from(own) - f64::from(at_report);
        let busy = f64::from(self.busy.load(Ordering::Relaxed)) + since;
        (busy.max(f64::from(own)), f64::from(self.limit.load(Ordering::Relaxed)))
    }

    /// Returns the expected cost of one more call, as a fraction of its value.
    fn cost(&self, context: &SelectionContext<'_>, now_ms: u64, typical: f64) -> f64 {
        let (busy, limit) = self.load(now_ms, typical);
        let utilization = busy / limit;
        let slowdown = match utilization {
            utilization if utilization >= 1.0 => FULL_LOAD_DELAY + (busy - limit + 1.0) / limit,
            utilization => {
                ((utilization - FREE_UTILIZATION) / (1.0 - FREE_UTILIZATION)).max(0.0)
                    * FULL_LOAD_DELAY
            }
        };
        let slowness = f64::from(f32::from_bits(self.slowness.load(Ordering::Relaxed)));
        let latency = context.estimate.latency_fraction * slowness * (1.0 + slowdown);
        let lateness = ((latency - FREE_LATENCY) / LATENESS_RANGE).clamp(0.0, MAX_LATENESS);
        let distance = match self.key.node {
            _ if self.zone != *context.zone => REMOTE_COST + CROSS_ZONE_COST,
            ref node if node == context.node => 0.0,
            _ => REMOTE_COST,
        };
        let announced = f64::from(self.lost_permille.load(Ordering::Relaxed)) / 1_000.0;
        let failures = f64::from(self.failure_rate(now_ms)).max(announced) * FAILURE_COST;
        let queueing = if utilization >= 1.0 { QUEUE_COST } else { 0.0 };
        let cold = if now_ms < self.cold_until.load(Ordering::Relaxed) { COLD_COST } else { 0.0 };
        lateness
            + queueing
            + cold
            + latency.min(MAX_LATENESS) * LATENCY_COST
            + utilization.min(1.0) * LOAD_COST
            + distance
            + failures
    }

    fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until.load(Ordering::Relaxed)
    }
}

/// Selects the cheapest of `candidates`, without those already tried and those of other versions than the wanted one.
///
/// A target in back-off is selected only if no other is left.
pub fn select_target<'a, C: AsRef<Candidate>>(
    candidates: &'a [C],
    context: SelectionContext<'_>,
    now_ms: u64,
    rng: &mut impl Rng,
) -> Option<&'a C> {
    let typical = average_utilization(candidates, now_ms);
    let mut best: Option<(bool, f64, &C)> = None;
    for item in candidates {
        let candidate = item.as_ref();
        let is_wanted = context.version.is_none_or(|version| *version == candidate.key.version);
        if !is_wanted || context.tried.contains(&candidate.key) {
            continue;
        }
        let is_avoided = candidate.is_avoided(now_ms);
        let held_back_cost = match context.held_back.contains(&candidate.key) {
            true => HELD_BACK_COST,
            false => 0.0,
        };
        let jitter = rng.random::<f64>() * MAX_JITTER;
        let cost = candidate.cost(&context, now_ms, typical) + held_back_cost + jitter;
        let is_better =
            best.is_none_or(|(best_avoided, least, _)| (is_avoided, cost) < (best_avoided, least));
        if is_better {
            best = Some((is_avoided, cost, item));
        }
    }
    best.map(|(_, _, item)| item)
}

/// Returns the average utilization of the targets with a recent report.
fn average_utilization<C: AsRef<Candidate>>(candidates: &[C], now_ms: u64) -> f64 {
    let known = candidates.iter().filter_map(|item| item.as_ref().reported_utilization(now_ms));
    let (count, sum) = known
        .fold((0_u32, 0.0), |(count, sum), utilization| (count + 1, sum + utilization.min(1.0)));
    sum / f64::from(count.max(1))
}
