//! Targets that lose a part of their answers while their health checks are good.

use kingcuplift_traffic::LossMeter;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Interval of the polls, in milliseconds.
const POLL_MS: u64 = 200;

/// Plays calls at `rate` a second from `from_ms` to `until_ms`, and returns what was announced, with its times.
fn play(
    meter: &mut LossMeter,
    rng: &mut SmallRng,
    (from_ms, until_ms): (u64, u64),
    rate: u64,
    lost_fraction: f64,
) -> Vec<(u64, u32)> {
    let mut announced = Vec::new();
    for now in from_ms..until_ms {
        if rate > 0 && now % (1_000 / rate) == 0 {
            meter.record(rng.random_bool(lost_fraction), now);
        }
        if now % POLL_MS == 0 {
            announced.extend(meter.poll(now).map(|level| (now, level)));
        }
    }
    announced
}

/// Four calls in ten lost at 20 a second: all nodes must know within a second, and again once that has ended.
#[test]
fn losses_are_announced_and_taken_back() {
    for seed in 0..50 {
        let (mut meter, mut rng) = (LossMeter::default(), SmallRng::seed_from_u64(seed));
        let during = play(&mut meter, &mut rng, (10_000, 14_000), 20, 0.4);
        let (first, level) = during[0];
        assert!(first <= 11_400 && level >= 150, "seed {seed}: {during:?}");
        assert!(during.iter().any(|(_, level)| *level == 400), "seed {seed}: {during:?}");
        let after = play(&mut meter, &mut rng, (14_000, 22_000), 20, 0.0);
        assert_eq!(after.last().map(|(_, level)| *level), Some(0), "seed {seed}: {after:?}");
        assert!(during.len() + after.len() <= 10, "seed {seed}: {during:?} {after:?}");
    }
}

/// Targets that get no calls any more are tried again.
#[test]
fn avoided_target_recovers() {
    let (mut meter, mut rng) = (LossMeter::default(), SmallRng::seed_from_u64(1));
    assert!(!play(&mut meter, &mut rng, (0, 2_000), 20, 0.5).is_empty());
    let after = play(&mut meter, &mut rng, (2_000, 10_000), 0, 0.0);
    assert_eq!(after.last().map(|(_, level)| *level), Some(0), "{after:?}");
}

/// Rare losses at all targets must not make each of them send updates to all nodes.
#[test]
fn rare_losses_are_not_announced() {
    let mut announced = 0;
    for seed in 0..100 {
        let (mut meter, mut rng) = (LossMeter::default(), SmallRng::seed_from_u64(seed));
        announced += play(&mut meter, &mut rng, (0, 30_000), 20, 0.01).len();
    }
    assert!(announced <= 10, "{announced} announcements of 100 targets in 30 s");
}
