//! What a target states of itself in its answers: a limit on its rate of calls, and that it is about to leave.

use kingcuplift_core::PerSecond;

/// Latest statements of one target.
#[derive(Debug, Default)]
pub struct StatedLoad {
    limit: Option<PerSecond>,
    /// When the limit was last stated, in milliseconds.
    limited_ms: u64,
    is_leaving: bool,
}

impl StatedLoad {
    /// Records the limit in the answer to a call that began at `started_ms`, and returns whether it has changed.
    ///
    /// An answer without a limit ends the limit, unless its call began before the limit was last stated: answers on
    /// several connections may be read in another order than they were written.
    pub fn set_limit(&mut self, limit: Option<PerSecond>, started_ms: u64, now_ms: u64) -> bool {
        match limit {
            Some(_) => self.limited_ms = now_ms,
            None if self.limit.is_none() || started_ms <= self.limited_ms => return false,
            None => {}
        }
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Returns the limit that the target states.
    pub fn limit(&self) -> Option<PerSecond> {
        self.limit
    }

    /// Records that the target is about to leave, and returns whether it had said so before.
    pub fn set_leaving(&mut self) -> bool {
        std::mem::replace(&mut self.is_leaving, true)
    }

    /// Returns whether the target has said that it is about to leave; it can't take that back.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
