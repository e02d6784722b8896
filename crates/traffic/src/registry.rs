//! Announced targets with the session that each was announced through.
//!
//! A target whose session has ended counts as gone after a grace, unless it is announced through another
//! session before. Announcements that come from elsewhere have no session here and never expire.

use std::collections::HashMap;

use kingcuplift_schema::control::{Target, TargetState};

use crate::table::{MergeResult, TargetKey, TargetTable};

/// Number of a session.
type SessionId = u64;

/// Session of a target.
#[derive(Debug, Clone, Copy)]
struct Owner {
    session: SessionId,
    /// When the session ended, in milliseconds.
    left_at: Option<u64>,
}

/// Outcome of an announcement from elsewhere.
#[derive(Debug, Clone, PartialEq)]
pub enum RemoteMerge {
    /// It was merged, and changed the table or not.
    Merged(MergeResult),
    /// It says that a target is gone that is connected here; this newer announcement contradicts it.
    Contradicted(Target),
}

/// Announced targets and their sessions.
#[derive(Debug)]
pub struct TargetRegistry {
    table: TargetTable,
    owners: HashMap<TargetKey, Owner>,
    grace_ms: u64,
}

impl TargetRegistry {
    /// Makes an empty registry; `grace_ms` is the time that a target outlives its session.
    pub fn new(grace_ms: u64) -> Self {
        Self { table: TargetTable::default(), owners: HashMap::new(), grace_ms }
    }

    /// Returns the targets.
    pub fn table(&self) -> &TargetTable {
        &self.table
    }

    /// Returns the targets that were announced through sessions here.
    pub fn owned(&self) -> impl Iterator<Item = &Target> {
        self.owners.keys().filter_map(|key| self.table.get(key))
    }

    /// Takes an announcement through a session.
    pub fn announce(&mut self, session: SessionId, target: Target, now_ms: u64) -> MergeResult {
        let key = TargetKey::of(&target);
        let is_gone = target.state() == TargetState::Gone;
        let merged = self.table.merge(target, now_ms);
        match (is_gone, merged) {
            (true, MergeResult::Changed) => drop(self.owners.remove(&key)),
            (true, MergeResult::Unchanged) => {}
            (false, _) => drop(self.owners.insert(key, Owner { session, left_at: None })),
        }
        merged
    }

    /// Takes an announcement from elsewhere.
    pub fn merge_remote(&mut self, target: Target, now_ms: u64) -> RemoteMerge {
        let key = TargetKey::of(&target);
        let is_connected = self.owners.get(&key).is_some_and(|owner| owner.left_at.is_none());
        let held = self.table.get(&key).filter(|held| held.incarnation <= target.incarnation);
        match held.cloned() {
            Some(mut held) if is_connected && target.state() == TargetState::Gone => {
                held.incarnation = target.incarnation + 1;
                self.table.merge(held.clone(), now_ms);
                RemoteMerge::Contradicted(held)
            }
            _ => {
                let is_present = target.state() != TargetState::Gone;
                let merged = self.table.merge(target, now_ms);
                if merged == MergeResult::Changed && is_present && !is_connected {
                    // It has come back elsewhere; its session here ends without consequence.
                    self.owners.remove(&key);
                }
                RemoteMerge::Merged(merged)
            }
        }
    }

    /// Records that a session has ended.
    pub fn end_session(&mut self, session: SessionId, now_ms: u64) {
        for owner in self.owners.values_mut().filter(|owner| owner.session == session) {
            owner.left_at = Some(now_ms);
        }
    }

    /// Begins the grace of all targets without session anew, while sessions end for a common reason.
    pub fn restart_grace(&mut self, now_ms: u64) {
        for owner in self.owners.values_mut().filter(|owner| owner.left_at.is_some()) {
            owner.left_at = Some(now_ms);
        }
    }

    /// Declares targets gone whose grace is over, and returns them.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Target> {
        let grace_ms = self.grace_ms;
        let is_over = |owner: &Owner| owner.left_at.is_some_and(|at| now_ms >= at + grace_ms);
        let keys: Vec<TargetKey> =
            self.owners.iter().filter(|(_, o)| is_over(o)).map(|(key, _)| key.clone()).collect();
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
