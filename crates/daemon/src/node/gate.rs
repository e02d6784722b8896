//! Admission of calls to one target, for tasks that wait.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kingcuplift_core::{PerSecond, Rank, ResultCode};
use kingcuplift_traffic::{
    Admission, AdmissionLimits, CallId, CallOutcome, CallTimes, ConcurrencyLimit, Decision,
    LoadReport, Release,
};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::clock::monotonic_us;
use crate::node::forward::Refusal;

/// Weight of the newest answer in a route's usual time: one in this many.
const USUAL_DIVISOR: u64 = 16;
/// Routes whose usual time is remembered.
const MAX_ROUTES: usize = 1_024;

/// Answer to a waiting call.
type Verdict = Result<(), ResultCode>;

/// Calls that a target runs at a time.
#[derive(Debug)]
enum Bearing {
    /// As many as it states.
    Stated(u32),
    /// As its own answers show.
    Learnt(ConcurrencyLimit),
}

impl Bearing {
    fn limit(&self) -> u32 {
        match self {
            Self::Stated(slots) => *slots,
            Self::Learnt(limit) => limit.limit(),
        }
    }
}

#[derive(Debug)]
struct State {
    admission: Admission,
    bearing: Bearing,
    queue: u32,
    waiters: HashMap<CallId, oneshot::Sender<Verdict>>,
    next: CallId,
    /// Usual times of routes at this target, in microseconds.
    usual_us: HashMap<SmolStr, u64>,
    /// Whether a task waits for the rate of a cold target.
    is_pacing: bool,
}

/// Admission state of one target.
#[derive(Debug)]
pub(crate) struct Gate {
    state: Mutex<State>,
}

/// A slot of the target, given back when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: Arc<Gate>,
    began: Instant,
    learnt: Option<(SmolStr, CallOutcome)>,
}

impl Permit {
    /// Gives the slot back and tells what the target made of the call.
    pub(crate) fn finish(mut self, route: &SmolStr, response: CallOutcome) {
        self.learnt = Some((route.clone(), response));
    }

    /// Returns the time since the call got its slot.
    pub(crate) fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }
}

/// A place in the queue, given back when dropped.
#[derive(Debug)]
struct Place {
    gate: Arc<Gate>,
    id: CallId,
    verdict: oneshot::Receiver<Verdict>,
    is_settled: bool,
}

impl Gate {
    /// Makes the gate of a target that says how many calls it runs at a time.
    pub(crate) fn stated(limits: AdmissionLimits) -> Self {
        Self::with(limits, Bearing::Stated(limits.slots))
    }

    /// Makes the gate of a target whose own answers show how many calls it bears.
    pub(crate) fn learning(limits: AdmissionLimits) -> Self {
        Self::with(limits, Bearing::Learnt(ConcurrencyLimit::new(limits.slots)))
    }

    fn with(limits: AdmissionLimits, bearing: Bearing) -> Self {
        let first = AdmissionLimits { slots: bearing.limit(), queue: limits.queue };
        let state = State {
            admission: Admission::new(first),
            bearing,
            queue: limits.queue,
            waiters: HashMap::new(),
            next: 0,
            usual_us: HashMap::new(),
            is_pacing: false,
        };
        Self { state: Mutex::new(state) }
    }

    pub(crate) fn set_limits(self: &Arc<Self>, limits: AdmissionLimits) {
        let mut state = self.lock();
        match &mut state.bearing {
            Bearing::Stated(slots) => *slots = limits.slots,
            Bearing::Learnt(limit) => limit.set_slots(limits.slots),
        }
        state.queue = limits.queue;
        state.follow_bearing();
        self.settle(&mut state);
    }

    /// Gives free slots to waiting calls and refuses those that must not wait any longer.
    fn settle(self: &Arc<Self>, state: &mut State) {
        let released = state.admission.release(monotonic_us());
        state.dispatch(released);
        self.follow_pace(state);
    }

    /// Limits the rate of calls for a time, because the target is cold.
    pub(crate) fn set_pace(&self, rate: PerSecond, time: Duration) {
        let now = monotonic_us();
        self.lock().admission.set_rate_limit(rate, now + time.as_micros() as u64, now);
    }

    /// Ends the limit on the rate of calls.
    pub(crate) fn clear_pace(&self) {
        let mut state = self.lock();
        state.admission.clear_rate_limit();
        let released = state.admission.release(monotonic_us());
        state.dispatch(released);
    }

