//! State that the threads of a node read on every call.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use actix::Recipient;
use arc_swap::{ArcSwap, ArcSwapOption};
use kingcuplift_core::logger::LogRateLimiter;
use kingcuplift_core::{Event, NodeName, ResultCode, ServiceName, Version, ZoneName};
use kingcuplift_traffic::{RetryBudget, RetryLimits, RoutingView, TargetKey};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::clock::monotonic_ms;
use crate::node::control::TargetDown;
use crate::node::evidence::EvidenceTable;
use crate::node::forward::Refusal;
use crate::node::gate::Gate;
use crate::node::headers::HeaderNames;

/// Time after which a stopped process is usually there again.
const RESTART_TIME: Duration = Duration::from_millis(600);
/// Log lines a second on calls that are refused, fail or are repeated.
const CALL_LINES: u32 = 10;
/// Log lines a second on calls that gates refuse.
const GATE_LINES: u32 = 5;

/// A target beside this node.
#[derive(Debug)]
pub(crate) struct LocalTarget {
    pub(crate) address: std::net::SocketAddr,
    /// Name that the target gave itself at its start; empty when it gave none.
    pub(crate) instance: SmolStr,
    pub(crate) gate: Arc<Gate>,
}

/// Targets beside this node.
pub(crate) type Locals = HashMap<TargetKey, Arc<LocalTarget>>;

/// State that the threads of a node share.
#[derive(Debug)]
pub struct NodeShared {
    pub(crate) name: NodeName,
    pub(crate) zone: ZoneName,
    pub(crate) headers: HeaderNames,
    /// Service of the VM, for calls that begin here.
    pub(crate) service: ArcSwapOption<ServiceName>,
    /// Absent until a configuration is proved to be current.
    pub(crate) view: ArcSwapOption<RoutingView>,
    pub(crate) locals: ArcSwap<Locals>,
    budget: Mutex<RetryBudget>,
    evidence: Mutex<EvidenceTable>,
    /// Who is told of a target that takes no connections.
    pub(crate) control: OnceLock<Recipient<TargetDown>>,
    /// Nodes with a target, this one included.
    pub(crate) nodes: AtomicUsize,
    is_draining: AtomicBool,
    /// When the process ends, once it has been told to.
    stop_at: ArcSwapOption<Instant>,
    closing: watch::Sender<bool>,
    in_flight: AtomicUsize,
    /// Lines on calls that are refused, fail or are repeated here.
    pub(crate) call_lines: LogRateLimiter,
    /// Lines on calls that the gates of this node's targets refuse.
    pub(crate) gate_lines: LogRateLimiter,
}

impl NodeShared {
    /// Makes the state of a node that has no configuration yet.
    pub fn new(name: NodeName, zone: ZoneName) -> Self {
        Self {
            name,
            zone,
            headers: HeaderNames::default(),
            service: ArcSwapOption::empty(),
            view: ArcSwapOption::empty(),
            locals: ArcSwap::default(),
            budget: Mutex::new(RetryBudget::new(RetryLimits::default())),
            evidence: Mutex::new(EvidenceTable::default()),
            control: OnceLock::new(),
            nodes: AtomicUsize::new(1),
            is_draining: AtomicBool::new(false),
            stop_at: ArcSwapOption::empty(),
            closing: watch::Sender::new(false),
            in_flight: AtomicUsize::new(0),
            call_lines: LogRateLimiter::new(CALL_LINES),
            gate_lines: LogRateLimiter::new(GATE_LINES),
        }
    }

    /// Sets the header names, the retry budget and the service of the VM.
    #[must_use]
    pub fn with_settings(
        mut self,
        headers: HeaderNames,
        repeats: RetryLimits,
        service: Option<ServiceName>,
    ) -> Self {
        self.headers = headers;
        self.budget = Mutex::new(RetryBudget::new(repeats));
        self.service.store(service.map(Arc::new));
        self
    }

    /// Returns the version in force, or 0 when there is none.
    pub fn version(&self) -> Version {
        self.view.load().as_ref().map_or(Version::default(), |view| view.version())
    }

    /// Returns the budget of repeats.
    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what calls show of targets.
    pub(crate) fn evidence(&self) -> MutexGuard<'_, EvidenceTable> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Says on the readiness address that callers should go elsewhere; calls that end by `until` are still served.
    pub(crate) fn begin_stop(&self, until: Instant) {
        self.stop_at.store(Some(Arc::new(until)));
        self.is_draining.store(true, Ordering::Release);
    }

    /// Refuses a call that may take longer than the process is there.
    pub(crate) fn check_stop(&self, deadline: Instant) -> Result<(), Refusal> {
        match self.stop_at.load().as_deref() {
            Some(until) if deadline > *until => {
                Err(Refusal { code: ResultCode::Draining, room: Some(RESTART_TIME) })
            }
            _ => Ok(()),
        }
    }

    /// Takes no call from now on, and ends each connection with its next answer.
    pub(crate) fn close(&self) {
        self.stop_at.store(Some(Arc::new(Instant::now())));
        self.closing.send_replace(true);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Returns a receiver that is told when connections are to end.
    pub(crate) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Returns the number of calls that this node is working on.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Logs a decision on a call, as far as the budget of lines allows.
    ///
    /// `budget` is one of the node's own. The line says how many were left out before it.
    pub(crate) fn log_call(
        &self,
        event: Event,
        budget: &LogRateLimiter,
        pairs: &[(&str, &dyn std::fmt::Display)],
    ) {
        let Some(left_out) = budget.allow(monotonic_ms()) else { return };
        let version = self.version();
        let mut all: Vec<(&str, &dyn std::fmt::Display)> = pairs.to_vec();
        all.push(("version", &version));
        all.push(("left_out", &left_out));
        event.emit(&all);
    }

    /// Counts a call until the guard is dropped.
    pub(crate) fn begin_call(self: &Arc<Self>) -> CallGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        CallGuard(Arc::clone(self))
    }
}

/// Counts one call in flight.
#[derive(Debug)]
pub(crate) struct CallGuard(Arc<NodeShared>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
