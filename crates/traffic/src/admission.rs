//! Admission control for one target: slots, a priority queue, deadlines, and rate limits.
//!
//! The rate of calls is limited while the target is cold, and while it states a limit itself.
//!
//! Within a rank, calls that can still meet their latency objective are served before those that can't.
//! [`AdmissionPolicy`] says how that is judged.

mod in_time;

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use kingcuplift_core::{PerSecond, Rank, ResultCode};

use smol_str::SmolStr;

use crate::cold_rush::WarmupPace;
use crate::service_times::ServiceTimes;
use crate::slot_reserve::SlotReserve;

/// One in this many releases serves the call that has waited longest, regardless of rank.
const FAIRNESS_INTERVAL: u64 = 16;
/// Fraction of the slots that a cold target with unknown service time is assumed to use: one in this many.
const COLD_DIVISOR: u32 = 4;
/// Calls of a rank that may wait although they will miss their objective: one per this many slots.
const LATE_CALLS_DIVISOR: u32 = 1;
/// Weight of the newest wait in the moving average of a rank: one in this many.
const WAIT_DIVISOR: u64 = 4;
/// Microseconds in a second.
const SECOND_US: f64 = 1_000_000.0;
/// Longest time between two calls to a target that states a limit, in microseconds.
const MAX_INTERVAL_US: f64 = 60.0 * SECOND_US;
/// Time by which calls may run early after an idle period at a target that states a limit, in microseconds.
const STATED_BURST_US: u64 = 250_000;
/// Weight of the newest service time in the moving average: one in this many.
const SERVICE_TIME_DIVISOR: u64 = 8;

/// Identifier of a call, chosen by the caller of this module.
pub type CallId = u64;

/// Limits on the calls to one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of running calls.
    pub slots: u32,
    /// Maximum number of waiting calls.
    pub queue: u32,
}

/// How calls are judged that find no free slot, and in which order they run.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionPolicy {
    /// By the mean service time and the rank. As many calls of a rank as there are slots may wait although they will be
    /// late.
    #[default]
    MeanTime,
    /// By the chance that the response comes within the objective. A call whose chance falls too far by waiting is
    /// refused; calls that can be in time run before all others.
    InTime,
}

impl fmt::Display for AdmissionPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MeanTime => "mean_time",
            Self::InTime => "in_time",
        })
    }
}

/// Decision on an arriving call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The call gets a slot.
    Run,
    /// The call waits; if the queue was full, it displaces another.
    Wait {
        /// Waiting call that is refused instead.
        displaced: Option<CallId>,
    },
    /// The call is refused and never reaches the target.
    Refuse(ResultCode),
}

/// What happens to a call that leaves the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// The call gets a slot.
    Run(CallId),
    /// The call is refused because its answer would come too late.
    Expired(CallId),
    /// The call is refused because its chance of an answer within the objective has become too small; another target
    /// may still answer in time.
    Late(CallId),
    /// The call is refused because the target no longer accepts calls.
    Closed(CallId),
}

/// Objective, deadline and expected service time of a call, in microseconds on the clock of the [`Admission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimes {
    /// Latency objective: the time up to which an answer has its full value.
    pub objective_us: u64,
    /// Deadline: the time after which an answer has no value.
    pub deadline_us: u64,
    /// Expected service time of the call; 0 if unknown.
    pub service_us: u64,
    /// Whether the call waits for as long as an answer can come before its deadline, because no other target is left.
    pub is_patient: bool,
}

impl CallTimes {
    /// Creates the times of a call whose objective is its deadline.
    pub fn until(deadline_us: u64) -> Self {
        Self { objective_us: deadline_us, deadline_us, service_us: 0, is_patient: false }
    }
}

/// Position in the queue; the first is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    /// Whether the call runs only when no call of any rank can be in time ([`AdmissionPolicy::InTime`]).
    is_deferred: bool,
    rank: Rank,
    /// Whether the call will miss its objective ([`AdmissionPolicy::MeanTime`]).
    is_late: bool,
    arrival: u64,
}

impl QueueKey {
    fn new(rank: Rank, is_late: bool, arrival: u64) -> Self {
        Self { is_deferred: false, rank, is_late, arrival }
    }

