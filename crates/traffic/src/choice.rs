//! Target selection: a call goes to the target with the least expected cost.
//!
//! The cost is the expected loss of the call's value: the risk that the answer comes after the call's latency
//! objective, the failure rate of the target, and a charge for another availability zone. A load report from the
//! target's node counts for a short time, and calls sent since then are added to it. A target without a recent report
//! is assumed to be as loaded as the others, and a cold target is charged extra; otherwise all nodes would send their
//! calls to the same idle target at once.
//!
//! Where nodes share load reports, [`select_by_reports`] is used instead: it draws targets in proportion to their expected
//! free capacity. `docs/design/even-load.md` says why.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kingcuplift_core::{ByteSize, ZoneName};
use rand::Rng;
use smol_str::SmolStr;

use crate::shared_load::{ExpectedLoad, FORWARDED_REPORTS, KnownLoad, TargetId, TargetReport};
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
/// Service time that is assumed for a route without responses.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(250);
/// Targets that are drawn in proportion to their free capacity; the one with the least cost is selected. Two leave more
/// calls on slow targets, many are a scan for the minimum, which all nodes find at the same target.
const DRAWN_TARGETS: usize = 3;
/// Freshness of the reports below which they are not used. Without knowledge of the load, all nodes would find the same
/// fast targets among those drawn.
const MIN_FRESHNESS: f64 = 0.05;
/// Smallest weight of a report in the average utilization of a service.
const MIN_REPORT_WEIGHT: f64 = 0.01;
/// Smallest service time that counts as time constant of the load, in milliseconds. The load of a target that also has
/// longer calls lasts longer than a short call.
const MIN_TIME_MS: f64 = 150.0;
/// Smallest weight of a target in the draw, as a fraction of its slots.
const MIN_FREE: f64 = 0.01;
/// Largest free capacity in the draw, as a multiple of the average; bounds what one false report attracts.
const MAX_RELATIVE_FREE: f64 = 2.0;
/// Cost of a target that is certainly full: a call that waits delays those behind it too.
const FULL_COST: f64 = 0.5;
/// Uncertainty of a load that was measured now, in calls, and weight of what the age adds.
const MIN_UNCERTAINTY: f64 = 0.3;
const UNCERTAINTY_WEIGHT: f64 = 0.5;
/// Size of a call for which the distance has its whole cost. The cost is that of the bytes moved, so it grows with them.
const LARGE_BYTES: f64 = 64.0 * 1_024.0;
/// Size from which a call waits for the link behind bulk; smaller responses pass it.
const MIN_BULK: ByteSize = ByteSize::kib(16);
/// Smallest and largest weight of the distance: small calls leave their zone for a target that is sooner free, not for one
/// that is merely less loaded, and it does not outweigh a full target for the largest.
const LOCALITY_RANGE: (f64, f64) = (0.3, 2.0);
/// Smallest weight of a target that fails calls, as a fraction. Many targets lose a few answers at a time; their capacity is
/// still needed, and the cost decides against them where others have room.
const MIN_SUCCESS: f64 = 0.1;
/// Exponent by which a cost that is neither load nor failures reduces a target's weight in the draw.
const COST_EXPONENT: f64 = 20.0;
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
    /// Usual service time of the call's route.
    pub service_time: Duration,
    /// Bytes that calls of the route usually transfer; `None` if unknown.
    pub bytes: Option<ByteSize>,
}

impl Default for CallEstimate {
    /// A call that usually takes a third of the time until its objective.
    fn default() -> Self {
        Self { latency_fraction: 1.0 / 3.0, service_time: DEFAULT_SERVICE_TIME, bytes: None }
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
    /// Id of the instance in shared load reports.
    pub id: TargetId,
    /// Latest shared report, and this node's calls since.
    known: Mutex<KnownLoad>,
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
            id: TargetId::of(&key, ""),
            known: Mutex::default(),
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
        self.id = TargetId::of(&self.key, &instance);
        self.instance = instance;
        self
    }

    fn known(&self) -> MutexGuard<'_, KnownLoad> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a shared report of this target that was received after `transit`, and returns whether it is news.
    ///
    /// `is_own` says that the node beside the target sent it.
    pub fn record_report(
        &self,
        report: &TargetReport,
        is_own: bool,
        transit: Duration,
        now_ms: u64,
    ) -> bool {
        self.known().record(report, is_own, transit, now_ms)
    }

    /// Records the response time of a call as a multiple of the usual service time of its route.
    pub fn record_response(&self, relative_time: f32, now_ms: u64) {
        self.known().record_response(relative_time, now_ms);
    }

    /// Records when a call was sent, for the interpretation of shared reports.
    pub fn record_start(&self, now_ms: u64) {
        self.known().record_start(now_ms);
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
        self.known().record_refusal(now_ms);
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
        let queueing = if utilization >= 1.0 { QUEUE_COST } else { 0.0 };
        lateness_cost(latency)
            + queueing
            + self.cold_cost(now_ms)
            + utilization.min(1.0) * LOAD_COST
            + self.distance_cost(context)
            + self.failure_cost(now_ms)
    }

