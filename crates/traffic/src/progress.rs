//! Rollout progress of versions: relays report node counts by version, and the source adds them up.
//!
//! A node that moves to another relay is connected to both until the old relay notices. Relays therefore also report
//! which nodes connect and disconnect, and the source subtracts the nodes that several relays report. Such a node is
//! taken to lack a version, so progress is never overstated.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use kingcuplift_core::{NodeName, Version, ZoneName};
use kingcuplift_schema::control::{ConnectedNode, Progress, ProgressCount};
use smol_str::SmolStr;

/// Progress of one version in one availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneProgress {
    /// Nodes at which the version or a later one is in force.
    pub in_force: u64,
    /// Connected nodes.
    pub known: u64,
}

/// Progress of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionProgress {
    /// Nodes at which the version or a later one is in force.
    pub in_force: u64,
    /// Connected nodes.
    pub known: u64,
    /// Progress by availability zone.
    pub zones: BTreeMap<SmolStr, ZoneProgress>,
}

/// Reports of one relay, as differences to the previous report on the same link.
#[derive(Debug, Default)]
pub struct ProgressReporter {
    counts: Vec<ProgressCount>,
    nodes: BTreeSet<NodeName>,
    has_reported: bool,
}

impl ProgressReporter {
    /// Returns the report on the nodes connected now, or `None` if nothing has changed since the last one.
    ///
    /// A node that is listed more than once counts as it is listed last.
    pub fn report<'a>(
        &mut self,
        connected: impl Iterator<Item = (&'a NodeName, &'a ZoneName, Version)>,
    ) -> Option<Progress> {
        let nodes: BTreeMap<_, _> =
            connected.map(|(name, zone, version)| (name, (zone, version))).collect();
        let mut counts: BTreeMap<(&ZoneName, Version), u64> = BTreeMap::new();
        for (zone, version) in nodes.values() {
            *counts.entry((*zone, *version)).or_default() += 1;
        }
        let counts: Vec<_> = counts
            .into_iter()
            .map(|((zone, version), nodes)| ProgressCount {
                zone: zone.to_string(),
                version: version.get(),
                nodes,
            })
            .collect();
        let joined: Vec<_> = nodes
            .iter()
            .filter(|(name, _)| !self.nodes.contains(**name))
            .map(|(name, (zone, _))| ConnectedNode {
                name: name.to_string(),
                zone: zone.to_string(),
            })
            .collect();
        let left = self.nodes.iter().filter(|name| !nodes.contains_key(name));
        let left: Vec<_> = left.map(ToString::to_string).collect();
        let full = !self.has_reported;
        if !full && counts == self.counts && joined.is_empty() && left.is_empty() {
            return None;
        }
        self.has_reported = true;
        if !joined.is_empty() || !left.is_empty() {
            self.nodes = nodes.into_keys().cloned().collect();
        }
        self.counts.clone_from(&counts);
        Some(Progress { counts, joined, left, full })
    }
}

/// Latest report of one relay.
#[derive(Debug, Default)]
struct RelayReport {
    counts: Vec<ProgressCount>,
    nodes: BTreeSet<SmolStr>,
}

/// Relays that report a node, and the availability zone of the node.
#[derive(Debug)]
struct Connections {
    zone: SmolStr,
    relays: u64,
}

/// Latest progress report of each relay.
#[derive(Debug, Default)]
pub struct ProgressTracker {
    relays: HashMap<u64, RelayReport>,
    nodes: HashMap<SmolStr, Connections>,
    /// Reports of nodes beyond the first of each, by availability zone.
    surplus: BTreeMap<SmolStr, u64>,
}

impl ProgressTracker {
    /// Takes in a report of the relay with this session.
    pub fn update(&mut self, session: u64, progress: Progress) {
        if progress.full {
            self.remove(session);
        }
        let mut relay = self.relays.remove(&session).unwrap_or_default();
        for name in progress.left {
            if relay.nodes.remove(name.as_str()) {
                self.disconnect(&name);
            }
        }
        for node in progress.joined {
            let name = SmolStr::new(&node.name);
            if relay.nodes.insert(name.clone()) {
                self.connect(name, &node.zone);
            }
        }
        relay.counts = progress.counts;
        self.relays.insert(session, relay);
    }

    /// Removes a relay.
    pub fn remove(&mut self, session: u64) {
        let removed = self.relays.remove(&session).unwrap_or_default();
        for name in &removed.nodes {
            self.disconnect(name);
        }
    }

    fn connect(&mut self, name: SmolStr, zone: &str) {
        let node = self
            .nodes
            .entry(name)
            .or_insert_with(|| Connections { zone: SmolStr::new(zone), relays: 0 });
        node.relays += 1;
        if node.relays > 1 {
            *self.surplus.entry(node.zone.clone()).or_default() += 1;
        }
    }

    fn disconnect(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.relays -= 1;
        match node.relays {
            0 => {
                self.nodes.remove(name);
            }
            _ => {
                let surplus = self.surplus.entry(node.zone.clone()).or_default();
                *surplus = surplus.saturating_sub(1);
            }
        }
    }

    /// Returns the progress of one version.
    pub fn progress(&self, version: Version) -> VersionProgress {
        let mut sum = VersionProgress::default();
        for count in self.relays.values().flat_map(|relay| &relay.counts) {
            let zone = sum.zones.entry(SmolStr::new(&count.zone)).or_default();
            zone.known += count.nodes;
            if count.version >= version.get() {
                zone.in_force += count.nodes;
            }
        }
        for (name, zone) in &mut sum.zones {
            let surplus = self.surplus.get(name).copied().unwrap_or(0);
            zone.known = zone.known.saturating_sub(surplus);
            zone.in_force = zone.in_force.saturating_sub(surplus);
        }
        sum.known = sum.zones.values().map(|zone| zone.known).sum();
        sum.in_force = sum.zones.values().map(|zone| zone.in_force).sum();
        sum
    }
}
