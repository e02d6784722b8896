//! Targets that have left, by node: the source stores them, and relays keep a copy.

use std::collections::{BTreeMap, HashMap};

use kingcuplift_schema::control::Departure;
use smol_str::SmolStr;

/// Time for which a departure is kept, in milliseconds; delayed reports of targets arrive within seconds.
pub const DEPARTURE_TTL_MS: u64 = 300_000;

#[derive(Debug, Clone)]
struct Entry {
    departure: Departure,
    position: u64,
    changed_ms: u64,
}

impl Entry {
    /// Returns whether the departure may be forgotten; other tables may have done so.
    fn is_old(&self, now_ms: u64) -> bool {
        now_ms >= self.changed_ms + DEPARTURE_TTL_MS
    }
}

/// Departures by node; merging is idempotent and commutative.
#[derive(Debug, Clone, Default)]
pub struct DepartureTable {
    entries: HashMap<SmolStr, Entry>,
    /// Nodes by the position of their latest change.
    order: BTreeMap<u64, SmolStr>,
    position: u64,
}

impl DepartureTable {
    /// Merges a departure; returns false if the table has it already and does not forget it soon.
    pub fn merge(&mut self, departure: &Departure, now_ms: u64) -> bool {
        let node = SmolStr::new(&departure.node);
        let mut merged = departure.clone();
        if let Some(entry) = self.entries.get(&node) {
            merge_departure(&mut merged, &entry.departure);
            if merged == entry.departure && !entry.is_old(now_ms) {
                return false;
            }
            self.order.remove(&entry.position);
        }
        self.position += 1;
        self.order.insert(self.position, node.clone());
        let entry = Entry { departure: merged, position: self.position, changed_ms: now_ms };
        self.entries.insert(node, entry);
        true
    }

    /// Returns whether merging a departure would change nothing.
    pub fn covers(&self, departure: &Departure, now_ms: u64) -> bool {
        let entry = self.entries.get(departure.node.as_str());
        entry.filter(|entry| !entry.is_old(now_ms)).is_some_and(|entry| {
            let mut merged = departure.clone();
            merge_departure(&mut merged, &entry.departure);
            merged == entry.departure
        })
    }

    /// Returns the position of the latest change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the departures changed after `position`, oldest change first.
    pub fn changed_since(&self, position: u64) -> impl Iterator<Item = &Departure> {
        let nodes = self.order.range(position + 1..).map(|(_, node)| node);
        nodes.filter_map(|node| self.entries.get(node)).map(|entry| &entry.departure)
    }

    /// Returns the departure of one node, if it changed after `position`.
    pub fn of_node(&self, node: &str, position: u64) -> Option<&Departure> {
        let entry = self.entries.get(node).filter(|entry| entry.position > position);
        entry.map(|entry| &entry.departure)
    }

    /// Returns all departures with the times of their latest change, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Departure, u64)> {
        let entries = self.order.values().filter_map(|node| self.entries.get(node));
        entries.map(|entry| (&entry.departure, entry.changed_ms))
    }

    /// Removes the departures that are older than they are kept.
    pub fn forget_old(&mut self, now_ms: u64) {
        while let Some(oldest) = self.order.first_entry() {
            if self.entries.get(oldest.get()).is_some_and(|entry| !entry.is_old(now_ms)) {
                return;
            }
            self.entries.remove(&oldest.remove());
        }
    }
}

/// Adds to a departure what another one of the same node states.
pub fn merge_departure(departure: &mut Departure, other: &Departure) {
    departure.ended_born = departure.ended_born.max(other.ended_born);
    let leaving = |departure: &Departure| (departure.leaving_born, departure.leaving_sequence);
    (departure.leaving_born, departure.leaving_sequence) = leaving(departure).max(leaving(other));
}
