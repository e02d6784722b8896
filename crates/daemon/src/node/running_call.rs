//! Watches a call while a local target runs it, as evidence on the target's version during a move.
//!
//! Only the node beside the target knows that the target ran a call that got no answer. The node that sent the call may
//! give up first, when its own time ends or its caller leaves; then the connection closes and the call is dropped here.

use std::time::{Duration, Instant};

use kingcuplift_core::ResultCode;
use kingcuplift_traffic::{ServingVersions, TargetKey};
use smol_str::SmolStr;

use crate::node::call::TargetResponse;
use crate::node::shared::NodeShared;

/// Part (1/n) of a call's time before its deadline that counts as the deadline, as the sending node's ends earlier.
const DEADLINE_MARGIN_DIVISOR: u32 = 20;
/// Time after the deadline from which on the process, and probably the target too, has stood still.
const STANDSTILL: Duration = Duration::from_millis(250);

/// A call that a local target runs.
#[derive(Debug)]
pub(crate) struct RunningCall<'a> {
    shared: &'a NodeShared,
    key: &'a TargetKey,
    route: &'a SmolStr,
    started_at: Instant,
    deadline: Instant,
    is_finished: bool,
}

impl<'a> RunningCall<'a> {
    /// Starts watching a call that is about to be sent to the target.
    pub(crate) fn begin(
        shared: &'a NodeShared,
        key: &'a TargetKey,
        route: &'a SmolStr,
        deadline: Instant,
    ) -> Self {
        let started_at = Instant::now();
        Self { shared, key, route, started_at, deadline, is_finished: false }
    }

    /// Records how the call ended.
    pub(crate) fn finish(mut self, result: &Result<TargetResponse, ResultCode>) {
        self.is_finished = true;
        match result {
            Err(ResultCode::DeadlineAfter) => self.record_end(Instant::now()),
            Ok(_) | Err(ResultCode::AnswerLost | ResultCode::AnswerDamaged) if self.is_moving() => {
                self.shared.evidence().count_run(self.key, self.route, result.is_ok());
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Records that the call ended without an answer, at its deadline or when its caller left.
    fn record_end(&self, now: Instant) {
        if !self.is_moving() {
            return;
        }
        let margin = (self.deadline - self.started_at) / DEADLINE_MARGIN_DIVISOR;
        let mut evidence = self.shared.evidence();
        match self.deadline.saturating_duration_since(now) {
            _ if now > self.deadline + STANDSTILL => {}
            left if left <= margin => evidence.count_run(self.key, self.route, false),
            _ => evidence.count_abandoned(self.key, self.route, now - self.started_at),
        }
    }

    /// Returns whether the target's service moves to another version at present.
    fn is_moving(&self) -> bool {
        let view = self.shared.view.load();
        let service = view.as_ref().and_then(|view| view.service(&self.key.service));
        service.is_some_and(|service| matches!(service.serving, ServingVersions::Split { .. }))
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.record_end(Instant::now());
        }
    }
}
