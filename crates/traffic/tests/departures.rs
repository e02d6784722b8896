//! Departed targets: no delayed report brings one back, and its next life is taken into use at once.

use kingcuplift_traffic::{DatedDepartures, Departures, Lease, Leases, ReportPosition, TargetKey};
use rstest::rstest;
use smol_str::SmolStr;

/// Start time of the instance that leaves, in milliseconds since the Unix epoch.
const BORN: u64 = 10_000;
/// Time of its deregistration on the same clock.
const LEFT_AT: u64 = 60_000;
/// Monotonic time of the deregistration, in milliseconds.
const NOW: u64 = 1_000;
/// Delay of the late report, in milliseconds.
const DELAY: u64 = 8_000;
/// Sequence number of its last report.
const LAST_SEQUENCE: u64 = 40;

const INSTANCE: SmolStr = SmolStr::new_static("i-1");

fn position(start_time_ms: u64, sequence: u64) -> ReportPosition {
    ReportPosition { start_time_ms, sequence }
}

/// A node took an instance into use again that had deregistered while the node didn't know it.
#[rstest]
#[case::dated(BORN, BORN)]
#[case::undated_deregistration(BORN, 0)]
#[case::undated(0, 0)]
fn late_report_is_outdated(#[case] reported_ms: u64, #[case] stated_ms: u64) {
    let mut departures = Departures::default();
    match stated_ms {
        0 => departures.record_undated_end(&INSTANCE, LEFT_AT, NOW),
        _ => departures.record_end(stated_ms),
    }
    assert!(departures.has_ended(&INSTANCE, reported_ms, NOW));
    for sequence in 2..=LAST_SEQUENCE {
        let late = position(reported_ms, sequence);
        assert!(departures.is_outdated(&INSTANCE, late, NOW + DELAY), "{late:?}");
    }
}

/// A new start under the same name must not wait until the departure is forgotten.
#[rstest]
#[case::dated(BORN, LEFT_AT + 1)]
#[case::dated_after_undated(0, LEFT_AT + 1)]
#[case::undated(0, 0)]
fn next_life_is_accepted(#[case] stated_ms: u64, #[case] next_born: u64) {
    let mut departures = Departures::default();
    match stated_ms {
        0 => departures.record_undated_end(&INSTANCE, LEFT_AT, NOW),
        _ => departures.record_end(stated_ms),
    }
    let first = position(next_born, 1);
    assert!(!departures.is_outdated(&INSTANCE, first, NOW + 1));
    departures.begin_life(&INSTANCE);
    assert!(!departures.is_outdated(&INSTANCE, position(next_born, 2), NOW + 2));
    assert!(!departures.has_ended(&INSTANCE, next_born, NOW + 2));
}

/// A departure that is known by name only must not end other instances.
#[test]
fn other_instance_stays() {
    let mut departures = Departures::default();
    departures.record_undated_end(&INSTANCE, LEFT_AT, NOW);
    assert!(!departures.has_ended("i-2", BORN, NOW));
    assert!(!departures.is_outdated("i-2", position(BORN, 7), NOW));
    assert!(!departures.is_outdated("i-2", position(0, 7), NOW));
}

/// What a target said of its departure outlives its lease: the report from before is refused after it, too.
#[test]
fn leaving_outlives_lease() {
    let mut departures = Departures::default();
    departures.record_leaving(position(BORN, LAST_SEQUENCE));
    assert!(departures.is_outdated(&INSTANCE, position(BORN, LAST_SEQUENCE - 1), NOW));
    assert!(departures.is_outdated(&INSTANCE, position(BORN - 1, 99), NOW), "an earlier life");
    assert!(!departures.is_outdated(&INSTANCE, position(BORN, LAST_SEQUENCE + 1), NOW));
    assert!(!departures.is_outdated(&INSTANCE, position(BORN + 1, 1), NOW), "the next life");
    assert!(!departures.has_ended(&INSTANCE, BORN, NOW));
}

/// Departures that arrive in any order, and more than once, leave the same memory.
#[rstest]
fn order_does_not_matter(
    #[values([0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0])] order: [u8; 3],
) {
    let mut departures = Departures::default();
    for event in order.into_iter().chain(order) {
        match event {
            0 => departures.record_end(BORN),
            1 => departures.record_end(BORN - 5_000),
            _ => departures.record_leaving(position(BORN + 1, 3)),
        }
    }
    let known = DatedDepartures { ended_ms: BORN, leaving: position(BORN + 1, 3) };
    assert_eq!(departures.unstored(), Some(known));
    assert!(departures.is_outdated(&INSTANCE, position(BORN, 99), NOW));
    assert!(departures.is_outdated(&INSTANCE, position(BORN + 1, 2), NOW));
    assert!(!departures.is_outdated(&INSTANCE, position(BORN + 2, 1), NOW));
}

