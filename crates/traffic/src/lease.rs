//! Leases of the targets that announced themselves to this node.

use std::collections::BTreeMap;

use crate::table::TargetKey;

/// A target's lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Address on which the target accepts calls.
    pub address: String,
    /// Number of calls that the target runs at a time.
    pub slots: u32,
    /// Time at which the lease ends, in milliseconds.
    pub until_ms: u64,
}

/// Leases by target.
#[derive(Debug, Default)]
pub struct Leases {
    leases: BTreeMap<TargetKey, Lease>,
}

impl Leases {
    /// Starts or renews a lease; returns whether its address or slots differ from the previous one.
    pub fn renew(&mut self, key: TargetKey, lease: Lease) -> bool {
        let changed = self
            .leases
            .get(&key)
            .is_none_or(|old| old.address != lease.address || old.slots != lease.slots);
        self.leases.insert(key, lease);
        changed
    }

    /// Returns a target's lease.
    pub fn get(&self, key: &TargetKey) -> Option<&Lease> {
        self.leases.get(key)
    }

    /// Removes a lease.
    pub fn remove(&mut self, key: &TargetKey) -> Option<Lease> {
        self.leases.remove(key)
    }

    /// Removes the expired leases and returns their targets.
    pub fn expire(&mut self, now_ms: u64) -> Vec<TargetKey> {
        let expired = self.leases.iter().filter(|(_, lease)| lease.until_ms <= now_ms);
        let keys: Vec<TargetKey> = expired.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.leases.remove(key);
        }
        keys
    }

    /// Returns all leases.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetKey, &Lease)> {
        self.leases.iter()
    }
}
