//! Targets that lose or spoil a part of their answers while their health checks are good.
//!
//! Each of many nodes sends such a target a few calls and learns little from them. The node beside it sees the outcome of
//! every call, so it estimates the fraction of lost answers and announces it in coarse levels. The other nodes then prefer
//! other targets, most of all for calls that must not run twice.

/// Half-life of the counts, in milliseconds.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Answered calls that are assumed before any was seen; a few lost answers prove little.
const PRIOR_CALLS: f64 = 4.0;
/// Lost answers, with decay, below which nothing is announced.
const MIN_LOST: f64 = 2.0;
/// Fractions from which a level holds, in descending order, and the levels, in thousandths.
const LEVELS: [(f64, u32); 2] = [(0.25, 400), (0.1, 150)];
/// Minimum time between two announcements of one target, in milliseconds.
const MIN_INTERVAL_MS: u64 = 300;
/// Time for which a lower level must have held before it is announced, in milliseconds.
const RECOVERY_MS: u64 = 1_000;

/// Fraction of lost answers of one target, as the node beside it sees it.
#[derive(Debug, Default)]
pub struct LossMeter {
    calls: f64,
    lost: f64,
    decayed_ms: u64,
    /// Level announced last, in thousandths.
    announced: u32,
    announced_ms: u64,
    /// Latest time at which the announced level or a higher one held.
    held_ms: u64,
}

impl LossMeter {
    /// Records that a call which reached the target ended; `lost` says that its answer was lost or spoiled.
    pub fn record(&mut self, lost: bool, now_ms: u64) {
        self.decay(now_ms);
        self.calls += 1.0;
        self.lost += if lost { 1.0 } else { 0.0 };
    }

    /// Returns the level to announce, in thousandths of the calls, if it has changed.
    pub fn poll(&mut self, now_ms: u64) -> Option<u32> {
        self.decay(now_ms);
        let level = self.level();
        if level >= self.announced {
            self.held_ms = now_ms;
        }
        let is_due = match level {
            level if level > self.announced => now_ms >= self.announced_ms + MIN_INTERVAL_MS,
            level if level < self.announced => now_ms >= self.held_ms + RECOVERY_MS,
            _ => false,
        };
        if !is_due {
            return None;
        }
        (self.announced, self.announced_ms, self.held_ms) = (level, now_ms, now_ms);
        Some(level)
    }

    /// Returns the level announced last, in thousandths of the calls.
    pub fn announced(&self) -> u32 {
        self.announced
    }

    fn level(&self) -> u32 {
        if self.lost < MIN_LOST {
            return 0;
        }
        let fraction = self.lost / (self.calls + PRIOR_CALLS);
        let level = LEVELS.into_iter().find(|(from, _)| fraction >= *from);
        level.map_or(0, |(_, permille)| permille)
    }

    fn decay(&mut self, now_ms: u64) {
        let age = now_ms.saturating_sub(self.decayed_ms) as f64;
        let factor = 0.5_f64.powf(age / HALF_LIFE_MS);
        self.calls *= factor;
        self.lost *= factor;
        self.decayed_ms = now_ms.max(self.decayed_ms);
    }
}
