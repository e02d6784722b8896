//! Where the nodes stand, as summed by the relays.

use std::collections::{BTreeMap, HashMap};

use kingcuplift_core::Version;
use kingcuplift_schema::control::{Progress, ProgressCount};
use serde::Serialize;

use crate::fanout::SessionId;

/// Nodes of one availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct ZoneProgress {
    /// Nodes that run the version or a later one.
    pub(crate) in_force: u64,
    /// Nodes that are connected.
    pub(crate) known: u64,
}

/// Progress of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(crate) struct VersionProgress {
    /// Nodes that run the version or a later one.
    pub(crate) in_force: u64,
    /// Nodes that are connected.
    pub(crate) known: u64,
    /// The same by availability zone.
    pub(crate) zones: BTreeMap<String, ZoneProgress>,
}

/// Latest sums of each relay.
#[derive(Debug, Default)]
pub(crate) struct Tracker {
    relays: HashMap<SessionId, Vec<ProgressCount>>,
}

impl Tracker {
    /// Replaces the sums of one relay.
    pub(crate) fn update(&mut self, session: SessionId, progress: Progress) {
        self.relays.insert(session, progress.counts);
    }

    /// Forgets a relay.
    pub(crate) fn remove(&mut self, session: SessionId) {
        self.relays.remove(&session);
    }

    /// Returns the progress of one version.
    pub(crate) fn progress(&self, version: Version) -> VersionProgress {
        let mut sum = VersionProgress::default();
        for count in self.relays.values().flatten() {
            let in_force = match count.version >= version.get() {
                true => count.nodes,
                false => 0,
            };
            let zone = sum.zones.entry(count.zone.clone()).or_default();
            zone.in_force += in_force;
            zone.known += count.nodes;
            sum.in_force += in_force;
            sum.known += count.nodes;
        }
        sum
    }
}
