//! Chooses a target: the one at which a call is expected to cost least.
//!
//! The cost is the value that is expected to be lost: the chance that the answer comes after the call's objective,
//! failures as seen in answers, and the way to another availability zone. What a target's node said of its load
//! counts for a short time; calls sent since are added to it. A target of which nothing has been heard of late is
//! taken for as busy as the others, and a cold one for worse: else all nodes would find the same idle target.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use kingcuplift_core::ZoneName;
use rand::Rng;
use smol_str::SmolStr;

use crate::table::TargetKey;

/// Cost of a call to another availability zone.
const ZONE_COST: f64 = 0.12;
/// Cost of a target at which every call fails.
const FAILURE_COST: f64 = 2.0;
/// Cost of a target that is held back while a move tries others of its version under load.
const RESERVE_COST: f64 = 0.4;
/// Part of the objective that an answer may take without cost.
const FREE_PART: f64 = 0.5;
/// Part of the objective over which the cost of lateness rises from nothing to the whole value.
const LATE_PART: f64 = 0.7;
/// Most that lateness costs.
const MOST_LATENESS: f64 = 1.5;
/// Cost of an answer that takes the whole objective, by itself: among equals, the faster is better.
const TIME_COST: f64 = 0.1;
/// Part of the slots in use above which targets slow down.
const FREE_LOAD: f64 = 0.7;
/// Additional time at a target whose last slot is in use, as a part of the usual time.
const FULL_TIME: f64 = 0.4;
/// Cost of having to wait for a slot, whatever the time.
const WAIT_COST: f64 = 0.1;
/// Cost of load by itself, when all slots are in use.
const LOAD_COST: f64 = 0.06;
/// Cost of a target that has just said that it is cold.
const COLD_COST: f64 = 0.25;
/// Largest random part of the cost; it keeps nodes from choosing alike.
const NOISE: f64 = 0.02;
/// Time for which a reported load counts, in milliseconds.
const REPORT_LIFE: u64 = 1_000;
/// Weight of the newest answer in the part of failures and in the slowness.
const ANSWER_WEIGHT: f32 = 0.1;
/// Time in which the part of failures halves without answers, in milliseconds.
const FORGIVENESS: u64 = 3_000;
/// Least and most slowness that counts.
const SLOWNESS_RANGE: (f32, f32) = (0.4, 8.0);
/// First time for which a target is avoided after a refusal, in milliseconds.
const FIRST_AVOIDANCE: u64 = 250;
/// Longest time for which a target is avoided, in milliseconds.
const MAX_AVOIDANCE: u64 = 2_000;

/// What a node says of the load of the target beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that run or wait.
    pub busy: u32,
    /// Calls that may run at a time.
    pub limit: u32,
}

/// What is known of a call before it is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallEstimate {
    /// Time that the call usually takes, as a part of what is left until its objective.
    pub latency_fraction: f64,
}

impl Default for CallEstimate {
    /// A call that usually takes a third of its time.
    fn default() -> Self {
        Self { latency_fraction: 1.0 / 3.0 }
    }
}

/// Where a call may go.
#[derive(Debug, Clone, Copy)]
pub struct SelectionContext<'a> {
    /// Availability zone of this node.
    pub zone: &'a ZoneName,
    /// Target version; `None` means any.
    pub version: Option<&'a SmolStr>,
    /// Targets that have had the call.
    pub tried: &'a [TargetKey],
    /// Targets that are held back.
    pub held_back: &'a [TargetKey],
    /// What is known of the call.
    pub estimate: CallEstimate,
}

/// A target that calls can be sent to, with what this node knows of its load.
#[derive(Debug)]
pub struct Candidate {
    /// Service, version and node of the target.
    pub key: TargetKey,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address on which the node beside the target takes calls.
    pub peer: String,
    /// Calls that the target runs at a time.
    pub slots: u32,
    /// Name that the target gave itself at its start; empty when it gave none.
    pub instance: SmolStr,
    /// Calls of this node that the target runs or queues.
    running: AtomicU32,
    /// Refusals in a row.
    refusals: AtomicU32,
    /// Time until which the target is avoided, in milliseconds.
    avoided_until: AtomicU64,
    /// Newest report: calls that run or wait, and the limit.
    busy: AtomicU32,
    limit: AtomicU32,
    /// Calls of this node that ran when the report came.
    running_then: AtomicU32,
    reported_at: AtomicU64,
    /// Time until which the target is cold, in milliseconds.
    cold_until: AtomicU64,
    /// Part of failed calls, as bits of an `f32`.
    failures: AtomicU32,
    failed_at: AtomicU64,
    /// Time of answers as a multiple of what is usual for their routes, as bits of an `f32`.
    slowness: AtomicU32,
}

