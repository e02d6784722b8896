//! Announced targets: merging in any order gives the same table, and a newer state is never undone.

use kingcuplift_schema::control::{Crash, Target, TargetState};
use kingcuplift_traffic::{MergeResult, TargetKey, TargetTable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of the random announcements.
const SEED: u64 = 5;

fn target(node: u8, incarnation: u64, state: TargetState) -> Target {
    let mut target = Target {
        node: format!("node-{node}"),
        service: "orders".to_owned(),
        version: "v1".to_owned(),
        incarnation,
        ..Target::default()
    };
    target.set_state(state);
    target
}

fn announcement() -> impl Strategy<Value = Target> {
    let state =
        prop_oneof![Just(TargetState::Ready), Just(TargetState::Leaving), Just(TargetState::Gone),];
    (0..4_u8, 0..5_u64, state)
        .prop_map(|(node, incarnation, state)| target(node, incarnation, state))
}

fn entries(table: &TargetTable) -> Vec<(TargetKey, u64, i32)> {
    let mut all: Vec<_> =
        table.changed_since(0).map(|t| (TargetKey::of(t), t.incarnation, t.state)).collect();
    all.sort();
    all
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn order_does_not_matter(
        announcements in prop::collection::vec(announcement(), 1..40),
        repeated in prop::collection::vec(any::<usize>(), 0..20),
        shuffle in any::<u64>(),
    ) {
        let mut first = TargetTable::default();
        for target in &announcements {
            first.merge(target.clone(), 0);
        }
        let mut shuffled = announcements.clone();
        shuffled.extend(repeated.iter().map(|at| announcements[at % announcements.len()].clone()));
        let mut random = shuffle | 1;
        for at in (1..shuffled.len()).rev() {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            shuffled.swap(at, (random >> 33) as usize % (at + 1));
        }
        let mut second = TargetTable::default();
        for target in shuffled {
            second.merge(target, 0);
        }
        prop_assert_eq!(entries(&first), entries(&second));
    }

    /// A receiver that gets only the changes, in any number of batches, ends with the same table.
    #[test]
    fn incremental_changes_give_the_same_table(
        announcements in prop::collection::vec(announcement(), 1..40),
        pulls in prop::collection::vec(any::<bool>(), 40),
    ) {
        let mut sender = TargetTable::default();
        let mut receiver = TargetTable::default();
        let mut position = 0;
        for (target, pull) in announcements.into_iter().zip(pulls) {
            sender.merge(target, 0);
            if pull {
                let changes: Vec<Target> = sender.changed_since(position).cloned().collect();
                position = sender.position();
                for change in changes {
                    receiver.merge(change, 0);
                }
            }
        }
        for change in sender.changed_since(position).cloned().collect::<Vec<_>>() {
            receiver.merge(change, 0);
        }
        prop_assert_eq!(entries(&sender), entries(&receiver));
    }
}

#[test]
fn late_expiry_is_ignored() {
    let mut table = TargetTable::default();
    table.merge(target(1, 1, TargetState::Ready), 0);
    table.merge(target(1, 2, TargetState::Ready), 0);
    let late = table.merge(target(1, 1, TargetState::Gone), 0);
    assert_eq!(late, MergeResult::Unchanged, "the target has moved to another relay");
    assert_eq!(table.present().count(), 1);
}

#[test]
fn tombstone_is_kept_for_its_ttl() {
    let mut table = TargetTable::default();
    table.merge(target(1, 1, TargetState::Gone), 0);
    table.forget_gone(299_999);
    assert_eq!(table.merge(target(1, 1, TargetState::Ready), 0), MergeResult::Unchanged);
    table.forget_gone(300_000);
    assert_eq!(table.changed_since(0).count(), 0);
}

fn with_crashes(incarnation: u64, crashes: &[(u64, u64)]) -> Target {
    let mut target = target(1, incarnation, TargetState::Ready);
    let crashes = crashes.iter().map(|(id, request)| Crash { id: *id, requests: vec![*request] });
    target.crashes = crashes.collect();
    target
}

/// The node beside a target forgets its crashes when it restarts; all others must still learn of them.
#[test]
fn crashes_outlive_announcements() {
    let mut table = TargetTable::default();
    table.merge(with_crashes(1, &[(10, 1), (20, 2)]), 0);
    table.merge(with_crashes(2, &[]), 0);
    let mut later = with_crashes(3, &[(30, 3)]);
    later.set_state(TargetState::Gone);
    table.merge(later, 0);
    let ids = |table: &TargetTable| -> Vec<u64> {
        let targets = table.changed_since(0);
        targets.flat_map(|target| &target.crashes).map(|crash| crash.id).collect()
    };
    assert_eq!(ids(&table), [10, 20, 30]);
    let many: Vec<(u64, u64)> = (100..200).map(|id| (id, id)).collect();
    table.merge(with_crashes(4, &many), 0);
    assert_eq!(ids(&table), (192..200).collect::<Vec<u64>>(), "the newest are kept");
}
