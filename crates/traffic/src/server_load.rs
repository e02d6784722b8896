//! Load that a target states in its answers: running calls, waiting calls, slots, and how long work takes at present.
//!
//! The gate counts the calls that it has sent. A target that holds more than that still works on orphaned calls: calls
//! that a restarted node has forgotten, or whose connection was lost. They use slots that the gate takes for free, so the
//! gate lets fewer calls run until they have ended.

use std::num::ParseIntError;
use std::str::FromStr;

use thiserror::Error;

/// Time after an answer for which it may lower the number of calls, in microseconds.
const REDUCTION_US: u64 = 1_000_000;
/// Time after an answer for which its pace holds, in microseconds; the pace changes many times a second.
const PACE_US: u64 = 100_000;
/// Smallest part of the announced slots that a statement leaves in use: one in this many.
const FLOOR_DIVISOR: u32 = 4;
/// Least pace, in hundredths of the usual time.
const MIN_PACE: u32 = 25;
/// Greatest pace, in hundredths of the usual time.
const MAX_PACE: u32 = 800;
/// Pace of a machine on which work takes as long as usual.
const USUAL_PACE: f64 = 100.0;
/// Most figures in a statement.
const MAX_FIGURES: usize = 4;

/// Load that a target states in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Calls that the target runs.
    pub running: u32,
    /// Calls that wait at the target.
    pub waiting: u32,
    /// Calls that the target can run at a time.
    pub slots: u32,
    /// Time that work takes at present, in hundredths of the usual time.
    pub pace: Option<u32>,
}

/// Reason why a statement of load can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ServerLoadError {
    /// There are too few or too many figures.
    #[error("expected three or four figures, separated by commas")]
    Count,
    /// A figure is not a whole number.
    #[error("{0:?} is not a whole number")]
    NotWhole(String),
    /// A figure is out of range.
    #[error(transparent)]
    Range(#[from] ParseIntError),
}

impl FromStr for ServerLoad {
    type Err = ServerLoadError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let figures = text.split(',').take(MAX_FIGURES + 1).map(parse_figure);
        let figures = figures.collect::<Result<Vec<u32>, _>>()?;
        let (running, waiting, slots, pace) = match figures[..] {
            [running, waiting, slots] => (running, waiting, slots, None),
            [running, waiting, slots, pace] => (running, waiting, slots, Some(pace)),
            _ => return Err(ServerLoadError::Count),
        };
        Ok(Self { running, waiting, slots, pace })
    }
}

/// Parses a whole number without a sign, with optional spaces around it.
fn parse_figure(text: &str) -> Result<u32, ServerLoadError> {
    let digits = text.trim_matches([' ', '\t']);
    match digits.bytes().all(|byte| byte.is_ascii_digit()) {
        true if !digits.is_empty() => Ok(digits.parse()?),
        _ => Err(ServerLoadError::NotWhole(digits.to_owned())),
    }
}

/// Range of the number of running calls over any recent time.
#[derive(Debug, Default)]
struct RunningHistory {
    running: u32,
    /// When the number last fell from `i + 1`, in microseconds.
    fell_us: Vec<u64>,
    /// When the number last rose from `i`, in microseconds.
    rose_us: Vec<u64>,
}

impl RunningHistory {
    fn observe(&mut self, running: u32, now_us: u64) {
        let (before, after) = (self.running as usize, running as usize);
        let levels = before.max(after).max(self.fell_us.len());
        self.fell_us.resize(levels, 0);
        self.rose_us.resize(levels, 0);
        self.fell_us[after.min(before)..before].fill(now_us);
        self.rose_us[before.min(after)..after].fill(now_us);
        self.running = running;
    }

