//! The in-memory log: a snapshot and the entries after it.

use std::collections::VecDeque;
use std::sync::Arc;

use kingcuplift_schema::quorum::{Entry, Membership, Snapshot, entry};

/// Entries retained before a snapshot, so that slightly lagging members don't need the snapshot.
const RETAINED_ENTRIES: u64 = 2_000;

/// Snapshot and entries.
#[derive(Debug, Clone)]
pub struct Log {
    snapshot: Arc<Snapshot>,
    /// Index and term of the entry before `entries[0]`.
    base: (u64, u64),
    entries: VecDeque<Entry>,
    /// Memberships with the index of their entry, oldest first.
    memberships: Vec<(u64, Membership)>,
}

impl Log {
    /// Creates a log from a snapshot and the entries that follow it.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let base = (snapshot.index, snapshot.term);
        let membership = snapshot.membership.clone().unwrap_or_default();
        let mut log = Self {
            memberships: vec![(snapshot.index, membership)],
            snapshot: Arc::new(snapshot),
            base,
            entries: VecDeque::new(),
        };
        log.append(entries);
        log
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the index before the first retained entry.
    pub fn base_index(&self) -> u64 {
        self.base.0
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base.1, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, if it is known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        match index {
            _ if index == self.base.0 => Some(self.base.1),
            _ => self.get(index).map(|entry| entry.term),
        }
    }

    /// Returns the entry at `index`, if it is retained.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `limit` entries from `index` on.
    pub fn slice(&self, index: u64, limit: usize) -> Vec<Entry> {
        let offset = index.saturating_sub(self.base.0 + 1) as usize;
        self.entries.iter().skip(offset).take(limit).cloned().collect()
    }

    /// Returns the current membership: that of the last membership entry, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Returns the index of the last membership entry.
    pub fn membership_index(&self) -> u64 {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Appends entries, replacing all entries from the first one's index on.
    pub fn append(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first().map(|entry| entry.index) else { return };
        self.truncate_from(first);
        for entry in entries {
            if let Some(entry::Body::Membership(membership)) = &entry.body {
                self.memberships.push((entry.index, membership.clone()));
            }
            self.entries.push_back(entry);
        }
    }

    /// Creates a snapshot as of an applied entry and drops old entries.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) -> Option<Arc<Snapshot>> {
        if index <= self.snapshot.index {
            return None;
        }
        let term = self.term_at(index)?;
        let membership = self.membership_at(index);
        let snapshot = Snapshot { index, term, membership: Some(membership), state };
        self.snapshot = Arc::new(snapshot);
        let keep_from = index.saturating_sub(RETAINED_ENTRIES);
        if keep_from > self.base.0 {
            let base_term = self.term_at(keep_from)?;
            self.entries.drain(..(keep_from - self.base.0) as usize);
            self.base = (keep_from, base_term);
        }
        Some(Arc::clone(&self.snapshot))
    }

    /// Replaces the log up to the snapshot's index; later entries stay if the log matches the snapshot.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        let is_consistent = self.term_at(snapshot.index) == Some(snapshot.term);
        let remaining = match is_consistent {
            true => self.slice(snapshot.index + 1, usize::MAX),
            false => Vec::new(),
        };
        *self = Self::new(Snapshot::clone(&snapshot), remaining);
        self.snapshot = snapshot;
    }

    fn membership_at(&self, index: u64) -> Membership {
        let found = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        found.map(|(_, membership)| membership.clone()).unwrap_or_default()
    }

    fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.0 + 1) as usize;
        self.entries.truncate(keep);
        while self.memberships.len() > 1 && self.membership_index() >= index {
            self.memberships.pop();
        }
    }
}
