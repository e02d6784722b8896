//! State that the threads of a node read on every call.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use kingcuplift_core::{NodeName, Version, ZoneName};
use kingcuplift_traffic::{RetryBudget, TargetKey, View};

use crate::node::gate::Gate;

/// Shortest time between two logged refusals of calls, in milliseconds.
const REFUSAL_LOG_INTERVAL: u64 = 1_000;

/// A target beside this node.
#[derive(Debug)]
pub(crate) struct LocalTarget {
    pub(crate) address: String,
    pub(crate) gate: Arc<Gate>,
}

/// Targets beside this node.
pub(crate) type Locals = HashMap<TargetKey, Arc<LocalTarget>>;

/// State that the threads of a node share.
#[derive(Debug)]
pub struct NodeShared {
    pub(crate) name: NodeName,
    pub(crate) zone: ZoneName,
    /// Absent until a configuration is proved to be current.
    pub(crate) view: ArcSwapOption<View>,
    pub(crate) locals: ArcSwap<Locals>,
    pub(crate) budget: RetryBudget,
    is_draining: AtomicBool,
    in_flight: AtomicUsize,
    /// Time after which the next refused call is logged, in milliseconds.
    refusal_log_at: AtomicU64,
}

impl NodeShared {
    /// Makes the state of a node that has no configuration yet.
    pub fn new(name: NodeName, zone: ZoneName) -> Self {
        Self {
            name,
            zone,
            view: ArcSwapOption::empty(),
            locals: ArcSwap::default(),
            budget: RetryBudget::default(),
            is_draining: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            refusal_log_at: AtomicU64::new(0),
        }
    }

    /// Returns the version in force, or 0 when there is none.
    pub fn version(&self) -> Version {
        self.view.load().as_ref().map_or(Version::default(), |view| view.version())
    }

    /// Refuses new calls from now on.
    pub(crate) fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        for local in self.locals.load().values() {
            local.gate.close();
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Returns the number of calls that this node is working on.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Returns whether a refused call is to be logged: one in an interval, so that overload can't flood the log.
    pub(crate) fn may_log_refusal(&self, now_ms: u64) -> bool {
        let due = self.refusal_log_at.load(Ordering::Relaxed);
        let next = now_ms + REFUSAL_LOG_INTERVAL;
        let order = Ordering::Relaxed;
        now_ms >= due && self.refusal_log_at.compare_exchange(due, next, order, order).is_ok()
    }

    /// Counts a call until the guard is dropped.
    pub(crate) fn begin_call(&self) -> CallGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        CallGuard(self)
    }
}

/// Counts one call in flight.
#[derive(Debug)]
pub(crate) struct CallGuard<'a>(&'a NodeShared);

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
