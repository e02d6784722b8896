//! Admission by [`AdmissionPolicy::InTime`]: for targets whose callers ask for more than they have.
//!
//! A call waits only while that costs it a small part of its chance to be in time. A short queue keeps all slots busy as
//! well as a long one does, and its calls are in time.

use kingcuplift_core::{Rank, ResultCode};
use smol_str::SmolStr;

use super::{
    Acceptance, Admission, AdmissionPolicy, CallId, CallTimes, Decision, FAIRNESS_INTERVAL,
    QueueKey, Release, Waiting,
};
use crate::service_times::ServiceTime;

/// Part of the chance to be in time that a call keeps while it waits.
const KEPT_CHANCE: f64 = 0.91;
/// Chance of a call that starts at once below which the call counts as late.
const MIN_CHANCE: f64 = 0.2;
/// Length of a burst that the queue is meant to hold, in microseconds.
///
/// A wait that is longer by some time lets the queue hold the calls of that time, once a burst; the lost chance counts for
/// all calls of the burst. Where fewer than one in this many microseconds of the responses come, longer waits pay.
const BURST_US: f64 = 5_000_000.0;
/// Patient calls that may wait although they will be late: one per this many slots.
const DEFERRED_DIVISOR: u32 = 2;
/// Service time that is assumed before the first response, as a part (1/n) of the time left until the objective.
///
/// After a loss of power all targets are cold and callers have waited; without an estimate all of them would queue.
const UNKNOWN_DIVISOR: u64 = 2;
/// Inverse weight of the newest call in the average service time of all calls.
const STEADY_DIVISOR: f64 = 32.0;
/// Shortest time after which a refused call is asked to return, in microseconds.
const MIN_RETURN_US: u64 = 250_000;
/// Time of return of a call that will be late, as a part of its time left: callers wait no longer than a third of it.
const RETURN_FRACTION: f64 = 1.0 / 3.0;
/// Longest time after which a refused call is asked to return, in microseconds.
const MAX_RETURN_US: u64 = 3_300_000;

impl Admission {
    /// Decides on an arriving call by its chance of an answer within its objective.
    pub(super) fn arrive_in_time(
        &mut self,
        id: CallId,
        rank: Rank,
        route: &SmolStr,
        times: CallTimes,
        now_us: u64,
    ) -> Decision {
        let service = self.service_times.get(route);
        let service_us = match (service, self.expected_service(times)) {
            (Some(time), _) => time.mean_us(),
            (None, 0) => times.objective_us.saturating_sub(now_us) / UNKNOWN_DIVISOR,
            (None, service_us) => service_us,
        };
        let times = CallTimes { service_us, ..times };
        match () {
            () if self.acceptance != Acceptance::Open => {
                return Decision::Refuse(ResultCode::Draining);
            }
            () if now_us >= times.deadline_us => {
                return Decision::Refuse(ResultCode::DeadlineBefore);
            }
            () => self.reserve.record_arrival(rank, service_us, now_us),
        }
        if self.may_start(rank, service_us, now_us) && !self.has_startable(rank, now_us) {
            self.start(rank, now_us);
            return Decision::Run;
        }
        let latest_start_us = latest_start(service, times, now_us);
        let wait_us = self.wait_for_rank(rank, now_us);
        let is_late = latest_start_us.is_none_or(|latest| now_us + wait_us > latest);
        self.arrivals += 1;
        let key = match is_late {
            false => QueueKey::new(rank, false, self.arrivals),
            true if !times.is_patient => return Decision::Refuse(ResultCode::Overloaded),
            true => self.late_key(rank, service_us, self.arrivals),
        };
        if key.is_deferred && !self.has_room_for_deferred(now_us) {
            return Decision::Refuse(ResultCode::Overloaded);
        }
        if now_us + self.wait_before(key, now_us) + service_us >= times.deadline_us {
            return Decision::Refuse(ResultCode::DeadlineBefore);
        }
        let latest_start_us = match is_late {
            true => times.deadline_us.saturating_sub(service_us),
            false => latest_start_us.unwrap_or(now_us),
        };
        self.enqueue(key, Waiting { id, times, arrived_us: now_us, latest_start_us })
    }

