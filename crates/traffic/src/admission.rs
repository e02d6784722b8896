//! Admission of calls to one target: slots, a queue by rank, deadlines, and the rate that a cold target bears.
//!
//! Within a rank, calls that can still be answered with their full value go before those that can't.

use std::collections::{BTreeMap, HashMap};

use kingcuplift_core::{PerSecond, Rank, ResultCode};

/// Releases after which the call that has waited longest goes first, whatever its rank.
const FAIRNESS_INTERVAL: u64 = 16;
/// Part of the slots that counts for a cold target whose service time is unknown: one in this many.
const COLD_DIVISOR: u32 = 4;
/// Calls of a rank that may wait although they will miss their objective: one for this many slots.
const FEW_DIVISOR: u32 = 1;
/// Weight of the newest wait in the average of a rank: one in this many.
const WAIT_DIVISOR: u64 = 4;
/// Calls to a cold target that may run at once after a pause.
const PACE_RESERVE: u64 = 2;
/// Microseconds in a second.
const SECOND_US: f64 = 1_000_000.0;
/// Weight of the newest service time in the average: one eighth.
const AVERAGE_DIVISOR: u64 = 8;

/// Number by which the caller of this module knows a call.
pub type CallId = u64;

/// Limits of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Calls that run at a time.
    pub slots: u32,
    /// Calls that wait at a time.
    pub queue: u32,
}

/// Answer to an arriving call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The call has a slot.
    Run,
    /// The call waits; another call may have lost its place to it.
    Wait {
        /// Call that is refused in its place.
        displaced: Option<CallId>,
    },
    /// The call is refused and the target sees nothing of it.
    Refuse(ResultCode),
}

/// What becomes of a waiting call when a slot is free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// The call has the slot.
    Run(CallId),
    /// The call can't be answered before its deadline.
    Expired(CallId),
    /// The target takes no call any more.
    Closed(CallId),
}

/// When a call's answer is worth what, in microseconds on the clock of the admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimes {
    /// Time up to which an answer has its full value.
    pub objective_us: u64,
    /// Time up to which an answer has any value.
    pub deadline_us: u64,
    /// Time that the target is expected to take; 0 when nothing is known of such calls.
    pub service_us: u64,
}

impl CallTimes {
    /// Makes times without an objective of their own.
    pub fn until(deadline_us: u64) -> Self {
        Self { objective_us: deadline_us, deadline_us, service_us: 0 }
    }
}

/// Place in the queue: rank first, then whether the full value is lost, then order of arrival.
type Place = (Rank, bool, u64);

#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: CallId,
    times: CallTimes,
    arrived_us: u64,
}

/// Limit on the calls to a cold target: evenly spaced, with a small reserve after a pause.
#[derive(Debug, Clone, Copy)]
struct Pace {
    interval_us: u64,
    /// Time at which the next call may run.
    next_us: u64,
    until_us: u64,
}

impl Pace {
    fn is_over(&self, now_us: u64) -> bool {
        now_us >= self.until_us
    }

    fn is_due(&self, now_us: u64) -> bool {
        self.is_over(now_us) || now_us >= self.next_us
    }

    fn take(&mut self, now_us: u64) {
        let reserve = self.interval_us * PACE_RESERVE;
        self.next_us = self.next_us.max(now_us.saturating_sub(reserve)) + self.interval_us;
    }
}

/// Whether calls are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Closing {
    Open,
    /// No call arrives any more; those that wait may run until a time, in microseconds.
    Until(u64),
}

/// Admission state of one target. Times are in microseconds on one monotonic clock.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    running: u32,
    waiting: BTreeMap<Place, Waiting>,
    places: HashMap<CallId, Place>,
    arrivals: u64,
    releases: u64,
    service_us: u64,
    closing: Closing,
    pace: Option<Pace>,
    /// How long calls of each rank have waited of late, in microseconds.
    waits: HashMap<Rank, u64>,
}

