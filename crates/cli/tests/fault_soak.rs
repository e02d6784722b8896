//! A short randomized soak on real processes; each seed that ever failed stays, with its cause.

use kingcuplift_testing::{SoakOptions, run_soak};
use rstest::rstest;

#[rstest]
#[case::fresh(1)]
// Connections to a member went silent; it heard of no leader for good (see silent_links).
#[case::silent_member(105)]
// A member was told to reload its settings as it started, and ended.
#[case::early_reload(20_261_204)]
fn promises_hold(#[case] seed: u64) {
    let report = run_soak(SoakOptions::short(seed));
    assert!(
        report.violations.is_empty(),
        "{report}\n{:#?}\n{:#?}",
        report.violations,
        report.injected_faults
    );
    assert!(report.answered > 0 && report.versions > 1, "{report}");
}
