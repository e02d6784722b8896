//! Stored departures: merging in any order gives the same table, and a snapshot of the source keeps them.

use kingcuplift_config::{Catalog, DEPARTURE_TTL_MS, DepartureTable, Submission};
use kingcuplift_schema::control::Departure;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of the random departures.
const SEED: u64 = 55;

fn departure(node: u8, ended_born: u64, leaving_born: u64, leaving_sequence: u64) -> Departure {
    Departure { node: format!("node-{node}"), ended_born, leaving_born, leaving_sequence }
}

fn any_departure() -> impl Strategy<Value = Departure> {
    (0..4_u8, 0..6_u64, 0..6_u64, 0..6_u64)
        .prop_map(|(node, ended, leaving, sequence)| departure(node, ended, leaving, sequence))
}

fn entries(table: &DepartureTable) -> Vec<Departure> {
    let mut all: Vec<_> = table.changed_since(0).cloned().collect();
    all.sort_by(|a, b| a.node.cmp(&b.node));
    all
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A receiver that gets only the changes, in any number of batches, knows every departure.
    #[test]
    fn receiver_gets_all(
        departures in prop::collection::vec(any_departure(), 1..40),
        pulls in prop::collection::vec(any::<bool>(), 40),
    ) {
        let (mut sender, mut receiver) = (DepartureTable::default(), DepartureTable::default());
        let mut position = 0;
        for (departure, pull) in departures.iter().zip(pulls) {
            sender.merge(departure, 0);
            prop_assert!(sender.covers(departure, 0));
            if pull {
                sender.changed_since(position).for_each(|change| { receiver.merge(change, 0); });
                position = sender.position();
            }
        }
        sender.changed_since(position).for_each(|change| { receiver.merge(change, 0); });
        prop_assert_eq!(entries(&sender), entries(&receiver));
    }

    /// Departures that arrive in another order, or again, change nothing.
    #[test]
    fn order_does_not_matter(departures in prop::collection::vec(any_departure(), 1..40)) {
        let (mut first, mut second) = (DepartureTable::default(), DepartureTable::default());
        departures.iter().for_each(|departure| { first.merge(departure, 0); });
        departures.iter().rev().for_each(|departure| { second.merge(departure, 0); });
        prop_assert!(departures.iter().all(|departure| !second.merge(departure, 0)));
        prop_assert_eq!(entries(&first), entries(&second));
    }
}

fn submission(at_ms: u64, departures: Vec<Departure>) -> Submission {
    Submission { at_ms, departures, ..Submission::default() }
}

/// A member that restarts from a snapshot had to know what its log no longer says.
#[test]
fn snapshot_keeps_departures() {
    let mut catalog = Catalog::default();
    catalog
        .record_departures(&submission(1_000, vec![departure(1, 5, 0, 0), departure(2, 0, 7, 3)]));
    let restored = Catalog::decode(&catalog.encode()).expect("the state is valid");
    assert_eq!(entries(restored.departures()), entries(catalog.departures()));
    assert_eq!(restored.head(), catalog.head(), "departures make no version");
}

/// The source would grow with each target that has ever left.
#[test]
fn old_departures_are_forgotten() {
    let mut catalog = Catalog::default();
    catalog.record_departures(&submission(1_000, vec![departure(1, 5, 0, 0)]));
    let kept = submission(999 + DEPARTURE_TTL_MS, vec![departure(2, 6, 0, 0)]);
    catalog.record_departures(&kept);
    assert_eq!(entries(catalog.departures()).len(), 2);
    catalog.record_departures(&submission(1_000 + DEPARTURE_TTL_MS, vec![departure(3, 7, 0, 0)]));
    assert_eq!(entries(catalog.departures()), [departure(2, 6, 0, 0), departure(3, 7, 0, 0)]);
}

/// Departures must stay small: each target of a site leaves every few days.
#[test]
fn stored_departure_is_small() {
    let wall_ms = 1_796_000_000_000;
    let one = |node: u8| departure(node, wall_ms, wall_ms - 1, 100);
    let departures: Vec<_> = (0..150).map(one).collect();
    let size = kingcuplift_schema::Message::encoded_len(&submission(wall_ms, departures));
    assert!(size <= 150 * 40, "{size} bytes for 150 departures");
}

/// A node would wait for ever for a departure that the source still has and its relay has forgotten.
#[test]
fn old_departure_is_sent_again() {
    let mut table = DepartureTable::default();
    let known = departure(1, 5, 0, 0);
    assert!(table.merge(&known, 1_000));
    let position = table.position();
    assert!(table.covers(&known, 999 + DEPARTURE_TTL_MS));
    assert!(!table.merge(&known, 999 + DEPARTURE_TTL_MS));
    assert!(!table.covers(&known, 1_000 + DEPARTURE_TTL_MS));
    assert!(table.merge(&known, 1_000 + DEPARTURE_TTL_MS));
    assert_eq!(table.changed_since(position).collect::<Vec<_>>(), [&known]);
}
