//! Steps of a move: a good version completes in time; a failing or slow one is rolled back after few calls.

use std::cell::Cell;
use std::time::Duration;

use kingcuplift_schema::control::EvidenceCount;
use kingcuplift_traffic::{MoveEvidence, MoveStage, MoveStep, Side, next_step};
use rstest::rstest;

/// Calls of the service per second.
const RATE: f64 = 600.0;
/// Duration of the whole move.
const WITHIN: Duration = Duration::from_secs(15);
/// Time between reports of evidence, in milliseconds.
const STEP_MS: u64 = 100;
/// Time until the nodes apply a decision, in milliseconds.
const LAG_MS: u64 = 300;
/// Targets of the new version.
const TARGETS: usize = 6;
/// Fraction of the calls during the move that a bad version may get.
const EXPOSED_FRACTION: f64 = 0.1;
/// Calls that it may get in addition.
const EXPOSED_SLACK: f64 = 50.0;

/// Fraction of bad answers of the new version, by elapsed time and share.
type BadFraction = fn(elapsed_ms: u64, new_share: u16) -> f64;

/// Outcome of a simulated move.
struct Outcome {
    last_step: MoveStep,
    ended_ms: u64,
    /// Calls that the new version got.
    exposed: f64,
}

/// Counts of one route over one step; slow answers are five histogram buckets above the others.
fn count(calls: f64, failed_fraction: f64, slow_fraction: f64) -> EvidenceCount {
    let failed = (calls * failed_fraction).round();
    let answered = (calls - failed).max(0.0);
    let slow = (answered * slow_fraction).round();
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

/// Simulates a move to its end; `baseline` is the fraction of failed answers that both versions have.
fn simulate(failing: BadFraction, slow: BadFraction, baseline: f64) -> Outcome {
    simulate_from(0, failing, slow, baseline)
}

/// Simulates a move whose first step is decided `start_ms` after the request, as no leader was there before.
fn simulate_from(start_ms: u64, failing: BadFraction, slow: BadFraction, baseline: f64) -> Outcome {
    simulate_reports(start_ms, baseline, |now, share, calls| {
        vec![count(calls, failing(now, share).max(baseline), slow(now, share))]
    })
}

/// Simulates a move; `report` returns the evidence on the calls of the new version, by elapsed time and share.
fn simulate_reports(
    start_ms: u64,
    baseline: f64,
    report: impl Fn(u64, u16, f64) -> Vec<EvidenceCount>,
) -> Outcome {
    let mut evidence = MoveEvidence::default();
    let (mut new_share, mut changed_ms, mut exposed) = (0_u16, start_ms, 0.0);
    let mut pending: Option<(u64, u16)> = None;
    for now in (start_ms..60_000).step_by(STEP_MS as usize) {
        if let Some((_, share)) = pending.filter(|(at, _)| now >= *at) {
            (new_share, changed_ms, pending) = (share, now, None);
        }
        let calls = RATE * STEP_MS as f64 / 1_000.0;
        let new = calls * f64::from(new_share) / 1_000.0;
        exposed += new;
        evidence.add(Side::Old, &count(calls - new, baseline, 0.0), now);
        for count in report(now, new_share, new) {
            evidence.add(Side::New, &count, now);
        }
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
            last_step => {
                exposed += new * LAG_MS as f64 / STEP_MS as f64;
                return Outcome { last_step, ended_ms: now, exposed };
            }
        }
    }
    Outcome { last_step: MoveStep::Wait, ended_ms: 60_000, exposed }
}

fn none(_: u64, _: u16) -> f64 {
    0.0
}

#[test]
fn good_version_completes_in_time() {
    let outcome = simulate(none, none, 0.004);
    assert_eq!(outcome.last_step, MoveStep::Done);
    assert!(outcome.ended_ms < WITHIN.as_millis() as u64, "{} ms", outcome.ended_ms);
}

/// After a split of the source that lasted for almost half of the time, the move was done 0.1 s before its end.
#[test]
fn late_start_completes_in_time() {
    let outcome = simulate_from(7_300, none, none, 0.004);
    assert_eq!(outcome.last_step, MoveStep::Done);
    let latest = (WITHIN - Duration::from_millis(500)).as_millis() as u64;
    assert!(outcome.ended_ms <= latest, "{} ms, latest {latest}", outcome.ended_ms);
}

