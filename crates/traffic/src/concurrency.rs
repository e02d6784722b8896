//! Adaptive concurrency limit of a target, learned from its own answers.
//!
//! The limit starts low and doubles with each round of good answers until the target first shows overload (slow start);
//! then it grows by one per round. A shed or lost call halves it, and for some seconds it stays below the number of
//! calls that were running then, so that a cold target can warm up. A majority of slow answers lowers it by a quarter.
//! An answer is slow in comparison with others of its route, so a route that always takes long is no sign of overload.

use std::collections::HashMap;

use smol_str::SmolStr;

/// Limit before the target has answered any call.
const INITIAL_LIMIT: f64 = 2.0;
/// Smallest limit.
const MIN_LIMIT: f64 = 1.0;
/// Factor applied to the limit after a shed or lost call.
const OVERLOAD_FACTOR: f64 = 0.5;
/// Factor applied to the limit after a majority of slow answers.
const SLOW_FACTOR: f64 = 0.75;
/// Time for which the limit first stays below the number of calls that overloaded the target, in microseconds.
const FIRST_CEILING_US: u64 = 4_000_000;
/// Longest such time, in microseconds; it doubles with each overload in a row.
const MAX_CEILING_US: u64 = 60_000_000;
/// Minimum time between two reductions, in microseconds.
const REDUCTION_INTERVAL_US: u64 = 50_000;
/// An answer is slow if it takes longer than this multiple of the route's usual time.
const SLOW_RATIO: u64 = 4;
/// An answer is slow only if it also takes this much longer than usual, in microseconds.
const SLOW_EXCESS_US: u64 = 10_000;
/// Weight of the newest answer in the moving average of the slow fraction.
const SLOW_WEIGHT: f64 = 0.125;
/// Slow fraction above which the limit is lowered.
const SLOW_THRESHOLD: f64 = 0.5;
/// Weight with which an answer that is not slow raises a route's usual time: one in this many.
const USUAL_DIVISOR: u64 = 512;
/// Time in which slow answers alone double a route's usual time, in microseconds.
const DOUBLING_US: u64 = 60_000_000;
/// Longest gap between slow answers that counts towards the doubling, in microseconds.
const MAX_SLOW_GAP_US: u64 = 1_000_000;
/// Maximum number of routes whose usual time is tracked.
const MAX_ROUTES: usize = 256;

/// How a call ended at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target answered, whatever the status.
    Answered,
    /// The target shed the call because of overload.
    Shed,
    /// The target refused or broke the connection, or did not answer in time.
    Lost,
}

/// Temporary upper bound of the limit.
#[derive(Debug, Clone, Copy)]
struct Ceiling {
    limit: f64,
    until_us: u64,
}

/// Usual time of the calls of a route.
#[derive(Debug, Clone, Copy)]
struct UsualTime {
    time_us: u64,
    /// Time of the last slow answer, in microseconds.
    last_slow_us: u64,
}

/// Limit on the number of calls that one target runs at a time.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    is_slow_start: bool,
    slow_fraction: f64,
    reduced_at_us: Option<u64>,
    ceiling: Option<Ceiling>,
    ceiling_us: u64,
    usual: HashMap<SmolStr, UsualTime>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target that has just started.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: INITIAL_LIMIT,
            is_slow_start: true,
            slow_fraction: 0.0,
            reduced_at_us: None,
            ceiling: None,
            ceiling_us: FIRST_CEILING_US,
            usual: HashMap::new(),
        }
    }

    /// Sets the number of calls that the target has announced it runs at a time; the limit never exceeds it.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns the number of calls that may run at a time.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots.max(1))
    }

    /// Adjusts the limit to the outcome of a call.
    ///
    /// `running` is the number of calls that ran at the same time, including this one.
    pub fn record(
        &mut self,
        route: &SmolStr,
        outcome: CallOutcome,
        time_us: u64,
        running: u32,
        now_us: u64,
    ) {
        match outcome {
            CallOutcome::Shed | CallOutcome::Lost => self.back_off(running, now_us),
            CallOutcome::Answered if self.is_slow(route, time_us, now_us) => {
                self.record_slow(now_us)
            }
            CallOutcome::Answered => {
                self.slow_fraction *= 1.0 - SLOW_WEIGHT;
                self.grow(running, now_us);
            }
        }
    }

    /// Raises the limit if the target ran at least half as many calls as it allows.
    fn grow(&mut self, running: u32, now_us: u64) {
        if running * 2 < self.limit() {
            return;
        }
        let step = match self.is_slow_start {
            true => 1.0,
            false => 1.0 / self.limit,
        };
        let slots = f64::from(self.slots.max(1));
        let ceiling = self.ceiling.filter(|ceiling| now_us < ceiling.until_us);
        let upper = ceiling.map_or(slots, |ceiling| ceiling.limit.min(slots));
        self.limit = (self.limit + step).min(upper.max(self.limit));
        if self.limit >= slots {
            self.ceiling_us = FIRST_CEILING_US;
        }
    }

    /// Lowers the limit and keeps it below the number of calls that overloaded the target, longer each time in a row.
    fn back_off(&mut self, running: u32, now_us: u64) {
        if self.reduce(OVERLOAD_FACTOR, now_us) {
            let limit = f64::from(running.saturating_sub(1)).max(MIN_LIMIT);
            self.ceiling = Some(Ceiling { limit, until_us: now_us + self.ceiling_us });
            self.limit = self.limit.min(limit);
            self.ceiling_us = (self.ceiling_us * 2).min(MAX_CEILING_US);
        }
    }

    fn record_slow(&mut self, now_us: u64) {
        self.slow_fraction += (1.0 - self.slow_fraction) * SLOW_WEIGHT;
        if self.slow_fraction > SLOW_THRESHOLD {
            self.slow_fraction = 0.0;
            let _is_reduced = self.reduce(SLOW_FACTOR, now_us);
        }
    }

    /// Lowers the limit at most once per interval; returns whether it did.
    fn reduce(&mut self, factor: f64, now_us: u64) -> bool {
        self.is_slow_start = false;
        let is_recent = self.reduced_at_us.is_some_and(|at| now_us < at + REDUCTION_INTERVAL_US);
        if !is_recent {
            self.reduced_at_us = Some(now_us);
            self.limit = (self.limit * factor).max(MIN_LIMIT);
        }
        !is_recent
    }

    /// Returns whether a call was slow for its route, and updates the route's usual time.
    ///
    /// Slow answers raise the usual time by elapsed time and not by their number; otherwise a cold start under load
    /// would soon count as usual.
    fn is_slow(&mut self, route: &SmolStr, time_us: u64, now_us: u64) -> bool {
        let tracked = self.usual.len();
        let Some(usual) = self.usual.get_mut(route) else {
            if tracked < MAX_ROUTES {
                self.usual.insert(route.clone(), UsualTime { time_us, last_slow_us: now_us });
            }
            return false;
        };
        let usual_us = usual.time_us;
        let is_slow = time_us > usual_us * SLOW_RATIO && time_us > usual_us + SLOW_EXCESS_US;
        match is_slow {
            true => {
                let gap = now_us.saturating_sub(usual.last_slow_us).min(MAX_SLOW_GAP_US);
                usual.time_us += (usual_us * gap).div_ceil(DOUBLING_US);
                usual.last_slow_us = now_us;
            }
            false if time_us < usual_us => usual.time_us = time_us,
            false => usual.time_us += (time_us - usual_us) / USUAL_DIVISOR,
        }
        is_slow
    }
}
