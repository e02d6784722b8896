//! Rollout progress of versions, from the node counts that relays report.

use std::collections::{BTreeMap, HashMap};

use kingcuplift_core::Version;
use kingcuplift_schema::control::{Progress, ProgressCount};
use serde::Serialize;

use crate::fanout::SessionId;

/// Progress of one version in one availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct ZoneProgress {
    /// Nodes that run the version or a later one.
    pub(crate) in_force: u64,
    /// Connected nodes.
    pub(crate) known: u64,
}

/// Progress of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(crate) struct VersionProgress {
    /// Nodes that run the version or a later one.
    pub(crate) in_force: u64,
    /// Connected nodes.
    pub(crate) known: u64,
    /// Progress by availability zone.
    pub(crate) zones: BTreeMap<String, ZoneProgress>,
}

/// Latest progress report of each relay.
#[derive(Debug, Default)]
pub(crate) struct ProgressTracker {
    relays: HashMap<SessionId, Vec<ProgressCount>>,
}

impl ProgressTracker {
    /// Replaces the progress report of one relay.
    pub(crate) fn update(&mut self, session: SessionId, progress: Progress) {
        self.relays.insert(session, progress.counts);
    }

    /// Removes a relay.
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
