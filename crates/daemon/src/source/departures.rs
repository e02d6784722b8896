//! Departures of targets that the leader stores in the log, many with one write.

use std::collections::BTreeMap;

use kingcuplift_config::{Submission, merge_departure};
use kingcuplift_quorum::{Event as Input, Token};
use kingcuplift_schema::Message as _;
use kingcuplift_schema::control::Departure;

use crate::clock::wall_ms;
use crate::source::actor::SourceActor;

/// Maximum number of departures in one entry of the log.
const MAX_BATCH: usize = 1_000;

/// Departures that are not in the log yet; one write is in flight at a time, and the next one takes what came meanwhile.
#[derive(Debug, Default)]
pub(crate) struct DepartureQueue {
    waiting: BTreeMap<String, Departure>,
    in_flight: Option<Token>,
}

impl DepartureQueue {
    fn push(&mut self, departure: Departure) {
        let waiting = self.waiting.entry(departure.node.clone()).or_default();
        merge_departure(waiting, &departure);
        waiting.node = departure.node;
    }

    /// Returns the next departures to write, unless a write is in flight.
    fn take_batch(&mut self) -> Option<Vec<Departure>> {
        if self.in_flight.is_some() || self.waiting.is_empty() {
            return None;
        }
        let rest = match self.waiting.keys().nth(MAX_BATCH).cloned() {
            Some(first) => self.waiting.split_off(&first),
            None => BTreeMap::new(),
        };
        Some(std::mem::replace(&mut self.waiting, rest).into_values().collect())
    }

    /// Permits the next write, as the one with this token was applied or refused.
    pub(crate) fn end_write(&mut self, token: Token) {
        self.in_flight = self.in_flight.filter(|in_flight| *in_flight != token);
    }
}

impl SourceActor {
    /// Queues a departure unless it is stored; its node repeats it until then.
    pub(crate) fn handle_departure(&mut self, departure: Departure) {
        if !self.catalog.departures().covers(&departure, wall_ms()) {
            self.relays.departures.push(departure);
            self.store_departures();
        }
    }

    /// As leader, proposes the queued departures.
    pub(crate) fn store_departures(&mut self) {
        if !self.is_current_leader() {
            return;
        }
        let Some(departures) = self.relays.departures.take_batch() else { return };
        let token = self.next_token();
        self.relays.departures.in_flight = Some(token);
        let submission = Submission { departures, at_ms: wall_ms(), ..Submission::default() };
        self.step(Input::Propose { token, command: submission.encode_to_vec() });
    }
}
