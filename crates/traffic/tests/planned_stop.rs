//! Calls that arrive while their node shuts down; refused ones return to the same node until it is gone.

use std::time::Duration;

use kingcuplift_traffic::time_before_stop;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A call whose timeout of 6 s exceeds the 5.5 s of a shutdown was refused, although it usually takes a second.
#[test]
fn long_timeout_is_shortened() {
    assert_eq!(time_before_stop(ms(6_000), ms(2_000), ms(5_500)), Some(ms(5_400)));
}

#[test]
fn call_that_ends_in_time_keeps_its_time() {
    assert_eq!(time_before_stop(ms(3_000), ms(800), ms(5_500)), Some(ms(3_000)));
}

#[test]
fn call_without_time_for_its_objective_is_refused() {
    assert_eq!(time_before_stop(ms(6_000), ms(2_000), ms(1_900)), None);
    assert_eq!(time_before_stop(ms(800), ms(800), Duration::ZERO), None, "the node has closed");
}
