//! Election delays after restarts, and votes that restarted members must withhold.

use kingcuplift_core::MemberId;
use kingcuplift_testing::{Cluster, ELECTION_TIMEOUT};
use rstest::rstest;

/// Time between checks, in milliseconds.
const STEP: u64 = 10;

/// Advances the time, with all messages delivered and all writes completed, until there is a leader.
fn time_to_leader(cluster: &mut Cluster, limit: u64) -> Option<u64> {
    for step in 1..=limit / STEP {
        cluster.advance(STEP);
        for id in cluster.ids() {
            cluster.sync(id);
        }
        for _ in 0..cluster.in_flight() {
            cluster.deliver(0, false);
        }
        if cluster.leader().is_some() {
            return Some(step * STEP);
        }
    }
    None
}

fn restart(cluster: &mut Cluster, ids: &[MemberId]) {
    for id in ids {
        cluster.crash(*id, 0);
    }
    for id in ids {
        assert!(cluster.restart(*id));
    }
}

#[rstest]
fn full_restart_elects_quickly(
    #[values(3, 4, 5)] size: u64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut cluster = Cluster::with_leader(size, 0, seed);
    let all = cluster.ids();
    restart(&mut cluster, &all);
    let elapsed = time_to_leader(&mut cluster, 4 * ELECTION_TIMEOUT).expect("a leader is elected");
    assert!(elapsed <= ELECTION_TIMEOUT, "{elapsed} ms, although no lease can exist");
    cluster.heal_and_verify();
}

#[rstest]
fn silent_leader_keeps_its_lease(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = Cluster::with_leader(5, 0, seed);
    let leader = cluster.leader().expect("a leader");
    cluster.set_paused(leader, true);
    let others: Vec<MemberId> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
    restart(&mut cluster, &others);
    let lease = ELECTION_TIMEOUT * 9 / 10;
    for _ in 0..lease / STEP {
        cluster.advance(STEP);
        for id in cluster.ids() {
            cluster.sync(id);
        }
        for _ in 0..cluster.in_flight() {
            cluster.deliver(0, false);
        }
        let elected = cluster.leader().is_some_and(|id| id != leader);
        assert!(!elected, "the silent leader may still hold a lease");
    }
    cluster.set_paused(leader, false);
    cluster.heal_and_verify();
}

#[rstest]
fn lost_voter_delays_election_by_one_timeout(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = Cluster::with_leader(5, 0, seed);
    let lost = cluster.ids()[0];
    cluster.wipe(lost);
    let others: Vec<MemberId> = cluster.ids().into_iter().filter(|id| *id != lost).collect();
    restart(&mut cluster, &others);
    let elapsed = time_to_leader(&mut cluster, 6 * ELECTION_TIMEOUT).expect("a leader is elected");
    assert!(elapsed <= 2 * ELECTION_TIMEOUT, "{elapsed} ms");
}

/// Guards against a read lease broken by a restarted member. The member has just answered the leader, restarts cut off
/// from it, and forms a majority with a member that had lost the leader before, while the lease is still valid.
#[rstest]
fn restarted_member_does_not_break_lease(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = Cluster::with_leader(3, 0, seed);
    let leader = cluster.leader().expect("a leader");
    let others: Vec<MemberId> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
    let (lost, answering) = (others[0], others[1]);
    cluster.set_blocked(leader, lost, true);
    cluster.set_blocked(lost, leader, true);
    // The cut-off member can't be elected: the other one refuses its vote while it hears the leader.
    assert_eq!(advance(&mut cluster, 3 * ELECTION_TIMEOUT, leader), None);
    restart(&mut cluster, &[answering]);
    cluster.set_isolated(leader, true);
    let elected = advance(&mut cluster, ELECTION_TIMEOUT * 8 / 10, leader);
    assert_eq!(elected, None, "the leader may still serve reads under its lease");
    cluster.heal_and_verify();
}

/// Advances the time; returns any other member that becomes leader besides `leader`.
fn advance(cluster: &mut Cluster, millis: u64, leader: MemberId) -> Option<MemberId> {
    for _ in 0..millis / STEP {
        cluster.advance(STEP);
        for id in cluster.ids() {
            cluster.sync(id);
        }
        for _ in 0..cluster.in_flight() {
            cluster.deliver(0, false);
        }
        if let Some(other) = cluster.leader().filter(|id| *id != leader) {
            return Some(other);
        }
    }
    None
}
