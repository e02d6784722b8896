//! Progress of versions: nodes that move between relays, restarted relays, lost reports.

use kingcuplift_core::{NodeName, Version, ZoneName};
use kingcuplift_schema::control::Progress;
use kingcuplift_traffic::{ProgressReporter, ProgressTracker};

/// Sessions of two relays at the source.
const OLD_RELAY: u64 = 1;
const NEW_RELAY: u64 = 2;

/// Returns a relay's report on nodes, given as name and version in force.
fn report(reporter: &mut ProgressReporter, nodes: &[(&str, u64)]) -> Option<Progress> {
    let zone: ZoneName = "colombo-a".parse().expect("a name");
    let nodes: Vec<(NodeName, Version)> = nodes
        .iter()
        .map(|(name, version)| (name.parse().expect("a name"), Version::new(*version)))
        .collect();
    reporter.report(nodes.iter().map(|(name, version)| (name, &zone, *version)))
}

/// Returns in how many nodes version 2 is in force, and how many are known.
fn progress(tracker: &ProgressTracker) -> (u64, u64) {
    let progress = tracker.progress(Version::new(2));
    (progress.in_force, progress.known)
}

#[test]
fn moved_node_counts_once() {
    let (mut tracker, mut old, mut new) =
        (ProgressTracker::default(), ProgressReporter::default(), ProgressReporter::default());
    tracker.update(OLD_RELAY, report(&mut old, &[("node-1", 2), ("node-2", 2)]).expect("a change"));
    tracker.update(NEW_RELAY, report(&mut new, &[("node-3", 1)]).expect("a change"));
    assert_eq!(progress(&tracker), (2, 3));
    // The old relay is paused, and still reports node-2.
    tracker.update(NEW_RELAY, report(&mut new, &[("node-2", 2), ("node-3", 1)]).expect("a change"));
    assert_eq!(progress(&tracker), (2, 3), "node-3 lacks the version");
    tracker.update(NEW_RELAY, report(&mut new, &[("node-2", 2), ("node-3", 2)]).expect("a change"));
    assert_eq!(progress(&tracker), (3, 3));
    tracker.update(OLD_RELAY, report(&mut old, &[("node-1", 2)]).expect("a change"));
    assert_eq!(progress(&tracker), (3, 3));
}

#[test]
fn lost_relay_counts_no_more() {
    let (mut tracker, mut old, mut new) =
        (ProgressTracker::default(), ProgressReporter::default(), ProgressReporter::default());
    tracker.update(OLD_RELAY, report(&mut old, &[("node-1", 2)]).expect("a change"));
    tracker.update(NEW_RELAY, report(&mut new, &[("node-1", 2)]).expect("a change"));
    tracker.remove(OLD_RELAY);
    assert_eq!(progress(&tracker), (1, 1));
    tracker.remove(NEW_RELAY);
    assert_eq!(progress(&tracker), (0, 0));
}

#[test]
fn unchanged_nodes_need_no_report() {
    let mut reporter = ProgressReporter::default();
    assert!(report(&mut reporter, &[("node-1", 2)]).is_some());
    assert_eq!(report(&mut reporter, &[("node-1", 2)]), None);
    let exchanged = report(&mut reporter, &[("node-2", 2)]).expect("a change");
    assert_eq!((exchanged.joined.len(), exchanged.left.len()), (1, 1), "equal counts, other nodes");
}

#[test]
fn full_report_replaces_earlier_ones() {
    let mut tracker = ProgressTracker::default();
    let first = report(&mut ProgressReporter::default(), &[("node-1", 2), ("node-2", 2)]);
    tracker.update(OLD_RELAY, first.expect("a change"));
    // A report in between was not sent, so the relay starts anew.
    let second = report(&mut ProgressReporter::default(), &[("node-2", 2)]);
    tracker.update(OLD_RELAY, second.expect("a change"));
    let other = report(&mut ProgressReporter::default(), &[("node-1", 1)]);
    tracker.update(NEW_RELAY, other.expect("a change"));
    assert_eq!(progress(&tracker), (1, 2));
}

#[test]
fn second_link_of_a_node_replaces_first() {
    let mut tracker = ProgressTracker::default();
    let nodes = [("node-1", 1), ("node-1", 2)];
    tracker.update(OLD_RELAY, report(&mut ProgressReporter::default(), &nodes).expect("a change"));
    assert_eq!(progress(&tracker), (1, 1));
}
