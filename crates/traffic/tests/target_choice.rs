//! Target selection: the node's own availability zone first, the less loaded target, never one already tried.

use std::sync::Arc;

use kingcuplift_traffic::{
    Announcement, CallEstimate, Candidate, LoadReport, SelectionContext, TargetKey, select_target,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Selections per test.
const SELECTIONS: usize = 2_000;
/// Nodes that select a target at the same moment.
const NODES: u64 = 400;
/// Time of the selection, in milliseconds.
const NOW_MS: u64 = 5_000;
/// Slots of each target.
const SLOTS: u32 = 20;
/// Name of the node that selects; most tests have no target beside it.
const OWN_NODE: &str = "own";

fn candidate(node: &str, zone: &str) -> Arc<Candidate> {
    let key = TargetKey { service: "orders".into(), version: "v1".into(), node: node.into() };
    let zone = zone.parse().expect("the zone name is valid");
    Arc::new(Candidate::new(key, zone, format!("{node}:1"), SLOTS))
}

fn announcement(incarnation: u64, cold_until_ms: u64, lost_permille: u32) -> Announcement {
    Announcement { incarnation, cold_until_ms, lost_permille }
}

/// Counts how often each target is selected.
fn select_often(candidates: &[Arc<Candidate>], tried: &[TargetKey], now_ms: u64) -> Vec<usize> {
    let zone = "a".parse().expect("the zone name is valid");
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..SELECTIONS {
        let estimate = CallEstimate::default();
        let wanted = SelectionContext {
            node: OWN_NODE,
            zone: &zone,
            version: None,
            tried,
            held_back: &[],
            estimate,
        };
        let Some(chosen) = select_target(candidates, wanted, now_ms, &mut rng) else { continue };
        let at = candidates
            .iter()
            .position(|c| c.key == chosen.key)
            .expect("the selected target is a candidate");
        counts[at] += 1;
    }
    counts
}

#[test]
fn own_zone_first() {
    let candidates = [candidate("1", "a"), candidate("2", "a"), candidate("3", "b")];
    let counts = select_often(&candidates, &[], 0);
    assert_eq!(counts[2], 0);
    assert!(counts[0] > SELECTIONS / 3 && counts[1] > SELECTIONS / 3);
}

/// Responses of 5 KB fill a link of 2 Mbit/s at fifty calls a second, so calls stay on their VM while it has room.
#[test]
fn own_vm_first() {
    let candidates = [candidate(OWN_NODE, "a"), candidate("2", "a"), candidate("3", "b")];
    assert_eq!(select_often(&candidates, &[], 0), [SELECTIONS, 0, 0]);
    for _ in 0..SLOTS {
        candidates[0].call_started();
    }
    let counts = select_often(&candidates, &[], 0);
    assert_eq!(counts[1], SELECTIONS, "a full target of the own VM gets no more calls: {counts:?}");
}

#[test]
fn full_zone_spills_over() {
    let candidates = [candidate("1", "a"), candidate("2", "b")];
    for _ in 0..SLOTS {
        candidates[0].call_started();
    }
    let counts = select_often(&candidates, &[], 0);
    assert!(counts[1] > SELECTIONS / 2, "the other zone takes the calls: {counts:?}");
}

#[test]
fn less_loaded_wins() {
    let candidates = [candidate("1", "a"), candidate("2", "a")];
    for _ in 0..5 {
        candidates[0].call_started();
    }
    let counts = select_often(&candidates, &[], 0);
    assert!(counts[1] > 2 * counts[0], "{counts:?}");
}

#[test]
fn tried_targets_are_left_out() {
    let candidates = [candidate("1", "a"), candidate("2", "a")];
    let counts = select_often(&candidates, &[candidates[0].key.clone()], 0);
    assert_eq!(counts, [0, SELECTIONS]);
    let both = [candidates[0].key.clone(), candidates[1].key.clone()];
    assert_eq!(select_often(&candidates, &both, 0), [0, 0]);
}

#[test]
fn refusing_target_is_avoided() {
    let candidates = [candidate("1", "a"), candidate("2", "b")];
    candidates[0].record_refusal(1_000);
    assert_eq!(select_often(&candidates, &[], 1_100), [0, SELECTIONS]);
    assert_eq!(
        select_often(&candidates, &[], 1_250),
        [SELECTIONS, 0],
        "the first back-off is short"
    );
    candidates[0].record_refusal(2_000);
    assert_eq!(
        select_often(&candidates, &[], 2_400),
        [0, SELECTIONS],
        "the second back-off is longer"
    );
    candidates[0].record_answer();
    candidates[1].record_refusal(10_000);
    candidates[0].record_refusal(10_000);
    let counts = select_often(&candidates, &[], 10_001);
    assert_eq!(
        counts.iter().sum::<usize>(),
        SELECTIONS,
        "a target in back-off is better than none"
    );
}

/// Lets many independent nodes each select once among targets of their own zone.
fn select_on_all_nodes(prepare: impl Fn(&[Arc<Candidate>])) -> Vec<usize> {
    let zone = "a".parse().expect("the zone name is valid");
    let mut counts = vec![0; 8];
    for node in 0..NODES {
        let candidates: Vec<_> = (0..8).map(|n| candidate(&n.to_string(), "a")).collect();
        prepare(&candidates);
        let estimate = CallEstimate::default();
        let wanted = SelectionContext {
            node: OWN_NODE,
            zone: &zone,
            version: None,
            tried: &[],
            held_back: &[],
            estimate,
        };
        let mut rng = SmallRng::seed_from_u64(node);
        let chosen =
            select_target(&candidates, wanted, NOW_MS, &mut rng).expect("a target is available");
        let at = candidates
            .iter()
            .position(|c| c.key == chosen.key)
            .expect("the selected target is a candidate");
        counts[at] += 1;
    }
    counts
}

#[test]
fn new_target_gets_no_thundering_herd() {
    let busy = LoadReport { busy: SLOTS / 2, limit: SLOTS };
    let counts = select_on_all_nodes(|candidates| {
        for known in &candidates[..7] {
            known.record_load(busy, NOW_MS - 10);
        }
    });
    let share = NODES as usize / 8;
    assert!(counts[7] < 2 * share, "a target without a report is not preferred: {counts:?}");
    assert!(counts[7] > 0, "a target without a report is not left out");
}

#[test]
fn cold_target_is_avoided() {
    let busy = LoadReport { busy: SLOTS / 2, limit: SLOTS };
    let cold = |until_ms| {
        move |candidates: &[Arc<Candidate>]| {
            for known in &candidates[..7] {
                known.record_load(busy, NOW_MS - 10);
            }
            candidates[7].record_announcement(announcement(1, until_ms, 0));
        }
    };
    assert_eq!(select_on_all_nodes(cold(NOW_MS + 1))[7], 0, "the others have free slots");
    assert!(select_on_all_nodes(cold(NOW_MS))[7] > 0, "the target is warm now");
    let full = LoadReport { busy: 2 * SLOTS, limit: SLOTS };
    let counts = select_on_all_nodes(|candidates| {
        for known in &candidates[..7] {
            known.record_load(full, NOW_MS - 10);
        }
        candidates[7].record_load(LoadReport { busy: 1, limit: 4 }, NOW_MS - 10);
        candidates[7].record_announcement(announcement(1, NOW_MS + 1_000, 0));
    });
    assert!(counts[7] > 0, "the cold target gets calls when the others are full");
}

/// Addresses of gone targets went on taking calls every few hundred milliseconds, as their back-off was short.
#[test]
fn target_unknown_to_its_node_is_avoided() {
    let candidates = [candidate("1", "a"), candidate("2", "b")];
    candidates[0].record_unknown(NOW_MS);
    assert_eq!(select_often(&candidates, &[], NOW_MS + 10_000)[0], 0);
    candidates[0].record_announcement(announcement(7, 0, 0));
    assert_eq!(select_often(&candidates, &[], NOW_MS + 10_000)[1], 0, "it is announced anew");
}

/// 110 of 183 targets lost two of five answers for four seconds; each of 281 nodes had to find that out by itself.
#[test]
fn target_that_loses_answers_is_avoided_by_all_nodes() {
    let candidates = [candidate(OWN_NODE, "a"), candidate("1", "a"), candidate("2", "b")];
    for lossy in &candidates[..2] {
        lossy.record_announcement(announcement(2, 0, 400));
    }
    assert_eq!(select_often(&candidates, &[], NOW_MS), [0, 0, SELECTIONS]);
}