    fn deferred(rank: Rank, arrival: u64) -> Self {
        Self { is_deferred: true, rank, is_late: true, arrival }
    }
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: CallId,
    times: CallTimes,
    arrived_us: u64,
    /// Time up to which the call may start with a good chance of being in time ([`AdmissionPolicy::InTime`]).
    latest_start_us: u64,
}

/// Rate limit of a target: calls are evenly spaced, with a small burst after an idle period.
#[derive(Debug, Clone, Copy)]
struct RateLimit {
    interval_us: u64,
    /// Time by which calls may run early after an idle period, in microseconds.
    burst_us: u64,
    /// Time at which the next call may run.
    next_us: u64,
    until_us: u64,
}

impl RateLimit {
    fn is_over(&self, now_us: u64) -> bool {
        now_us >= self.until_us
    }

    fn is_due(&self, now_us: u64) -> bool {
        self.is_over(now_us) || now_us >= self.next_us
    }

    fn take(&mut self, now_us: u64) {
        self.next_us = self.next_us.max(now_us.saturating_sub(self.burst_us)) + self.interval_us;
    }
}

/// Whether new and waiting calls are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Acceptance {
    Open,
    /// New calls are refused; waiting calls may still run until this time, in microseconds.
    Draining(u64),
}

/// Admission control of one target. All times are in microseconds on one monotonic clock.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    policy: AdmissionPolicy,
    running: u32,
    waiting: BTreeMap<QueueKey, Waiting>,
    queue_keys: HashMap<CallId, QueueKey>,
    arrivals: u64,
    releases: u64,
    service_us: u64,
    acceptance: Acceptance,
    /// Limit while the target is cold.
    rate_limit: Option<RateLimit>,
    /// Limit that the target states.
    stated_limit: Option<RateLimit>,
    /// Moving average of the wait of each rank, in microseconds.
    average_waits: HashMap<Rank, u64>,
    /// Service times of routes; learnt under [`AdmissionPolicy::InTime`] only, as are the fields that follow.
    service_times: ServiceTimes,
    /// Average service time of all calls, slower to follow than `service_us`.
    steady_service_us: f64,
    reserve: SlotReserve,
    /// Time at which the next refused call of each rank is asked to return.
    next_returns: HashMap<Rank, u64>,
}

