//! What follows a failed attempt, and what the caller is told after several.

use kingcuplift_core::{ResultCode, RunState};
use kingcuplift_traffic::{AttemptResults, RetryReason, RetryRule, retry_rule};
use proptest::prelude::*;
use rstest::rstest;

/// A node that no longer has the target refused for the whole service once the retry budget was used up.
#[rstest]
#[case(ResultCode::TargetUnknown, RetryRule::Free)]
#[case(ResultCode::TargetRefused, RetryRule::Free)]
#[case(ResultCode::Overloaded, RetryRule::Free)]
#[case(ResultCode::TargetShed, RetryRule::Charged(RetryReason::NotRun))]
#[case(ResultCode::TargetReplaced, RetryRule::Charged(RetryReason::NotRun))]
#[case(ResultCode::AnswerLost, RetryRule::Never)]
#[case(ResultCode::DeadlineAfter, RetryRule::Never)]
fn rule_for_call_that_must_run_once(#[case] code: ResultCode, #[case] rule: RetryRule) {
    assert_eq!(retry_rule(code, false), rule);
}

#[test]
fn lost_answer_of_idempotent_call_is_charged() {
    let rule = retry_rule(ResultCode::AnswerLost, true);
    assert_eq!(rule, RetryRule::Charged(RetryReason::Failed));
}

/// Result of an attempt: the status of a response, or what is known of a call without one.
fn attempt() -> impl Strategy<Value = Result<u16, RunState>> {
    prop_oneof![
        Just(Ok(500)),
        Just(Ok(200)),
        Just(Err(RunState::NotRun)),
        Just(Err(RunState::Unknown)),
        Just(Err(RunState::Ran)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// An idempotent call that had failed with a 500 and was then refused by other nodes was reported as not run.
    #[test]
    fn knowledge_of_the_run_only_grows(attempts in prop::collection::vec(attempt(), 1..6)) {
        let mut results = AttemptResults::default();
        for result in &attempts {
            results.add(*result, |run| *run);
        }
        let merged = results.merged().expect("there was an attempt");
        let last_response = attempts.iter().rev().find_map(|result| result.ok());
        let most_certain = attempts.iter().filter_map(|result| result.err()).max();
        match last_response {
            Some(status) => prop_assert_eq!(merged, Ok(status), "the response at hand is delivered"),
            None => prop_assert_eq!(merged.err(), most_certain),
        }
    }
}
