//! Whether a call that failed may be sent again.

use kingcuplift_core::RunState;

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
