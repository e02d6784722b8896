//! Decides whether a failed call may be retried.

use kingcuplift_core::RunState;

/// What is known of a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Whether the target may have run the call.
    pub run: RunState,
    /// Whether the call's method may run more than once.
    pub idempotent: bool,
}

/// Returns whether a retry is safe: a call that is not idempotent must not run twice.
pub fn may_retry(attempt: Attempt) -> bool {
    match attempt.run {
        RunState::NotRun => true,
        RunState::Unknown => attempt.idempotent,
        RunState::Ran => false,
    }
}