    /// Returns the cost of the distance for a call of full size.
    fn distance_cost(&self, context: &SelectionContext<'_>) -> f64 {
        match self.key.node {
            _ if self.zone != *context.zone => REMOTE_COST + CROSS_ZONE_COST,
            ref node if node == context.node => 0.0,
            _ => REMOTE_COST,
        }
    }

    /// Returns the fraction of the calls that fail at the target, as this node has seen it or as it is announced.
    fn failure_fraction(&self, now_ms: u64) -> f64 {
        let announced = f64::from(self.lost_permille.load(Ordering::Relaxed)) / 1_000.0;
        f64::from(self.failure_rate(now_ms)).max(announced)
    }

    fn failure_cost(&self, now_ms: u64) -> f64 {
        self.failure_fraction(now_ms) * FAILURE_COST
    }

    fn cold_cost(&self, now_ms: u64) -> f64 {
        match now_ms < self.cold_until.load(Ordering::Relaxed) {
            true => COLD_COST,
            false => 0.0,
        }
    }

    fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until.load(Ordering::Relaxed)
    }
}

/// Returns the cost of a latency that is given as a fraction of the time left until the objective.
fn lateness_cost(latency: f64) -> f64 {
    ((latency - FREE_LATENCY) / LATENESS_RANGE).clamp(0.0, MAX_LATENESS)
        + latency.min(MAX_LATENESS) * LATENCY_COST
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

/// A target selected by shared reports, and what they said.
#[derive(Debug)]
pub struct SharedChoice<'a, C> {
    /// The selected target.
    pub target: &'a C,
    /// Age of its report; `None` if there is none.
    pub report_age: Option<Duration>,
    /// Standard deviation of the utilization over the service's targets with a report.
    pub spread: f64,
}

/// Utilization of a service's targets by the shared reports.
#[derive(Debug, Clone, Copy)]
struct ServiceLoad {
    mean: f64,
    spread: f64,
    /// Usual service time in milliseconds.
    time_ms: f64,
    /// Average fraction of the reported deviations from the mean that is left at present.
    freshness: f64,
}

/// Returns the utilization of a service's targets; `None` if none has a recent report.
fn service_load<C: AsRef<Candidate>>(
    candidates: &[C],
    estimate: &CallEstimate,
    now_ms: u64,
) -> Option<ServiceLoad> {
    let time_ms = (estimate.service_time.as_secs_f64() * 1_000.0).max(MIN_TIME_MS);
    let (mut weights, mut sum, mut squares, mut kept) = (0.0, 0.0, 0.0, 0.0);
    for item in candidates {
        let known = item.as_ref().known().utilization(time_ms, now_ms);
        let Some((utilization, weight)) = known else { continue };
        // A queue says little of what the others have free.
        let utilization = utilization.min(1.5);
        kept += weight;
        // Old reports still count where there are no others.
        let weight = weight.max(MIN_REPORT_WEIGHT);
        weights += weight;
        sum += weight * utilization;
        squares += weight * utilization * utilization;
    }
    (weights > 0.0).then(|| {
        let mean = sum / weights;
        let spread = (squares / weights - mean * mean).max(0.0).sqrt();
        let freshness = kept / candidates.len() as f64;
        ServiceLoad { mean, spread, time_ms, freshness }
    })
}

/// Selects a target by shared reports: draws some in proportion to their free capacity and takes the cheapest of them.
///
/// Many nodes choose within the delay of the reports. If all took the target that looks best, they would overrun it;
/// in proportion to the free capacity, what all of them send together fits. The restrictions of [`select_target`] hold
/// here too. Returns `None` if the reports are too old or too few, or no target is left.
pub fn select_by_reports<'a, C: AsRef<Candidate>>(
    candidates: &'a [C],
    context: SelectionContext<'_>,
    now_ms: u64,
    rng: &mut impl Rng,
) -> Option<SharedChoice<'a, C>> {
    let service = service_load(candidates, &context.estimate, now_ms)?;
    if service.freshness < MIN_FRESHNESS {
        return None;
    }
    let locality = locality(context.estimate.bytes);
    let max_free = (1.0 - service.mean).max(0.1) * MAX_RELATIVE_FREE;
    let mut own: Option<(f64, &C)> = None;
    // Drawn targets: the smallest exponential variates, whose rates are the weights.
    let mut drawn: [Option<(f64, f64, &C)>; DRAWN_TARGETS] = [None; DRAWN_TARGETS];
    let mut least_avoided: Option<(f64, &C)> = None;
    for item in candidates {
        let candidate = item.as_ref();
        let is_wanted = context.version.is_none_or(|version| *version == candidate.key.version);
        if !is_wanted || context.tried.contains(&candidate.key) {
            continue;
        }
        let load =
            candidate.known().expected(candidate.slots, service.mean, service.time_ms, now_ms);
        let held_back_cost = match context.held_back.contains(&candidate.key) {
            true => HELD_BACK_COST,
            false => 0.0,
        };
        let fixed_cost = held_back_cost
            + candidate.cold_cost(now_ms)
            + candidate.distance_cost(&context) * locality;
        let cost =
            fixed_cost + candidate.failure_cost(now_ms) + load_cost(&load, &context.estimate);
        if candidate.is_avoided(now_ms) {
            let jittered = cost + rng.random::<f64>() * MAX_JITTER;
            if least_avoided.is_none_or(|(lowest, _)| jittered < lowest) {
                least_avoided = Some((jittered, item));
            }
            continue;
        }
        let free = excess(load.limit - load.busy, uncertainty(&load)) / load.limit;
        let weight = free.clamp(MIN_FREE, max_free) * load.limit / load.pace
            * (-fixed_cost * COST_EXPONENT).exp()
            * (1.0 - candidate.failure_fraction(now_ms)).max(MIN_SUCCESS);
        // The load of the target of the own VM is known exactly, so that it is always among those compared.
        if candidate.key.node == context.node {
            own = Some((cost, item));
            continue;
        }
        let variate = -(1.0 - rng.random::<f64>()).ln() / weight;
        insert_drawn(&mut drawn, (variate, cost, item));
    }
    let compared = drawn.iter().flatten().map(|(_, cost, item)| (*cost, *item)).chain(own);
    // Also where no target has room: if all nodes then took the one that looks least full, they would overrun it.
    let cheapest = compared.min_by(|a, b| a.0.total_cmp(&b.0));
    let (_, target) = cheapest.or(least_avoided)?;
    let age = target.as_ref().known().age_ms(now_ms);
    Some(SharedChoice {
        target,
        report_age: age.map(Duration::from_millis),
        spread: service.spread,
    })
}