    /// Returns whether a call may take a slot now: one is free, beside those that are kept for urgent calls.
    fn may_start(&self, rank: Rank, service_us: u64, now_us: u64) -> bool {
        let slots = self.limits.slots;
        self.running < slots
            && self.is_due(now_us)
            && self.running + self.reserve.held_from(rank, service_us, slots, now_us) < slots
    }

    /// Returns whether a waiting call of a rank, or of a better one, goes before an arriving one.
    fn has_startable(&self, rank: Rank, now_us: u64) -> bool {
        let before = self.waiting.range(..=QueueKey::new(rank, true, u64::MAX));
        before.into_iter().any(|(key, call)| {
            now_us <= call.latest_start_us
                && self.may_start(key.rank, call.times.service_us, now_us)
        })
    }

    /// Estimates how long a call of a rank waits that can be in time.
    fn wait_for_rank(&self, rank: Rank, now_us: u64) -> u64 {
        self.wait_before(QueueKey::new(rank, true, u64::MAX), now_us)
    }

    /// Estimates how long a call at a position in the queue waits, in microseconds: until the work before it is done.
    ///
    /// Calls of better ranks that arrive later are not counted; [`Self::release_in_time`] refuses calls that wait too long
    /// because of them. Measured: to count their recent load makes queues of patient calls too short to hold a burst.
    fn wait_before(&self, key: QueueKey, now_us: u64) -> u64 {
        let ahead = self.waiting.range(..key);
        let work_us: u64 = ahead.map(|(_, call)| call.times.service_us).sum();
        let first_us = match self.steady_service_us {
            0.0 => self.service_us,
            average => average as u64,
        };
        let by_slots = (work_us + first_us) / u64::from(self.limits.slots.max(1));
        match self.is_rate_limited(now_us) {
            true => by_slots.max(self.wait_behind(self.waiting.range(..key).count(), now_us)),
            false => by_slots,
        }
    }

    /// Returns the position of a patient call that will be late: behind all calls that can be in time, unless it is short.
    ///
    /// A short call takes little from others, and it is often made by a call that holds a slot elsewhere meanwhile.
    fn late_key(&self, rank: Rank, service_us: u64, arrival: u64) -> QueueKey {
        match self.reserve.is_short(service_us) {
            true => QueueKey::new(rank, true, arrival),
            false => QueueKey::deferred(rank, arrival),
        }
    }

    /// Returns whether few enough late calls wait for one more.
    ///
    /// A cold target will soon bear more, so there the length of the queue is the only limit.
    fn has_room_for_deferred(&self, now_us: u64) -> bool {
        let allowed = (self.limits.slots / DEFERRED_DIVISOR).max(1) as usize;
        let deferred = self.waiting.range(QueueKey::deferred(Rank::FIRST, 0)..).count();
        self.is_rate_limited(now_us) || deferred < allowed
    }

    /// Gives free slots first to calls that can be in time, then to others, and refuses those that wait in vain.
    pub(super) fn release_in_time(&mut self, now_us: u64) -> Vec<Release> {
        let is_expired = |call: &Waiting| now_us + call.times.service_us >= call.times.deadline_us;
        let expired = self.remove_waiting(|_, call| is_expired(call));
        let mut released: Vec<Release> =
            expired.into_iter().map(|(_, call)| Release::Expired(call.id)).collect();
        while self.running < self.limits.slots && self.is_due(now_us) {
            let Some(key) = self.next_startable(now_us) else { break };
            let Some(call) = self.waiting.remove(&key) else { break };
            self.queue_keys.remove(&call.id);
            self.start(key.rank, now_us);
            self.releases += 1;
            released.push(Release::Run(call.id));
        }
        let late =
            self.remove_waiting(|key, call| !key.is_deferred && now_us > call.latest_start_us);
        for (key, call) in late {
            match call.times.is_patient {
                true => {
                    let key = self.late_key(key.rank, call.times.service_us, key.arrival);
                    let latest_start_us = call.times.deadline_us - call.times.service_us;
                    self.queue_keys.insert(call.id, key);
                    self.waiting.insert(key, Waiting { latest_start_us, ..call });
                }
                false => released.push(Release::Late(call.id)),
            }
        }
        released
    }

    /// Removes the waiting calls that match a condition.
    fn remove_waiting(
        &mut self,
        matches: impl Fn(&QueueKey, &Waiting) -> bool,
    ) -> Vec<(QueueKey, Waiting)> {
        let found = self.waiting.iter().filter(|(key, call)| matches(key, call));
        let found: Vec<(QueueKey, Waiting)> = found.map(|(key, call)| (*key, *call)).collect();
        for (key, call) in &found {
            self.waiting.remove(key);
            self.queue_keys.remove(&call.id);
        }
        found
    }

