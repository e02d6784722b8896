//! The concurrency limit against simple simulated targets.

use kingcuplift_traffic::{CallOutcome, ConcurrencyLimit};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use smol_str::SmolStr;

/// Seed of the random answers.
const SEED: u64 = 11;
/// Slots that the target announces.
const SLOTS: u32 = 20;
/// Time of a call at a warm target, in microseconds.
const WARM_US: u64 = 5_000;

fn route() -> SmolStr {
    SmolStr::new("bookings")
}

/// Runs rounds of as many calls as the limit allows; `answer` gives outcome and time by the number of running calls.
fn run_rounds(
    limit: &mut ConcurrencyLimit,
    count: u64,
    now_us: &mut u64,
    answer: impl Fn(u32) -> (CallOutcome, u64),
) {
    for _ in 0..count {
        let running = limit.limit();
        let (outcome, time_us) = answer(running);
        *now_us += time_us;
        for _ in 0..running {
            limit.record(&route(), outcome, time_us, running, *now_us);
        }
    }
}

/// A warm target takes the same time regardless of load.
fn warm(_: u32) -> (CallOutcome, u64) {
    (CallOutcome::Answered, WARM_US)
}

/// A cold target runs one call after another.
fn cold(running: u32) -> (CallOutcome, u64) {
    (CallOutcome::Answered, WARM_US * 4 * u64::from(running))
}

#[test]
fn fresh_target_starts_low() {
    let limit = ConcurrencyLimit::new(SLOTS);
    assert_eq!(limit.limit(), 2);
}

#[test]
fn good_answers_open_all_slots() {
    let mut limit = ConcurrencyLimit::new(SLOTS);
    let mut now = 0;
    run_rounds(&mut limit, 5, &mut now, warm);
    assert_eq!(limit.limit(), SLOTS, "the limit doubles with each round");
}

#[test]
fn cold_fallback_closes_slots() {
    let mut limit = ConcurrencyLimit::new(SLOTS);
    let mut now = 0;
    run_rounds(&mut limit, 50, &mut now, warm);
    run_rounds(&mut limit, 30, &mut now, cold);
    assert!(limit.limit() <= 3, "the limit of a cold target is {}", limit.limit());
    run_rounds(&mut limit, 400, &mut now, warm);
    assert_eq!(limit.limit(), SLOTS, "the target is warm again");
}

/// The target is cold for 3 s; more than four calls at a time during that restart its cold start.
#[test]
fn cold_target_can_warm_up() {
    let mut limit = ConcurrencyLimit::new(SLOTS);
    let (mut now, mut cold_since, mut overloads) = (0, 0, 0);
    while now < 20_000_000 {
        let running = limit.limit();
        let is_cold = now - cold_since < 3_000_000;
        let is_overloaded = is_cold && running > 4;
        let (outcome, time_us) = match (is_overloaded, is_cold) {
            (true, _) => (CallOutcome::Shed, 1_000),
            (false, true) => (CallOutcome::Answered, 10_000 * u64::from(running)),
            (false, false) => (CallOutcome::Answered, 10_000),
        };
        now += time_us;
        if is_overloaded {
            cold_since = now;
            overloads += 1;
        }
        for _ in 0..running {
            limit.record(&route(), outcome, time_us, running, now);
        }
    }
    assert!(overloads <= 2, "the target was overloaded {overloads} times");
    assert_eq!(limit.limit(), SLOTS);
}

#[test]
fn shedding_halves_the_limit() {
    let mut limit = ConcurrencyLimit::new(SLOTS);
    let mut now = 0;
    run_rounds(&mut limit, 50, &mut now, warm);
    limit.record(&route(), CallOutcome::Shed, 100, SLOTS, now);
    assert_eq!(limit.limit(), SLOTS / 2);
    limit.record(&route(), CallOutcome::Shed, 100, SLOTS, now + 1);
    assert_eq!(limit.limit(), SLOTS / 2, "calls that were shed together count once");
    limit.record(&route(), CallOutcome::Lost, 100, SLOTS, now + 60_000);
    assert_eq!(limit.limit(), SLOTS / 4);
}

#[test]
fn slow_route_is_no_overload() {
    let mut limit = ConcurrencyLimit::new(SLOTS);
    let slow = SmolStr::new("recordings");
    for number in 0..1_000 {
        limit.record(&route(), CallOutcome::Answered, 1_000, SLOTS, number * 1_000);
        limit.record(&slow, CallOutcome::Answered, 300_000, SLOTS, number * 1_000);
    }
    assert_eq!(limit.limit(), SLOTS);
}

#[test]
fn single_outliers_are_ignored() {
    let mut limit = ConcurrencyLimit::new(SLOTS);
    for number in 0..1_000 {
        let time_us = if number % 10 == 0 { 200_000 } else { 1_000 };
        limit.record(&route(), CallOutcome::Answered, time_us, SLOTS, number * 1_000);
    }
    assert_eq!(limit.limit(), SLOTS);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn stays_within_slots(
        slots in 1..50_u32,
        answers in prop::collection::vec((0..3_u8, 0..2_000_000_u64, 1..50_u32, 0..4_u8), 1..500),
    ) {
        let mut limit = ConcurrencyLimit::new(slots);
        let mut now = 0;
        for (kind, time_us, running, route) in answers {
            now += time_us / 10;
            let outcome = match kind {
                0 => CallOutcome::Shed,
                1 => CallOutcome::Lost,
                _ => CallOutcome::Answered,
            };
            let before = limit.limit();
            limit.record(&SmolStr::new(format!("r{route}")), outcome, time_us, running, now);
            prop_assert!((1..=slots).contains(&limit.limit()));
            prop_assert!(limit.limit() <= before + 1, "one answer raises the limit by one at most");
            if outcome != CallOutcome::Answered {
                prop_assert!(limit.limit() <= before);
            }
        }
    }
}