    /// Refuses all calls that arrive from now on, and after `linger` those that wait.
    pub(crate) fn close(self: &Arc<Self>, linger: Duration) {
        let mut state = self.lock();
        state.admission.close(monotonic_us() + linger.as_micros() as u64);
        if state.admission.waiting() == 0 {
            return;
        }
        drop(state);
        let gate = Arc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(linger).await;
            gate.settle(&mut gate.lock());
        });
    }

    /// Admits calls again.
    pub(crate) fn open(&self) {
        self.lock().admission.open();
    }

    /// Returns whether no call runs or waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().admission.is_idle()
    }

    /// Returns the load of the target.
    pub(crate) fn load(&self) -> LoadReport {
        let state = self.lock();
        let waiting = state.admission.waiting() as u32;
        LoadReport {
            busy: state.admission.running() + waiting,
            limit: state.admission.effective_slots(monotonic_us()),
        }
    }

    /// Waits for a slot until the call's time is up.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        route: &SmolStr,
        rank: Rank,
        time: Duration,
        objective: Duration,
    ) -> Result<Permit, Refusal> {
        let Some(mut place) = self.arrive(route, rank, time, objective)? else {
            return Ok(self.permit());
        };
        // Later than this the target could not answer in time.
        let wait = time.saturating_sub(self.usual(route));
        let verdict = tokio::time::timeout(wait, &mut place.verdict).await;
        let verdict = match verdict {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) => Err(ResultCode::Displaced),
            Err(_) => return Err(self.refusal(ResultCode::DeadlineBefore, rank)),
        };
        place.is_settled = true;
        verdict.map(|()| self.permit()).map_err(|code| self.refusal(code, rank))
    }

    /// Takes a slot at once (`None`) or a place in the queue.
    fn arrive(
        self: &Arc<Self>,
        route: &SmolStr,
        rank: Rank,
        time: Duration,
        objective: Duration,
    ) -> Result<Option<Place>, Refusal> {
        let now = monotonic_us();
        let mut state = self.lock();
        let times = CallTimes {
            objective_us: now + objective.as_micros() as u64,
            deadline_us: now + time.as_micros() as u64,
            service_us: state.usual_us.get(route).copied().unwrap_or(0),
        };
        state.next += 1;
        let id = state.next;
        match state.admission.arrive_with_times(id, rank, times, now) {
            Decision::Run => Ok(None),
            Decision::Refuse(code) => {
                let wait = state.admission.expected_wait(rank, now);
                Err(Refusal { code, room: Some(Duration::from_micros(wait)) })
            }
            Decision::Wait { displaced } => {
                if let Some(loser) = displaced.and_then(|loser| state.waiters.remove(&loser)) {
                    let _ = loser.send(Err(ResultCode::Displaced));
                }
                let (sender, verdict) = oneshot::channel();
                state.waiters.insert(id, sender);
                self.follow_pace(&mut state);
                Ok(Some(Place { gate: Arc::clone(self), id, verdict, is_settled: false }))
            }
        }
    }

    /// Returns how long calls of a route usually take here.
    fn usual(&self, route: &SmolStr) -> Duration {
        Duration::from_micros(self.lock().usual_us.get(route).copied().unwrap_or(0))
    }

    fn refusal(&self, code: ResultCode, rank: Rank) -> Refusal {
        let wait = self.lock().admission.expected_wait(rank, monotonic_us());
        Refusal { code, room: Some(Duration::from_micros(wait)) }
    }

    fn permit(self: &Arc<Self>) -> Permit {
        Permit { gate: Arc::clone(self), began: Instant::now(), learnt: None }
    }

    /// Takes a slot back; a call that never reached the target teaches nothing.
    fn finish(self: &Arc<Self>, service: Duration, learnt: Option<(SmolStr, CallOutcome)>) {
        let (time_us, now_us) = (service.as_micros() as u64, monotonic_us());
        let mut state = self.lock();
        let running = state.admission.running();
        if let Some((route, CallOutcome::Answered)) = &learnt {
            state.learn_usual(route, time_us);
        }
        if let (Bearing::Learnt(limit), Some((route, response))) = (&mut state.bearing, learnt) {
            limit.record(&route, response, time_us, running, now_us);
            state.follow_bearing();
        }
        let released = state.admission.finish(time_us, now_us);
        state.dispatch(released);
        self.follow_pace(&mut state);
    }

    /// Starts a task that lets calls run at the rate of a cold target, while any wait for that.
    fn follow_pace(self: &Arc<Self>, state: &mut State) {
        let Some(due) = state.admission.next_release(monotonic_us()) else { return };
        if std::mem::replace(&mut state.is_pacing, true) {
            return;
        }
        let gate = Arc::clone(self);
        tokio::task::spawn_local(async move {
            let mut due = Some(due);
            while let Some(at) = due {
                let wait = Duration::from_micros(at.saturating_sub(monotonic_us()));
                tokio::time::sleep(wait).await;
                due = gate.release();
            }
        });
    }

    /// Gives free slots to waiting calls and returns when the rate lets the next one run.
    fn release(&self) -> Option<u64> {
        let mut state = self.lock();
        let released = state.admission.release(monotonic_us());
        state.dispatch(released);
        let due = state.admission.next_release(monotonic_us());
        state.is_pacing = due.is_some();
        due
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Learns how long calls of a route take here.
    fn learn_usual(&mut self, route: &SmolStr, time_us: u64) {
        if self.usual_us.len() >= MAX_ROUTES {
            self.usual_us.clear();
        }
        let usual = self.usual_us.entry(route.clone()).or_insert(time_us);
        *usual = (*usual * (USUAL_DIVISOR - 1) + time_us) / USUAL_DIVISOR;
    }

    /// Makes admission follow what the target bears.
    fn follow_bearing(&mut self) {
        let limits = AdmissionLimits { slots: self.bearing.limit(), queue: self.queue };
        self.admission.set_limits(limits);
    }

    /// Tells waiting calls what became of them.
    fn dispatch(&mut self, released: Vec<Release>) {
        for release in released {
            let (id, verdict) = match release {
                Release::Run(id) => (id, Ok(())),
                Release::Expired(id) => (id, Err(ResultCode::DeadlineBefore)),
                Release::Closed(id) => (id, Err(ResultCode::Draining)),
            };
            if let Some(waiter) = self.waiters.remove(&id) {
                // A caller that has gone gives the slot back through its place.
                let _ = waiter.send(verdict);
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let mut state = self.gate.lock();
        state.waiters.remove(&self.id);
        let waited = state.admission.cancel(self.id);
        let has_slot = !waited && matches!(self.verdict.try_recv(), Ok(Ok(())));
        drop(state);
        if has_slot {
            self.gate.finish(Duration::ZERO, None);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.finish(self.began.elapsed(), self.learnt.take());
    }
}
