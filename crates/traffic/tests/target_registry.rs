//! Expiry of targets after their sessions end, and conflicts with announcements from other processes.

use kingcuplift_schema::control::{Target, TargetState};
use kingcuplift_traffic::{MergeResult, RemoteMerge, TargetRegistry};

/// Time from the end of a session to the expiry of its targets, in milliseconds.
const GRACE_MS: u64 = 10_000;

fn target(node: &str, incarnation: u64, state: TargetState) -> Target {
    let mut target = Target {
        node: node.to_owned(),
        service: "orders".to_owned(),
        version: "v1".to_owned(),
        incarnation,
        ..Target::default()
    };
    target.set_state(state);
    target
}

fn ready(node: &str, incarnation: u64) -> Target {
    target(node, incarnation, TargetState::Ready)
}

fn present(registry: &TargetRegistry) -> usize {
    registry.table().present().count()
}

#[test]
fn target_expires_after_grace_period() {
    let mut registry = TargetRegistry::new(GRACE_MS);
    registry.announce(1, ready("a", 5), 0);
    registry.end_session(1, 1_000);
    assert!(registry.expire(1_000 + GRACE_MS - 1).is_empty());
    assert_eq!(registry.expire(1_000 + GRACE_MS).len(), 1);
    assert_eq!(present(&registry), 0);
}

#[test]
fn other_session_takes_over() {
    let mut registry = TargetRegistry::new(GRACE_MS);
    registry.announce(1, ready("a", 5), 0);
    registry.end_session(1, 1_000);
    registry.announce(2, ready("a", 6), 2_000);
    assert!(registry.expire(60_000).is_empty());
    assert_eq!(present(&registry), 1);
}

#[test]
fn late_end_of_old_session_is_ignored() {
    let mut registry = TargetRegistry::new(GRACE_MS);
    registry.announce(1, ready("a", 5), 0);
    registry.announce(2, ready("a", 6), 500);
    registry.end_session(1, 3_000);
    assert!(registry.expire(60_000).is_empty());
}

#[test]
fn remote_targets_do_not_expire() {
    let mut registry = TargetRegistry::new(GRACE_MS);
    assert_eq!(
        registry.merge_remote(ready("far", 5), 0),
        RemoteMerge::Merged(MergeResult::Changed)
    );
    assert!(registry.expire(u64::MAX / 2).is_empty());
    assert_eq!(present(&registry), 1);
}

#[test]
fn gone_announcement_of_connected_target_is_overridden() {
    let mut registry = TargetRegistry::new(GRACE_MS);
    registry.announce(1, ready("a", 5), 0);
    let merged = registry.merge_remote(target("a", 5, TargetState::Gone), 10);
    assert_eq!(merged, RemoteMerge::Contradicted(Box::new(ready("a", 6))));
    assert_eq!(present(&registry), 1);
    registry.end_session(1, 20);
    let merged = registry.merge_remote(target("a", 6, TargetState::Gone), 30);
    assert_eq!(
        merged,
        RemoteMerge::Merged(MergeResult::Changed),
        "the target has no session here any more"
    );
}

#[test]
fn restarted_grace_expires_no_target() {
    let mut registry = TargetRegistry::new(GRACE_MS);
    for session in 1..=10 {
        registry.announce(session, ready(&session.to_string(), 5), 0);
        registry.end_session(session, 1_000);
    }
    for now in (1_000..300_000).step_by(1_000) {
        registry.restart_grace(now);
        assert!(registry.expire(now).is_empty());
    }
    assert_eq!(present(&registry), 10);
}

#[test]
fn announcement_elsewhere_ends_the_grace_period() {
    let mut registry = TargetRegistry::new(GRACE_MS);
    registry.announce(1, ready("a", 5), 0);
    registry.end_session(1, 1_000);
    registry.merge_remote(ready("a", 6), 2_000);
    assert!(registry.expire(60_000).is_empty(), "the target is announced through another relay");
    assert_eq!(present(&registry), 1);
}
