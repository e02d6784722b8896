//! Calls that are lost when a target ends, told from those that are lost while it runs on.

use kingcuplift_core::CallFingerprint;
use kingcuplift_traffic::{CrashLog, TargetKey};
use smol_str::SmolStr;

/// Time after which the lost calls of a target that is down are known, in milliseconds.
const KNOWN_MS: u64 = 100;

fn key(node: &str) -> TargetKey {
    let [service, version] = ["desk", "v1"].map(SmolStr::new);
    TargetKey { service, version, node: SmolStr::new(node) }
}

fn fingerprints(numbers: std::ops::Range<u64>) -> Vec<CallFingerprint> {
    numbers.map(CallFingerprint::new).collect()
}

/// Records calls that began 50 ms before their loss.
fn lose(log: &mut CrashLog, node: &str, numbers: std::ops::Range<u64>, now_ms: u64) {
    for fingerprint in fingerprints(numbers) {
        log.record_loss(&key(node), fingerprint, now_ms - 50, now_ms);
    }
}

#[test]
fn lost_answers_alone_are_no_crash() {
    let mut log = CrashLog::default();
    lose(&mut log, "a", 0..5, 1_000);
    assert!(log.poll(1, 1_000 + KNOWN_MS).is_empty());
    // The target is found to be down much later, for another reason.
    log.record_down(&key("a"), 9_000);
    assert!(log.poll(2, 9_000 + KNOWN_MS).is_empty());
    assert_eq!(log.crashes().count(), 0);
}

#[test]
fn crash_names_all_calls_in_flight() {
    let mut log = CrashLog::default();
    lose(&mut log, "a", 0..2, 1_000);
    lose(&mut log, "b", 7..8, 1_000);
    log.record_down(&key("a"), 1_005);
    lose(&mut log, "a", 2..3, 1_010);
    assert!(log.poll(1, 1_020).is_empty(), "other calls may still be about to fail");
    let crashes = log.poll(2, 1_005 + KNOWN_MS);
    assert_eq!(crashes.len(), 1);
    assert_eq!(crashes[0].suspects, fingerprints(0..3));
    assert_eq!(crashes[0].key, key("a"));
    log.record_down(&key("a"), 1_200);
    assert!(log.poll(3, 1_200 + KNOWN_MS).is_empty(), "the target is still down");
}

/// A target that falls silent loses its calls only at their deadlines.
#[test]
fn late_losses_belong_to_the_same_crash() {
    let mut log = CrashLog::default();
    lose(&mut log, "a", 0..1, 1_000);
    log.record_down(&key("a"), 1_010);
    let first = log.poll(10, 1_010 + KNOWN_MS);
    log.record_loss(&key("a"), CallFingerprint::new(1), 900, 2_000);
    log.record_down(&key("a"), 2_100);
    let second = log.poll(20, 2_100 + KNOWN_MS);
    assert_eq!((second[0].id, second[0].suspects.clone()), (first[0].id, fingerprints(0..2)));
    lose(&mut log, "a", 5..6, 4_000);
    log.record_down(&key("a"), 4_010);
    let third = log.poll(30, 4_010 + KNOWN_MS);
    assert_eq!((third[0].id, third[0].suspects.clone()), (30, fingerprints(5..6)));
    assert_eq!(log.crashes().count(), 2);
}

#[test]
fn crashes_are_forgotten() {
    let mut log = CrashLog::default();
    lose(&mut log, "a", 0..1, 1_000);
    log.record_down(&key("a"), 1_000);
    log.poll(1, 1_100);
    assert_eq!(log.crashes().count(), 1);
    log.poll(2, 70_000);
    assert_eq!(log.crashes().count(), 0);
}
