//! Asynchronous admission control for one target: tasks await a slot of the target.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kingcuplift_core::{PerSecond, Rank, ResultCode};
use kingcuplift_traffic::{
    Admission, AdmissionLimits, AdmissionPolicy, CallId, CallOutcome, CallTimes, ConcurrencyLimit,
    Decision, LoadReport, Release, ServerLoad, ServerLoadTracker, WarmupPace,
};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::clock::monotonic_us;
use crate::metrics;
use crate::node::call::{Call, CallError};

/// Inverse weight of the newest sample in a route's average service time.
const AVERAGE_DIVISOR: u64 = 16;
/// Maximum number of routes whose average service time is kept.
const MAX_ROUTES: usize = 1_024;

/// Result that is sent to a queued call.
type AdmissionResult = Result<(), ResultCode>;

/// Limit on the calls that a target runs concurrently.
#[derive(Debug)]
enum SlotLimit {
    /// Number of slots that the target states.
    Fixed(u32),
    /// Limit that adapts to the target's responses.
    Adaptive(ConcurrencyLimit),
}

impl SlotLimit {
    fn limit(&self) -> u32 {
        match self {
            Self::Fixed(slots) => *slots,
            Self::Adaptive(limit) => limit.limit(),
        }
    }
}

#[derive(Debug)]
struct State {
    admission: Admission,
    slot_limit: SlotLimit,
    /// Number of slots that the target has announced.
    announced: u32,
    /// What the target's statements of its load say about free slots.
    server_load: ServerLoadTracker,
    /// Whether a task waits for a statement of load to expire.
    has_expiry_task: bool,
    queue_limit: u32,
    waiters: HashMap<CallId, oneshot::Sender<AdmissionResult>>,
    next_id: CallId,
    /// Average service times of routes at this target, in microseconds.
    average_us: HashMap<SmolStr, u64>,
    /// Whether a task releases queued calls at the rate limit of a cold target.
    has_release_task: bool,
}

/// Admission control for one target.
#[derive(Debug)]
pub(crate) struct AdmissionController {
    state: Mutex<State>,
}

/// A slot of the target, released when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    controller: Arc<AdmissionController>,
    rank: Rank,
    started_at: Instant,
    observed: Option<(SmolStr, CallOutcome)>,
}

impl Permit {
    /// Releases the slot and records how the target responded.
    pub(crate) fn finish(mut self, route: &SmolStr, outcome: CallOutcome) {
        self.observed = Some((route.clone(), outcome));
    }

    /// Returns the time since the call was given its slot.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }
}

/// A queued call, removed from the queue when dropped.
#[derive(Debug)]
struct QueueEntry {
    controller: Arc<AdmissionController>,
    id: CallId,
    rank: Rank,
    /// How long the call may wait, if the admission policy says so, and the result after that.
    limit: Option<(Duration, ResultCode)>,
    result: oneshot::Receiver<AdmissionResult>,
    is_decided: bool,
}

impl AdmissionController {
    /// Creates the admission control of a target that states its number of slots.
    pub(crate) fn with_fixed_limit(limits: AdmissionLimits) -> Self {
        Self::new(limits, SlotLimit::Fixed(limits.slots))
    }

    /// Creates the admission control of a target whose concurrency limit adapts to its responses.
    pub(crate) fn with_adaptive_limit(limits: AdmissionLimits) -> Self {
        Self::new(limits, SlotLimit::Adaptive(ConcurrencyLimit::new(limits.slots)))
    }

    fn new(limits: AdmissionLimits, slot_limit: SlotLimit) -> Self {
        let first = AdmissionLimits { slots: slot_limit.limit(), queue: limits.queue };
        let state = State {
            admission: Admission::new(first),
            slot_limit,
            announced: limits.slots,
            server_load: ServerLoadTracker::default(),
            has_expiry_task: false,
            queue_limit: limits.queue,
            waiters: HashMap::new(),
            next_id: 0,
            average_us: HashMap::new(),
            has_release_task: false,
        };
        Self { state: Mutex::new(state) }
    }

