//! Announced targets, as merged from all announcements.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use kingcuplift_schema::control::{Target, TargetState};
use smol_str::SmolStr;

/// Time for which the record of a gone target is kept, in milliseconds.
const TOMBSTONE: u64 = 300_000;

/// Address of a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey {
    /// Name of the service.
    pub service: SmolStr,
    /// Label of the target's version.
    pub version: SmolStr,
    /// Name of the node beside the target.
    pub node: SmolStr,
}

impl TargetKey {
    /// Returns the address of an announced target.
    pub fn of(target: &Target) -> Self {
        Self {
            service: SmolStr::new(&target.service),
            version: SmolStr::new(&target.version),
            node: SmolStr::new(&target.node),
        }
    }
}

impl fmt::Display for TargetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}@{}", self.service, self.version, self.node)
    }
}

/// Whether an announcement changed the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeResult {
    /// The announcement is newer than what the table held.
    Changed,
    /// The table held this or something newer.
    Unchanged,
}

#[derive(Debug, Clone)]
struct Held {
    target: Target,
    position: u64,
    changed_ms: u64,
}

/// Targets by address; merging is idempotent and independent of order.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    held: HashMap<TargetKey, Held>,
    order: BTreeMap<u64, TargetKey>,
    services: HashMap<SmolStr, BTreeSet<TargetKey>>,
    position: u64,
}

impl TargetTable {
    /// Merges one announcement; the higher incarnation wins, and then the later state.
    pub fn merge(&mut self, target: Target, now_ms: u64) -> MergeResult {
        let key = TargetKey::of(&target);
        if let Some(held) = self.held.get(&key) {
            if age(&target) <= age(&held.target) {
                return MergeResult::Unchanged;
            }
            self.order.remove(&held.position);
        }
        self.position += 1;
        self.order.insert(self.position, key.clone());
        self.services.entry(key.service.clone()).or_default().insert(key.clone());
        let held = Held { target, position: self.position, changed_ms: now_ms };
        self.held.insert(key, held);
        MergeResult::Changed
    }

    /// Returns the position of the latest change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the targets changed after `position`, oldest change first.
    pub fn changed_since(&self, position: u64) -> impl Iterator<Item = &Target> {
        let keys = self.order.range(position + 1..).map(|(_, key)| key);
        keys.filter_map(|key| self.held.get(key)).map(|held| &held.target)
    }

    /// Returns one target.
    pub fn get(&self, key: &TargetKey) -> Option<&Target> {
        self.held.get(key).map(|held| &held.target)
    }

    /// Returns until when a target is cold, as far as its announcement says, on the clock of [`Self::merge`].
    pub fn cold_until(&self, key: &TargetKey) -> u64 {
        self.held.get(key).map_or(0, |held| held.changed_ms + u64::from(held.target.cold_ms))
    }

    /// Returns the targets of one service, in order of address.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (&TargetKey, &Target)> {
        let keys = self.services.get(service).into_iter().flatten();
        keys.filter_map(|key| Some((key, &self.held.get(key)?.target)))
    }

    /// Returns all targets that are not gone.
    pub fn present(&self) -> impl Iterator<Item = (&TargetKey, &Target)> {
        let all = self.held.iter().map(|(key, held)| (key, &held.target));
        all.filter(|(_, target)| target.state() != TargetState::Gone)
    }

    /// Forgets targets that have been gone for long.
    pub fn forget_gone(&mut self, now_ms: u64) {
        let (order, services) = (&mut self.order, &mut self.services);
        self.held.retain(|key, held| {
            let gone = held.target.state() == TargetState::Gone;
            let keep = !gone || now_ms < held.changed_ms + TOMBSTONE;
            if !keep {
                order.remove(&held.position);
                if let Some(keys) = services.get_mut(&key.service) {
                    keys.remove(key);
                }
            }
            keep
        });
    }
}

/// Orders announcements of one target.
fn age(target: &Target) -> (u64, i32) {
    (target.incarnation, target.state)
}
