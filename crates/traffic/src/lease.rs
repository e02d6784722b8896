//! Leases of the targets that announced themselves to this node.

use std::collections::BTreeMap;

use crate::table::TargetKey;

/// A target's lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Address on which the target takes calls.
    pub address: String,
    /// Calls that the target runs at a time.
    pub slots: u32,
    /// Time at which the lease ends, in milliseconds.
    pub until_ms: u64,
}

/// Leases by target.
#[derive(Debug, Default)]
pub struct Leases {
    held: BTreeMap<TargetKey, Lease>,
}

impl Leases {
    /// Starts or renews a lease; returns whether the announcement differs from the one before.
    pub fn renew(&mut self, key: TargetKey, lease: Lease) -> bool {
        let changed = self
            .held
            .get(&key)
            .is_none_or(|held| held.address != lease.address || held.slots != lease.slots);
        self.held.insert(key, lease);
        changed
    }

    /// Returns a target's lease.
    pub fn get(&self, key: &TargetKey) -> Option<&Lease> {
        self.held.get(key)
    }

    /// Ends a lease.
    pub fn remove(&mut self, key: &TargetKey) -> Option<Lease> {
        self.held.remove(key)
    }

    /// Ends the leases that have run out and returns their targets.
    pub fn expire(&mut self, now_ms: u64) -> Vec<TargetKey> {
        let expired = self.held.iter().filter(|(_, lease)| lease.until_ms <= now_ms);
        let keys: Vec<TargetKey> = expired.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.held.remove(key);
        }
        keys
    }

    /// Returns all leases.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetKey, &Lease)> {
        self.held.iter()
    }
}
