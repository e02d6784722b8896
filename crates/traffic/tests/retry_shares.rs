//! Retry budget: the retries of all nodes together stay within the budget over any window.

use kingcuplift_traffic::{RetryBudget, RetryLimits, RetryReason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use smol_str::SmolStr;

/// Seed of the random schedules.
const SEED: u64 = 20_261_204;
/// Window of the budget, in milliseconds.
const WINDOW_MS: u64 = 10_000;
/// Nodes of the site.
const NODES: usize = 10;
/// Events of one schedule.
const EVENTS: usize = 2_000;

fn limits() -> RetryLimits {
    RetryLimits { ratio: 0.2, window_ms: WINDOW_MS, slack: 60.0 }
}

/// A call or a requested retry at one node, some time after the previous event.
#[derive(Debug, Clone)]
struct Event {
    after_ms: u64,
    node: usize,
    wants_retry: bool,
}

impl Event {
    fn reason(&self) -> RetryReason {
        match self.after_ms % 2 {
            0 => RetryReason::NotRun,
            _ => RetryReason::Failed,
        }
    }
}

fn event() -> impl Strategy<Value = Event> {
    (0..40_u64, 0..NODES, prop::bool::weighted(0.6))
        .prop_map(|(after_ms, node, wants_retry)| Event { after_ms, node, wants_retry })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn total_retries_stay_within_budget(events in prop::collection::vec(event(), EVENTS)) {
        let service = SmolStr::new("desk");
        let mut nodes: Vec<RetryBudget> = (0..NODES).map(|_| RetryBudget::new(limits())).collect();
        let (mut now, mut calls, mut retries) = (0, Vec::new(), Vec::new());
        for event in events {
            now += event.after_ms;
            let budget = &mut nodes[event.node];
            match event.wants_retry {
                false => {
                    budget.record_call(&service, now);
                    calls.push(now);
                }
                true if budget.try_spend(&service, NODES, event.reason(), now) => retries.push(now),
                true => {}
            }
        }
        for (i, start) in retries.iter().enumerate() {
            let end = start + WINDOW_MS;
            let sent = retries[i..].iter().take_while(|at| **at < end).count() as f64;
            // Calls of the window and of the window before it count towards the budget.
            let counted = calls.iter().filter(|at| **at + WINDOW_MS >= *start && **at < end).count();
            let allowed = limits().ratio * counted as f64 + limits().slack;
            prop_assert!(sent <= allowed, "{sent} retries in the window from {start}, {allowed} allowed");
        }
    }
}

#[test]
fn few_calls_have_slack() {
    let service = SmolStr::new("desk");
    let mut budget = RetryBudget::new(limits());
    budget.record_call(&service, 0);
    assert!(budget.try_spend(&service, 1, RetryReason::Failed, 1), "a single call may be retried");
    let reason = RetryReason::NotRun;
    let granted = (0..100).filter(|_| budget.try_spend(&service, 1, reason, 2)).count();
    assert!(granted < limits().slack as usize, "{granted}");
}

#[test]
fn services_have_separate_budgets() {
    let mut budget = RetryBudget::new(limits());
    let (desk, roster) = (SmolStr::new("desk"), SmolStr::new("roster"));
    while budget.try_spend(&desk, 1, RetryReason::NotRun, 0) {}
    assert!(budget.try_spend(&roster, 1, RetryReason::NotRun, 0));
}

/// Nested calls of a retried call count as retries at the service that they go to; its budget must hold with them.
///
/// 73% of the calls to the desk are reads, and 70% of those call the roster twice; all of these fail for ten seconds.
/// With separate bounds for each service, lahha-lessons trouble-1 --seed 411942395511 had 2,290 arrivals beyond the
/// first attempts, 2,211 allowed.
#[test]
fn retries_of_nested_calls_stay_within_budget() {
    let (desk, roster) = (SmolStr::new("desk"), SmolStr::new("roster"));
    let mut nodes: Vec<RetryBudget> = (0..NODES).map(|_| RetryBudget::new(limits())).collect();
    let (mut first_attempts, mut retries) = (0_u32, 0_u32);
    for at in 0..10_000_u64 {
        let budget = &mut nodes[at as usize % NODES];
        budget.record_call(&desk, at);
        let is_read = at * 73 % 100 < 73;
        let calls_roster = is_read && at * 31 % 100 < 70;
        let is_retried = calls_roster && budget.try_spend(&desk, NODES, RetryReason::Failed, at);
        for run in 0..=u32::from(is_retried) {
            for _ in 0..2 * u32::from(calls_roster) {
                budget.record_call(&roster, at);
                let is_nested_retry = u32::from(run > 0);
                first_attempts += 1 - is_nested_retry;
                retries += is_nested_retry;
                retries += u32::from(budget.try_spend(&roster, NODES, RetryReason::NotRun, at));
            }
        }
    }
    let allowed = limits().ratio * f64::from(first_attempts) + limits().slack;
    assert!(f64::from(retries) <= allowed, "{retries} retries, {allowed} allowed");
    assert!(
        f64::from(retries) >= allowed / 2.0,
        "{retries} of {allowed}: at least half of the budget is usable"
    );
}

#[test]
fn calls_that_have_not_run_get_a_larger_share() {
    let spent = |reason| {
        let mut budget = RetryBudget::new(limits());
        let service = SmolStr::new("desk");
        (0..1_000).for_each(|_| budget.record_call(&service, 0));
        (0..1_000).filter(|_| budget.try_spend(&service, NODES, reason, 1)).count()
    };
    assert!(spent(RetryReason::NotRun) > spent(RetryReason::Failed));
}

/// All targets of the roster shed more than half of their calls, so the desk's reads, which need it, fail as well.
///
/// A retry at the roster costs its budget one call, a retry of a read up to two; at large scale-1 the desk spent so much
/// that the roster could use four tenths of its budget.
#[test]
fn shed_calls_go_before_the_requests_that_need_them() {
    let (desk, roster) = (SmolStr::new("desk"), SmolStr::new("roster"));
    let mut budget = RetryBudget::new(limits());
    let (mut desk_retries, mut roster_retries) = (0_u32, 0_u32);
    for at in 0..10_000_u64 {
        budget.record_call(&desk, at);
        budget.record_call(&roster, at);
        if at % 100 < 55 {
            let reason = RetryReason::NotRun;
            roster_retries += u32::from(budget.try_spend(&roster, NODES, reason, at));
            desk_retries += u32::from(budget.try_spend(&desk, NODES, RetryReason::Failed, at));
        }
    }
    let roster_budget = limits().ratio * 10_000.0;
    let used = f64::from(roster_retries) / roster_budget;
    assert!(used >= 0.7, "the roster uses {used} of its budget");
    let nested = f64::from(2 * desk_retries + roster_retries);
    assert!(nested <= roster_budget, "{nested} of {roster_budget} with the nested calls");
}
