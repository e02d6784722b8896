//! Departures of local targets: stored by the source before the targets get a confirmation.

use std::time::Duration;

use actix::ResponseFuture;
use kingcuplift_schema::control::{Departure, upward};
use kingcuplift_traffic::{DatedDepartures, ReportPosition, TargetKey};
use tokio::sync::oneshot::{self, Sender};

use crate::node::control::{InstanceReport, NodeActor};

/// Time for which a target's report waits until its departure is stored; the target waits for a second.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Reports of targets that leave, by the start times of the targets; each waits until the departure is stored.
#[derive(Debug, Default)]
pub(super) struct PendingConfirmations(Vec<(u64, Sender<()>)>);

impl PendingConfirmations {
    /// Returns whether the departure of the target that started at this time is stored in time.
    fn register(&mut self, start_time_ms: u64) -> ResponseFuture<bool> {
        let (sender, receiver) = oneshot::channel();
        self.0.retain(|(_, sender)| !sender.is_closed());
        self.0.push((start_time_ms, sender));
        Box::pin(async move {
            matches!(tokio::time::timeout(CONFIRMATION_TIMEOUT, receiver).await, Ok(Ok(())))
        })
    }

    /// Confirms the departures that `is_stored` holds for.
    fn confirm(&mut self, is_stored: impl Fn(u64) -> bool) {
        for (_, sender) in self.0.extract_if(.., |(start_time_ms, _)| is_stored(*start_time_ms)) {
            // The target may have given up.
            let _ = sender.send(());
        }
    }
}

impl NodeActor {
    /// Records whether a local target that reports on itself leaves.
    pub(super) fn record_life(&mut self, report: &InstanceReport) {
        match report.is_leaving {
            true => self.departures.record_leaving(report.position()),
            false => self.departures.begin_life(&report.instance),
        }
        self.send_departure();
    }

    /// Sends the departures of local targets to be stored, unless they are.
    pub(super) fn send_departure(&self) {
        let Some(departures) = self.departures.unstored() else { return };
        self.send_to_relay(upward::Body::Departure(Departure {
            node: self.shared.name.to_string(),
            ended_born: departures.ended_ms,
            leaving_born: departures.leaving.start_time_ms,
            leaving_sequence: departures.leaving.sequence,
        }));
    }

    /// Waits until the departure of the instance that started at this time is stored; returns whether it is.
    pub(super) fn wait_stored(&mut self, start_time_ms: u64) -> ResponseFuture<bool> {
        match self.departures.is_unstored(start_time_ms) {
            true => self.pending_confirmations.register(start_time_ms),
            false => Box::pin(async { true }),
        }
    }

    /// Learns what the source has stored; a restarted node has forgotten it.
    ///
    /// An instance that has left and was accepted again in the meantime, by a delayed report, is withdrawn.
    pub(super) fn learn_departures(&mut self, departures: &[Departure]) {
        for departure in departures {
            self.departures.record_stored(DatedDepartures {
                ended_ms: departure.ended_born,
                leaving: ReportPosition {
                    start_time_ms: departure.leaving_born,
                    sequence: departure.leaving_sequence,
                },
            });
        }
        self.withdraw_departed();
        for key in self.mark_leaving() {
            if let Some(local) = self.shared.local_targets.load_full().get(&key) {
                self.update_admission(&key, local);
            }
            self.republish_target(&key);
        }
        let departures = &self.departures;
        self.pending_confirmations.confirm(|start_time_ms| !departures.is_unstored(start_time_ms));
    }

    /// Marks the instances as leaving that had said so before, and returns their keys.
    fn mark_leaving(&mut self) -> Vec<TargetKey> {
        let mut marked = Vec::new();
        for (key, known) in &mut self.instances {
            let sequence = self.departures.leaving_sequence(known.report.position());
            if let Some(sequence) = sequence.filter(|_| !known.report.is_leaving) {
                known.report.is_leaving = true;
                known.report.sequence = sequence;
                marked.push(key.clone());
            }
        }
        marked
    }
}
