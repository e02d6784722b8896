//! Moves: a good version is done in time, a bad one is taken back with few calls, whatever way it is bad.

use std::time::Duration;

use kingcuplift_schema::control::EvidenceCount;
use kingcuplift_traffic::{MoveEvidence, MoveStage, MoveStep, Side, next_step};
use rstest::rstest;

/// Calls of the service in a second.
const RATE: f64 = 600.0;
/// Time for the whole move.
const WITHIN: Duration = Duration::from_secs(15);
/// Time between reports of evidence, in milliseconds.
const STEP_MS: u64 = 100;
/// Time after which a decision is in force at the nodes, in milliseconds.
const LAG_MS: u64 = 300;
/// Targets of the new version.
const TARGETS: usize = 6;
/// Part of the service's calls that a bad version may get while the move goes on.
const EXPOSED_PART: f64 = 0.1;
/// Calls that it may get on top.
const EXPOSED_SLACK: f64 = 50.0;

/// Part of bad answers of the new version at a time and share.
type Badness = fn(elapsed_ms: u64, moved: u16) -> f64;

/// How a played move ended.
struct Played {
    last: MoveStep,
    ended_ms: u64,
    /// Calls that the new version got.
    exposed: f64,
}

/// Counts of one route over one step; slow answers lie eight classes above the usual ones.
fn count(calls: f64, failed_part: f64, slow_part: f64) -> EvidenceCount {
    let failed = (calls * failed_part).round();
    let answered = (calls - failed).max(0.0);
    let slow = (answered * slow_part).round();
    let mut times = vec![0; 24];
    times[10] = (answered - slow) as u64;
    times[15] = slow as u64;
    EvidenceCount {
        route: "reads".to_owned(),
        answered: answered as u64,
        failed: failed as u64,
        times,
        ..EvidenceCount::default()
    }
}

/// Plays a move to its end; `common` is the part of bad answers of both versions.
fn play(failing: Badness, slow: Badness, common: f64) -> Played {
    let mut evidence = MoveEvidence::default();
    let (mut new_share, mut changed_ms, mut exposed) = (0_u16, 0, 0.0);
    let mut pending: Option<(u64, u16)> = None;
    for now in (0..60_000).step_by(STEP_MS as usize) {
        if let Some((_, share)) = pending.filter(|(at, _)| now >= *at) {
            (new_share, changed_ms, pending) = (share, now, None);
        }
        let calls = RATE * STEP_MS as f64 / 1_000.0;
        let new = calls * f64::from(new_share) / 1_000.0;
        exposed += new;
        let bad = failing(now, new_share).max(common);
        evidence.add(Side::Old, &count(calls - new, common, 0.0), now);
        evidence.add(Side::New, &count(new, bad, slow(now, new_share)), now);
        let stage = MoveStage {
            new_share,
            since_change: Duration::from_millis(now - changed_ms),
            elapsed: Duration::from_millis(now),
            within: WITHIN,
            targets: TARGETS,
        };
        match next_step(stage, &evidence) {
            MoveStep::Wait => {}
            MoveStep::Share(share) if pending.is_none() => pending = Some((now + LAG_MS, share)),
            MoveStep::Share(_) => {}
            last => {
                exposed += new * LAG_MS as f64 / STEP_MS as f64;
                return Played { last, ended_ms: now, exposed };
            }
        }
    }
    panic!("the move has no end");
}

fn never(_: u64, _: u16) -> f64 {
    0.0
}

#[test]
fn good_version_in_time() {
    let played = play(never, never, 0.004);
    assert_eq!(played.last, MoveStep::Done);
    assert!(played.ended_ms < WITHIN.as_millis() as u64, "{} ms", played.ended_ms);
}

#[rstest]
#[case::at_once(|_, _| 0.5)]
#[case::a_third(|_, _| 0.32)]
#[case::late(|elapsed, _| if elapsed > 3_000 { 0.5 } else { 0.0 })]
#[case::under_load(|_, moved| if moved >= 250 { 0.3 } else { 0.0 })]
fn failing_version_is_taken_back(#[case] failing: Badness) {
    let played = play(failing, never, 0.004);
    assert!(matches!(played.last, MoveStep::RollBack(Some(_))), "{:?}", played.last);
    let allowed = RATE * WITHIN.as_secs_f64() * EXPOSED_PART + EXPOSED_SLACK;
    assert!(played.exposed < allowed, "{} calls, allowed {allowed}", played.exposed);
}

#[rstest]
#[case::at_once(|_, _| 0.5)]
#[case::late(|elapsed, _| if elapsed > 3_000 { 0.4 } else { 0.0 })]
fn slow_version_is_taken_back(#[case] slow: Badness) {
    let played = play(never, slow, 0.004);
    assert!(matches!(played.last, MoveStep::RollBack(Some(_))), "{:?}", played.last);
    let allowed = RATE * WITHIN.as_secs_f64() * EXPOSED_PART + EXPOSED_SLACK;
    assert!(played.exposed < allowed, "{} calls, allowed {allowed}", played.exposed);
}

#[rstest]
#[case::some(0.1)]
#[case::half(0.5)]
fn trouble_of_all_is_no_fault(#[case] common: f64) {
    let played = play(never, never, common);
    assert_eq!(played.last, MoveStep::Done, "both versions fail alike");
}

#[test]
fn no_target_in_time() {
    let stage = MoveStage {
        new_share: 0,
        since_change: WITHIN,
        elapsed: WITHIN,
        within: WITHIN,
        targets: 0,
    };
    assert_eq!(next_step(stage, &MoveEvidence::default()), MoveStep::RollBack(None));
}

#[test]
fn lone_node_trips() {
    let mut evidence = MoveEvidence::default();
    for number in 0..40 {
        evidence.add(Side::Old, &count(1.0, 0.0, 0.0), number);
    }
    for number in 0..3 {
        evidence.add(Side::New, &count(1.0, 1.0, 0.0), number);
    }
    assert!(!evidence.is_tripped(), "three failures may be chance");
    for number in 0..3 {
        evidence.add(Side::New, &count(1.0, 1.0, 0.0), number);
    }
    assert!(evidence.is_tripped());
}