/// A departure was confirmed while it was in the memory of processes only, all of which may be killed.
#[rstest]
#[case::ended(DatedDepartures { ended_ms: BORN, ..DatedDepartures::default() })]
#[case::leaving(DatedDepartures { leaving: position(BORN, 3), ..DatedDepartures::default() })]
fn departure_waits_for_storage(#[case] departure: DatedDepartures) {
    let mut departures = Departures::default();
    departures.record_end(departure.ended_ms);
    departures.record_leaving(departure.leaving);
    assert_eq!(departures.unstored(), Some(departure));
    assert!(departures.is_unstored(BORN));
    assert!(!departures.is_unstored(BORN + 1), "an instance that has not left");
    let earlier = DatedDepartures { ended_ms: BORN - 1, ..DatedDepartures::default() };
    departures.record_stored(earlier);
    assert!(departures.is_unstored(BORN), "only an earlier departure is stored");
    departures.record_stored(departure);
    assert!(!departures.is_unstored(BORN));
    assert_eq!(departures.unstored(), None);
}

/// A target that leaves in two steps is written once.
#[test]
fn end_after_leaving_is_stored() {
    let mut departures = Departures::default();
    let leaving = DatedDepartures { leaving: position(BORN, 3), ..DatedDepartures::default() };
    departures.record_leaving(leaving.leaving);
    departures.record_stored(leaving);
    departures.record_end(BORN);
    assert!(!departures.is_unstored(BORN));
}

/// A node that was restarted learns from the source what had left before.
#[test]
fn restarted_node_learns_departures() {
    let mut departures = Departures::default();
    departures.record_stored(DatedDepartures { ended_ms: BORN, leaving: position(BORN + 1, 3) });
    assert!(departures.is_outdated(&INSTANCE, position(BORN, 99), NOW));
    assert!(departures.is_outdated(&INSTANCE, position(BORN + 1, 2), NOW));
    assert_eq!(departures.unstored(), None);
}

/// What happens to a target beside a node, besides its reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Its lease ends, as its reports are lost.
    LeaseEnd,
    /// The node starts again, and learns what the source has stored.
    Restart,
    /// The target deregisters.
    Deregistration,
    /// A report from before the deregistration arrives.
    LateReport,
}

/// A node without its sockets: leases, departures, and what the source has stored.
#[derive(Debug, Default)]
struct Node {
    leases: Leases,
    departures: Departures,
    stored: DatedDepartures,
}

impl Node {
    fn key() -> TargetKey {
        let [service, version, node] = ["desk", "v1", "node-1"].map(SmolStr::new_static);
        TargetKey { service, version, node }
    }

    fn serves(&self) -> bool {
        self.leases.get(&Self::key()).is_some()
    }

    fn report(&mut self, position: ReportPosition, now_ms: u64) {
        if self.departures.is_outdated(&INSTANCE, position, now_ms) {
            return;
        }
        self.departures.begin_life(&INSTANCE);
        let lease = Lease { address: "a".to_owned(), slots: 1, until_ms: now_ms + 6_000 };
        self.leases.renew(Self::key(), lease);
    }

    fn deregister(&mut self, born: u64, now_ms: u64) {
        match born {
            0 => self.departures.record_undated_end(&INSTANCE, LEFT_AT, now_ms),
            _ => self.departures.record_end(born),
        }
        self.leases.remove(&Self::key());
        self.stored = self.departures.unstored().unwrap_or(self.stored);
        self.departures.record_stored(self.stored);
    }

    fn take(&mut self, step: Step, born: u64, now_ms: u64) {
        match step {
            Step::LeaseEnd => drop(self.leases.remove(&Self::key())),
            Step::Restart => {
                (self.leases, self.departures) = (Leases::default(), Departures::default());
                self.departures.record_stored(self.stored);
            }
            Step::Deregistration => self.deregister(born, now_ms),
            Step::LateReport => self.report(position(born, LAST_SEQUENCE), now_ms),
        }
    }
}

/// Returns all orders of the steps.
fn orders() -> Vec<Vec<Step>> {
    let steps = [Step::LeaseEnd, Step::Restart, Step::Deregistration, Step::LateReport];
    let mut orders = vec![Vec::new()];
    for _ in steps {
        let longer = |order: &Vec<Step>| {
            let missing = steps.iter().filter(|step| !order.contains(step));
            missing.map(|step| [order.as_slice(), &[*step]].concat()).collect::<Vec<_>>()
        };
        orders = orders.iter().flat_map(longer).collect();
    }
    orders
}

/// In some orders of the end of a lease, a restart, a deregistration and a late report, the target was used again; its next
/// life must be used at once in all of them.
#[rstest]
#[case::dated(BORN)]
#[case::undated(0)]
fn departure_holds_in_any_order(#[case] born: u64) {
    let orders = orders();
    assert_eq!(orders.len(), 24);
    for order in orders {
        let mut node = Node::default();
        node.report(position(born, LAST_SEQUENCE - 1), NOW);
        assert!(node.serves());
        for (number, step) in order.iter().enumerate() {
            node.take(*step, born, NOW + 1_000 * number as u64);
        }
        let place = |step: Step| order.iter().position(|other| *other == step);
        let is_forgotten = born == 0 && place(Step::Restart) > place(Step::Deregistration);
        assert!(is_forgotten || !node.serves(), "{order:?}");
        let next_born = if born == 0 { 0 } else { LEFT_AT + 1 };
        node.report(position(next_born, 1), NOW + 5_000);
        assert!(node.serves(), "the next life after {order:?}");
    }
}