#[test]
fn failing_version_triggers_rollback_after_late_start() {
    let under_load: BadFraction = |_, share| if share >= 250 { 0.3 } else { 0.0 };
    let outcome = simulate_from(7_300, under_load, none, 0.004);
    assert!(matches!(outcome.last_step, MoveStep::RollBack(Some(_))), "{:?}", outcome.last_step);
    let allowed = RATE * WITHIN.as_secs_f64() * EXPOSED_FRACTION + EXPOSED_SLACK;
    assert!(outcome.exposed < allowed, "{} calls, allowed {allowed}", outcome.exposed);
}

#[rstest]
#[case::at_once(|_, _| 0.5)]
#[case::a_third(|_, _| 0.32)]
#[case::late(|elapsed, _| if elapsed > 3_000 { 0.5 } else { 0.0 })]
#[case::under_load(|_, share| if share >= 250 { 0.3 } else { 0.0 })]
fn failing_version_triggers_rollback(#[case] failing: BadFraction) {
    let outcome = simulate(failing, none, 0.004);
    assert!(matches!(outcome.last_step, MoveStep::RollBack(Some(_))), "{:?}", outcome.last_step);
    let allowed = RATE * WITHIN.as_secs_f64() * EXPOSED_FRACTION + EXPOSED_SLACK;
    assert!(outcome.exposed < allowed, "{} calls, allowed {allowed}", outcome.exposed);
}

#[rstest]
#[case::at_once(|_, _| 0.5)]
#[case::late(|elapsed, _| if elapsed > 3_000 { 0.4 } else { 0.0 })]
fn slow_version_triggers_rollback(#[case] slow: BadFraction) {
    let outcome = simulate(none, slow, 0.004);
    assert!(matches!(outcome.last_step, MoveStep::RollBack(Some(_))), "{:?}", outcome.last_step);
    let allowed = RATE * WITHIN.as_secs_f64() * EXPOSED_FRACTION + EXPOSED_SLACK;
    assert!(outcome.exposed < allowed, "{} calls, allowed {allowed}", outcome.exposed);
}

/// Reports calls without an answer, from the nodes beside the targets in turn.
fn unanswered(now: u64, calls: f64, nodes: u64) -> EvidenceCount {
    runs(&format!("node-{}", now / STEP_MS % nodes), calls, calls)
}

/// Reports the calls that the target beside a node ran, and how many of them without an answer.
fn runs(node: &str, ran: f64, unanswered: f64) -> EvidenceCount {
    EvidenceCount {
        route: "reads".to_owned(),
        ran: ran.round() as u64,
        unanswered: unanswered.round() as u64,
        node: node.to_owned(),
        ..EvidenceCount::default()
    }
}

/// Calls that missed their deadline counted as no evidence, so that the version got all traffic.
#[rstest]
#[case::half(0.5)]
#[case::all(1.0)]
fn unanswered_calls_trigger_rollback(#[case] fraction: f64) {
    let outcome = simulate_reports(0, 0.004, |now, _, calls| {
        let answered = count(calls * (1.0 - fraction), 0.004, 0.0);
        vec![unanswered(now, calls * fraction, TARGETS as u64), answered]
    });
    assert!(matches!(outcome.last_step, MoveStep::RollBack(Some(_))), "{:?}", outcome.last_step);
    let allowed = RATE * WITHIN.as_secs_f64() * EXPOSED_FRACTION + EXPOSED_SLACK;
    assert!(outcome.exposed < allowed, "{} calls, allowed {allowed}", outcome.exposed);
}

/// Callers that leave before a slow answer took the evidence along.
#[test]
fn abandoned_calls_trigger_rollback() {
    let outcome = simulate_reports(0, 0.004, |_, _, calls| {
        let mut abandoned = vec![0; 24];
        abandoned[15] = (calls / 2.0).round() as u64;
        let left = EvidenceCount { abandoned, ..count(calls / 2.0, 0.004, 0.0) };
        vec![left]
    });
    assert!(matches!(outcome.last_step, MoveStep::RollBack(Some(_))), "{:?}", outcome.last_step);
}