    pub(crate) fn set_limits(self: &Arc<Self>, limits: AdmissionLimits) {
        let mut state = self.lock();
        match &mut state.slot_limit {
            SlotLimit::Fixed(slots) => *slots = limits.slots,
            SlotLimit::Adaptive(limit) => limit.set_slots(limits.slots),
        }
        state.announced = limits.slots;
        state.queue_limit = limits.queue;
        state.apply_slot_limit();
        self.dispatch_queue(&mut state);
    }

    /// Sets how calls are judged that find no free slot.
    pub(crate) fn set_policy(&self, policy: AdmissionPolicy) {
        self.lock().admission.set_policy(policy);
    }

    /// Gives free slots to queued calls and refuses those that must not wait any longer.
    fn dispatch_queue(self: &Arc<Self>, state: &mut State) {
        let released = state.admission.release(monotonic_us());
        state.dispatch(released);
        self.schedule_release(state);
    }

    /// Limits the pace of calls for `time`, because the target is cold.
    pub(crate) fn set_rate_limit(&self, pace: WarmupPace, time: Duration) {
        let now = monotonic_us();
        self.lock().admission.set_rate_limit(pace, now + time.as_micros() as u64, now);
    }

    /// Limits the rate of calls to what the target states; `None` ends the limit.
    pub(crate) fn set_stated_limit(self: &Arc<Self>, rate: Option<PerSecond>) {
        let mut state = self.lock();
        state.admission.set_stated_limit(rate, monotonic_us());
        self.dispatch_queue(&mut state);
    }

    /// Applies the load that the target states in its answer to a call that began at `started_us`.
    ///
    /// Returns the number of calls that may run at a time if the statement begins to lower it.
    pub(crate) fn record_server_load(
        self: &Arc<Self>,
        load: ServerLoad,
        started_us: u64,
    ) -> Option<u32> {
        let now = monotonic_us();
        let mut state = self.lock();
        let before = state.server_load.limit(state.announced, now);
        state.server_load.record(load, started_us, now);
        let after = state.server_load.limit(state.announced, now);
        if before != after {
            state.apply_slot_limit();
            self.dispatch_queue(&mut state);
        }
        if after < state.announced {
            self.schedule_expiry(&mut state);
        }
        (before == state.announced && after < before).then_some(after)
    }

    /// Starts a task that raises the limit again when the statements of load expire, unless one runs.
    fn schedule_expiry(self: &Arc<Self>, state: &mut State) {
        let Some(due) = state.server_load.next_expiry(monotonic_us()) else { return };
        if std::mem::replace(&mut state.has_expiry_task, true) {
            return;
        }
        let controller = Arc::clone(self);
        tokio::task::spawn_local(async move {
            let mut due = Some(due);
            while let Some(at) = due {
                let wait = Duration::from_micros(at.saturating_sub(monotonic_us()));
                tokio::time::sleep(wait).await;
                due = controller.expire_server_load();
            }
        });
    }

    /// Applies the limit that holds now, and returns when the next statement of load expires if it lowers the limit.
    fn expire_server_load(self: &Arc<Self>) -> Option<u64> {
        let now = monotonic_us();
        let mut state = self.lock();
        state.apply_slot_limit();
        self.dispatch_queue(&mut state);
        let is_lowered = state.server_load.limit(state.announced, now) < state.announced;
        let due = state.server_load.next_expiry(now).filter(|_| is_lowered);
        state.has_expiry_task = due.is_some();
        due
    }

    /// Removes the rate limit of a cold target.
    pub(crate) fn clear_rate_limit(&self) {
        let mut state = self.lock();
        state.admission.clear_rate_limit();
        let released = state.admission.release(monotonic_us());
        state.dispatch(released);
    }

