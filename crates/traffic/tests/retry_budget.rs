//! Retries happen only where safe, and are bounded over many levels of calls.

use kingcuplift_core::RunState;
use kingcuplift_traffic::{Attempt, RetryBudget, RetryLimits, RetryReason, may_retry};
use rstest::rstest;
use smol_str::SmolStr;

/// Depth of nested calls, as stated by the users.
const DEPTH: usize = 16;
/// Maximum number of attempts per call at one level.
const MAX_ATTEMPTS: usize = 4;

#[rstest]
#[case::not_run(RunState::NotRun, false, true)]
#[case::not_run_idempotent(RunState::NotRun, true, true)]
#[case::unknown(RunState::Unknown, false, false)]
#[case::unknown_idempotent(RunState::Unknown, true, true)]
#[case::ran(RunState::Ran, true, false)]
fn retry_is_safe(#[case] run: RunState, #[case] idempotent: bool, #[case] expected: bool) {
    assert_eq!(may_retry(Attempt { run, idempotent }), expected);
}

/// Returns the number of calls that arrive at each level when every call fails.
fn calls_by_level(budgets: &mut [RetryBudget], calls: usize) -> Vec<usize> {
    let service = SmolStr::new("desk");
    let mut arriving = vec![calls];
    for budget in budgets {
        let mut sent = 0;
        for _ in 0..arriving[arriving.len() - 1] {
            budget.record_call(&service, 0);
            sent += 1;
            for _ in 1..MAX_ATTEMPTS {
                sent += usize::from(budget.try_spend(&service, 1, RetryReason::Failed, 0));
            }
        }
        arriving.push(sent);
    }
    arriving
}

#[test]
fn total_work_is_bounded() {
    let limits = RetryLimits::default();
    let mut budgets: Vec<RetryBudget> = (0..DEPTH).map(|_| RetryBudget::new(limits)).collect();
    let calls = 10_000;
    let arriving = calls_by_level(&mut budgets, calls);
    for levels in arriving.windows(2) {
        let bound = levels[0] + levels[0] / 10 + 10;
        assert!(levels[1] <= bound, "one level adds at most a tenth and its slack");
    }
    let without = (MAX_ATTEMPTS as f64).powi(DEPTH as i32);
    let growth = arriving[DEPTH] as f64 / calls as f64;
    assert!(
        growth <= 1.1_f64.powi(DEPTH as i32) + 0.1,
        "work grew {growth} times; without a budget, {without} times"
    );
}

#[test]
fn budget_recovers() {
    let limits = RetryLimits::default();
    let mut budget = RetryBudget::new(limits);
    let service = SmolStr::new("desk");
    let mut spend_all =
        |now| (0..100).filter(|_| budget.try_spend(&service, 1, RetryReason::Failed, now)).count();
    let first = spend_all(0);
    assert!((1..=10).contains(&first), "{first} retries without a call");
    assert_eq!(spend_all(limits.window_ms / 2), 0, "the window is not over");
    assert_eq!(spend_all(2 * limits.window_ms), first);
}
