//! Table of announced targets, merged from all announcements.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use kingcuplift_schema::control::{Crash, Target, TargetState};
use smol_str::SmolStr;

/// Time for which the tombstone of a gone target is kept, in milliseconds.
const TOMBSTONE_TTL_MS: u64 = 300_000;

/// Maximum number of crashes that are kept of one target.
const MAX_CRASHES: usize = 8;

/// Identity of a target: its service, version and node.
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
    /// Returns the key of an announced target.
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
    /// The announcement is newer than the table's entry, or the first of its target.
    Changed,
    /// The table already has this announcement or a newer one.
    Unchanged,
}

#[derive(Debug, Clone)]
struct Entry {
    target: Target,
    position: u64,
    changed_ms: u64,
}

/// Targets by key; merging is idempotent and commutative.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    entries: HashMap<TargetKey, Entry>,
    order: BTreeMap<u64, TargetKey>,
    services: HashMap<SmolStr, BTreeSet<TargetKey>>,
    position: u64,
}

impl TargetTable {
    /// Merges one announcement; the higher incarnation wins, then the higher state.
    ///
    /// What earlier announcements say of crashes is kept: the node beside the target forgets it when it restarts.
    pub fn merge(&mut self, mut target: Target, now_ms: u64) -> MergeResult {
        let key = TargetKey::of(&target);
        if let Some(entry) = self.entries.get(&key) {
            if precedence(&target) <= precedence(&entry.target) {
                return MergeResult::Unchanged;
            }
            keep_crashes(&entry.target.crashes, &mut target.crashes);
            self.order.remove(&entry.position);
        }
        self.position += 1;
        self.order.insert(self.position, key.clone());
        self.services.entry(key.service.clone()).or_default().insert(key.clone());
        let entry = Entry { target, position: self.position, changed_ms: now_ms };
        self.entries.insert(key, entry);
        MergeResult::Changed
    }

    /// Returns the position of the latest change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the targets changed after `position`, oldest change first.
    pub fn changed_since(&self, position: u64) -> impl Iterator<Item = &Target> {
        let keys = self.order.range(position + 1..).map(|(_, key)| key);
        keys.filter_map(|key| self.entries.get(key)).map(|entry| &entry.target)
    }

    /// Returns one target.
    pub fn get(&self, key: &TargetKey) -> Option<&Target> {
        self.entries.get(key).map(|entry| &entry.target)
    }

    /// Returns the time until which a target is cold by its announcement, on the clock of [`Self::merge`].
    pub fn cold_until(&self, key: &TargetKey) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.changed_ms + u64::from(entry.target.cold_ms))
    }

    /// Returns the targets of one service, in order of their keys.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (&TargetKey, &Target)> {
        let keys = self.services.get(service).into_iter().flatten();
        keys.filter_map(|key| Some((key, &self.entries.get(key)?.target)))
    }

    /// Returns all targets that are not gone.
    pub fn present(&self) -> impl Iterator<Item = (&TargetKey, &Target)> {
        let all = self.entries.iter().map(|(key, entry)| (key, &entry.target));
        all.filter(|(_, target)| target.state() != TargetState::Gone)
    }

    /// Removes the targets that have been gone for longer than tombstones are kept.
    pub fn forget_gone(&mut self, now_ms: u64) {
        let (order, services) = (&mut self.order, &mut self.services);
        self.entries.retain(|key, entry| {
            let gone = entry.target.state() == TargetState::Gone;
            let keep = !gone || now_ms < entry.changed_ms + TOMBSTONE_TTL_MS;
            if !keep {
                order.remove(&entry.position);
                if let Some(keys) = services.get_mut(&key.service) {
                    keys.remove(key);
                }
            }
            keep
        });
    }
}

/// Adds earlier crashes to those of an announcement, up to the newest [`MAX_CRASHES`].
fn keep_crashes(earlier: &[Crash], crashes: &mut Vec<Crash>) {
    let is_missing = |crash: &&Crash| crashes.iter().all(|other| other.id != crash.id);
    let missing: Vec<Crash> = earlier.iter().filter(is_missing).cloned().collect();
    crashes.extend(missing);
    crashes.sort_by_key(|crash| crash.id);
    let surplus = crashes.len().saturating_sub(MAX_CRASHES);
    crashes.drain(..surplus);
}

/// Returns the precedence of an announcement among those of the same target.
fn precedence(target: &Target) -> (u64, i32) {
    (target.incarnation, target.state)
}
