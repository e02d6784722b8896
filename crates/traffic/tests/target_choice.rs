//! Choice of a target: the own availability zone first, the less loaded of two, never one tried before.

use std::sync::Arc;

use kingcuplift_traffic::{
    CallEstimate, Candidate, LoadReport, SelectionContext, TargetKey, select_target,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Draws of one test.
const DRAWS: usize = 2_000;
/// Nodes that choose at the same moment.
const NODES: u64 = 400;
/// Time of the choice, in milliseconds.
const NOW: u64 = 5_000;
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
        let estimate = CallEstimate::default();
        let wanted =
            SelectionContext { zone: &zone, version: None, tried, held_back: &[], estimate };
        let Some(chosen) = select_target(candidates, wanted, now_ms, &mut rng) else { continue };
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
        candidates[0].call_started();
    }
    let counts = draw(&candidates, &[], 0);
    assert!(counts[1] > DRAWS / 2, "the other zone takes over: {counts:?}");
}

#[test]
fn less_loaded_wins() {
    let candidates = [candidate("1", "a"), candidate("2", "a")];
    for _ in 0..5 {
        candidates[0].call_started();
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
    candidates[0].record_refusal(1_000);
    assert_eq!(draw(&candidates, &[], 1_100), [0, DRAWS]);
    assert_eq!(draw(&candidates, &[], 1_250), [DRAWS, 0], "the first avoidance is short");
    candidates[0].record_refusal(2_000);
    assert_eq!(draw(&candidates, &[], 2_400), [0, DRAWS], "the second is longer");
    candidates[0].record_answer();
    candidates[1].record_refusal(10_000);
    candidates[0].record_refusal(10_000);
    let counts = draw(&candidates, &[], 10_001);
    assert_eq!(counts.iter().sum::<usize>(), DRAWS, "avoided targets are better than none");
}

/// Lets each of many nodes, that know nothing of each other, choose once among targets of its own zone.
fn herd(prepare: impl Fn(&[Arc<Candidate>])) -> Vec<usize> {
    let zone = "a".parse().expect("a zone");
    let mut counts = vec![0; 8];
    for node in 0..NODES {
        let candidates: Vec<_> = (0..8).map(|n| candidate(&n.to_string(), "a")).collect();
        prepare(&candidates);
        let estimate = CallEstimate::default();
        let wanted =
            SelectionContext { zone: &zone, version: None, tried: &[], held_back: &[], estimate };
        let mut rng = SmallRng::seed_from_u64(node);
        let chosen = select_target(&candidates, wanted, NOW, &mut rng).expect("a target");
        let at = candidates.iter().position(|c| c.key == chosen.key).expect("a candidate");
        counts[at] += 1;
    }
    counts
}

#[test]
fn joined_target_meets_no_herd() {
    let busy = LoadReport { busy: SLOTS / 2, limit: SLOTS };
    let counts = herd(|candidates| {
        for known in &candidates[..7] {
            known.record_load(busy, NOW - 10);
        }
    });
    let share = NODES as usize / 8;
    assert!(counts[7] < 2 * share, "a target that nobody knows is no better: {counts:?}");
    assert!(counts[7] > 0, "nor is it left out");
}

#[test]
fn cold_target_is_spared() {
    let busy = LoadReport { busy: SLOTS / 2, limit: SLOTS };
    let cold = |until_ms| {
        move |candidates: &[Arc<Candidate>]| {
            for known in &candidates[..7] {
                known.record_load(busy, NOW - 10);
            }
            candidates[7].set_cold_until(until_ms);
        }
    };
    assert_eq!(herd(cold(NOW + 1))[7], 0, "while others have room");
    assert!(herd(cold(NOW))[7] > 0, "it is warm by now");
    let full = LoadReport { busy: 2 * SLOTS, limit: SLOTS };
    let counts = herd(|candidates| {
        for known in &candidates[..7] {
            known.record_load(full, NOW - 10);
        }
        candidates[7].record_load(LoadReport { busy: 1, limit: 4 }, NOW - 10);
        candidates[7].set_cold_until(NOW + 1_000);
    });
    assert!(counts[7] > 0, "it helps out when the others are full");
}
