//! Targets that have left a node's VM: a delayed report must not bring one back.
//!
//! What is known of a departure outlives the target's lease, and the lease may have ended before the departure. The source
//! stores departures, so that they also outlive the node; one that is not stored yet must not be confirmed.

use std::collections::HashMap;

use smol_str::SmolStr;

/// Time for which the departure of an instance is remembered by its name, in milliseconds; reports are seconds late.
const UNDATED_TTL_MS: u64 = 30_000;
/// Highest sequence number that counts as the first report of an instance.
const FIRST_SEQUENCE: u64 = 1;

/// Place of a report among those of the instances on one VM: by start time, then by sequence number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportPosition {
    /// Start time of the instance, in milliseconds since the Unix epoch; 0 if unknown.
    pub start_time_ms: u64,
    /// Increases with each report of the instance.
    pub sequence: u64,
}

/// Departure of an instance that stated no start time when it deregistered.
#[derive(Debug, Clone, Copy)]
struct UndatedDeparture {
    /// Time of the deregistration, in milliseconds since the Unix epoch.
    at_ms: u64,
    /// Monotonic time until which it is remembered, in milliseconds.
    until_ms: u64,
}

/// Departures of instances with a start time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DatedDepartures {
    /// Latest start time of the instances that have ended, in milliseconds since the Unix epoch; 0 if none.
    pub ended_ms: u64,
    /// Latest report in which an instance said that it leaves.
    pub leaving: ReportPosition,
}

impl DatedDepartures {
    fn merge(&mut self, other: Self) {
        self.ended_ms = self.ended_ms.max(other.ended_ms);
        self.leaving = self.leaving.max(other.leaving);
    }

    /// Returns the latest start time of the instances that have left.
    fn latest_ms(self) -> u64 {
        self.ended_ms.max(self.leaving.start_time_ms)
    }
}

/// Departures of the targets on one VM, which runs one instance at a time.
#[derive(Debug, Default)]
pub struct Departures {
    known: DatedDepartures,
    /// Those that the source has stored.
    stored: DatedDepartures,
    /// Departures without a start time, by instance name.
    undated: HashMap<SmolStr, UndatedDeparture>,
}

impl Departures {
    /// Returns all departures with a start time, for the source to store, unless it has stored them.
    pub fn unstored(&self) -> Option<DatedDepartures> {
        self.is_unstored(self.known.latest_ms()).then_some(self.known)
    }

    /// Records what the source has stored; a restarted node learns of departures by that.
    pub fn record_stored(&mut self, stored: DatedDepartures) {
        self.stored.merge(stored);
        self.known.merge(stored);
    }

    /// Returns whether the departure of an instance is known and not stored yet, so that it must not be confirmed.
    ///
    /// Once it is stored that an instance leaves, its end needs no further write: its reports from before are outdated, and
    /// the later ones say that it leaves. Without a start time there is nothing to store.
    pub fn is_unstored(&self, start_time_ms: u64) -> bool {
        (self.stored.latest_ms() + 1..=self.known.latest_ms()).contains(&start_time_ms)
    }

    /// Records that an instance has ended, and all that started before it.
    pub fn record_end(&mut self, start_time_ms: u64) {
        self.known.ended_ms = self.known.ended_ms.max(start_time_ms);
    }

    /// Records that an instance has ended of which only the name is known.
    ///
    /// `wall_ms` is the time since the Unix epoch, to tell the instance from a later one of the same name.
    pub fn record_undated_end(&mut self, instance: &SmolStr, wall_ms: u64, now_ms: u64) {
        self.undated.retain(|_, departure| now_ms < departure.until_ms);
        let departure = UndatedDeparture { at_ms: wall_ms, until_ms: now_ms + UNDATED_TTL_MS };
        self.undated.insert(instance.clone(), departure);
    }

    /// Records a report in which an instance said that it leaves.
    ///
    /// Without a start time, the next life of a target can't be told from the one that leaves.
    pub fn record_leaving(&mut self, position: ReportPosition) {
        if position.start_time_ms > 0 {
            self.known.leaving = self.known.leaving.max(position);
        }
    }

    /// Returns the sequence number of the report in which the instance at `position` said that it leaves, if it did so
    /// in that report or later.
    pub fn leaving_sequence(&self, position: ReportPosition) -> Option<u64> {
        let leaving = self.known.leaving;
        (position.start_time_ms > 0 && position <= leaving).then_some(leaving.sequence)
    }

    /// Returns whether an instance has ended.
    pub fn has_ended(&self, instance: &str, start_time_ms: u64, now_ms: u64) -> bool {
        let is_undated_end =
            || self.undated_end(instance, now_ms).is_some_and(|at| start_time_ms <= at);
        (start_time_ms > 0 && start_time_ms <= self.known.ended_ms) || is_undated_end()
    }

    /// Returns whether a report that an instance is ready was made before it left.
    ///
    /// The first report of an instance without a start time begins a new life under the same name.
    pub fn is_outdated(&self, instance: &str, position: ReportPosition, now_ms: u64) -> bool {
        let ReportPosition { start_time_ms, sequence } = position;
        match start_time_ms {
            0 => sequence > FIRST_SEQUENCE && self.undated_end(instance, now_ms).is_some(),
            _ => {
                self.has_ended(instance, start_time_ms, now_ms)
                    || self.leaving_sequence(position).is_some()
            }
        }
    }

    /// Forgets the departure of an earlier instance without a start time, as another one of the same name reports.
    pub fn begin_life(&mut self, instance: &str) {
        self.undated.remove(instance);
    }

    /// Returns the time at which an instance deregistered without a start time, if that is remembered.
    fn undated_end(&self, instance: &str, now_ms: u64) -> Option<u64> {
        let departure = self.undated.get(instance).filter(|departure| now_ms < departure.until_ms);
        departure.map(|departure| departure.at_ms)
    }
}
