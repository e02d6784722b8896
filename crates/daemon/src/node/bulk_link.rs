//! Paces the bulk bodies of a node on the link of its VM.
//!
//! [`LinkSchedule`] decides; this module wakes the connections whose bodies wait and meters what connections write.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use kingcuplift_core::logger::LogRateLimiter;
use kingcuplift_core::{ByteSize, Event};
use kingcuplift_traffic::{
    Grant, LinkRate, LinkRefusal, LinkSchedule, LinkUsage, MAX_LINK_STALL, TransferId,
    TransferRequest,
};
use smol_str::SmolStr;

use crate::clock::{US_PER_MS, monotonic_ms, monotonic_us};
use crate::metrics;

/// Minimum time between two wake-ups, which is the resolution of the runtime's timers.
const MIN_WAKE_INTERVAL_US: u64 = US_PER_MS;
/// Rate limit of log lines on bulk calls that are refused.
const MAX_REFUSAL_LINES_PER_S: u32 = 2;
/// Rate limit of log lines on the learnt rate.
const MAX_RATE_LINES_PER_S: u32 = 1;

/// A bulk call that asks for a share of the link.
#[derive(Debug)]
pub(crate) struct BulkCall<'a> {
    pub(crate) route: &'a SmolStr,
    /// Expected size; `None` if nothing is known of it.
    pub(crate) size: Option<ByteSize>,
    /// Expected time until the body is there.
    pub(crate) service_time: Duration,
    /// Time by which the body should be sent.
    pub(crate) objective: Instant,
    /// Time after which nobody waits for the body.
    pub(crate) deadline: Instant,
    /// Whether the call is admitted if it only meets its deadline.
    pub(crate) is_patient: bool,
}

#[derive(Debug)]
struct State {
    schedule: LinkSchedule,
    /// Connections whose bodies wait.
    wakers: HashMap<TransferId, Waker>,
    /// Whether a task wakes the connections that wait.
    has_wake_task: bool,
}

/// Link of the VM, shared by all connections of the node.
#[derive(Debug)]
pub(crate) struct Link {
    state: Mutex<State>,
    /// Bytes written to connections that use the link.
    written: AtomicU64,
    /// Time for which such connections could not take more data, in microseconds.
    stalled_us: AtomicU64,
    refusal_limiter: LogRateLimiter,
    rate_limiter: LogRateLimiter,
}

impl Link {
    /// Creates a link of at most `bound`.
    pub(crate) fn new(bound: Option<LinkRate>) -> Self {
        let schedule = LinkSchedule::new(bound);
        Self {
            state: Mutex::new(State { schedule, wakers: HashMap::new(), has_wake_task: false }),
            written: AtomicU64::new(0),
            stalled_us: AtomicU64::new(0),
            refusal_limiter: LogRateLimiter::new(MAX_REFUSAL_LINES_PER_S),
            rate_limiter: LogRateLimiter::new(MAX_RATE_LINES_PER_S),
        }
    }

