//! Entries that the others have committed while the leader's own disk hangs.

use kingcuplift_core::MemberId;
use kingcuplift_testing::{Cluster, ELECTION_TIMEOUT};

/// Seed of the group's random numbers.
const SEED: u64 = 11;
/// Simulated time of one round, in milliseconds.
const ROUND_MS: u64 = 20;

/// Completes the writes of the given members, delivers all messages and advances the time, for an election timeout.
fn run_for_election(cluster: &mut Cluster, writers: &[MemberId]) {
    for _ in 0..ELECTION_TIMEOUT / ROUND_MS {
        for id in writers {
            cluster.sync(*id);
        }
        for _ in 0..cluster.in_flight() {
            cluster.deliver(0, false);
        }
        cluster.advance(ROUND_MS);
    }
}

/// A leader took committed entries as stored on its own disk. If the disk then failed, the others refused the member for good.
#[test]
fn unstored_entry_is_not_claimed() {
    let mut cluster = Cluster::with_leader(3, 0, SEED);
    let leader = cluster.leader().expect("a leader");
    let rest: Vec<_> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
    cluster.propose(leader, b"stored by the others");
    // The others commit the entry and learn what each member has stored, while the leader's disk hangs.
    run_for_election(&mut cluster, &rest);
    assert!(cluster.acknowledged.values().any(|command| command == b"stored by the others"));
    cluster.crash(leader, 0);
    run_for_election(&mut cluster, &rest);
    run_for_election(&mut cluster, &rest);
    cluster.restart(leader);
    cluster.settle();
    // The group bears the loss of one of the others only if the first leader takes part again.
    cluster.crash(rest[0], 0);
    cluster.settle();
    let next = cluster.leader().expect("two of three members elect a leader");
    cluster.propose(next, b"last");
    cluster.settle();
    assert!(cluster.acknowledged.values().any(|command| command == b"last"));
    cluster.heal_and_verify();
}
