//! The rush after a loss of power: nodes without configuration, and targets that are all cold.

use std::time::Duration;

use kingcuplift_core::{PerSecond, Rank, ResultCode};
use kingcuplift_traffic::{
    Admission, AdmissionLimits, CallTimes, Decision, Release, StartupWindow,
};

/// One millisecond on the clock of the admission.
const MS: u64 = 1_000;
/// One second on the clock of the admission.
const SECOND: u64 = 1_000 * MS;
/// Time until the target is warm.
const WARM_AT: u64 = 3 * SECOND;
/// Rank of the calls.
const RANK: Rank = Rank::new(2);

/// Times of a call of 300 ms with an objective of 0.8 s and a deadline of 5 s, from `now_us` on.
fn times(now_us: u64, is_patient: bool) -> CallTimes {
    CallTimes {
        objective_us: now_us + 800 * MS,
        deadline_us: now_us + 5 * SECOND,
        service_us: 300 * MS,
        is_patient,
    }
}

/// Creates the admission of a target with 13 slots that takes 8 calls a second until it is warm.
fn cold_target() -> Admission {
    let mut admission = Admission::new(AdmissionLimits { slots: 13, queue: 60 });
    admission.set_rate_limit(PerSecond::new(8.0), WARM_AT, 0);
    admission
}

/// Runs the target until `until_us`: each call takes 300 ms. Returns the calls that ran, with the times of their starts.
fn run(admission: &mut Admission, running: &[u64], until_us: u64) -> Vec<(u64, u64)> {
    let mut ends: Vec<u64> = running.iter().map(|_| 300 * MS).collect();
    let mut started: Vec<(u64, u64)> = running.iter().map(|id| (*id, 0)).collect();
    for now in (0..until_us).step_by(10 * MS as usize) {
        let mut released = admission.release(now);
        let ended = ends.iter().filter(|end| **end <= now).count();
        ends.retain(|end| *end > now);
        for _ in 0..ended {
            released.extend(admission.finish(300 * MS, now));
        }
        for release in released {
            match release {
                Release::Run(id) => {
                    ends.push(now + 300 * MS);
                    started.push((id, now));
                }
                other => panic!("{other:?} at {now}"),
            }
        }
    }
    started
}

#[test]
fn patient_calls_wait_until_warm() {
    let mut admission = cold_target();
    let mut running = Vec::new();
    for id in 0..40 {
        match admission.arrive_with_times(id, RANK, times(0, true), 0) {
            Decision::Run => running.push(id),
            decision => assert_eq!(decision, Decision::Wait { displaced: None }, "call {id}"),
        }
    }
    let started = run(&mut admission, &running, 5 * SECOND);
    assert_eq!(started.len(), 40, "each call runs before its deadline");
    let cold = started.iter().filter(|(_, at)| *at < WARM_AT).count();
    assert!(cold <= 28, "{cold} calls in 3 s at 8 a second, with a small burst");
}

#[test]
fn impatient_calls_try_other_targets() {
    let mut admission = cold_target();
    let decisions: Vec<Decision> =
        (0..20).map(|id| admission.arrive_with_times(id, RANK, times(0, false), 0)).collect();
    assert_eq!(decisions[19], Decision::Refuse(ResultCode::Overloaded), "{decisions:?}");
}

#[test]
fn fresh_calls_go_before_patient_ones() {
    let mut admission = Admission::new(AdmissionLimits { slots: 1, queue: 60 });
    assert_eq!(admission.arrive(0, RANK, 10 * SECOND, 0), Decision::Run);
    assert!(admission.finish(300 * MS, 0).is_empty());
    assert_eq!(admission.arrive(1, RANK, 10 * SECOND, 0), Decision::Run);
    let waits = Decision::Wait { displaced: None };
    for id in 2..8 {
        assert_eq!(admission.arrive_with_times(id, RANK, times(0, true), 0), waits);
    }
    // Calls 4 to 7 would miss their objective behind the two before them, and wait behind those that don't.
    admission.finish(300 * MS, 300 * MS);
    admission.finish(300 * MS, 600 * MS);
    let fresh = times(700 * MS, false);
    assert_eq!(admission.arrive_with_times(9, RANK, fresh, 700 * MS), waits);
    assert_eq!(admission.finish(300 * MS, 900 * MS), [Release::Run(9)]);
}

#[test]
fn hopeless_calls_are_refused_at_once() {
    let mut admission = cold_target();
    let short = CallTimes { deadline_us: 2 * SECOND, ..times(0, true) };
    let decisions: Vec<Decision> =
        (0..40).map(|id| admission.arrive_with_times(id, RANK, short, 0)).collect();
    let refused = Decision::Refuse(ResultCode::DeadlineBefore);
    assert_eq!(decisions[39], refused, "no answer before 2 s behind 16 calls at 8 a second");
}

#[test]
fn calls_wait_for_configuration() {
    let window = StartupWindow::new(1_000);
    let time = Some(Duration::from_secs(5));
    assert_eq!(window.wait_left(1_100, time, 1_100), Duration::from_secs(2));
    assert_eq!(window.wait_left(1_100, time, 2_600), Duration::from_millis(500));
    assert_eq!(window.wait_left(1_100, time, 3_100), Duration::ZERO);
    assert_eq!(
        window.wait_left(9_000, time, 9_000),
        Duration::ZERO,
        "the node has been up for long"
    );
}