/// Keeps the entries with the smallest variates, in their order.
fn insert_drawn<'a, C>(
    drawn: &mut [Option<(f64, f64, &'a C)>; DRAWN_TARGETS],
    entry: (f64, f64, &'a C),
) {
    let mut entry = Some(entry);
    for place in drawn {
        let is_smaller = match (&entry, &*place) {
            (Some((variate, ..)), Some((other, ..))) => variate < other,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_smaller {
            std::mem::swap(place, &mut entry);
        }
    }
}

/// Returns the scale of the distribution of a target's load.
fn uncertainty(load: &ExpectedLoad) -> f64 {
    MIN_UNCERTAINTY + load.uncertainty * UNCERTAINTY_WEIGHT
}

/// Returns the expected positive part of a quantity with a logistic distribution.
fn excess(mean: f64, scale: f64) -> f64 {
    match mean / scale {
        ratio if ratio > 20.0 => mean,
        ratio => scale * ratio.exp().ln_1p(),
    }
}

/// Returns the cost of a target's expected load for a call, as a fraction of its value.
fn load_cost(load: &ExpectedLoad, estimate: &CallEstimate) -> f64 {
    // Calls ahead of this one beyond the free slots.
    let ahead = load.busy + 1.0 - load.limit;
    let uncertainty = uncertainty(load);
    let queued = excess(ahead, uncertainty);
    let link = match estimate.bytes {
        Some(bytes) if bytes >= MIN_BULK => {
            load.link_wait.as_secs_f64() / estimate.service_time.as_secs_f64().max(0.001)
        }
        _ => 0.0,
    };
    let relative_time = (load.pace * (1.0 + queued / load.limit)).max(load.observed) + link;
    let full = 1.0 / (1.0 + (-ahead / uncertainty).exp());
    late_fraction(estimate.latency_fraction * relative_time) + full * FULL_COST
}

/// Returns the fraction of the calls that end after their objective, where `latency` is the expected latency as a
/// fraction of the time left until then.
///
/// Service times vary widely. This approximates a log-normal distribution with sigma 0.8.
fn late_fraction(latency: f64) -> f64 {
    let square = latency * latency;
    square / (square + 2.0)
}

/// Returns the weight of the distance for a call of the given size.
fn locality(bytes: Option<ByteSize>) -> f64 {
    let bytes = bytes.map_or(0.0, |bytes| bytes.get() as f64);
    (bytes / LARGE_BYTES).clamp(LOCALITY_RANGE.0, LOCALITY_RANGE.1)
}

/// Returns the freshest reports of targets other than `except`, with their ages.
pub fn freshest_reports<C: AsRef<Candidate>>(
    candidates: &[C],
    except: impl Fn(TargetId) -> bool,
    now_ms: u64,
) -> impl Iterator<Item = TargetReport> {
    let mut freshest: [Option<TargetReport>; FORWARDED_REPORTS] = [None; FORWARDED_REPORTS];
    for candidate in candidates.iter().map(AsRef::as_ref) {
        if except(candidate.id) {
            continue;
        }
        let mut entry = candidate.known().report(candidate.id, now_ms);
        for place in &mut freshest {
            let is_fresher = match (&entry, &*place) {
                (Some(report), Some(other)) => report.age < other.age,
                (Some(_), None) => true,
                (None, _) => false,
            };
            if is_fresher {
                std::mem::swap(place, &mut entry);
            }
        }
    }
    freshest.into_iter().flatten()
}
