//! Handshake limit: the rate holds over any second, and every client is admitted in the end.

use kingcuplift_traffic::HandshakeLimit;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of the random arrivals.
const SEED: u64 = 500;
/// Handshakes per second.
const RATE: usize = 500;
/// Capacity of the token bucket.
const BURST: usize = 50;
/// First and longest reconnect delay of a client, in milliseconds.
const DELAYS_MS: (u64, u64) = (50, 3_000);

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn rate_is_kept(gaps in prop::collection::vec(0..5_u64, 1..3_000)) {
        let mut limit = HandshakeLimit::new(0);
        let mut now = 0;
        let mut admitted: Vec<u64> = Vec::new();
        for gap in gaps {
            now += gap;
            if limit.admit(now) {
                admitted.push(now);
            }
        }
        for (at, first) in admitted.iter().enumerate() {
            let within = admitted[at..].iter().take_while(|time| **time < first + 1_000).count();
            prop_assert!(within <= RATE + BURST, "{} handshakes in one second", within);
        }
    }

    /// All nodes of a relay reconnect at once, and retry with exponential back-off and jitter.
    #[test]
    fn reconnect_storm_drains(nodes in 1..1_000_usize, seed in any::<u64>()) {
        let mut limit = HandshakeLimit::new(0);
        let mut random = seed | 1;
        let mut due: Vec<(u64, u32)> = vec![(0, 0); nodes];
        let mut last = 0;
        for now in 0..60_000 {
            let mut rest = Vec::new();
            for (at, failures) in due {
                if at > now {
                    rest.push((at, failures));
                } else if limit.admit(now) {
                    last = now;
                } else {
                    let delay = (DELAYS_MS.0 << (failures + 1).min(10)).min(DELAYS_MS.1);
                    random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                    let jittered = delay / 2 + (random >> 33) % (delay / 2 + 1);
                    rest.push((now + jittered, failures + 1));
                }
            }
            due = rest;
        }
        prop_assert!(due.is_empty());
        prop_assert!(last <= 8_000, "the last of {} nodes was admitted after {} ms", nodes, last);
    }
}
