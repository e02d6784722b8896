//! Admission of calls to one target, for tasks that wait.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kingcuplift_core::{Rank, ResultCode};
use kingcuplift_traffic::{
    Admission, CallId, ConcurrencyLimit, Decision, Limits, Release, Response,
};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::clock::monotonic_us;

/// Answer to a waiting call.
type Verdict = Result<(), ResultCode>;

#[derive(Debug)]
struct State {
    admission: Admission,
    /// Calls that the target bears at present, at most its slots.
    bearing: ConcurrencyLimit,
    queue: u32,
    waiters: HashMap<CallId, oneshot::Sender<Verdict>>,
    next: CallId,
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
    learnt: Option<(SmolStr, Response)>,
}

impl Permit {
    /// Gives the slot back and tells what the target made of the call.
    pub(crate) fn finish(mut self, route: &SmolStr, response: Response) {
        self.learnt = Some((route.clone(), response));
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
    pub(crate) fn new(limits: Limits) -> Self {
        let bearing = ConcurrencyLimit::new(limits.slots);
        let first = Limits { slots: bearing.limit(), queue: limits.queue };
        let state = State {
            admission: Admission::new(first),
            bearing,
            queue: limits.queue,
            waiters: HashMap::new(),
            next: 0,
        };
        Self { state: Mutex::new(state) }
    }

    pub(crate) fn set_limits(&self, limits: Limits) {
        let mut state = self.lock();
        state.bearing.set_slots(limits.slots);
        state.queue = limits.queue;
        state.follow_bearing();
        let released = state.admission.release(monotonic_us());
        state.dispatch(released);
    }

    /// Refuses all calls that arrive from now on.
    pub(crate) fn close(&self) {
        self.lock().admission.close();
    }

    /// Admits calls again.
    pub(crate) fn open(&self) {
        self.lock().admission.open();
    }

    /// Returns whether no call runs or waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().admission.is_idle()
    }

    /// Waits for a slot until the call's time is up.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        rank: Rank,
        time: Duration,
    ) -> Result<Permit, ResultCode> {
        let Some(mut place) = self.arrive(rank, time)? else {
            return Ok(self.permit());
        };
        let verdict = tokio::time::timeout(time, &mut place.verdict).await;
        let verdict = match verdict {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) => Err(ResultCode::Displaced),
            Err(_) => return Err(ResultCode::DeadlineBefore),
        };
        place.is_settled = true;
        verdict.map(|()| self.permit())
    }

    /// Takes a slot at once (`None`) or a place in the queue.
    fn arrive(self: &Arc<Self>, rank: Rank, time: Duration) -> Result<Option<Place>, ResultCode> {
        let now = monotonic_us();
        let mut state = self.lock();
        state.next += 1;
        let id = state.next;
        match state.admission.arrive(id, rank, now + time.as_micros() as u64, now) {
            Decision::Run => Ok(None),
            Decision::Refuse(code) => Err(code),
            Decision::Wait { displaced } => {
                if let Some(loser) = displaced.and_then(|loser| state.waiters.remove(&loser)) {
                    let _ = loser.send(Err(ResultCode::Displaced));
                }
                let (sender, verdict) = oneshot::channel();
                state.waiters.insert(id, sender);
                Ok(Some(Place { gate: Arc::clone(self), id, verdict, is_settled: false }))
            }
        }
    }

    fn permit(self: &Arc<Self>) -> Permit {
        Permit { gate: Arc::clone(self), began: Instant::now(), learnt: None }
    }

    /// Takes a slot back; a call that never reached the target teaches nothing.
    fn finish(&self, service: Duration, learnt: Option<(SmolStr, Response)>) {
        let (time_us, now_us) = (service.as_micros() as u64, monotonic_us());
        let mut state = self.lock();
        if let Some((route, response)) = learnt {
            let running = state.admission.running();
            state.bearing.record(&route, response, time_us, running, now_us);
            state.follow_bearing();
        }
        let released = state.admission.finish(time_us, now_us);
        state.dispatch(released);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Makes admission follow what the target bears.
    fn follow_bearing(&mut self) {
        let limits = Limits { slots: self.bearing.limit(), queue: self.queue };
        self.admission.set_limits(limits);
    }

    /// Tells waiting calls what became of them.
    fn dispatch(&mut self, released: Vec<Release>) {
        for release in released {
            let (id, verdict) = match release {
                Release::Run(id) => (id, Ok(())),
                Release::Expired(id) => (id, Err(ResultCode::DeadlineBefore)),
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
