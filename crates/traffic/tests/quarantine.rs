//! A request that ends each target that runs it is refused after three; others that were in flight there are not.

use kingcuplift_core::{CallFingerprint, ResultCode};
use kingcuplift_traffic::{Quarantine, RetryRule, Suspicion, retry_rule};
use rstest::rstest;
use smol_str::SmolStr;

/// Ten minutes, in milliseconds.
const QUARANTINE_MS: u64 = 600_000;
/// The request that ends its targets.
const GUILTY: CallFingerprint = CallFingerprint::new(1);

/// Records a crash at which the guilty request and some others were in flight; returns how many are refused since.
fn crash(quarantine: &mut Quarantine, id: u64, others: std::ops::Range<u64>, now_ms: u64) -> usize {
    let mut requests = vec![GUILTY];
    requests.extend(others.map(CallFingerprint::new));
    let node = SmolStr::new(format!("node-{}", id % 4));
    quarantine.record_crash(&node, id, &requests, now_ms).len()
}

/// Records crashes at which the guilty request was in flight alone.
fn repeat(quarantine: &mut Quarantine, ids: std::ops::RangeInclusive<u64>, now_ms: u64) {
    for id in ids {
        crash(quarantine, id, 0..0, now_ms);
    }
}

#[test]
fn request_is_refused_after_three_crashes() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.suspicion(GUILTY, 0), Suspicion::None);
    for id in 1..=3 {
        let refused = crash(&mut quarantine, id, id * 100..id * 100 + 16, id * 1_000);
        assert_eq!(refused, usize::from(id == 3));
        let expected = if id < 3 { Suspicion::Suspected } else { Suspicion::Quarantined };
        assert_eq!(quarantine.suspicion(GUILTY, id * 1_000), expected);
    }
    for other in (100..400).map(CallFingerprint::new) {
        assert_ne!(quarantine.suspicion(other, 3_000), Suspicion::Quarantined);
    }
}

/// Nodes get the same crash with each later announcement of its target.
#[test]
fn same_crash_counts_once() {
    let mut quarantine = Quarantine::default();
    for now_ms in 0..10 {
        crash(&mut quarantine, 1, 0..0, now_ms);
        crash(&mut quarantine, 2, 0..0, now_ms);
    }
    assert_eq!(quarantine.suspicion(GUILTY, 10), Suspicion::Suspected);
}

/// A request that happened to be in flight at each crash is cleared by an answer.
#[rstest]
fn answer_clears_a_request(#[values(1, 2, 3)] crashes: u64) {
    let mut quarantine = Quarantine::default();
    repeat(&mut quarantine, 1..=crashes, 0);
    quarantine.record_answer(GUILTY, 10);
    assert_eq!(quarantine.suspicion(GUILTY, 10), Suspicion::None);
    // Later announcements of the targets repeat the crashes.
    (1..=crashes).for_each(|id| repeat(&mut quarantine, id..=id, id));
    assert_eq!(quarantine.suspicion(GUILTY, 10), Suspicion::None);
    repeat(&mut quarantine, 11..=12, 20);
    assert_eq!(quarantine.suspicion(GUILTY, 20), Suspicion::Suspected);
}

#[test]
fn quarantine_ends_but_is_renewed_by_one_crash() {
    let mut quarantine = Quarantine::default();
    repeat(&mut quarantine, 1..=3, 0);
    assert_eq!(quarantine.suspicion(GUILTY, QUARANTINE_MS - 1), Suspicion::Quarantined);
    assert_eq!(quarantine.suspicion(GUILTY, QUARANTINE_MS), Suspicion::Suspected);
    assert_eq!(crash(&mut quarantine, 4, 0..0, QUARANTINE_MS + 1), 1);
    let later = QUARANTINE_MS + 2;
    assert_eq!(quarantine.suspicion(GUILTY, later), Suspicion::Quarantined);
    assert_eq!(quarantine.suspicion(GUILTY, later + 2 * QUARANTINE_MS), Suspicion::None);
}

/// Targets that end for other reasons, with many requests each, must not fill the memory.
#[test]
fn suspects_are_bounded() {
    let mut quarantine = Quarantine::default();
    for id in 1..=200 {
        crash(&mut quarantine, id, id * 1_000..id * 1_000 + 64, id);
    }
    let known = (0..300_000).map(CallFingerprint::new);
    let known = known.filter(|request| quarantine.suspicion(*request, 200) != Suspicion::None);
    assert!(known.count() <= 2_048);
    assert_eq!(quarantine.suspicion(GUILTY, 200), Suspicion::Quarantined);
}

#[rstest]
fn refused_request_goes_to_no_other_node(#[values(false, true)] idempotent: bool) {
    assert_eq!(retry_rule(ResultCode::RequestQuarantined, idempotent), RetryRule::Never);
}
