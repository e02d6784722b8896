//! Admission of calls to one target: slots, a queue by rank, and deadlines.

use std::collections::{BTreeMap, HashMap};

use kingcuplift_core::{Rank, ResultCode};

/// Releases after which the call that has waited longest goes first, whatever its rank.
const FAIRNESS_INTERVAL: u64 = 16;
/// Weight of the newest service time in the average: one eighth.
const AVERAGE_DIVISOR: u64 = 8;

/// Number by which the caller of this module knows a call.
pub type CallId = u64;

/// Limits of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
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
}

/// Place in the queue: rank first, then order of arrival.
type Place = (Rank, u64);

#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: CallId,
    deadline_us: u64,
}

/// Admission state of one target. Times are in microseconds on one monotonic clock.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    running: u32,
    waiting: BTreeMap<Place, Waiting>,
    places: HashMap<CallId, Place>,
    arrivals: u64,
    releases: u64,
    service_us: u64,
    is_open: bool,
}

impl Admission {
    /// Makes an empty admission state.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            running: 0,
            waiting: BTreeMap::new(),
            places: HashMap::new(),
            arrivals: 0,
            releases: 0,
            service_us: 0,
            is_open: true,
        }
    }

    /// Sets new limits; running calls are not affected.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Refuses all calls that arrive from now on.
    pub fn close(&mut self) {
        self.is_open = false;
    }

    /// Admits calls again after [`Self::close`].
    pub fn open(&mut self) {
        self.is_open = true;
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

    /// Decides on an arriving call.
    pub fn arrive(&mut self, id: CallId, rank: Rank, deadline_us: u64, now_us: u64) -> Decision {
        match () {
            () if !self.is_open => return Decision::Refuse(ResultCode::Draining),
            () if now_us >= deadline_us => return Decision::Refuse(ResultCode::DeadlineBefore),
            () if self.running < self.limits.slots && self.waiting.is_empty() => {
                self.running += 1;
                return Decision::Run;
            }
            () if now_us + self.expected_wait(rank) >= deadline_us => {
                return Decision::Refuse(ResultCode::DeadlineBefore);
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
        let place = (rank, self.arrivals);
        self.waiting.insert(place, Waiting { id, deadline_us });
        self.places.insert(id, place);
        Decision::Wait { displaced: displaced.map(|(_, id)| id) }
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
        let mut released = Vec::new();
        while self.running < self.limits.slots {
            let Some(place) = self.next_place() else { break };
            let Some(call) = self.waiting.remove(&place) else { break };
            self.places.remove(&call.id);
            if now_us + self.service_us >= call.deadline_us {
                released.push(Release::Expired(call.id));
                continue;
            }
            self.running += 1;
            self.releases += 1;
            released.push(Release::Run(call.id));
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
                self.waiting.keys().copied().min_by_key(|(_, arrival)| *arrival)
            }
            _ => first,
        }
    }

    /// Estimates how long a call of `rank` waits before it runs.
    fn expected_wait(&self, rank: Rank) -> u64 {
        let ahead = self.waiting.range(..=(rank, u64::MAX)).count() as u64 + 1;
        ahead * self.service_us / u64::from(self.limits.slots.max(1))
    }
}
