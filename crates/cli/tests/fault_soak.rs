//! A short randomized soak test with real processes. A seed that failed once stays a case, with the cause.

use std::time::Duration;

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

/// Two members lose their disks right after a confirmation while all other processes, nodes too, are killed.
#[rstest]
#[case::two_of_five(9_001)]
fn confirmed_version_outlives_disks(#[case] seed: u64) {
    let report = run_soak(SoakOptions { members: 5, lost_disks: 2, ..SoakOptions::short(seed) });
    assert!(
        report.violations.is_empty(),
        "{report}\n{:#?}\n{:#?}",
        report.violations,
        report.injected_faults
    );
    let is_lost = report.injected_faults.last().is_some_and(|fault| fault.contains("LoseDisks"));
    assert!(is_lost && report.versions > 1, "{report}");
}

/// Probes that show something in a run of 25 s; four probers send one each 15 ms.
const MIN_PROBES: usize = 1_000;

/// Between faults, each version is in force in time at all nodes that are in touch with the source.
#[test]
fn versions_are_in_force() {
    let options = SoakOptions {
        fault_duration: Duration::from_secs(25),
        fault_interval: Duration::from_secs(7),
        longest_fault: Duration::from_secs(6),
        idle_routes: 100,
        ..SoakOptions::calm(20_261_205, 3, 4)
    };
    let report = run_soak(options);
    assert!(
        report.violations.is_empty(),
        "{report}\n{:#?}\n{:#?}",
        report.violations,
        report.injected_faults
    );
    assert!(report.probes > MIN_PROBES, "{report}");
}

/// Calls that show which versions may be in force, in a run of 25 s with four callers of changing routes.
const MIN_TELLING: usize = 200;
/// Calls of steady state on the first routes, and on later ones, from which on their shares count.
const MIN_SERVED: usize = 20;
/// Calls without an answer from their targets from which on the fraction that is answered in time counts.
const MIN_OUTLASTING: usize = 8;

/// Changes of existing routes are in force in time and never taken back, later routes are served, and calls end with their
/// route's timeout.
#[test]
fn changed_routes_hold() {
    let options = SoakOptions {
        steady_time: Duration::from_secs(13),
        fault_duration: Duration::from_secs(12),
        fault_interval: Duration::from_secs(5),
        longest_fault: Duration::from_secs(4),
        idle_routes: 100,
        ..SoakOptions::calm(20_261_206, 3, 4)
    };
    let report = run_soak(options);
    assert!(
        report.violations.is_empty(),
        "{report}\n{:#?}\n{:#?}",
        report.violations,
        report.injected_faults
    );
    let changes = &report.changes;
    let later: usize = changes.later.values().map(|(sent, _)| sent).sum();
    assert!(changes.telling > MIN_TELLING && changes.outlasting.0 >= MIN_OUTLASTING, "{report}");
    assert!(changes.first.0 >= MIN_SERVED && later >= MIN_SERVED, "{report}");
}
