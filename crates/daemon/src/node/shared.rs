//! Node state that is shared by the threads that serve calls.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use actix::Recipient;
use arc_swap::{ArcSwap, ArcSwapOption};
use kingcuplift_core::logger::LogRateLimiter;
use kingcuplift_core::{
    CallFingerprint, Event, NodeName, PerSecond, ResultCode, ServiceName, Version, ZoneName,
};
use kingcuplift_traffic::{
    AdmissionPolicy, CrashLog, LinkRate, LossMeter, PaceMeter, Quarantine, RESPONSE_TIME,
    RetryBudget, RetryLimits, RouteSizes, RoutingView, ServerLoad, StartupWindow, StatedLoad,
    Suspicion, TargetKey, WarmupTolerance, time_before_stop,
};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::clock::monotonic_ms;
use crate::metrics;
use crate::node::admission::AdmissionController;
use crate::node::bulk_link::Link;
use crate::node::call::CallError;
use crate::node::evidence::EvidenceTable;
use crate::node::headers::HeaderNames;
use crate::node::in_flight::{CallGuard, InFlight};
use crate::node::target_change::TargetChanged;
use crate::options::LoadSharing;

/// Usual time that a process takes to restart; refused callers are asked to retry after it.
const RESTART_TIME: Duration = Duration::from_millis(600);
/// Refusal of a call that the node can't complete before it stops.
pub(crate) const DRAINING: CallError =
    CallError { code: ResultCode::Draining, retry_after: Some(RESTART_TIME) };
/// Rate limit of log lines on calls that are refused, fail or are retried.
const MAX_CALL_LINES_PER_S: u32 = 10;
/// Rate limit of log lines on calls that the local targets' admission refuses.
const MAX_ADMISSION_LINES_PER_S: u32 = 5;

/// A target on this node's VM.
#[derive(Debug)]
pub(crate) struct LocalTarget {
    pub(crate) address: std::net::SocketAddr,
    /// Instance name that the target reports; empty if it reports none.
    pub(crate) instance: SmolStr,
    pub(crate) admission: Arc<AdmissionController>,
    losses: Mutex<LossMeter>,
    stated: Mutex<StatedLoad>,
    pace: Mutex<PaceMeter>,
    /// Whether a task checks if the target still accepts connections.
    pub(crate) is_checked: AtomicBool,
}

impl LocalTarget {
    pub(crate) fn new(
        address: std::net::SocketAddr,
        instance: SmolStr,
        admission: Arc<AdmissionController>,
    ) -> Self {
        let is_checked = AtomicBool::new(false);
        let (losses, stated, pace) = (Mutex::default(), Mutex::default(), Mutex::default());
        Self { address, instance, admission, losses, stated, pace, is_checked }
    }

    /// Returns the meter of the recent service times.
    pub(crate) fn pace(&self) -> MutexGuard<'_, PaceMeter> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what the target has stated of itself in its answers.
    pub(crate) fn stated(&self) -> MutexGuard<'_, StatedLoad> {
        self.stated.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over a limit that the target stated before this node's start, until its first answer.
    pub(crate) fn restore_limit(&self, rate_limit: Option<PerSecond>) {
        let mut stated = self.stated();
        if rate_limit.is_some() && stated.limit().is_none() {
            stated.set_limit(rate_limit, 0, monotonic_ms());
            self.admission.set_stated_limit(rate_limit);
        }
    }

