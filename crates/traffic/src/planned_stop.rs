//! Calls that arrive at a node while it shuts down.
//!
//! Callers beside a node learn of its shutdown only after a second or two. A call that is refused until then returns to
//! the same node, so its caller soon has no retries left. Therefore the node still serves each call that can meet its
//! latency objective before the process ends, with the time that is left until then.

use std::time::Duration;

/// Time that the last responses take before the process ends.
pub const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Returns how long a call may take that has `time` until its deadline, on a node whose process ends after `left`.
///
/// `None` means that the call is refused.
pub fn time_before_stop(time: Duration, objective: Duration, left: Duration) -> Option<Duration> {
    let left = left.saturating_sub(RESPONSE_TIME);
    (objective.min(time) <= left).then(|| time.min(left))
}