impl Admission {
    /// Creates an admission control without calls.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            policy: AdmissionPolicy::default(),
            running: 0,
            waiting: BTreeMap::new(),
            queue_keys: HashMap::new(),
            arrivals: 0,
            releases: 0,
            service_us: 0,
            acceptance: Acceptance::Open,
            rate_limit: None,
            stated_limit: None,
            average_waits: HashMap::new(),
            service_times: ServiceTimes::default(),
            steady_service_us: 0.0,
            reserve: SlotReserve::default(),
            next_returns: HashMap::new(),
        }
    }

    /// Sets the policy for calls that arrive from now on.
    pub fn set_policy(&mut self, policy: AdmissionPolicy) {
        self.policy = policy;
    }

    /// Limits the rate of calls to a cold target until `until_us`.
    pub fn set_rate_limit(&mut self, pace: impl Into<WarmupPace>, until_us: u64, now_us: u64) {
        let pace = pace.into();
        let interval = (SECOND_US / pace.rate.get().max(f64::MIN_POSITIVE)).min(SECOND_US);
        let burst_us = (interval * pace.burst) as u64;
        let rested = now_us.saturating_sub(burst_us);
        let next_us = self.rate_limit.map_or(rested, |limit| limit.next_us);
        self.rate_limit =
            Some(RateLimit { interval_us: interval as u64, burst_us, next_us, until_us });
    }

    /// Removes the rate limit.
    pub fn clear_rate_limit(&mut self) {
        self.rate_limit = None;
    }

    /// Limits the rate of calls to what the target states that it takes from all nodes, until it states another limit.
    pub fn set_stated_limit(&mut self, rate: Option<PerSecond>, now_us: u64) {
        let earlier = self.stated_limit;
        self.stated_limit = rate.map(|rate| {
            let interval_us = (SECOND_US / rate.get()).min(MAX_INTERVAL_US) as u64;
            let next_us = earlier.map_or(now_us, |limit| limit.next_us.min(now_us + interval_us));
            RateLimit { interval_us, burst_us: STATED_BURST_US, next_us, until_us: u64::MAX }
        });
    }

    /// Returns the rate limits that hold at present.
    fn rate_limits(&self, now_us: u64) -> impl Iterator<Item = &RateLimit> {
        let limits = self.rate_limit.iter().chain(&self.stated_limit);
        limits.filter(move |limit| !limit.is_over(now_us))
    }

    /// Returns whether the rate limits let a call run now.
    fn is_due(&self, now_us: u64) -> bool {
        self.rate_limits(now_us).all(|limit| limit.is_due(now_us))
    }

    /// Returns whether the rate of calls is limited.
    pub fn is_rate_limited(&self, now_us: u64) -> bool {
        self.rate_limits(now_us).next().is_some()
    }

    /// Returns when the rate limits next let a waiting call run, if calls wait for nothing else.
    pub fn next_release(&self, now_us: u64) -> Option<u64> {
        if self.waiting.is_empty() || self.running >= self.limits.slots {
            return None;
        }
        let limits = self.rate_limits(now_us).filter(|limit| !limit.is_due(now_us));
        limits.map(|limit| limit.next_us.min(limit.until_us)).max()
    }

    /// Returns the number of calls that may run at a time under the rate limits.
    pub fn effective_slots(&self, now_us: u64) -> u32 {
        let slots = self.limits.slots;
        let sustainable = |limit: &RateLimit| match self.service_us {
            0 => slots / COLD_DIVISOR,
            service_us => (service_us / limit.interval_us.max(1)) as u32,
        };
        let least = self.rate_limits(now_us).map(sustainable).min();
        least.map_or(slots, |least| least.clamp(1, slots.max(1)))
    }

    /// Sets new limits; running calls are not affected.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Refuses new calls from now on, and waiting calls from `until_us` on.
    ///
    /// If this was called before, the earlier time holds.
    pub fn close(&mut self, until_us: u64) {
        let until_us = match self.acceptance {
            Acceptance::Open => until_us,
            Acceptance::Draining(earlier) => earlier.min(until_us),
        };
        self.acceptance = Acceptance::Draining(until_us);
    }

    /// Accepts calls again after [`Self::close`].
    pub fn open(&mut self) {
        self.acceptance = Acceptance::Open;
    }

    /// Refuses all waiting calls because the target no longer accepts calls.
    fn release_closed(&mut self) -> Vec<Release> {
        self.queue_keys.clear();
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

    /// Decides on an arriving call whose objective is its deadline.
    pub fn arrive(&mut self, id: CallId, rank: Rank, deadline_us: u64, now_us: u64) -> Decision {
        self.arrive_with_times(id, rank, CallTimes::until(deadline_us), now_us)
    }

    /// Decides on an arriving call of a route.
    pub fn arrive_on_route(
        &mut self,
        id: CallId,
        rank: Rank,
        route: &SmolStr,
        times: CallTimes,
        now_us: u64,
    ) -> Decision {
        match self.policy {
            AdmissionPolicy::MeanTime => self.arrive_with_times(id, rank, times, now_us),
            AdmissionPolicy::InTime => self.arrive_in_time(id, rank, route, times, now_us),
        }
    }

    /// Decides on an arriving call by [`AdmissionPolicy::MeanTime`].
    pub fn arrive_with_times(
        &mut self,
        id: CallId,
        rank: Rank,
        times: CallTimes,
        now_us: u64,
    ) -> Decision {
        let is_due = self.is_due(now_us);
        match () {
            () if self.acceptance != Acceptance::Open => {
                return Decision::Refuse(ResultCode::Draining);
            }
            () if now_us >= times.deadline_us => {
                return Decision::Refuse(ResultCode::DeadlineBefore);
            }
            () if self.running < self.limits.slots && self.waiting.is_empty() && is_due => {
                self.start(rank, now_us);
                return Decision::Run;
            }
            () if now_us + self.expected_wait(rank, now_us) >= times.deadline_us => {
                return Decision::Refuse(ResultCode::DeadlineBefore);
            }
            () => {}
        }
        let is_late = self.would_miss_objective(rank, times, now_us);
        if is_late && !times.is_patient && !self.has_room_for_late_call(rank, now_us) {
            return Decision::Refuse(ResultCode::Overloaded);
        }
        self.arrivals += 1;
        let key = QueueKey::new(rank, is_late && times.is_patient, self.arrivals);
        let latest_start_us = times.objective_us.saturating_sub(self.expected_service(times));
        self.enqueue(key, Waiting { id, times, arrived_us: now_us, latest_start_us })
    }

    /// Adds a call to the queue; if that is full, the call displaces the last one if that has a worse rank.
    fn enqueue(&mut self, key: QueueKey, call: Waiting) -> Decision {
        let is_full = self.waiting.len() >= self.limits.queue as usize;
        let displaced = match self.waiting.last_key_value() {
            _ if !is_full => None,
            Some((last, waiting))
                if (last.is_deferred, last.rank) > (key.is_deferred, key.rank) =>
            {
                Some((*last, waiting.id))
            }
            _ => return Decision::Refuse(ResultCode::QueueFull),
        };
        if let Some((key, id)) = displaced {
            self.waiting.remove(&key);
            self.queue_keys.remove(&id);
        }
        self.queue_keys.insert(call.id, key);
        self.waiting.insert(key, call);
        Decision::Wait { displaced: displaced.map(|(_, id)| id) }
    }

    /// Returns whether a call would miss its objective behind the calls that are served before it.
    ///
    /// Calls of better ranks that arrive later are served first, so the recent waits of the rank count as well as the
    /// number of calls ahead.
    fn would_miss_objective(&self, rank: Rank, times: CallTimes, now_us: u64) -> bool {
        let ahead = self.waiting.range(..=QueueKey::new(rank, false, u64::MAX)).count();
        let average_wait =
            self.average_waits.get(&rank).copied().filter(|_| ahead > 0).unwrap_or(0);
        let wait_us = self.wait_behind(ahead, now_us).max(average_wait);
        let answered_us = now_us + wait_us + self.expected_service(times);
        times.objective_us < times.deadline_us && answered_us >= times.objective_us
    }

    /// Returns whether few enough calls of a rank wait for one more that will miss its objective.
    fn has_room_for_late_call(&self, rank: Rank, now_us: u64) -> bool {
        let (first, last) = (QueueKey::new(rank, false, 0), QueueKey::new(rank, true, u64::MAX));
        let same_rank = self.waiting.range(first..=last).count();
        let allowed = match self.is_rate_limited(now_us) {
            // Another target may be warm or have no limit, so this one queues no call past its objective.
            true => 0,
            false => (self.limits.slots / LATE_CALLS_DIVISOR).max(1) as usize,
        };
        same_rank < allowed
    }

    /// Updates the average wait of a rank.
    fn record_wait(&mut self, rank: Rank, waited_us: u64) {
        let average = self.average_waits.entry(rank).or_insert(waited_us);
        *average = (*average * (WAIT_DIVISOR - 1) + waited_us) / WAIT_DIVISOR;
    }

    /// Returns whether more calls wait than there are slots.
    fn has_backlog(&self) -> bool {
        self.waiting.len() > self.limits.slots as usize
    }

    /// Returns the expected service time of a call; the average of the target if the call has none.
    fn expected_service(&self, times: CallTimes) -> u64 {
        match times.service_us {
            0 => self.service_us,
            service_us => service_us,
        }
    }

    /// Counts a call that starts to run.
    fn start(&mut self, rank: Rank, now_us: u64) {
        self.running += 1;
        self.reserve.record_start(rank);
        let limits = self.rate_limit.iter_mut().chain(&mut self.stated_limit);
        limits.filter(|limit| !limit.is_over(now_us)).for_each(|limit| limit.take(now_us));
    }

    /// Records that a running call has ended, and releases waiting calls.
    ///
    /// A service time of zero, of a call that never reached the target, leaves the average as it is.
    pub fn finish(&mut self, service_us: u64, now_us: u64) -> Vec<Release> {
        self.running = self.running.saturating_sub(1);
        self.service_us = match self.service_us {
            average if service_us == 0 => average,
            0 => service_us,
            average => (average * (SERVICE_TIME_DIVISOR - 1) + service_us) / SERVICE_TIME_DIVISOR,
        };
        self.release(now_us)
    }

    /// Records that a running call of a route has ended, and releases waiting calls.
    ///
    /// `answered` is the route if the target responded; only then the time counts as the route's service time.
    pub fn finish_on_route(
        &mut self,
        rank: Rank,
        answered: Option<&SmolStr>,
        service_us: u64,
        now_us: u64,
    ) -> Vec<Release> {
        self.reserve.record_end(rank);
        if self.policy == AdmissionPolicy::InTime {
            self.record_service(answered, service_us);
        }
        self.finish(service_us, now_us)
    }

    /// Gives free slots to waiting calls, and drops those whose answers would come too late.
    pub fn release(&mut self, now_us: u64) -> Vec<Release> {
        if matches!(self.acceptance, Acceptance::Draining(until_us) if now_us >= until_us) {
            return self.release_closed();
        }
        match self.policy {
            AdmissionPolicy::MeanTime => self.release_by_mean(now_us),
            AdmissionPolicy::InTime => self.release_in_time(now_us),
        }
    }

    /// Releases waiting calls by [`AdmissionPolicy::MeanTime`].
    fn release_by_mean(&mut self, now_us: u64) -> Vec<Release> {
        let mut released = Vec::new();
        while self.running < self.limits.slots && self.is_due(now_us) {
            let Some(key) = self.next_queue_key() else { break };
            let Some(call) = self.waiting.remove(&key) else { break };
            self.queue_keys.remove(&call.id);
            let answered_us = now_us + self.expected_service(call.times);
            let QueueKey { rank, is_late, arrival, .. } = key;
            if !is_late {
                self.record_wait(rank, now_us.saturating_sub(call.arrived_us));
            }
            let is_dropped = self.has_backlog() && !call.times.is_patient;
            match () {
                () if answered_us >= call.times.deadline_us => {
                    released.push(Release::Expired(call.id));
                }
                () if !is_late && answered_us >= call.times.objective_us && is_dropped => {
                    released.push(Release::Expired(call.id));
                }
                () if !is_late && answered_us >= call.times.objective_us => {
                    let key = QueueKey::new(rank, true, arrival);
                    self.waiting.insert(key, call);
                    self.queue_keys.insert(call.id, key);
                }
                () => {
                    self.start(rank, now_us);
                    self.releases += 1;
                    released.push(Release::Run(call.id));
                }
            }
        }
        released
    }

    /// Removes a waiting call; returns whether it was waiting.
    pub fn cancel(&mut self, id: CallId) -> bool {
        match self.queue_keys.remove(&id) {
            Some(key) => self.waiting.remove(&key).is_some(),
            None => false,
        }
    }

    /// Returns the queue position that is served next.
    fn next_queue_key(&self) -> Option<QueueKey> {
        let first = self.waiting.first_key_value().map(|(key, _)| *key);
        match self.releases % FAIRNESS_INTERVAL {
            rest if rest == FAIRNESS_INTERVAL - 1 => {
                self.waiting.keys().copied().min_by_key(|key| key.arrival)
            }
            _ => first,
        }
    }

    /// Estimates how long a call of `rank` waits before it runs, in microseconds, if it arrives last of its rank.
    pub fn expected_wait(&self, rank: Rank, now_us: u64) -> u64 {
        self.wait_behind(self.waiting.range(..=QueueKey::new(rank, true, u64::MAX)).count(), now_us)
    }

    /// Estimates how long a call with `ahead` others before it waits, in microseconds.
    ///
    /// A cold target serves its queue at its rate limit until it is warm, and then with all slots.
    fn wait_behind(&self, ahead: usize, now_us: u64) -> u64 {
        let ahead = ahead as u64 + 1;
        let by_slots = ahead * self.service_us / u64::from(self.limits.slots.max(1));
        let by_rate = |limit: &RateLimit| {
            let until_over = (limit.until_us - now_us).saturating_add(by_slots);
            ahead.saturating_mul(limit.interval_us).min(until_over)
        };
        self.rate_limits(now_us).map(by_rate).fold(by_slots, u64::max)
    }
}
