//! Chooses a target: the less loaded of two drawn at random, in the own availability zone first.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use kingcuplift_core::ZoneName;
use rand::Rng;

use crate::table::TargetKey;

/// Load above which targets of other availability zones are considered, in per cent of the slots.
const SPILL_LOAD: u64 = 80;
/// First time for which a target is avoided after a refusal, in milliseconds.
const FIRST_AVOIDANCE: u64 = 250;
/// Longest time for which a target is avoided, in milliseconds.
const MAX_AVOIDANCE: u64 = 8_000;

/// A target that calls can be sent to, with what this node knows of its load.
#[derive(Debug)]
pub struct Candidate {
    /// Service, version and node of the target.
    pub key: TargetKey,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address on which the node beside the target takes calls.
    pub peer: String,
    /// Calls that the target runs at a time.
    pub slots: u32,
    /// Calls of this node that the target runs or queues.
    running: AtomicU32,
    /// Refusals in a row.
    refusals: AtomicU32,
    /// Time until which the target is avoided, in milliseconds.
    avoided_until: AtomicU64,
}

impl Candidate {
    /// Makes a target without load.
    pub fn new(key: TargetKey, zone: ZoneName, peer: String, slots: u32) -> Self {
        Self {
            key,
            zone,
            peer,
            slots: slots.max(1),
            running: AtomicU32::new(0),
            refusals: AtomicU32::new(0),
            avoided_until: AtomicU64::new(0),
        }
    }

    /// Records that a call was sent.
    pub fn begin(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a call has ended.
    pub fn end(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that the target answered a call itself.
    pub fn answered(&self) {
        self.refusals.store(0, Ordering::Relaxed);
    }

    /// Records that a call was refused or its answer lost, and avoids the target for a while.
    pub fn refused(&self, now_ms: u64) {
        let earlier = self.refusals.fetch_add(1, Ordering::Relaxed);
        let avoidance = FIRST_AVOIDANCE << earlier.min(5);
        let until = now_ms + avoidance.min(MAX_AVOIDANCE);
        self.avoided_until.store(until, Ordering::Relaxed);
    }

    /// Returns the load in per cent of the slots.
    fn load(&self) -> u64 {
        u64::from(self.running.load(Ordering::Relaxed)) * 100 / u64::from(self.slots)
    }

    fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until.load(Ordering::Relaxed)
    }
}

/// Chooses among `candidates`, leaving out those whose key is in `tried`.
///
/// Targets that are avoided are taken only when no other is left.
pub fn choose<'a, C: AsRef<Candidate>>(
    candidates: &'a [C],
    zone: &ZoneName,
    tried: &[TargetKey],
    now_ms: u64,
    rng: &mut impl Rng,
) -> Option<&'a C> {
    let fresh: Vec<&C> = candidates.iter().filter(|c| !tried.contains(&c.as_ref().key)).collect();
    let ready: Vec<&C> = fresh.iter().copied().filter(|c| !c.as_ref().is_avoided(now_ms)).collect();
    let near: Vec<&C> = ready
        .iter()
        .copied()
        .filter(|c| c.as_ref().zone == *zone && c.as_ref().load() < SPILL_LOAD)
        .collect();
    let pool = [near, ready, fresh].into_iter().find(|pool| !pool.is_empty())?;
    let first = pool[rng.random_range(0..pool.len())];
    let second = pool[rng.random_range(0..pool.len())];
    match first.as_ref().load() <= second.as_ref().load() {
        true => Some(first),
        false => Some(second),
    }
}