/// Callers that leave after less time than an answer usually takes say nothing of the version.
#[test]
fn impatient_callers_are_no_regression() {
    let outcome = simulate_reports(0, 0.004, |_, _, calls| {
        let mut abandoned = vec![0; 24];
        abandoned[8] = (calls / 4.0).round() as u64;
        vec![EvidenceCount { abandoned, ..count(calls * 0.75, 0.004, 0.0) }]
    });
    assert_eq!(outcome.last_step, MoveStep::Done);
}

/// One target that never answers is no fault of the version on the others.
#[test]
fn single_silent_target_is_no_regression() {
    let outcome = simulate_reports(0, 0.004, |now, _, calls| {
        let part = calls / TARGETS as f64;
        let others = runs(&format!("node-{}", 1 + now / STEP_MS % 5), calls - part, 0.0);
        vec![unanswered(now, part, 1), others, count(calls - part, 0.004, 0.0)]
    });
    assert_eq!(outcome.last_step, MoveStep::Done);
}

/// Nodes that saw calls fail sent no more, and most of these few calls were taken for the fault of one target: a version
/// that hangs on half of its requests got all traffic.
#[rstest]
#[case::three_of_four_at_one(0.75)]
#[case::two_of_three_at_one(0.67)]
fn skewed_calls_trigger_rollback(#[case] worst_fraction: f64) {
    let sent = Cell::new(0.0);
    let outcome = simulate_reports(0, 0.004, |_, _, calls| {
        // All nodes together stop after this number of failures.
        let hanging = if sent.get() < 12.0 { calls / 2.0 } else { 0.0 };
        let worst = (sent.get() * worst_fraction) as u64;
        sent.set(sent.get() + hanging);
        let worst = (sent.get() * worst_fraction) as u64 - worst;
        let others = hanging.round() - worst as f64;
        vec![
            runs("node-4", worst as f64, worst as f64),
            runs("node-3", others + calls / 2.0, others),
            count(calls / 2.0, 0.0, 0.0),
        ]
    });
    assert!(matches!(outcome.last_step, MoveStep::RollBack(Some(_))), "{:?}", outcome.last_step);
}

/// While only one target gets calls, its missing answers may be the version's; the version got all traffic.
#[test]
fn only_target_in_use_holds_the_share() {
    let outcome = simulate_reports(0, 0.004, |_, _, calls| {
        vec![runs("node-4", calls, calls / 2.0), count(calls / 2.0, 0.0, 0.0)]
    });
    assert_eq!(outcome.last_step, MoveStep::RollBack(None), "{} ms", outcome.ended_ms);
    let allowed = RATE * WITHIN.as_secs_f64() * EXPOSED_FRACTION + EXPOSED_SLACK;
    assert!(outcome.exposed < allowed, "{} calls, allowed {allowed}", outcome.exposed);
}

/// Without reports on the new version, although the old one's arrive, nothing is known in its favour.
#[test]
fn missing_reports_hold_the_share() {
    let outcome = simulate_reports(0, 0.004, |_, share, _| {
        assert!(share <= 40, "the share was raised to {share} thousandths");
        Vec::new()
    });
    // A move ends at its deadline.
    assert_eq!(outcome.last_step, MoveStep::RollBack(None));
    assert!(outcome.ended_ms >= WITHIN.as_millis() as u64, "{} ms", outcome.ended_ms);
}

#[rstest]
#[case::some(0.1)]
#[case::half(0.5)]
fn failures_of_both_versions_are_no_regression(#[case] baseline: f64) {
    let outcome = simulate(none, none, baseline);
    assert_eq!(outcome.last_step, MoveStep::Done, "both versions fail alike");
}

#[test]
fn move_without_ready_target_triggers_rollback() {
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
fn node_trips_on_its_own_calls() {
    let mut evidence = MoveEvidence::default();
    for number in 0..40 {
        evidence.add(Side::Old, &count(1.0, 0.0, 0.0), number);
    }
    for number in 0..3 {
        evidence.add(Side::New, &count(1.0, 1.0, 0.0), number);
    }
    assert!(!evidence.is_tripped(), "three failures may be due to chance");
    for number in 0..3 {
        evidence.add(Side::New, &count(1.0, 1.0, 0.0), number);
    }
    assert!(evidence.is_tripped());
}