    /// Returns the meter of lost answers.
    pub(crate) fn losses(&self) -> MutexGuard<'_, LossMeter> {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Targets on this node's VM.
pub(crate) type LocalTargets = HashMap<TargetKey, Arc<LocalTarget>>;

/// State that the threads of a node share.
#[derive(Debug)]
pub struct NodeShared {
    pub(crate) name: NodeName,
    pub(crate) zone: ZoneName,
    pub(crate) headers: HeaderNames,
    /// Service of the VM, stated as the caller of calls that originate here.
    pub(crate) service: ArcSwapOption<ServiceName>,
    /// Routing state; absent until a configuration is confirmed to be current.
    pub(crate) view: ArcSwapOption<RoutingView>,
    /// Notified of each change of the routing state.
    view_changed: watch::Sender<()>,
    /// Period after the start in which calls wait for the routing state.
    pub(crate) startup: StartupWindow,
    pub(crate) local_targets: ArcSwap<LocalTargets>,
    retry_budget: Mutex<RetryBudget>,
    /// Calls that cold targets bear beyond the rate that their service states.
    pub(crate) warmup_tolerance: WarmupTolerance,
    load_sharing: LoadSharing,
    evidence: Mutex<EvidenceTable>,
    /// Link of the VM, on which bulk bodies are paced.
    pub(crate) link: Arc<Link>,
    /// Usual sizes of the responses of routes.
    route_sizes: Mutex<RouteSizes>,
    crash_log: Mutex<CrashLog>,
    quarantine: Mutex<Quarantine>,
    /// Receiver of reports on local targets that refuse connections or are about to leave.
    pub(crate) control: OnceLock<Recipient<TargetChanged>>,
    /// Number of nodes with a target; at least 1.
    pub(crate) node_count: AtomicUsize,
    is_draining: AtomicBool,
    /// Time at which the process ends; set when a shutdown begins.
    stop_at: watch::Sender<Option<Instant>>,
    /// Whether all new calls are refused and connections close after their next response.
    closing: watch::Sender<bool>,
    in_flight: InFlight,
    /// Requests whose responses are not written completely.
    open_responses: InFlight,
    /// Rate limit of log lines on calls that this node refuses, fails or retries.
    pub(crate) call_log_limiter: LogRateLimiter,
    /// Rate limit of log lines on calls that the local targets' admission refuses.
    pub(crate) admission_log_limiter: LogRateLimiter,
}

impl NodeShared {
    /// Creates the state of a node without configuration.
    pub fn new(name: NodeName, zone: ZoneName) -> Self {
        Self {
            name,
            zone,
            headers: HeaderNames::default(),
            service: ArcSwapOption::empty(),
            view: ArcSwapOption::empty(),
            view_changed: watch::Sender::new(()),
            startup: StartupWindow::new(monotonic_ms()),
            local_targets: ArcSwap::default(),
            retry_budget: Mutex::new(RetryBudget::new(RetryLimits::default())),
            warmup_tolerance: WarmupTolerance::default(),
            load_sharing: LoadSharing::default(),
            evidence: Mutex::new(EvidenceTable::default()),
            link: Arc::new(Link::new(None)),
            route_sizes: Mutex::default(),
            crash_log: Mutex::default(),
            quarantine: Mutex::default(),
            control: OnceLock::new(),
            node_count: AtomicUsize::new(1),
            is_draining: AtomicBool::new(false),
            stop_at: watch::Sender::new(None),
            closing: watch::Sender::new(false),
            in_flight: InFlight::default(),
            open_responses: InFlight::default(),
            call_log_limiter: LogRateLimiter::new(MAX_CALL_LINES_PER_S),
            admission_log_limiter: LogRateLimiter::new(MAX_ADMISSION_LINES_PER_S),
        }
    }

    /// Sets the header names, the retry budget, the tolerance of cold targets and the service of the VM.
    #[must_use]
    pub fn with_settings(
        mut self,
        headers: HeaderNames,
        retry_limits: RetryLimits,
        warmup_tolerance: WarmupTolerance,
        service: Option<ServiceName>,
    ) -> Self {
        self.headers = headers;
        self.warmup_tolerance = warmup_tolerance;
        self.retry_budget = Mutex::new(RetryBudget::new(retry_limits));
        self.service.store(service.map(Arc::new));
        self
    }

    /// Sets whether nodes share load reports.
    #[must_use]
    pub fn with_load_sharing(mut self, load_sharing: LoadSharing) -> Self {
        self.load_sharing = load_sharing;
        self
    }

    /// Returns whether this node sends load reports and selects targets by them.
    pub(crate) fn shares_load(&self) -> bool {
        let view = self.view.load();
        self.load_sharing.is_active(view.as_ref().is_some_and(|v| v.router().has_bulk_routes()))
    }

    /// Sets the upper bound of the rate of the VM's link.
    #[must_use]
    pub fn with_link_rate(self, bound: Option<LinkRate>) -> Self {
        Self { link: Arc::new(Link::new(bound)), ..self }
    }

    /// Returns whether the link is scheduled: some route transfers much data.
    pub(crate) fn schedules_link(&self) -> bool {
        self.view.load().as_ref().is_some_and(|view| view.router().has_bulk_routes())
    }

    /// Returns the expected wait of a bulk body for the VM's link.
    pub fn link_wait(&self) -> Duration {
        self.link.expected_wait()
    }

    /// Replaces the routing state.
    pub(crate) fn set_view(&self, view: RoutingView) {
        self.view.store(Some(Arc::new(view)));
        self.view_changed.send_replace(());
    }

