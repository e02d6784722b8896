//! How many calls a target bears at present, learnt from its own answers.
//!
//! The limit starts low, doubles with each round of good answers until the target first shows overload,
//! and then grows by one a round. Refusals and losses halve it, and for some seconds it stays below the
//! number of calls that they came at, so that a cold target can warm up; a majority of slow answers lowers
//! it by a quarter. Slow means slow for the same route, so a route that always takes long is no sign of overload.

use std::collections::HashMap;

use smol_str::SmolStr;

/// Calls that a target gets before it has answered any.
const FIRST_LIMIT: f64 = 2.0;
/// Least limit.
const LEAST_LIMIT: f64 = 1.0;
/// Factor after a refusal or loss.
const REFUSAL_FACTOR: f64 = 0.5;
/// Factor after a majority of slow answers.
const SLOW_FACTOR: f64 = 0.75;
/// First time for which the limit stays below the number of calls that broke the target, in microseconds.
const FIRST_HOLD_US: u64 = 4_000_000;
/// Longest such time, in microseconds.
const MAX_HOLD_US: u64 = 60_000_000;
/// Shortest time between two reductions, in microseconds.
const REDUCTION_INTERVAL_US: u64 = 50_000;
/// An answer is slow above this multiple of the route's usual time.
const SLOW_RATIO: u64 = 4;
/// An answer is slow only if it takes this much longer than usual, in microseconds.
const SLOW_EXCESS_US: u64 = 10_000;
/// Weight of the newest answer in the part of slow answers.
const SLOW_WEIGHT: f64 = 0.125;
/// Part of the answers that must be slow.
const SLOW_PART: f64 = 0.5;
/// Weight with which an answer that is not slow raises a route's usual time: one in this many.
const USUAL_DIVISOR: u64 = 512;
/// Time in which slow answers alone double a route's usual time, in microseconds.
const DOUBLING_US: u64 = 60_000_000;
/// Longest pause between slow answers that counts towards the doubling, in microseconds.
const MAX_PAUSE_US: u64 = 1_000_000;
/// Routes whose usual time is remembered.
const MAX_ROUTES: usize = 256;

/// What a target made of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// It answered, whatever the answer says.
    Answered,
    /// It said that it has too much to do.
    Shed,
    /// It refused the connection, broke it, or did not answer in time.
    Lost,
}

/// Highest limit for some time.
#[derive(Debug, Clone, Copy)]
struct Ceiling {
    limit: f64,
    until_us: u64,
}

/// Usual time of a route's calls.
#[derive(Debug, Clone, Copy)]
struct Usual {
    time_us: u64,
    /// When a slow answer last came.
    slow_at: u64,
}

/// Limit on the calls that one target runs at a time.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    is_starting: bool,
    slow_part: f64,
    reduced_at: Option<u64>,
    ceiling: Option<Ceiling>,
    hold_us: u64,
    usual: HashMap<SmolStr, Usual>,
}

impl ConcurrencyLimit {
    /// Makes the limit of a target that has just started.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: FIRST_LIMIT,
            is_starting: true,
            slow_part: 0.0,
            reduced_at: None,
            ceiling: None,
            hold_us: FIRST_HOLD_US,
            usual: HashMap::new(),
        }
    }

    /// Sets the number of calls that the target says it runs at a time.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns the number of calls that the target gets at a time.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots.max(1))
    }

    /// Learns from a call that has ended.
    ///
    /// `running` is the number of calls that ran beside it, itself included.
    pub fn record(
        &mut self,
        route: &SmolStr,
        response: CallOutcome,
        time_us: u64,
        running: u32,
        now_us: u64,
    ) {
        match response {
            CallOutcome::Shed | CallOutcome::Lost => self.broke(running, now_us),
            CallOutcome::Answered if self.is_slow(route, time_us, now_us) => self.slowed(now_us),
            CallOutcome::Answered => {
                self.slow_part *= 1.0 - SLOW_WEIGHT;
                self.grow(running, now_us);
            }
        }
    }

    /// Raises the limit, if the target was near it.
    fn grow(&mut self, running: u32, now_us: u64) {
        if running * 2 < self.limit() {
            return;
        }
        let step = match self.is_starting {
            true => 1.0,
            false => 1.0 / self.limit,
        };
        let slots = f64::from(self.slots.max(1));
        let held = self.ceiling.filter(|ceiling| now_us < ceiling.until_us);
        let most = held.map_or(slots, |ceiling| ceiling.limit.min(slots));
        self.limit = (self.limit + step).min(most.max(self.limit));
        if self.limit >= slots {
            self.hold_us = FIRST_HOLD_US;
        }
    }

    /// Keeps below the number of calls that the target could not bear, longer each time in a row.
    fn broke(&mut self, running: u32, now_us: u64) {
        if self.reduce(REFUSAL_FACTOR, now_us) {
            let limit = f64::from(running.saturating_sub(1)).max(LEAST_LIMIT);
            self.ceiling = Some(Ceiling { limit, until_us: now_us + self.hold_us });
            self.limit = self.limit.min(limit);
            self.hold_us = (self.hold_us * 2).min(MAX_HOLD_US);
        }
    }

    fn slowed(&mut self, now_us: u64) {
        self.slow_part += (1.0 - self.slow_part) * SLOW_WEIGHT;
        if self.slow_part > SLOW_PART {
            self.slow_part = 0.0;
            let _is_lowered = self.reduce(SLOW_FACTOR, now_us);
        }
    }

    /// Lowers the limit, once for each interval; returns whether it did.
    fn reduce(&mut self, factor: f64, now_us: u64) -> bool {
        self.is_starting = false;
        let recent = self.reduced_at.is_some_and(|at| now_us < at + REDUCTION_INTERVAL_US);
        if !recent {
            self.reduced_at = Some(now_us);
            self.limit = (self.limit * factor).max(LEAST_LIMIT);
        }
        !recent
    }

    /// Compares a time with the route's usual one, and learns from it.
    ///
    /// Slow answers raise the usual time by the clock and not by their number, so that a cold start under
    /// load doesn't become usual.
    fn is_slow(&mut self, route: &SmolStr, time_us: u64, now_us: u64) -> bool {
        let known = self.usual.len();
        let Some(usual) = self.usual.get_mut(route) else {
            if known < MAX_ROUTES {
                self.usual.insert(route.clone(), Usual { time_us, slow_at: now_us });
            }
            return false;
        };
        let held = usual.time_us;
        let is_slow = time_us > held * SLOW_RATIO && time_us > held + SLOW_EXCESS_US;
        match is_slow {
            true => {
                let pause = now_us.saturating_sub(usual.slow_at).min(MAX_PAUSE_US);
                usual.time_us += (held * pause).div_ceil(DOUBLING_US);
                usual.slow_at = now_us;
            }
            false if time_us < held => usual.time_us = time_us,
            false => usual.time_us += (time_us - held) / USUAL_DIVISOR,
        }
        is_slow
    }
}
