//! Count of the calls that a node has in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of calls in progress; clones share the count.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    /// Returns the number of calls in progress.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    /// Counts a call as in progress until the guard is dropped.
    pub(crate) fn begin(&self) -> CallGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        CallGuard(self.clone())
    }
}

/// Counts one call in progress until dropped.
#[derive(Debug)]
pub(crate) struct CallGuard(InFlight);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}
