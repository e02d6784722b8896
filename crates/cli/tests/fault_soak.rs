//! A short randomized soak test with real processes. A seed that failed once stays a case, with the cause.

use kingcuplift_testing::{SoakOptions, run_soak};
use rstest::rstest;

#[rstest]
#[case::baseline(1)]
// Connections to a member stopped passing data; it never learned of a leader again (see silent_links).
#[case::silent_member(105)]
// A member was told to reload its settings while it started, and exited.
#[case::early_reload(20_261_204)]
fn guarantees_hold(#[case] seed: u64) {
    let report = run_soak(SoakOptions::short(seed));
    assert!(
        report.violations.is_empty(),
        "{report}\n{:#?}\n{:#?}",
        report.violations,
        report.injected_faults
    );
    assert!(report.answered > 0 && report.versions > 1, "{report}");
}