    /// Returns the least and the greatest number of running calls since a time.
    fn range_since(&self, since_us: u64) -> (u32, u32) {
        // Zero stands for "never".
        let since_us = since_us.max(1);
        let least = self.rose_us.iter().position(|at| *at >= since_us);
        let greatest = self.fell_us.iter().rposition(|at| *at >= since_us);
        let least = least.map_or(self.running, |level| self.running.min(level as u32));
        (least, greatest.map_or(self.running, |level| self.running.max(level as u32 + 1)))
    }
}

/// A statement and the time until which it holds, in microseconds.
#[derive(Debug, Clone, Copy)]
struct Held {
    value: u32,
    until_us: u64,
}

impl Held {
    fn get(held: Option<Self>, now_us: u64) -> Option<u32> {
        held.filter(|held| now_us < held.until_us).map(|held| held.value)
    }
}

/// What the statements of one target say about the number of calls that it can run now.
#[derive(Debug, Default)]
pub struct ServerLoadTracker {
    history: RunningHistory,
    /// Orphaned calls at the target.
    orphaned: Option<Held>,
    /// Least number of orphaned calls by the previous answer.
    previous: Option<Held>,
    slots: Option<Held>,
    pace: Option<Held>,
}

impl ServerLoadTracker {
    /// Records how many calls the gate runs from now on.
    pub fn observe_running(&mut self, running: u32, now_us: u64) {
        self.history.observe(running, now_us);
    }

    /// Records what a target states in its answer to a call that began at `started_us`.
    ///
    /// The answer was written at some time during the call, so the stated calls are compared with all numbers that the
    /// gate has counted since the call began. A single answer does not raise the number of orphaned calls if the one
    /// before it shows none: a target may count a call for a moment after it has sent the answer, when the gate has
    /// already sent the next call.
    pub fn record(&mut self, load: ServerLoad, started_us: u64, now_us: u64) {
        let until_us = now_us + REDUCTION_US;
        let stated = load.running.saturating_add(load.waiting);
        let (least_running, most_running) = self.history.range_since(started_us);
        let at_least = stated.saturating_sub(most_running);
        let at_most = stated.saturating_sub(least_running);
        let confirmed = Held::get(self.previous, now_us).map_or(at_least, |at| at.min(at_least));
        self.previous = Some(Held { value: at_least, until_us });
        let before = Held::get(self.orphaned, now_us).unwrap_or(0);
        let orphaned = before.max(confirmed).min(at_most);
        self.orphaned = match self.orphaned {
            _ if orphaned == 0 => None,
            Some(held) if orphaned > confirmed => Some(Held { value: orphaned, ..held }),
            _ => Some(Held { value: orphaned, until_us }),
        };
        self.slots = Some(Held { value: load.slots, until_us });
        let value = load.pace.map(|pace| pace.clamp(MIN_PACE, MAX_PACE));
        self.pace = value.map(|value| Held { value, until_us: now_us + PACE_US });
    }

    /// Returns the number of calls that may run at a time, at most the `announced` slots and at least a quarter of them.
    pub fn limit(&self, announced: u32, now_us: u64) -> u32 {
        let slots = Held::get(self.slots, now_us).map_or(announced, |slots| slots.min(announced));
        let free = slots.saturating_sub(self.orphaned(now_us));
        free.max(announced.div_ceil(FLOOR_DIVISOR))
    }

    /// Returns the number of calls that run at the target without being known to the gate.
    pub fn orphaned(&self, now_us: u64) -> u32 {
        Held::get(self.orphaned, now_us).unwrap_or(0)
    }

    /// Returns when the next statement expires, in microseconds.
    pub fn next_expiry(&self, now_us: u64) -> Option<u64> {
        let times = [self.orphaned, self.slots].into_iter().flatten().map(|held| held.until_us);
        times.filter(|until_us| *until_us > now_us).min()
    }

    /// Returns how long work takes at the target now, as a multiple of the usual time; `None` if it is unknown.
    pub fn pace(&self, now_us: u64) -> Option<f64> {
        Held::get(self.pace, now_us).map(|pace| f64::from(pace) / USUAL_PACE)
    }
}