    /// Returns the waiting call that gets the next free slot.
    ///
    /// Every [`FAIRNESS_INTERVAL`]th slot goes to the call that has waited longest of those that can be in time.
    fn next_startable(&self, now_us: u64) -> Option<QueueKey> {
        let may_start = |(key, call): &(&QueueKey, &Waiting)| {
            self.may_start(key.rank, call.times.service_us, now_us)
        };
        let mut in_time = self.waiting.iter().filter(|(key, call)| {
            !key.is_deferred && now_us <= call.latest_start_us && may_start(&(key, call))
        });
        let chosen = match self.releases % FAIRNESS_INTERVAL {
            rest if rest == FAIRNESS_INTERVAL - 1 => in_time.min_by_key(|(key, _)| key.arrival),
            _ => in_time.next(),
        };
        chosen.or_else(|| self.waiting.iter().find(may_start)).map(|(key, _)| *key)
    }

    /// Records the time of a call that has ended, as its route's service time if the target responded.
    pub(super) fn record_service(&mut self, answered: Option<&SmolStr>, service_us: u64) {
        if service_us == 0 {
            return;
        }
        let sample = service_us as f64;
        self.steady_service_us = match self.steady_service_us {
            0.0 => sample,
            average => average + (sample - average) / STEADY_DIVISOR,
        };
        if let Some(route) = answered {
            self.service_times.record(route, service_us);
        }
    }

    /// Returns the time up to which a waiting call may wait; `None` if the policy sets none.
    pub fn waits_until(&self, id: CallId) -> Option<u64> {
        if self.policy == AdmissionPolicy::MeanTime {
            return None;
        }
        let call = self.waiting.get(self.queue_keys.get(&id)?)?;
        let last = call.times.deadline_us.saturating_sub(call.times.service_us);
        Some(match call.times.is_patient {
            true => last,
            false => call.latest_start_us.min(last),
        })
    }

    /// Returns when a refused call should return, in microseconds from now.
    ///
    /// Under [`AdmissionPolicy::InTime`], each call that is refused by its last target gets a time of its own, at the rate
    /// at which slots become free. A call that would be late by then returns late in the time that it has: it runs only
    /// when the backlog is over.
    pub fn return_after(&mut self, rank: Rank, times: CallTimes, now_us: u64) -> u64 {
        if self.policy == AdmissionPolicy::MeanTime || !times.is_patient {
            return self.expected_wait(rank, now_us);
        }
        let room_us = now_us + self.wait_for_rank(rank, now_us).max(MIN_RETURN_US);
        let interval_us = (self.steady_service_us / f64::from(self.limits.slots.max(1))) as u64;
        let next = self.next_returns.get(&rank).copied().unwrap_or(0);
        let at_us = room_us.max(next).min(now_us + MAX_RETURN_US);
        if at_us + self.expected_service(times) >= times.objective_us {
            let left_us = times.deadline_us.saturating_sub(now_us) as f64;
            return ((left_us * RETURN_FRACTION) as u64).clamp(MIN_RETURN_US, MAX_RETURN_US);
        }
        self.next_returns.insert(rank, at_us + interval_us);
        at_us - now_us
    }
}

/// Returns the time up to which a call may start with a good chance to be in time; `None` if it has none at all.
///
/// Where the route's service time is unknown, the mean time of all calls decides, or what is assumed of it.
fn latest_start(service: Option<ServiceTime>, times: CallTimes, now_us: u64) -> Option<u64> {
    if times.objective_us >= times.deadline_us {
        return times.deadline_us.checked_sub(times.service_us);
    }
    let Some(service) = service else {
        return times.objective_us.checked_sub(times.service_us);
    };
    let left_us = times.objective_us.saturating_sub(now_us);
    let chance = service.chance_within(left_us);
    let kept_us = service.quantile_us(chance * KEPT_CHANCE);
    let burst_us = service.time_at_density(1.0 / BURST_US);
    let wait_us = left_us.saturating_sub(kept_us.min(burst_us));
    (chance >= MIN_CHANCE).then_some(now_us + wait_us)
}
