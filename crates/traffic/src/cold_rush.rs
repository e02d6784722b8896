//! Calls that rush at a target while it is cold, for instance after a loss of power.
//!
//! A service states the rate of calls that its cold targets bear. They also bear a few more in any one second; using
//! that headroom serves calls that would otherwise wait until the target is warm, or be refused.

use kingcuplift_core::PerSecond;

/// Part of the headroom above the stated rate that is used; the rest covers imprecise timers.
const USED_HEADROOM: f64 = 0.8;
/// Part of the slack that one burst may use, because a node that restarts forgets the calls before and bursts again.
const BURST_FRACTION: f64 = 0.5;
/// Calls that may run at once after an idle period if a target bears its rate and no more.
const MIN_BURST: f64 = 2.0;

/// What cold targets bear in any one second: a multiple of the stated rate, and some calls on top.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupTolerance {
    /// Multiple of the stated rate.
    pub factor: f64,
    /// Calls on top of that.
    pub slack: f64,
}

impl Default for WarmupTolerance {
    /// No more than the stated rate, apart from small bursts.
    fn default() -> Self {
        Self { factor: 1.0, slack: 0.0 }
    }
}

impl WarmupTolerance {
    /// Returns the pace at which calls go to a cold target that bears `rate`.
    pub fn pace(self, rate: PerSecond) -> WarmupPace {
        let factor = 1.0 + (self.factor - 1.0).max(0.0) * USED_HEADROOM;
        WarmupPace {
            rate: PerSecond::new(rate.get() * factor),
            burst: (self.slack * BURST_FRACTION).max(MIN_BURST),
        }
    }
}

/// Pace of calls to a cold target: evenly spaced, with a burst after an idle period.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupPace {
    /// Rate of calls.
    pub rate: PerSecond,
    /// Calls that may run at once after an idle period, on top of the first.
    pub burst: f64,
}

impl From<PerSecond> for WarmupPace {
    fn from(rate: PerSecond) -> Self {
        WarmupTolerance::default().pace(rate)
    }
}
