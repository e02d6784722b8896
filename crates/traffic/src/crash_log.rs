//! Targets that end while they run calls: which calls may have caused it.
//!
//! All calls in flight at a target fail when it ends, and the node beside the target sees all of them. It can't tell
//! which one was the cause, so it records the fingerprints of all.

use std::collections::{HashMap, VecDeque};

use kingcuplift_core::CallFingerprint;

use crate::table::TargetKey;

/// Time before a target was found to be down in which it may have ended, in milliseconds.
const DETECTION_MS: u64 = 1_500;
/// Time after a target was found to be down until its lost calls are known, in milliseconds.
const SETTLING_MS: u64 = 50;
/// Time for which a crash is kept, in milliseconds.
const CRASH_TTL_MS: u64 = 60_000;
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 8;
/// Maximum number of lost calls that are kept.
const MAX_LOSSES: usize = 128;
/// Maximum number of calls that are suspected of one crash.
const MAX_SUSPECTS: usize = 64;

/// A call that a target left without a response.
#[derive(Debug, Clone)]
struct Loss {
    key: TargetKey,
    fingerprint: CallFingerprint,
    started_ms: u64,
    lost_ms: u64,
}

/// End of a target while it ran calls.
#[derive(Debug, Clone, PartialEq)]
pub struct Crash {
    /// Service, version and node of the target.
    pub key: TargetKey,
    /// Time of the crash, in microseconds since the Unix epoch; distinguishes the crashes of one node.
    pub id: u64,
    /// Fingerprints of the calls that the target ran.
    pub suspects: Vec<CallFingerprint>,
    crashed_ms: u64,
}

/// Crashes of the targets on one VM.
#[derive(Debug, Default)]
pub struct CrashLog {
    losses: VecDeque<Loss>,
    /// Targets found to be down whose lost calls are still being collected, and since when.
    down: HashMap<TargetKey, u64>,
    crashes: VecDeque<Crash>,
}

impl CrashLog {
    /// Records that a target left a call without a response.
    pub fn record_loss(
        &mut self,
        key: &TargetKey,
        fingerprint: CallFingerprint,
        started_ms: u64,
        now_ms: u64,
    ) {
        while self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss { key: key.clone(), fingerprint, started_ms, lost_ms: now_ms });
    }

    /// Records that a target does not accept connections, or that another one was started in its place.
    pub fn record_down(&mut self, key: &TargetKey, now_ms: u64) {
        if !self.down.contains_key(key) {
            self.down.insert(key.clone(), now_ms);
        }
    }

    /// Returns the crashes whose suspects have become known; `wall_us` is the time of day and numbers them.
    pub fn poll(&mut self, wall_us: u64, now_ms: u64) -> Vec<Crash> {
        self.crashes.retain(|crash| now_ms < crash.crashed_ms + CRASH_TTL_MS);
        let is_settled = |since: &u64| now_ms >= since + SETTLING_MS;
        let settled: Vec<(TargetKey, u64)> =
            self.down.extract_if(|_, since| is_settled(since)).collect();
        let mut changed = Vec::new();
        for (i, (key, since)) in settled.into_iter().enumerate() {
            changed.extend(self.collect(key, since, wall_us + i as u64));
        }
        changed
    }

    /// Collects the calls that a target lost when it ended; returns `None` if it ran none.
    fn collect(&mut self, key: TargetKey, since_ms: u64, id: u64) -> Option<Crash> {
        let mut lost = Vec::new();
        self.losses.retain(|loss| {
            let is_match = loss.key == key;
            if is_match && loss.lost_ms + DETECTION_MS >= since_ms {
                lost.push(loss.clone());
            }
            !is_match
        });
        lost.truncate(MAX_SUSPECTS);
        let started_ms = lost.iter().map(|loss| loss.started_ms).max()?;
        let suspects = lost.into_iter().map(|loss| loss.fingerprint);
        // Calls that began before the last crash of the target were lost in that one.
        let earlier = self
            .crashes
            .iter_mut()
            .find(|crash| crash.key == key && started_ms <= crash.crashed_ms);
        if let Some(earlier) = earlier {
            earlier.suspects.extend(suspects);
            earlier.suspects.truncate(MAX_SUSPECTS);
            return Some(earlier.clone());
        }
        let crash = Crash { key, id, suspects: suspects.collect(), crashed_ms: since_ms };
        while self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash.clone());
        Some(crash)
    }

    /// Returns the crashes of the last minute.
    pub fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }
}