    /// Counts bytes that a connection has written.
    pub(crate) fn record_written(&self, bytes: usize) {
        self.written.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts the time for which a connection could not take more data, unless its reader must be the reason.
    pub(crate) fn record_stall(&self, time: Duration) {
        if time <= MAX_LINK_STALL {
            self.stalled_us.fetch_add(time.as_micros() as u64, Ordering::Relaxed);
        }
    }

    /// Returns the expected wait of a bulk body that is admitted now.
    pub(crate) fn expected_wait(&self) -> Duration {
        self.lock().schedule.expected_wait(monotonic_us())
    }

    /// Admits a bulk call if its body can be sent in time.
    pub(crate) fn admit(
        self: &Arc<Self>,
        call: &BulkCall<'_>,
    ) -> Result<LinkTransfer, LinkRefusal> {
        let (now, now_us) = (Instant::now(), monotonic_us());
        let after = |at: Instant| now_us + at.saturating_duration_since(now).as_micros() as u64;
        let request = TransferRequest {
            size: call.size,
            service_us: call.service_time.as_micros() as u64,
            objective_us: after(call.objective),
            deadline_us: after(call.deadline),
            is_patient: call.is_patient,
        };
        let mut state = self.lock();
        self.observe(&mut state, now_us);
        match state.schedule.admit(request, now_us) {
            Ok(id) => {
                update_backlog(&state.schedule);
                Ok(LinkTransfer { link: Arc::clone(self), id })
            }
            Err(refusal) => {
                let backlog = state.schedule.backlog(now_us);
                drop(state);
                self.log_refusal(call, refusal, backlog);
                Err(refusal)
            }
        }
    }

    fn log_refusal(&self, call: &BulkCall<'_>, refusal: LinkRefusal, backlog: ByteSize) {
        metrics::LINK_REFUSALS.with_label_values(&[refusal.as_str()]).inc();
        let Some(suppressed) = self.refusal_limiter.allow(monotonic_ms()) else { return };
        Event::BulkRefused.emit(&[
            ("route", &call.route),
            ("reason", &refusal.as_str()),
            ("room_ms", &refusal.retry_after().as_millis()),
            ("backlog", &backlog.get()),
            ("left_out", &suppressed),
        ]);
    }

    /// Updates the schedule from the meters of the connections.
    fn observe(&self, state: &mut State, now_us: u64) {
        let usage = LinkUsage {
            written: self.written.load(Ordering::Relaxed),
            stalled_us: self.stalled_us.load(Ordering::Relaxed),
        };
        let earlier = state.schedule.rate();
        let schedule = &mut state.schedule;
        let has_changed = schedule.observe(usage, now_us);
        let rate = schedule.rate();
        metrics::LINK_RATE.set(rate.map_or(0, |rate| rate.bytes_per_s() as i64));
        let has_fallen = has_changed && earlier.is_none_or(|earlier| rate < Some(earlier));
        if has_fallen && let Some(rate) = rate {
            let Some(suppressed) = self.rate_limiter.allow(monotonic_ms()) else { return };
            Event::LinkRateLowered.emit(&[("rate", &rate), ("left_out", &suppressed)]);
        }
    }

    fn poll_grant(
        self: &Arc<Self>,
        id: TransferId,
        wanted: usize,
        cx: &Context<'_>,
    ) -> Poll<usize> {
        let now = monotonic_us();
        let mut state = self.lock();
        self.observe(&mut state, now);
        match state.schedule.request(id, wanted, now) {
            Grant::Send(bytes) => Poll::Ready(bytes),
            Grant::WaitUntil(at) => {
                state.wakers.insert(id, cx.waker().clone());
                self.schedule_wake(&mut state, at);
                Poll::Pending
            }
        }
    }

    /// Starts a task that wakes the connections that wait, unless one runs.
    fn schedule_wake(self: &Arc<Self>, state: &mut State, at: u64) {
        if std::mem::replace(&mut state.has_wake_task, true) {
            return;
        }
        let link = Arc::clone(self);
        tokio::task::spawn_local(async move {
            let mut next = Some(at);
            while let Some(at) = next {
                let wait = at.saturating_sub(monotonic_us()).max(MIN_WAKE_INTERVAL_US);
                tokio::time::sleep(Duration::from_micros(wait)).await;
                next = link.wake_next();
            }
        });
    }

    /// Wakes the connection that goes first if the link has room, and returns when the next one may be due.
    fn wake_next(&self) -> Option<u64> {
        let now = monotonic_us();
        let mut state = self.lock();
        self.observe(&mut state, now);
        let next = state.schedule.take_next(now);
        let waker = next.and_then(|id| state.wakers.remove(&id));
        state.has_wake_task = state.schedule.has_waiting();
        let due = state.has_wake_task.then(|| state.schedule.next_grant(now));
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
        due
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn update_backlog(schedule: &LinkSchedule) {
    metrics::LINK_BACKLOG.set(schedule.backlog(monotonic_us()).get() as i64);
    update_held(schedule);
}

fn update_held(schedule: &LinkSchedule) {
    metrics::LINK_HELD.set(schedule.held().get() as i64);
}

/// An admitted bulk body; it leaves the schedule when dropped.
#[derive(Debug)]
pub(crate) struct LinkTransfer {
    link: Arc<Link>,
    id: TransferId,
}

impl LinkTransfer {
    /// Replaces the expected size by the real one.
    pub(crate) fn set_size(&self, size: ByteSize) {
        self.link.lock().schedule.set_size(self.id, size);
    }

    /// Returns how many of `wanted` bytes may be sent now, or wakes the task when it should ask again.
    pub(crate) fn poll_grant(&self, wanted: usize, cx: &Context<'_>) -> Poll<usize> {
        self.link.poll_grant(self.id, wanted, cx)
    }

    /// Counts bytes of the body as held until the guard is dropped.
    pub(crate) fn hold(&self, size: ByteSize) -> HeldBytes {
        let mut state = self.link.lock();
        state.schedule.end_reservation(self.id);
        state.schedule.hold(size);
        update_held(&state.schedule);
        drop(state);
        HeldBytes { link: Arc::clone(&self.link), size }
    }
}

impl Drop for LinkTransfer {
    fn drop(&mut self) {
        let mut state = self.link.lock();
        state.schedule.end(self.id);
        state.wakers.remove(&self.id);
        update_backlog(&state.schedule);
    }
}

/// Bytes of a body that are held in memory.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    link: Arc<Link>,
    size: ByteSize,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let mut state = self.link.lock();
        state.schedule.release(self.size);
        update_held(&state.schedule);
    }
}

/// Bytes of a response that are read from a local target ahead of the link.
#[derive(Debug)]
pub(crate) struct ReadAhead {
    link: Arc<Link>,
    size: u64,
}

impl ReadAhead {
    pub(crate) fn new(link: &Arc<Link>) -> Self {
        Self { link: Arc::clone(link), size: 0 }
    }

    /// Counts more bytes as held, unless the node holds too many.
    pub(crate) fn try_add(&mut self, bytes: usize) -> bool {
        let fits = self.link.lock().schedule.try_read_ahead(ByteSize::bytes(bytes as u64));
        if fits {
            self.size += bytes as u64;
        }
        fits
    }

    /// Counts bytes as passed on.
    pub(crate) fn remove(&mut self, bytes: usize) {
        let bytes = self.size.min(bytes as u64);
        self.size -= bytes;
        let mut state = self.link.lock();
        state.schedule.release_read_ahead(ByteSize::bytes(bytes));
        update_held(&state.schedule);
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        let size = ByteSize::bytes(self.size);
        self.remove(size.as_usize());
    }
}
