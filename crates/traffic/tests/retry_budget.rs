//! Retries: only where safe, and bounded over many levels.

use kingcuplift_core::RunState;
use kingcuplift_traffic::{Attempt, RetryBudget, RetryLimits, RetryReason, may_retry};
use rstest::rstest;
use smol_str::SmolStr;

/// Levels of calls, as many as the users state.
const DEPTH: usize = 16;
/// Attempts that one level makes at most.
const MAX_ATTEMPTS: usize = 4;

#[rstest]
#[case::proved(RunState::NotRun, false, true)]
#[case::proved_idempotent(RunState::NotRun, true, true)]
#[case::lost(RunState::Unknown, false, false)]
#[case::lost_idempotent(RunState::Unknown, true, true)]
#[case::ran(RunState::Ran, true, false)]
fn retry_is_safe(#[case] run: RunState, #[case] idempotent: bool, #[case] expected: bool) {
    assert_eq!(may_retry(Attempt { run, idempotent }), expected);
}

/// Counts the calls that arrive at the last level when every call there fails.
fn work_at_depth(budgets: &mut [RetryBudget], calls: usize) -> Vec<usize> {
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
    let arriving = work_at_depth(&mut budgets, calls);
    for pair in arriving.windows(2) {
        let bound = pair[0] + pair[0] / 10 + 10;
        assert!(pair[1] <= bound, "one level adds at most a tenth and its slack");
    }
    let without = (MAX_ATTEMPTS as f64).powi(DEPTH as i32);
    let growth = arriving[DEPTH] as f64 / calls as f64;
    assert!(growth <= 1.1_f64.powi(DEPTH as i32) + 0.1, "grew {growth} times, not {without}");
}

#[test]
fn budget_recovers() {
    let limits = RetryLimits::default();
    let mut budget = RetryBudget::new(limits);
    let service = SmolStr::new("desk");
    let mut spend_all =
        |now| (0..100).filter(|_| budget.try_spend(&service, 1, RetryReason::Failed, now)).count();
    let first = spend_all(0);
    assert!((1..=10).contains(&first), "{first} repeats without a call");
    assert_eq!(spend_all(limits.window_ms / 2), 0, "the window is not over");
    assert_eq!(spend_all(2 * limits.window_ms), first);
}
