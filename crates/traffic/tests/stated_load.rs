//! Limits that targets state in their answers.

use kingcuplift_core::{PerSecond, Rank};
use kingcuplift_traffic::{
    Admission, AdmissionLimits, CallTimes, Decision, Release, StatedLoad, WarmupTolerance,
};
use proptest::prelude::*;
use rstest::rstest;

const SECOND: u64 = 1_000_000;
const MILLISECOND: u64 = 1_000;

/// Offers calls at intervals drawn from `gaps` to a target with a stated limit, and returns when they ran.
///
/// Each call takes `service_us`; those that can't run within a second are refused.
fn run_calls(admission: &mut Admission, gaps: &[u64], service_us: u64) -> Vec<u64> {
    let (mut starts, mut ends) = (Vec::new(), Vec::new());
    let (mut now, mut arrivals) = (
        0,
        gaps.iter().scan(0, |at, gap| {
            *at += gap;
            Some(*at)
        }),
    );
    let mut next_arrival = arrivals.next();
    let mut id = 0;
    while next_arrival.is_some() || !ends.is_empty() {
        let next_end = ends.iter().copied().min();
        let due = admission.next_release(now);
        let times = [next_arrival, next_end, due];
        now = times.into_iter().flatten().min().expect("something is left").max(now);
        let mut released = Vec::new();
        if next_end == Some(now) {
            ends.swap_remove(ends.iter().position(|end| *end == now).expect("it was found"));
            released = admission.finish(service_us, now);
        } else if next_arrival == Some(now) {
            next_arrival = arrivals.next();
            id += 1;
            let times = CallTimes::until(now + SECOND);
            if admission.arrive_with_times(id, Rank::new(1), times, now) == Decision::Run {
                starts.push(now);
                ends.push(now + service_us);
            }
        } else {
            released = admission.release(now);
        }
        for release in released {
            if matches!(release, Release::Run(_)) {
                starts.push(now);
                ends.push(now + service_us);
            }
        }
    }
    starts
}

fn admission(rate: f64) -> Admission {
    let mut admission = Admission::new(AdmissionLimits { slots: 17, queue: 68 });
    admission.set_stated_limit(Some(PerSecond::new(rate)), 0);
    admission
}

proptest! {
    /// Whatever the load, no four seconds have more calls than one and a half times the limit, and five.
    #[test]
    fn limit_holds_in_any_window(
        rate in 0.2_f64..200.0,
        gaps in prop::collection::vec(0..20 * MILLISECOND, 1..2_000),
        service_us in MILLISECOND..200 * MILLISECOND,
    ) {
        let starts = run_calls(&mut admission(rate), &gaps, service_us);
        let allowed = 1.5 * rate * 4.0 + 5.0;
        for (i, from) in starts.iter().enumerate() {
            let count = starts[i..].iter().take_while(|at| **at < from + 4 * SECOND).count();
            prop_assert!(count as f64 <= allowed, "{count} calls, {allowed} allowed");
        }
    }
}

/// A limit must cost the calls that the target still takes as little as possible.
#[rstest]
#[case(20.0)]
#[case(80.0)]
fn limit_is_used(#[case] rate: f64) {
    let gaps = vec![5 * MILLISECOND; 2_000];
    let starts = run_calls(&mut admission(rate), &gaps, 50 * MILLISECOND);
    assert!(starts.len() as f64 >= 0.95 * rate * 10.0, "{} calls in ten seconds", starts.len());
}

#[test]
fn cold_target_keeps_both_limits() {
    let mut admission = admission(1_000.0);
    let tolerance = WarmupTolerance::default();
    admission.set_rate_limit(tolerance.pace(PerSecond::new(10.0)), 60 * SECOND, 0);
    let starts = run_calls(&mut admission, &vec![5 * MILLISECOND; 1_000], 10 * MILLISECOND);
    assert!(starts.len() < 60, "{} calls in five seconds", starts.len());
    admission.set_stated_limit(Some(PerSecond::new(2.0)), 5 * SECOND);
    assert_eq!(admission.effective_slots(5 * SECOND), 1);
    assert!(admission.is_rate_limited(1_000 * SECOND), "the stated limit has no end");
    admission.set_stated_limit(None, 1_000 * SECOND);
    assert!(!admission.is_rate_limited(1_000 * SECOND));
}

/// A limit so low that no call was due for long gives way to a higher one at once.
#[test]
fn raised_limit_applies_at_once() {
    let mut admission = admission(0.02);
    let mut ran = |now: u64, id: u64| {
        let times = CallTimes::until(now + SECOND);
        admission.arrive_with_times(id, Rank::new(1), times, now) == Decision::Run
    };
    assert!((1..=50).any(|id| !ran(id, id)), "the limit is used up");
    admission.set_stated_limit(Some(PerSecond::new(100.0)), SECOND);
    let times = CallTimes::until(3 * SECOND);
    let later = SECOND + 20 * MILLISECOND;
    assert_eq!(admission.arrive_with_times(99, Rank::new(1), times, later), Decision::Run);
}

#[test]
fn statement_holds_until_an_answer_lacks_it() {
    let mut stated = StatedLoad::default();
    let limit = Some(PerSecond::new(20.0));
    assert!(!stated.set_limit(None, 100, 150), "nothing was stated");
    assert!(stated.set_limit(limit, 200, 300));
    assert!(!stated.set_limit(limit, 250, 350));
    assert!(!stated.set_limit(None, 340, 400), "the call began before the last statement");
    assert!(stated.set_limit(Some(PerSecond::new(10.0)), 360, 410));
    assert!(stated.set_limit(None, 420, 460));
}
