//! Decides whether a failed call may be retried, and which of its results the caller gets.

use kingcuplift_core::{ResultCode, RunState};

use crate::retry_budget::RetryReason;

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

/// Whether and at whose expense a failed attempt may be followed by another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryRule {
    /// The call has no other attempt.
    Never,
    /// A node refused the call and no target was reached, so a retry costs its service nothing.
    Free,
    /// The call reached a target; a retry is charged to the budget of its service.
    Charged(RetryReason),
}

/// Returns the rule for an attempt that ended with `code`.
pub fn retry_rule(code: ResultCode, idempotent: bool) -> RetryRule {
    let run = code.run();
    match code {
        ResultCode::DeadlineAfter | ResultCode::RequestQuarantined => RetryRule::Never,
        _ if !may_retry(Attempt { run, idempotent }) => RetryRule::Never,
        ResultCode::TargetShed | ResultCode::TargetReplaced => {
            RetryRule::Charged(RetryReason::NotRun)
        }
        _ if run == RunState::Unknown => RetryRule::Charged(RetryReason::Failed),
        _ => RetryRule::Free,
    }
}

/// Results of a call's attempts, merged into the one that the caller gets.
///
/// What is known of the call's execution only grows: a refusal that follows a response, or an attempt that may have run
/// the call, does not replace it.
#[derive(Debug)]
pub struct AttemptResults<R, E> {
    merged: Option<Result<R, E>>,
}

impl<R, E> Default for AttemptResults<R, E> {
    fn default() -> Self {
        Self { merged: None }
    }
}

impl<R, E> AttemptResults<R, E> {
    /// Adds the result of the next attempt; `run` tells whether an attempt that ended with an error ran the call.
    pub fn add(&mut self, result: Result<R, E>, run: impl Fn(&E) -> RunState) {
        let merged = match (self.merged.take(), result) {
            (Some(Ok(response)), Err(_)) => Ok(response),
            (Some(Err(earlier)), Err(later)) if run(&earlier) > run(&later) => Err(earlier),
            (_, result) => result,
        };
        self.merged = Some(merged);
    }

    /// Returns the result for the caller, or `None` if there was no attempt.
    pub fn merged(self) -> Option<Result<R, E>> {
        self.merged
    }
}
