//! Limits how many connections a server admits in a time, before it spends work on a handshake.

/// Handshakes that can be saved up.
const BURST: u64 = 50;
/// Milliseconds in which one handshake is earned: 500 a second.
const INTERVAL_MS: u64 = 2;

/// Admission of new connections.
#[derive(Debug)]
pub struct HandshakeLimit {
    saved: u64,
    earned_at: u64,
}

impl HandshakeLimit {
    /// Makes a limit with all handshakes saved up.
    pub fn new(now_ms: u64) -> Self {
        Self { saved: BURST, earned_at: now_ms }
    }

    /// Returns whether a connection that arrives at `now_ms` is admitted.
    pub fn admit(&mut self, now_ms: u64) -> bool {
        let earned = now_ms.saturating_sub(self.earned_at) / INTERVAL_MS;
        self.earned_at += earned * INTERVAL_MS;
        self.saved = (self.saved + earned).min(BURST);
        match self.saved {
            0 => false,
            _ => {
                self.saved -= 1;
                true
            }
        }
    }
}