    /// Refuses all calls that arrive from now on, and after `grace` those that are still queued.
    pub(crate) fn close(self: &Arc<Self>, grace: Duration) {
        let mut state = self.lock();
        state.admission.close(monotonic_us() + grace.as_micros() as u64);
        if state.admission.waiting() == 0 {
            return;
        }
        drop(state);
        let controller = Arc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(grace).await;
            controller.dispatch_queue(&mut controller.lock());
        });
    }

    /// Admits calls again after [`Self::close`].
    pub(crate) fn open(&self) {
        self.lock().admission.open();
    }

    /// Returns whether no call is running or queued.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().admission.is_idle()
    }

    /// Returns how long work takes on the VM of the target by its latest answers, as a multiple of what is usual there.
    pub(crate) fn stated_pace(&self) -> Option<f64> {
        self.lock().server_load.pace(monotonic_us())
    }

    pub(crate) fn load(&self) -> LoadReport {
        let state = self.lock();
        let waiting = state.admission.waiting() as u32;
        LoadReport {
            busy: state.admission.running() + waiting,
            limit: state.admission.effective_slots(monotonic_us()),
        }
    }

    /// Waits for a slot, for as long as the target can still respond before the deadline.
    pub(crate) async fn acquire(self: &Arc<Self>, call: &Call) -> Result<Permit, CallError> {
        let arrived_at = Instant::now();
        let Some(mut entry) = self.try_acquire(call)? else {
            return Ok(self.permit(call.rank));
        };
        // With a slot later than this, the target could not respond before the deadline.
        let wait = call.time_left().saturating_sub(self.average_service_time(&call.route));
        let (wait, code) = entry.limit.unwrap_or((wait, ResultCode::DeadlineBefore));
        let result = tokio::time::timeout(wait, &mut entry.result).await;
        metrics::QUEUE_TIME.observe(arrived_at.elapsed().as_secs_f64());
        let result = match result {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(ResultCode::Displaced),
            Err(_) => return Err(self.refusal(code, call)),
        };
        entry.is_decided = true;
        result.map(|()| self.permit(call.rank)).map_err(|code| self.refusal(code, call))
    }

    /// Takes a free slot (`None`) or joins the queue.
    fn try_acquire(self: &Arc<Self>, call: &Call) -> Result<Option<QueueEntry>, CallError> {
        let (now, rank) = (monotonic_us(), call.rank);
        let mut state = self.lock();
        let times = state.call_times(call, now);
        state.next_id += 1;
        let id = state.next_id;
        match state.admission.arrive_on_route(id, rank, &call.route, times, now) {
            Decision::Run => {
                state.observe_running(now);
                Ok(None)
            }
            Decision::Refuse(code) => {
                let wait = state.admission.return_after(rank, times, now);
                Err(CallError { code, retry_after: Some(Duration::from_micros(wait)) })
            }
            Decision::Wait { displaced } => {
                if let Some(evicted) = displaced.and_then(|evicted| state.waiters.remove(&evicted))
                {
                    let _ = evicted.send(Err(ResultCode::Displaced));
                }
                let (sender, result) = oneshot::channel();
                state.waiters.insert(id, sender);
                self.schedule_release(&mut state);
                let code = match call.is_patient {
                    true => ResultCode::DeadlineBefore,
                    false => ResultCode::Overloaded,
                };
                let until = state.admission.waits_until(id);
                let limit = until.map(|at| (Duration::from_micros(at.saturating_sub(now)), code));
                let controller = Arc::clone(self);
                Ok(Some(QueueEntry { controller, id, rank, limit, result, is_decided: false }))
            }
        }
    }

    /// Returns the average service time of a route at this target, or zero if it is unknown.
    pub(crate) fn average_service_time(&self, route: &SmolStr) -> Duration {
        Duration::from_micros(self.lock().average_us.get(route).copied().unwrap_or(0))
    }

    /// Creates the error of a refused call, with the time after which there will be room for its rank.
    fn refusal(&self, code: ResultCode, call: &Call) -> CallError {
        let (mut state, now) = (self.lock(), monotonic_us());
        let times = state.call_times(call, now);
        let wait = state.admission.return_after(call.rank, times, now);
        CallError { code, retry_after: Some(Duration::from_micros(wait)) }
    }

    fn permit(self: &Arc<Self>, rank: Rank) -> Permit {
        Permit { controller: Arc::clone(self), rank, started_at: Instant::now(), observed: None }
    }

    /// Releases a slot; `observed` is `None` for a call that never reached the target.
    fn finish(
        self: &Arc<Self>,
        rank: Rank,
        service: Duration,
        observed: Option<(SmolStr, CallOutcome)>,
    ) {
        let (time_us, now_us) = (service.as_micros() as u64, monotonic_us());
        let mut state = self.lock();
        let running = state.admission.running();
        let answered = match &observed {
            Some((route, CallOutcome::Answered)) => Some(route.clone()),
            Some(_) | None => None,
        };
        if let Some(route) = &answered {
            state.record_service_time(route, time_us);
        }
        if let (SlotLimit::Adaptive(limit), Some((route, outcome))) =
            (&mut state.slot_limit, observed)
        {
            limit.record(&route, outcome, time_us, running, now_us);
            state.apply_slot_limit();
        }
        let released = state.admission.finish_on_route(rank, answered.as_ref(), time_us, now_us);
        state.dispatch(released);
        self.schedule_release(&mut state);
    }

    /// Starts a task that releases queued calls at the rate limit, unless one runs or none is needed.
    fn schedule_release(self: &Arc<Self>, state: &mut State) {
        let Some(due) = state.admission.next_release(monotonic_us()) else { return };
        if std::mem::replace(&mut state.has_release_task, true) {
            return;
        }
        let controller = Arc::clone(self);
        tokio::task::spawn_local(async move {
            let mut due = Some(due);
            while let Some(at) = due {
                let wait = Duration::from_micros(at.saturating_sub(monotonic_us()));
                tokio::time::sleep(wait).await;
                due = controller.release();
            }
        });
    }

    /// Gives free slots to queued calls and returns when the rate limit permits the next one.
    fn release(&self) -> Option<u64> {
        let mut state = self.lock();
        let released = state.admission.release(monotonic_us());
        state.dispatch(released);
        let due = state.admission.next_release(monotonic_us());
        state.has_release_task = due.is_some();
        due
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the times of a call on the clock of the admission.
    fn call_times(&self, call: &Call, now_us: u64) -> CallTimes {
        let objective = call.objective.saturating_duration_since(Instant::now());
        CallTimes {
            objective_us: now_us + objective.as_micros() as u64,
            deadline_us: now_us + call.time_left().as_micros() as u64,
            service_us: self.average_us.get(&call.route).copied().unwrap_or(0),
            is_patient: call.is_patient,
        }
    }

    /// Updates the average service time of a route.
    fn record_service_time(&mut self, route: &SmolStr, time_us: u64) {
        if self.average_us.len() >= MAX_ROUTES {
            self.average_us.clear();
        }
        let average = self.average_us.entry(route.clone()).or_insert(time_us);
        *average = (*average * (AVERAGE_DIVISOR - 1) + time_us) / AVERAGE_DIVISOR;
    }

    /// Applies the current limit on concurrent calls.
    fn apply_slot_limit(&mut self) {
        let bound = self.server_load.limit(self.announced, monotonic_us());
        let slots = self.slot_limit.limit().min(bound);
        self.admission.set_limits(AdmissionLimits { slots, queue: self.queue_limit });
    }

    /// Records the number of running calls, for comparison with what the target states.
    fn observe_running(&mut self, now_us: u64) {
        self.server_load.observe_running(self.admission.running(), now_us);
    }

    /// Notifies queued calls of their results.
    fn dispatch(&mut self, released: Vec<Release>) {
        self.observe_running(monotonic_us());
        for release in released {
            let (id, result) = match release {
                Release::Run(id) => (id, Ok(())),
                Release::Expired(id) => (id, Err(ResultCode::DeadlineBefore)),
                Release::Late(id) => (id, Err(ResultCode::Overloaded)),
                Release::Closed(id) => (id, Err(ResultCode::Draining)),
            };
            if let Some(waiter) = self.waiters.remove(&id) {
                // If the call was cancelled, dropping its queue entry releases the slot.
                let _ = waiter.send(result);
            }
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let mut state = self.controller.lock();
        state.waiters.remove(&self.id);
        let waited = state.admission.cancel(self.id);
        let has_slot = !waited && matches!(self.result.try_recv(), Ok(Ok(())));
        drop(state);
        if has_slot {
            self.controller.finish(self.rank, Duration::ZERO, None);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.controller.finish(self.rank, self.started_at.elapsed(), self.observed.take());
    }
}