impl Admission {
    /// Makes an empty admission state.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            running: 0,
            waiting: BTreeMap::new(),
            places: HashMap::new(),
            arrivals: 0,
            releases: 0,
            service_us: 0,
            closing: Closing::Open,
            pace: None,
            waits: HashMap::new(),
        }
    }

    /// Limits the rate of calls until `until_us`, because the target is cold.
    pub fn set_rate_limit(&mut self, rate: PerSecond, until_us: u64, now_us: u64) {
        let interval_us = (SECOND_US / rate.get().max(f64::MIN_POSITIVE)).min(SECOND_US) as u64;
        let next_us = self.pace.map_or(now_us, |pace| pace.next_us);
        self.pace = Some(Pace { interval_us, next_us, until_us });
    }

    /// Ends the limit on the rate of calls.
    pub fn clear_rate_limit(&mut self) {
        self.pace = None;
    }

    /// Returns whether the rate of calls is limited.
    pub fn is_rate_limited(&self, now_us: u64) -> bool {
        self.pace.is_some_and(|pace| !pace.is_over(now_us))
    }

    /// Returns when the rate next lets a waiting call run, if calls wait for that alone.
    pub fn next_release(&self, now_us: u64) -> Option<u64> {
        let waits = !self.waiting.is_empty() && self.running < self.limits.slots;
        let pace = self.pace.filter(|pace| waits && !pace.is_due(now_us))?;
        Some(pace.next_us.min(pace.until_us))
    }

    /// Returns the calls that may run at a time, as far as the rate allows.
    pub fn effective_slots(&self, now_us: u64) -> u32 {
        let slots = self.limits.slots;
        match self.pace.filter(|pace| !pace.is_over(now_us)) {
            Some(pace) if self.service_us > 0 => {
                let bearable = (self.service_us / pace.interval_us.max(1)) as u32;
                bearable.clamp(1, slots.max(1))
            }
            Some(_) => (slots / COLD_DIVISOR).max(1),
            None => slots,
        }
    }

    /// Sets new limits; running calls are not affected.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Refuses all calls that arrive from now on, and from `until_us` on those that wait.
    ///
    /// A gate that is closed already keeps the earlier time.
    pub fn close(&mut self, until_us: u64) {
        let until_us = match self.closing {
            Closing::Open => until_us,
            Closing::Until(earlier) => earlier.min(until_us),
        };
        self.closing = Closing::Until(until_us);
    }

    /// Admits calls again after [`Self::close`].
    pub fn open(&mut self) {
        self.closing = Closing::Open;
    }

    /// Refuses the calls that still wait for a target that takes none any more.
    fn release_closed(&mut self) -> Vec<Release> {
        self.places.clear();
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|call| Release::Closed(call.id)).collect()
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting.is_empty()
    }

    /// Decides on an arriving call without an objective of its own.
    pub fn arrive(&mut self, id: CallId, rank: Rank, deadline_us: u64, now_us: u64) -> Decision {
        self.arrive_with_times(id, rank, CallTimes::until(deadline_us), now_us)
    }

    /// Decides on an arriving call.
    pub fn arrive_with_times(
        &mut self,
        id: CallId,
        rank: Rank,
        times: CallTimes,
        now_us: u64,
    ) -> Decision {
        let is_due = self.pace.is_none_or(|pace| pace.is_due(now_us));
        match () {
            () if self.closing != Closing::Open => return Decision::Refuse(ResultCode::Draining),
            () if now_us >= times.deadline_us => {
                return Decision::Refuse(ResultCode::DeadlineBefore);
            }
            () if self.running < self.limits.slots && self.waiting.is_empty() && is_due => {
                self.begin(now_us);
                return Decision::Run;
            }
            () if now_us + self.expected_wait(rank, now_us) >= times.deadline_us => {
                return Decision::Refuse(ResultCode::DeadlineBefore);
            }
            () if self.is_hopeless(rank, times, now_us) => {
                return Decision::Refuse(ResultCode::Overloaded);
            }
            () => {}
        }
        let is_full = self.waiting.len() >= self.limits.queue as usize;
        let displaced = match self.waiting.last_key_value() {
            _ if !is_full => None,
            Some((place, last)) if place.0 > rank => Some((*place, last.id)),
            _ => return Decision::Refuse(ResultCode::QueueFull),
        };
        if let Some((place, id)) = displaced {
            self.waiting.remove(&place);
            self.places.remove(&id);
        }
        self.arrivals += 1;
        let place = (rank, false, self.arrivals);
        self.waiting.insert(place, Waiting { id, times, arrived_us: now_us });
        self.places.insert(id, place);
        Decision::Wait { displaced: displaced.map(|(_, id)| id) }
    }

    /// Returns whether a call would miss its objective while enough others wait.
    ///
    /// Calls of better ranks that arrive later go first, so what calls of its rank have waited of late counts
    /// beside their number.
    fn is_hopeless(&self, rank: Rank, times: CallTimes, now_us: u64) -> bool {
        let first = (rank, false, 0);
        let alike = self.waiting.range(first..=(rank, true, u64::MAX)).count();
        let seen = self.waits.get(&rank).copied().filter(|_| alike > 0).unwrap_or(0);
        let wait_us = self.expected_wait(rank, now_us).max(seen);
        let answered_us = now_us + wait_us + self.expected_service(times);
        let has_objective = times.objective_us < times.deadline_us;
        let few = match self.is_rate_limited(now_us) {
            // Another target may be warm.
            true => 0,
            false => (self.limits.slots / FEW_DIVISOR).max(1) as usize,
        };
        has_objective && answered_us >= times.objective_us && alike >= few
    }

    /// Learns how long a call has waited.
    fn learn_wait(&mut self, rank: Rank, waited_us: u64) {
        let held = self.waits.entry(rank).or_insert(waited_us);
        *held = (*held * (WAIT_DIVISOR - 1) + waited_us) / WAIT_DIVISOR;
    }

    /// Returns whether more calls wait than run.
    fn is_deep(&self) -> bool {
        self.waiting.len() > self.limits.slots as usize
    }

    /// Returns the time that the target is expected to take for a call.
    fn expected_service(&self, times: CallTimes) -> u64 {
        match times.service_us {
            0 => self.service_us,
            service_us => service_us,
        }
    }

    /// Counts a call that begins to run.
    fn begin(&mut self, now_us: u64) {
        self.running += 1;
        if let Some(pace) = self.pace.as_mut().filter(|pace| !pace.is_over(now_us)) {
            pace.take(now_us);
        }
    }

    /// Records that a running call has ended and returns what becomes of waiting calls.
    pub fn finish(&mut self, service_us: u64, now_us: u64) -> Vec<Release> {
        self.running = self.running.saturating_sub(1);
        self.service_us = match self.service_us {
            0 => service_us,
            average => (average * (AVERAGE_DIVISOR - 1) + service_us) / AVERAGE_DIVISOR,
        };
        self.release(now_us)
    }

    /// Gives free slots to waiting calls and drops those that are too late.
    pub fn release(&mut self, now_us: u64) -> Vec<Release> {
        if matches!(self.closing, Closing::Until(until_us) if now_us >= until_us) {
            return self.release_closed();
        }
        let mut released = Vec::new();
        while self.running < self.limits.slots && self.pace.is_none_or(|pace| pace.is_due(now_us)) {
            let Some(place) = self.next_place() else { break };
            let Some(call) = self.waiting.remove(&place) else { break };
            self.places.remove(&call.id);
            self.learn_wait(place.0, now_us.saturating_sub(call.arrived_us));
            let answered_us = now_us + self.expected_service(call.times);
            let (rank, is_late, arrival) = place;
            match () {
                () if answered_us >= call.times.deadline_us => {
                    released.push(Release::Expired(call.id));
                }
                () if !is_late && answered_us >= call.times.objective_us && self.is_deep() => {
                    released.push(Release::Expired(call.id));
                }
                () if !is_late && answered_us >= call.times.objective_us => {
                    let place = (rank, true, arrival);
                    self.waiting.insert(place, call);
                    self.places.insert(call.id, place);
                }
                () => {
                    self.begin(now_us);
                    self.releases += 1;
                    released.push(Release::Run(call.id));
                }
            }
        }
        released
    }

    /// Removes a waiting call; returns false when it does not wait.
    pub fn cancel(&mut self, id: CallId) -> bool {
        match self.places.remove(&id) {
            Some(place) => self.waiting.remove(&place).is_some(),
            None => false,
        }
    }

    /// Returns the place that is served next.
    fn next_place(&self) -> Option<Place> {
        let first = self.waiting.first_key_value().map(|(place, _)| *place);
        match self.releases % FAIRNESS_INTERVAL {
            rest if rest == FAIRNESS_INTERVAL - 1 => {
                self.waiting.keys().copied().min_by_key(|(_, _, arrival)| *arrival)
            }
            _ => first,
        }
    }

    /// Estimates how long a call of `rank` waits before it runs, in microseconds.
    pub fn expected_wait(&self, rank: Rank, now_us: u64) -> u64 {
        let ahead = self.waiting.range(..=(rank, true, u64::MAX)).count() as u64 + 1;
        let by_slots = ahead * self.service_us / u64::from(self.limits.slots.max(1));
        match self.pace.filter(|pace| !pace.is_over(now_us)) {
            Some(pace) => by_slots.max(ahead * pace.interval_us),
            None => by_slots,
        }
    }
}
