//! Repeats: whatever the nodes see, all of them together stay within the budget over any window.

use kingcuplift_traffic::{RepeatBudget, RepeatLimits};
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

fn limits() -> RepeatLimits {
    RepeatLimits { ratio: 0.2, window_ms: WINDOW_MS, slack: 60.0 }
}

/// One call or wish to repeat, at a node, some time after the one before.
#[derive(Debug, Clone)]
struct Event {
    after_ms: u64,
    node: usize,
    wants_repeat: bool,
}

fn event() -> impl Strategy<Value = Event> {
    (0..40_u64, 0..NODES, prop::bool::weighted(0.6))
        .prop_map(|(after_ms, node, wants_repeat)| Event { after_ms, node, wants_repeat })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn sum_stays_within(events in prop::collection::vec(event(), EVENTS)) {
        let service = SmolStr::new("desk");
        let mut nodes: Vec<RepeatBudget> = (0..NODES).map(|_| RepeatBudget::new(limits())).collect();
        let (mut now, mut calls, mut repeats) = (0, Vec::new(), Vec::new());
        for event in events {
            now += event.after_ms;
            let budget = &mut nodes[event.node];
            match event.wants_repeat {
                false => {
                    budget.call(&service, now);
                    calls.push(now);
                }
                true if budget.spend(&service, NODES, now) => repeats.push(now),
                true => {}
            }
        }
        for (i, start) in repeats.iter().enumerate() {
            let end = start + WINDOW_MS;
            let sent = repeats[i..].iter().take_while(|at| **at < end).count() as f64;
            // Calls of the window and of the one before it count for the budget.
            let counted = calls.iter().filter(|at| **at + WINDOW_MS >= *start && **at < end).count();
            let allowed = limits().ratio * counted as f64 + limits().slack;
            prop_assert!(sent <= allowed, "{sent} repeats in the window from {start}, {allowed} allowed");
        }
    }
}

#[test]
fn few_calls_have_slack() {
    let service = SmolStr::new("desk");
    let mut budget = RepeatBudget::new(limits());
    budget.call(&service, 0);
    assert!(budget.spend(&service, 1, 1), "a lone call may be repeated");
    let granted = (0..100).filter(|_| budget.spend(&service, 1, 2)).count();
    assert!(granted < limits().slack as usize, "{granted}");
}

#[test]
fn services_are_apart() {
    let mut budget = RepeatBudget::new(limits());
    let (desk, roster) = (SmolStr::new("desk"), SmolStr::new("roster"));
    while budget.spend(&desk, 1, 0) {}
    assert!(budget.spend(&roster, 1, 0));
}
