//! Retries: only where safe, and bounded over many levels.

use kingcuplift_core::RunState;
use kingcuplift_traffic::{Attempt, RetryBudget, may_retry};
use rstest::rstest;

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
fn work_at_depth(budgets: &[RetryBudget], calls: usize) -> Vec<usize> {
    let mut arriving = vec![calls];
    for budget in budgets {
        let mut sent = 0;
        for _ in 0..arriving[arriving.len() - 1] {
            budget.earn();
            sent += 1;
            for _ in 1..MAX_ATTEMPTS {
                sent += usize::from(budget.spend());
            }
        }
        arriving.push(sent);
    }
    arriving
}

#[test]
fn total_work_is_bounded() {
    let budgets: Vec<RetryBudget> = (0..DEPTH).map(|_| RetryBudget::default()).collect();
    let calls = 10_000;
    let arriving = work_at_depth(&budgets, calls);
    for pair in arriving.windows(2) {
        let bound = pair[0] + pair[0] / 10 + 10;
        assert!(pair[1] <= bound, "one level adds at most a tenth and its savings");
    }
    let without = (MAX_ATTEMPTS as f64).powi(DEPTH as i32);
    let growth = arriving[DEPTH] as f64 / calls as f64;
    assert!(growth <= 1.1_f64.powi(DEPTH as i32) + 0.1, "grew {growth} times, not {without}");
}

#[test]
fn budget_recovers() {
    let budget = RetryBudget::default();
    let saved = (0..100).filter(|_| budget.spend()).count();
    assert_eq!(saved, 10);
    for _ in 0..10 {
        budget.earn();
    }
    assert!(budget.spend());
    assert!(!budget.spend());
}
