//! Choice of a target: the own availability zone first, the less loaded of two, never one tried before.

use std::sync::Arc;

use kingcuplift_traffic::{CallShape, Candidate, TargetKey, Wanted, choose};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Draws of one test.
const DRAWS: usize = 2_000;
/// Slots of each target.
const SLOTS: u32 = 20;

fn candidate(node: &str, zone: &str) -> Arc<Candidate> {
    let key = TargetKey { service: "orders".into(), version: "v1".into(), node: node.into() };
    let zone = zone.parse().expect("a zone");
    Arc::new(Candidate::new(key, zone, format!("{node}:1"), SLOTS))
}

/// Counts how often each target is chosen.
fn draw(candidates: &[Arc<Candidate>], tried: &[TargetKey], now_ms: u64) -> Vec<usize> {
    let zone = "a".parse().expect("a zone");
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..DRAWS {
        let shape = CallShape::default();
        let wanted = Wanted { zone: &zone, version: None, tried, reserve: &[], shape };
        let Some(chosen) = choose(candidates, wanted, now_ms, &mut rng) else { continue };
        let at = candidates.iter().position(|c| c.key == chosen.key).expect("a candidate");
        counts[at] += 1;
    }
    counts
}

#[test]
fn own_zone_first() {
    let candidates = [candidate("1", "a"), candidate("2", "a"), candidate("3", "b")];
    let counts = draw(&candidates, &[], 0);
    assert_eq!(counts[2], 0);
    assert!(counts[0] > DRAWS / 3 && counts[1] > DRAWS / 3);
}

#[test]
fn full_zone_spills() {
    let candidates = [candidate("1", "a"), candidate("2", "b")];
    for _ in 0..SLOTS {
        candidates[0].begin();
    }
    let counts = draw(&candidates, &[], 0);
    assert!(counts[1] > DRAWS / 2, "the other zone takes over: {counts:?}");
}

#[test]
fn less_loaded_wins() {
    let candidates = [candidate("1", "a"), candidate("2", "a")];
    for _ in 0..5 {
        candidates[0].begin();
    }
    let counts = draw(&candidates, &[], 0);
    assert!(counts[1] > 2 * counts[0], "{counts:?}");
}

#[test]
fn tried_targets_are_left_out() {
    let candidates = [candidate("1", "a"), candidate("2", "a")];
    let counts = draw(&candidates, &[candidates[0].key.clone()], 0);
    assert_eq!(counts, [0, DRAWS]);
    let both = [candidates[0].key.clone(), candidates[1].key.clone()];
    assert_eq!(draw(&candidates, &both, 0), [0, 0]);
}

#[test]
fn refusing_target_is_avoided() {
    let candidates = [candidate("1", "a"), candidate("2", "b")];
    candidates[0].refused(1_000);
    assert_eq!(draw(&candidates, &[], 1_100), [0, DRAWS]);
    assert_eq!(draw(&candidates, &[], 1_250), [DRAWS, 0], "the first avoidance is short");
    candidates[0].refused(2_000);
    assert_eq!(draw(&candidates, &[], 2_400), [0, DRAWS], "the second is longer");
    candidates[0].answered();
    candidates[1].refused(10_000);
    candidates[0].refused(10_000);
    let counts = draw(&candidates, &[], 10_001);
    assert_eq!(counts.iter().sum::<usize>(), DRAWS, "avoided targets are better than none");
}
