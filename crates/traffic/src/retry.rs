//! Whether a call that failed may be sent again.

use std::sync::atomic::{AtomicI64, Ordering};

use kingcuplift_core::RunState;

/// Thousandths of a retry that each call earns.
const EARNED: i64 = 100;
/// Thousandths of a retry that one retry costs.
const COST: i64 = 1_000;
/// Most retries that can be saved up, in thousandths.
const MOST: i64 = 10_000;

/// Limits retries to a tenth of the calls, so that retries over many levels can't multiply the work.
#[derive(Debug)]
pub struct RetryBudget {
    thousandths: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { thousandths: AtomicI64::new(MOST) }
    }
}

impl RetryBudget {
    /// Records a call that is not a retry.
    pub fn earn(&self) {
        let saved = self.thousandths.load(Ordering::Relaxed);
        let more = (saved + EARNED).min(MOST);
        self.thousandths.store(more, Ordering::Relaxed);
    }

    /// Takes one retry from the budget, or returns false when there is none.
    pub fn spend(&self) -> bool {
        let before = self.thousandths.fetch_sub(COST, Ordering::Relaxed);
        let granted = before >= COST;
        if !granted {
            self.thousandths.fetch_add(COST, Ordering::Relaxed);
        }
        granted
    }
}

/// What is known of a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Whether the target may have run the call.
    pub run: RunState,
    /// Whether the call's method may run more than once.
    pub idempotent: bool,
}

/// Returns whether sending the call again can't run it twice against its contract.
pub fn may_retry(attempt: Attempt) -> bool {
    match attempt.run {
        RunState::NotRun => true,
        RunState::Unknown => attempt.idempotent,
        RunState::Ran => false,
    }
}
