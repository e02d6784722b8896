//! Requests that end each target that begins to run them, and that callers send again and again.
//!
//! Every node learns of all crashes, with the fingerprints of the calls that the target ran. A request that was there
//! each time, and that no target has answered since, is refused.

use std::collections::HashMap;

use kingcuplift_core::CallFingerprint;
use smol_str::SmolStr;

/// Number of crashes after which a request is refused.
const CRASH_LIMIT: usize = 3;
/// Time since the last crash for which a request is refused, in milliseconds.
const QUARANTINE_MS: u64 = 600_000;
/// Time since the last crash after which a request is no longer suspected, in milliseconds.
///
/// After its quarantine, one more crash is enough to refuse a request again.
const SUSPICION_MS: u64 = 2 * QUARANTINE_MS;
/// Maximum number of crashes that are kept of one request.
const MAX_CRASHES: usize = 32;
/// Maximum number of suspected requests; the one whose last crash is oldest is forgotten first.
const MAX_SUSPECTS: usize = 2_048;

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// No target that ran it has ended, or one has answered it since.
    None,
    /// Targets that ran it have ended; it may have been in flight there by chance.
    Suspected,
    /// So many targets that ran it have ended that it is refused.
    Quarantined,
}

/// A crash at which a request was in flight.
#[derive(Debug)]
struct SuspectCrash {
    /// Node beside the target.
    node: SmolStr,
    /// Number of the crash there.
    id: u64,
    crashed_ms: u64,
}

/// Crashes at which a request was in flight, and the latest answer to it.
#[derive(Debug, Default)]
struct Suspect {
    crashes: Vec<SuspectCrash>,
    /// Crashes up to this time don't count.
    answered_ms: Option<u64>,
}

impl Suspect {
    fn latest_ms(&self) -> u64 {
        self.crashes.iter().map(|crash| crash.crashed_ms).max().unwrap_or(0)
    }

    /// Returns the number of crashes since the latest answer.
    fn unanswered(&self) -> usize {
        let is_later = |at: u64| self.answered_ms.is_none_or(|answered| at > answered);
        self.crashes.iter().filter(|crash| is_later(crash.crashed_ms)).count()
    }
}

/// Requests that are suspected of ending their targets.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<CallFingerprint, Suspect>,
}

impl Quarantine {
    /// Records a crash of a target beside `node`, and returns the requests that are refused since then.
    ///
    /// The same crash may be recorded more than once, with more requests.
    pub fn record_crash(
        &mut self,
        node: &SmolStr,
        id: u64,
        requests: &[CallFingerprint],
        crashed_ms: u64,
    ) -> Vec<CallFingerprint> {
        let mut refused = Vec::new();
        for request in requests {
            let before = self.suspicion(*request, crashed_ms);
            let suspect = self.suspects.entry(*request).or_default();
            if suspect.crashes.iter().any(|crash| crash.node == *node && crash.id == id) {
                continue;
            }
            if suspect.crashes.len() >= MAX_CRASHES {
                suspect.crashes.remove(0);
            }
            suspect.crashes.push(SuspectCrash { node: node.clone(), id, crashed_ms });
            let after = self.suspicion(*request, crashed_ms);
            if after != before && after == Suspicion::Quarantined {
                refused.push(*request);
            }
        }
        self.forget(crashed_ms);
        refused
    }

    /// Records that a target has answered a request, which clears it of the crashes so far.
    ///
    /// The crashes are kept, as later announcements of their targets repeat them.
    pub fn record_answer(&mut self, request: CallFingerprint, now_ms: u64) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.answered_ms = Some(now_ms);
        }
    }

    /// Returns what is known of a request.
    pub fn suspicion(&self, request: CallFingerprint, now_ms: u64) -> Suspicion {
        let Some(suspect) = self.suspects.get(&request) else { return Suspicion::None };
        let age = now_ms.saturating_sub(suspect.latest_ms());
        match suspect.unanswered() {
            CRASH_LIMIT.. if age < QUARANTINE_MS => Suspicion::Quarantined,
            1.. if age < SUSPICION_MS => Suspicion::Suspected,
            _ => Suspicion::None,
        }
    }

    fn forget(&mut self, now_ms: u64) {
        self.suspects.retain(|_, suspect| now_ms < suspect.latest_ms() + SUSPICION_MS);
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.latest_ms());
            let Some(oldest) = oldest.map(|(request, _)| *request) else { return };
            self.suspects.remove(&oldest);
        }
    }
}