impl Candidate {
    /// Makes a target without load.
    pub fn new(key: TargetKey, zone: ZoneName, peer: String, slots: u32) -> Self {
        Self {
            key,
            zone,
            peer,
            slots: slots.max(1),
            instance: SmolStr::default(),
            running: AtomicU32::new(0),
            refusals: AtomicU32::new(0),
            avoided_until: AtomicU64::new(0),
            busy: AtomicU32::new(0),
            limit: AtomicU32::new(0),
            running_then: AtomicU32::new(0),
            reported_at: AtomicU64::new(0),
            cold_until: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            failed_at: AtomicU64::new(0),
            slowness: AtomicU32::new(1.0_f32.to_bits()),
        }
    }

    /// Sets the name that the target gave itself at its start.
    #[must_use]
    pub fn with_instance(mut self, instance: SmolStr) -> Self {
        self.instance = instance;
        self
    }

    /// Records until when the target is cold, as it was announced.
    pub fn set_cold_until(&self, until_ms: u64) {
        self.cold_until.store(until_ms, Ordering::Relaxed);
    }

    /// Records that a call was sent.
    pub fn call_started(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a call has ended.
    pub fn call_ended(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that the target answered a call itself.
    pub fn record_answer(&self) {
        self.refusals.store(0, Ordering::Relaxed);
    }

    /// Records what the target's node says of its load.
    pub fn record_load(&self, report: LoadReport, now_ms: u64) {
        self.busy.store(report.busy, Ordering::Relaxed);
        self.limit.store(report.limit.max(1), Ordering::Relaxed);
        self.running_then.store(self.running.load(Ordering::Relaxed), Ordering::Relaxed);
        self.reported_at.store(now_ms.max(1), Ordering::Relaxed);
    }

    /// Records whether a call that ran there failed.
    pub fn record_outcome(&self, failed: bool, now_ms: u64) {
        let sample = if failed { 1.0 } else { 0.0 };
        let part = self.failure_part(now_ms);
        let next = part + (sample - part) * ANSWER_WEIGHT;
        self.failures.store(next.to_bits(), Ordering::Relaxed);
        self.failed_at.store(now_ms, Ordering::Relaxed);
    }

    /// Records the time of an answer as a multiple of what is usual for its route.
    pub fn record_latency(&self, multiple: f32) {
        let held = f32::from_bits(self.slowness.load(Ordering::Relaxed));
        let sample = multiple.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        let next = held + (sample - held) * ANSWER_WEIGHT;
        self.slowness.store(next.to_bits(), Ordering::Relaxed);
    }

    /// Records that a call was refused or its answer lost, and avoids the target for a while.
    pub fn record_refusal(&self, now_ms: u64) {
        let earlier = self.refusals.fetch_add(1, Ordering::Relaxed);
        let avoidance = FIRST_AVOIDANCE << earlier.min(5);
        let until = now_ms + avoidance.min(MAX_AVOIDANCE);
        self.avoided_until.store(until, Ordering::Relaxed);
    }

    fn failure_part(&self, now_ms: u64) -> f32 {
        let held = f32::from_bits(self.failures.load(Ordering::Relaxed));
        let age = now_ms.saturating_sub(self.failed_at.load(Ordering::Relaxed));
        held * 0.5_f32.powf(age as f32 / FORGIVENESS as f32)
    }

    /// Returns the part of the slots in use, if the target's node said so of late.
    fn reported_use(&self, now_ms: u64) -> Option<f64> {
        self.is_reported(now_ms).then(|| {
            let (busy, limit) = self.load(now_ms, 0.0);
            busy / limit
        })
    }

    fn is_reported(&self, now_ms: u64) -> bool {
        let reported_at = self.reported_at.load(Ordering::Relaxed);
        reported_at != 0 && now_ms <= reported_at + REPORT_LIFE
    }

    /// Returns the calls that run or wait, and the limit, as far as this node can tell.
    ///
    /// `typical` is the part of their slots that other targets use.
    fn load(&self, now_ms: u64, typical: f64) -> (f64, f64) {
        let own = self.running.load(Ordering::Relaxed);
        if !self.is_reported(now_ms) {
            let slots = f64::from(self.slots);
            return (f64::from(own).max(typical * slots), slots);
        }
        let then = self.running_then.load(Ordering::Relaxed);
        let since = f64::from(own) - f64::from(then);
        let busy = f64::from(self.busy.load(Ordering::Relaxed)) + since;
        (busy.max(f64::from(own)), f64::from(self.limit.load(Ordering::Relaxed)))
    }

    /// Returns the expected cost of one more call, as a part of its value.
    fn cost(&self, zone: &ZoneName, shape: CallEstimate, now_ms: u64, typical: f64) -> f64 {
        let (busy, limit) = self.load(now_ms, typical);
        let used = busy / limit;
        let slower = match used {
            used if used >= 1.0 => FULL_TIME + (busy - limit + 1.0) / limit,
            used => ((used - FREE_LOAD) / (1.0 - FREE_LOAD)).max(0.0) * FULL_TIME,
        };
        let slowness = f64::from(f32::from_bits(self.slowness.load(Ordering::Relaxed)));
        let part = shape.latency_fraction * slowness * (1.0 + slower);
        let late = ((part - FREE_PART) / LATE_PART).clamp(0.0, MOST_LATENESS);
        let away = if self.zone == *zone { 0.0 } else { ZONE_COST };
        let failures = f64::from(self.failure_part(now_ms)) * FAILURE_COST;
        let waiting = if used >= 1.0 { WAIT_COST } else { 0.0 };
        let cold = if now_ms < self.cold_until.load(Ordering::Relaxed) { COLD_COST } else { 0.0 };
        late + waiting
            + cold
            + part.min(MOST_LATENESS) * TIME_COST
            + used.min(1.0) * LOAD_COST
            + away
            + failures
    }

    fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until.load(Ordering::Relaxed)
    }
}

/// Chooses among `candidates`, leaving out those that have had the call and other versions than the wanted one.
///
/// Targets that are avoided are taken only when no other is left.
pub fn select_target<'a, C: AsRef<Candidate>>(
    candidates: &'a [C],
    wanted: SelectionContext<'_>,
    now_ms: u64,
    rng: &mut impl Rng,
) -> Option<&'a C> {
    let typical = typical_use(candidates, now_ms);
    let mut best: Option<(bool, f64, &C)> = None;
    for held in candidates {
        let candidate = held.as_ref();
        let is_wanted = wanted.version.is_none_or(|version| *version == candidate.key.version);
        if !is_wanted || wanted.tried.contains(&candidate.key) {
            continue;
        }
        let avoided = candidate.is_avoided(now_ms);
        let reserve = match wanted.held_back.contains(&candidate.key) {
            true => RESERVE_COST,
            false => 0.0,
        };
        let noise = rng.random::<f64>() * NOISE;
        let cost = candidate.cost(wanted.zone, wanted.estimate, now_ms, typical) + reserve + noise;
        let better =
            best.is_none_or(|(was_avoided, least, _)| (avoided, cost) < (was_avoided, least));
        if better {
            best = Some((avoided, cost, held));
        }
    }
    best.map(|(_, _, held)| held)
}

/// Returns the part of their slots that targets use on average, as far as they said so of late.
fn typical_use<C: AsRef<Candidate>>(candidates: &[C], now_ms: u64) -> f64 {
    let known = candidates.iter().filter_map(|held| held.as_ref().reported_use(now_ms));
    let (count, sum) =
        known.fold((0_u32, 0.0), |(count, sum), used| (count + 1, sum + used.min(1.0)));
    sum / f64::from(count.max(1))
}
