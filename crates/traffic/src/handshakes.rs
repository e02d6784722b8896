//! Token bucket that limits new connections before the server spends work on a handshake.

/// Capacity of the bucket, in handshakes.
const BURST: u64 = 50;
/// Time in which the bucket gains one token, in milliseconds: 500 handshakes per second.
const REFILL_INTERVAL_MS: u64 = 2;

/// Limit on new connections.
#[derive(Debug)]
pub struct HandshakeLimit {
    tokens: u64,
    refilled_at: u64,
}

impl HandshakeLimit {
    /// Creates a limit with a full bucket.
    pub fn new(now_ms: u64) -> Self {
        Self { tokens: BURST, refilled_at: now_ms }
    }

    /// Returns whether a connection that arrives at `now_ms` is admitted.
    pub fn admit(&mut self, now_ms: u64) -> bool {
        let refill = now_ms.saturating_sub(self.refilled_at) / REFILL_INTERVAL_MS;
        self.refilled_at += refill * REFILL_INTERVAL_MS;
        self.tokens = (self.tokens + refill).min(BURST);
        match self.tokens {
            0 => false,
            _ => {
                self.tokens -= 1;
                true
            }
        }
    }
}