    /// Returns a receiver that is notified when the routing state changes.
    pub(crate) fn view_changes(&self) -> watch::Receiver<()> {
        self.view_changed.subscribe()
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> Version {
        self.view.load().as_ref().map_or(Version::default(), |view| view.version())
    }

    /// Returns how the gates of the version in force judge calls that find no free slot.
    pub(crate) fn admission_policy(&self) -> AdmissionPolicy {
        self.view.load().as_ref().map_or(AdmissionPolicy::default(), |view| view.admission_policy())
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn evidence(&self) -> MutexGuard<'_, EvidenceTable> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the usual sizes of the responses of routes.
    pub(crate) fn route_sizes(&self) -> MutexGuard<'_, RouteSizes> {
        self.route_sizes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the record of local targets that ended while they ran calls.
    pub(crate) fn crash_log(&self) -> MutexGuard<'_, CrashLog> {
        self.crash_log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the requests that are suspected of ending their targets.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses a call whose request has ended so many targets that it is not sent to others.
    pub(crate) fn check_quarantine(&self, request: CallFingerprint) -> Result<(), CallError> {
        match self.quarantine().suspicion(request, monotonic_ms()) {
            Suspicion::Quarantined => Err(ResultCode::RequestQuarantined.into()),
            Suspicion::None | Suspicion::Suspected => Ok(()),
        }
    }

    /// Begins a shutdown: the node is reported as not ready, and serves calls that can end by `until`.
    pub(crate) fn begin_shutdown(&self, until: Instant) {
        self.stop_at.send_replace(Some(until));
        self.is_draining.store(true, Ordering::Release);
    }

    /// Returns how long a caller's call may take that is about to be sent to a target: its `time`, or the time until the
    /// process ends if that is less.
    ///
    /// Refuses a call that could not meet its objective by then.
    pub(crate) fn limit_to_shutdown(
        &self,
        time: Duration,
        objective: Duration,
    ) -> Result<Duration, CallError> {
        let Some(until) = *self.stop_at.borrow() else { return Ok(time) };
        let left = until.saturating_duration_since(Instant::now());
        time_before_stop(time, objective, left).ok_or(DRAINING)
    }

    /// Refuses a caller's call that arrives after [`Self::close`].
    pub(crate) fn check_open(&self) -> Result<(), CallError> {
        match *self.closing.borrow() {
            true => Err(DRAINING),
            false => Ok(()),
        }
    }

    /// Refuses another node's call whose deadline lies after the end of the process; it can go to another target.
    pub(crate) fn check_shutdown(&self, deadline: Instant) -> Result<(), CallError> {
        self.check_open()?;
        match *self.stop_at.borrow() {
            Some(until) if deadline > until => Err(DRAINING),
            _ => Ok(()),
        }
    }

    /// Waits until the process is about to end, so that each call must be answered now.
    pub(crate) async fn stopping(&self) {
        let mut stop_at = self.stop_at.subscribe();
        // The sender lives as long as this state.
        let until = match stop_at.wait_for(Option::is_some).await {
            Ok(until) => *until,
            Err(_) => None,
        };
        match until {
            Some(until) => tokio::time::sleep_until((until - RESPONSE_TIME).into()).await,
            None => std::future::pending().await,
        }
    }

    /// Refuses all calls from now on and closes each connection after its next response.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Returns a receiver that is notified when connections must be closed.
    pub(crate) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Returns the number of calls in progress on this node.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.count()
    }

    /// Logs a decision on a call if `limiter`, one of the two in this state, permits a line.
    ///
    /// The line states how many lines were suppressed before it.
    pub(crate) fn log_call(
        &self,
        event: Event,
        limiter: &LogRateLimiter,
        pairs: &[(&str, &dyn std::fmt::Display)],
    ) {
        let Some(suppressed) = limiter.allow(monotonic_ms()) else { return };
        let version = self.version();
        let mut all: Vec<(&str, &dyn std::fmt::Display)> = pairs.to_vec();
        all.push(("version", &version));
        all.push(("left_out", &suppressed));
        event.emit(&all);
    }

    /// Applies the load that a target states in its answer to a call that began at `started_us`, if it states one.
    ///
    /// Only where load reports are shared: elsewhere, targets that are full most of the time were given fewer calls than
    /// they could run. Until there is a routing state, the statement counts, as the target may be full of forgotten calls.
    pub(crate) fn apply_load(
        &self,
        key: &TargetKey,
        local: &LocalTarget,
        load: Option<ServerLoad>,
        started_us: u64,
    ) {
        let is_used = self.shares_load() || self.view.load().is_none();
        let Some(load) = load.filter(|_| is_used) else { return };
        let Some(limit) = local.admission.record_server_load(load, started_us) else { return };
        metrics::SLOT_REDUCTIONS.inc();
        self.log_call(
            Event::TargetSlotsReduced,
            &self.admission_log_limiter,
            &[
                ("target", key),
                ("limit", &limit),
                ("running", &load.running),
                ("waiting", &load.waiting),
                ("slots", &load.slots),
            ],
        );
    }

    /// Counts a call as in progress until the guard is dropped.
    pub(crate) fn begin_call(&self) -> CallGuard {
        self.in_flight.begin()
    }

    /// Counts a response as open, from its request on, until the guard is dropped.
    pub(crate) fn begin_response(&self) -> CallGuard {
        self.open_responses.begin()
    }

    /// Returns the number of requests whose responses have not been written completely.
    pub(crate) fn open_responses(&self) -> usize {
        self.open_responses.count()
    }

    /// Notifies the node's actor of a change; if its mailbox is full, a later call to the target or its next report does
    /// so again.
    pub(crate) fn report_change(&self, change: TargetChanged) {
        if let Some(control) = self.control.get() {
            drop(control.try_send(change));
        }
    }
}
