//! Admission under overload: order of service, refusals, and the rate limit of a cold target.

use kingcuplift_core::{PerSecond, Rank, ResultCode};
use kingcuplift_traffic::{Admission, AdmissionLimits, CallTimes, Decision, Release};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of the random schedules.
const SEED: u64 = 20_261_204;
/// One millisecond on the clock of the admission.
const MS: u64 = 1_000;
/// One second on the clock of the admission.
const SECOND: u64 = 1_000 * MS;

fn times(objective_ms: u64, deadline_ms: u64, service_ms: u64) -> CallTimes {
    CallTimes {
        objective_us: objective_ms * MS,
        deadline_us: deadline_ms * MS,
        service_us: service_ms * MS,
        is_patient: false,
    }
}

/// Creates an admission with an average service time of `service_ms`.
fn admission(slots: u32, service_ms: u64) -> Admission {
    let mut admission = Admission::new(AdmissionLimits { slots, queue: 100 });
    assert_eq!(admission.arrive(0, Rank::FIRST, u64::MAX / 2, 0), Decision::Run);
    assert!(admission.finish(service_ms * MS, 0).is_empty());
    admission
}

fn fill(admission: &mut Admission, slots: u32) {
    for id in 0..slots {
        let decision = admission.arrive(1_000 + u64::from(id), Rank::FIRST, u64::MAX / 2, 0);
        assert_eq!(decision, Decision::Run);
    }
}

#[test]
fn calls_within_objective_go_first() {
    let mut admission = admission(1, 10);
    fill(&mut admission, 1);
    let rank = Rank::new(2);
    let waits = Decision::Wait { displaced: None };
    assert_eq!(admission.arrive_with_times(1, rank, times(25, 500, 10), 0), waits);
    assert_eq!(admission.arrive_with_times(2, rank, times(200, 500, 10), 0), waits);
    // At 30 ms the first call has missed its objective of 25 ms; the second can still meet 200 ms.
    assert_eq!(admission.finish(10 * MS, 30 * MS), [Release::Run(2)]);
    assert_eq!(
        admission.finish(10 * MS, 40 * MS),
        [Release::Run(1)],
        "a late answer is better than none"
    );
}

#[test]
fn better_rank_goes_first() {
    let mut admission = admission(1, 10);
    fill(&mut admission, 1);
    admission.arrive_with_times(1, Rank::new(2), times(200, 500, 10), 0);
    admission.arrive_with_times(2, Rank::new(1), times(5, 500, 10), 0);
    let released = admission.finish(10 * MS, 20 * MS);
    assert_eq!(released, [Release::Run(2)], "a late call of a better rank goes before others");
}

#[test]
fn short_call_waits_behind_long_calls() {
    let mut admission = admission(8, 150);
    fill(&mut admission, 8);
    let short = times(60, 200, 15);
    assert_eq!(
        admission.arrive_with_times(1, Rank::FIRST, short, 0),
        Decision::Wait { displaced: None },
        "a call of 15 ms can meet its objective behind calls of 150 ms"
    );
    let released = admission.finish(150 * MS, 30 * MS);
    assert_eq!(released, [Release::Run(1)]);
}

#[test]
fn call_that_would_miss_objective_is_refused() {
    let mut admission = admission(4, 100);
    fill(&mut admission, 4);
    let mut refused = 0;
    for id in 0..40 {
        let decision = admission.arrive_with_times(id, Rank::new(2), times(200, 2_000, 100), 0);
        refused += u32::from(decision == Decision::Refuse(ResultCode::Overloaded));
    }
    assert!(admission.waiting() <= 8, "{} calls wait", admission.waiting());
    assert_eq!(refused as usize + admission.waiting(), 40);
}

/// A steady flow of calls of a better rank makes the others wait far longer than their number suggests.
#[test]
fn observed_waits_limit_the_queue() {
    let mut admission = admission(2, 10);
    fill(&mut admission, 2);
    let (mut now, mut id, mut max_waiting) = (0, 10, 0);
    for _ in 0..400 {
        now += 5;
        id += 2;
        let urgent = times(now + 60, now + 200, 10);
        admission.arrive_with_times(id, Rank::FIRST, urgent, now * MS);
        let other = times(now + 100, now + 1_000, 10);
        admission.arrive_with_times(id + 1, Rank::new(2), other, now * MS);
        admission.finish(10 * MS, now * MS);
        max_waiting = max_waiting.max(admission.waiting());
    }
    assert!(max_waiting < 30, "{max_waiting} calls wait, but only a few can be answered in time");
}

#[test]
fn rate_limit_ends_with_warmup() {
    let mut admission = admission(20, 10);
    admission.set_rate_limit(PerSecond::new(10.0), SECOND, 0);
    let arrive = |admission: &mut Admission, id| {
        admission.arrive(id, Rank::FIRST, 100 * SECOND, 0) == Decision::Run
    };
    let ran = (0..20).filter(|id| arrive(&mut admission, *id)).count();
    assert!(ran <= 3, "{ran} calls ran at once");
    assert!(admission.next_release(0).is_some(), "the waiting calls need a wake-up");
    assert_eq!(admission.release(SECOND).len(), 20 - ran, "a warm target uses all slots");
}

/// A cold target queues only calls that can meet their objective; it refuses the rest, as another target may be warm.
#[test]
fn cold_target_queues_no_call_past_objective() {
    let mut admission = Admission::new(AdmissionLimits { slots: 30, queue: 100 });
    admission.set_rate_limit(PerSecond::new(10.0), 60 * SECOND, 0);
    let times = |now: u64| CallTimes {
        objective_us: now + 250 * MS,
        deadline_us: now + 2 * SECOND,
        service_us: 50 * MS,
        is_patient: false,
    };
    let decisions: Vec<Decision> =
        (0..6).map(|id| admission.arrive_with_times(id, Rank::FIRST, times(0), 0)).collect();
    let waiting = decisions.iter().filter(|d| matches!(d, Decision::Wait { .. })).count();
    let refused = Decision::Refuse(ResultCode::Overloaded);
    assert_eq!((decisions[0], decisions[5]), (Decision::Run, refused), "{decisions:?}");
    assert!(waiting > 0, "a call that can meet its objective waits: {decisions:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In any second, a cold target gets at most its rate plus a small burst.
    #[test]
    fn cold_rate_holds(
        rate in 5..80_u32,
        gaps in prop::collection::vec(0..60 * MS, 50..400),
    ) {
        let mut admission = Admission::new(AdmissionLimits { slots: 30, queue: 1_000 });
        admission.set_rate_limit(PerSecond::new(f64::from(rate)), u64::MAX / 4, 0);
        let (mut now, mut ran) = (0, Vec::new());
        for (id, gap) in gaps.into_iter().enumerate() {
            now += gap;
            if admission.arrive(id as u64, Rank::FIRST, u64::MAX / 2, now) == Decision::Run {
                ran.push(now);
            }
            let mut released = admission.release(now);
            released.extend(admission.finish(5 * MS, now));
            ran.extend(released.iter().filter(|r| matches!(r, Release::Run(_))).map(|_| now));
        }
        for (i, start) in ran.iter().enumerate() {
            let count = ran[i..].iter().take_while(|at| **at < start + SECOND).count();
            prop_assert!(count <= rate as usize + 4, "{count} calls in 1 s at a rate of {rate}");
        }
    }
}
