//! Links to peers that have lost contact with the leader, as on the smaller side of a split of the source.
//!
//! A peer says with each heartbeat whether it has heard from a current leader lately. One that has not may be cut off, or
//! there is no leader for now; it cannot tell. So a process stays with such a peer for a while, then looks at all others
//! in turn and leaves each at once unless it is in contact. If none is, it waits again. Each look costs a handshake, so
//! the waits grow from round to round where there are many peers.

/// Time after which a link is left when its peer has lost contact, in milliseconds.
const WAIT_MS: u64 = 800;
/// The same for the first link as long as no peer has had contact: after a restart of the site, all wait for an election.
const STARTUP_WAIT_MS: u64 = 1_600;
/// Maximum doublings of the wait while no peer has contact.
const MAX_DOUBLINGS: usize = 4;
/// Number of peers up to which the wait is not doubled.
const FEW_PEERS: usize = 5;

/// Decides when to leave a link because its peer has lost contact with the leader.
#[derive(Debug, Default)]
pub struct LinkStaleness {
    /// When the peer last reported contact on the current link, in milliseconds.
    fresh_ms: Option<u64>,
    /// When the current link was opened, in milliseconds.
    opened_ms: u64,
    /// Whether the peer of any link has ever reported contact.
    was_ever_fresh: bool,
    /// Number of consecutive links left as stale.
    left: usize,
    /// Number of known peers.
    peers: usize,
}

impl LinkStaleness {
    /// Records that a link was opened to one of `peers` known peers.
    pub fn link_opened(&mut self, peers: usize, now_ms: u64) {
        self.peers = peers.max(1);
        self.opened_ms = now_ms;
        self.fresh_ms = None;
    }

    /// Records a heartbeat, `fresh` if the peer has contact; returns whether the link is to be left.
    pub fn record_heartbeat(&mut self, fresh: bool, now_ms: u64) -> bool {
        if fresh {
            self.fresh_ms = Some(now_ms);
            self.was_ever_fresh = true;
            self.left = 0;
            return false;
        }
        let since = self.fresh_ms.unwrap_or(self.opened_ms);
        let is_left = self.peers > 1 && now_ms >= since + self.wait_ms();
        self.left += usize::from(is_left);
        is_left
    }

    /// Returns how long a link is kept without contact.
    fn wait_ms(&self) -> u64 {
        let (round, place) = (self.left / self.peers, self.left % self.peers);
        let doubled = |most: usize| WAIT_MS << round.min(most);
        match () {
            () if self.fresh_ms.is_some() => WAIT_MS,
            () if !self.was_ever_fresh && self.left == 0 => STARTUP_WAIT_MS,
            () if !self.was_ever_fresh => doubled(MAX_DOUBLINGS),
            () if round > 0 && place == 0 => {
                doubled(self.peers.saturating_sub(FEW_PEERS).min(MAX_DOUBLINGS))
            }
            () => 0,
        }
    }
}
