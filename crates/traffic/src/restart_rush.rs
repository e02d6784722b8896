//! Calls that rush in while a restarted node has no configuration or no targets yet.
//!
//! After a loss of power, nodes accept calls before the source has elected a leader. A caller that is refused then soon
//! has no retries left, although it would have time to wait. Such calls wait at the node instead, for a part of their
//! time; the rest is for the queues of targets that are still cold.

use std::time::Duration;

/// Time after the start of a node for which calls wait; a source that isn't back by then may be away for long.
const STARTUP_MS: u64 = 4_000;
/// Part of its time that a call waits at most.
const WAIT_FRACTION: f64 = 0.4;
/// Time that a call waits at most if it states no time limit.
const DEFAULT_WAIT: Duration = Duration::from_millis(1_000);

/// Period after the start of a node in which calls wait for its routing state.
#[derive(Debug, Clone, Copy)]
pub struct StartupWindow {
    started_ms: u64,
}

impl StartupWindow {
    /// Creates the window of a node that starts at `started_ms`.
    pub fn new(started_ms: u64) -> Self {
        Self { started_ms }
    }

    /// Returns how long a call that arrived at `arrived_ms` waits from now on; zero means that it is refused.
    ///
    /// `time` is the time that the caller had left on arrival, if it states that.
    pub fn wait_left(&self, arrived_ms: u64, time: Option<Duration>, now_ms: u64) -> Duration {
        let time = time.map_or(DEFAULT_WAIT, |time| time.mul_f64(WAIT_FRACTION));
        let latest = (self.started_ms + STARTUP_MS).min(arrived_ms + time.as_millis() as u64);
        Duration::from_millis(latest.saturating_sub(now_ms))
    }
}
