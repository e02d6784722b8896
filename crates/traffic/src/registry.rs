//! Announced targets and the session through which each was announced.
//!
//! When a session ends, its targets expire after a grace period unless they are announced through another session
//! before. Announcements that come from other processes have no session here and never expire.

use std::collections::HashMap;

use kingcuplift_schema::control::{Target, TargetState};

use crate::table::{MergeResult, TargetKey, TargetTable};

/// Identifier of a session.
type SessionId = u64;

/// Session through which a target was announced.
#[derive(Debug, Clone, Copy)]
struct Owner {
    session: SessionId,
    /// When the session ended, in milliseconds.
    ended_at: Option<u64>,
}

/// Result of an announcement that came from another process.
#[derive(Debug, Clone, PartialEq)]
pub enum RemoteMerge {
    /// The announcement was merged.
    Merged(MergeResult),
    /// The announcement says that a target is gone that has a session here; this newer one overrides it.
    Contradicted(Box<Target>),
}

/// Announced targets and their sessions.
#[derive(Debug)]
pub struct TargetRegistry {
    table: TargetTable,
    owners: HashMap<TargetKey, Owner>,
    grace_ms: u64,
}

impl TargetRegistry {
    /// Creates an empty registry; `grace_ms` is the time from the end of a session to the expiry of its targets.
    pub fn new(grace_ms: u64) -> Self {
        Self { table: TargetTable::default(), owners: HashMap::new(), grace_ms }
    }

    /// Returns the targets.
    pub fn table(&self) -> &TargetTable {
        &self.table
    }

    /// Returns the targets that were announced through a session here.
    pub fn owned(&self) -> impl Iterator<Item = &Target> {
        self.owners.keys().filter_map(|key| self.table.get(key))
    }

    /// Merges an announcement that came through a session.
    pub fn announce(&mut self, session: SessionId, target: Target, now_ms: u64) -> MergeResult {
        let key = TargetKey::of(&target);
        let is_gone = target.state() == TargetState::Gone;
        let merged = self.table.merge(target, now_ms);
        match (is_gone, merged) {
            (true, MergeResult::Changed) => drop(self.owners.remove(&key)),
            (true, MergeResult::Unchanged) => {}
            (false, _) => drop(self.owners.insert(key, Owner { session, ended_at: None })),
        }
        merged
    }

    /// Merges an announcement that came from another process.
    pub fn merge_remote(&mut self, target: Target, now_ms: u64) -> RemoteMerge {
        let key = TargetKey::of(&target);
        let is_connected = self.owners.get(&key).is_some_and(|owner| owner.ended_at.is_none());
        let known = self.table.get(&key).filter(|known| known.incarnation <= target.incarnation);
        match known.cloned() {
            Some(mut known) if is_connected && target.state() == TargetState::Gone => {
                known.incarnation = target.incarnation + 1;
                self.table.merge(known.clone(), now_ms);
                RemoteMerge::Contradicted(Box::new(known))
            }
            _ => {
                let is_present = target.state() != TargetState::Gone;
                let merged = self.table.merge(target, now_ms);
                if merged == MergeResult::Changed && is_present && !is_connected {
                    // The target is now announced through another process; its ended session here no longer expires it.
                    self.owners.remove(&key);
                }
                RemoteMerge::Merged(merged)
            }
        }
    }

    /// Records that a session has ended.
    pub fn end_session(&mut self, session: SessionId, now_ms: u64) {
        for owner in self.owners.values_mut().filter(|owner| owner.session == session) {
            owner.ended_at = Some(now_ms);
        }
    }

    /// Restarts the grace period of all targets without a session, while many sessions end for a common reason.
    pub fn restart_grace(&mut self, now_ms: u64) {
        for owner in self.owners.values_mut().filter(|owner| owner.ended_at.is_some()) {
            owner.ended_at = Some(now_ms);
        }
    }

    /// Marks the targets whose grace period is over as gone, and returns them.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Target> {
        let grace_ms = self.grace_ms;
        let is_expired = |owner: &Owner| owner.ended_at.is_some_and(|at| now_ms >= at + grace_ms);
        let keys: Vec<TargetKey> =
            self.owners.iter().filter(|(_, o)| is_expired(o)).map(|(key, _)| key.clone()).collect();
        let mut gone = Vec::new();
        for key in keys {
            self.owners.remove(&key);
            let Some(mut target) = self.table.get(&key).cloned() else { continue };
            target.set_state(TargetState::Gone);
            self.table.merge(target.clone(), now_ms);
            gone.push(target);
        }
        self.table.forget_gone(now_ms);
        gone
    }
}
