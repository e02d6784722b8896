//! How soon restarted members elect a leader, and when they must wait.

use kingcuplift_core::MemberId;
use kingcuplift_testing::{Cluster, ELECTION_TIMEOUT};
use rstest::rstest;

/// Time between looks, in milliseconds.
const STEP: u64 = 10;

/// Lets time pass, with all messages delivered and all writes done, until there is a leader.
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
fn all_elect_soon(#[values(3, 4, 5)] size: u64, #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = Cluster::with_leader(size, 0, seed);
    let all = cluster.ids();
    restart(&mut cluster, &all);
    let took = time_to_leader(&mut cluster, 4 * ELECTION_TIMEOUT).expect("a leader is elected");
    assert!(took <= ELECTION_TIMEOUT, "{took} ms, nobody can hold a lease");
    cluster.heal_and_verify();
}

#[rstest]
fn silent_voter_is_waited_for(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
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
fn lost_voter_costs_one_election_time(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = Cluster::with_leader(5, 0, seed);
    let lost = cluster.ids()[0];
    cluster.wipe(lost);
    let others: Vec<MemberId> = cluster.ids().into_iter().filter(|id| *id != lost).collect();
    restart(&mut cluster, &others);
    let took = time_to_leader(&mut cluster, 6 * ELECTION_TIMEOUT).expect("a leader is elected");
    assert!(took <= 2 * ELECTION_TIMEOUT, "{took} ms");
}

/// A member that has just answered the leader restarts, cut off from it, beside one that had lost the leader before:
/// together they are a majority, but the leader still counts on the answer.
#[rstest]
fn own_vote_waits_too(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = Cluster::with_leader(3, 0, seed);
    let leader = cluster.leader().expect("a leader");
    let others: Vec<MemberId> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
    let (lost, answering) = (others[0], others[1]);
    cluster.set_blocked(leader, lost, true);
    cluster.set_blocked(lost, leader, true);
    // The cut member alone can't be elected: the other one refuses while it hears the leader.
    assert_eq!(pass(&mut cluster, 3 * ELECTION_TIMEOUT, leader), None);
    restart(&mut cluster, &[answering]);
    cluster.set_isolated(leader, true);
    let elected = pass(&mut cluster, ELECTION_TIMEOUT * 8 / 10, leader);
    assert_eq!(elected, None, "the leader may still read by its lease");
    cluster.heal_and_verify();
}

/// Lets time pass, and returns who leads beside `leader`, if anybody.
fn pass(cluster: &mut Cluster, millis: u64, leader: MemberId) -> Option<MemberId> {
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
