//! Members that stand still, as they lack processor time, and then find messages of the meantime.

use kingcuplift_core::MemberId;
use kingcuplift_testing::{Cluster, ELECTION_TIMEOUT};
use rstest::rstest;

/// Time between checks, in milliseconds.
const STEP: u64 = 10;
/// Rounds of messages, with the writes between them, that an election takes at most.
const ROUNDS: usize = 6;

fn complete_writes(cluster: &mut Cluster) {
    for id in cluster.ids() {
        cluster.sync(id);
    }
}

fn deliver_all(cluster: &mut Cluster) {
    for _ in 0..cluster.in_flight() {
        cluster.deliver(0, false);
    }
}

fn run(cluster: &mut Cluster, time: u64) {
    for _ in 0..time / STEP {
        cluster.advance(STEP);
        complete_writes(cluster);
        deliver_all(cluster);
    }
}

fn term(cluster: &Cluster, id: MemberId) -> u64 {
    cluster.replica(id).expect("a running member").term()
}

/// A leader whose followers had answered stepped down, and followers whose leader was there started elections, because
/// timers are handled before the messages that came while a member stood still.
#[rstest]
fn own_standstill_is_no_silence(
    #[values(3, 5, 11)] size: u64,
    #[values(1, 2, 3)] seed: u64,
    #[values(13, 18)] election_tenths: u64,
) {
    let mut cluster = Cluster::with_leader(size, 0, seed);
    run(&mut cluster, 2 * ELECTION_TIMEOUT);
    let leader = cluster.leader().expect("a leader");
    let elected_in = term(&cluster, leader);
    cluster.advance(ELECTION_TIMEOUT * election_tenths / 10);
    run(&mut cluster, 3 * ELECTION_TIMEOUT);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(term(&cluster, leader), elected_in, "an election without a fault");
    cluster.heal_and_verify();
}

/// A member that stands still again and again must not wait for ever for messages of a leader that is gone.
#[rstest]
fn lost_leader_is_replaced_despite_standstills(
    #[values(3, 5, 11)] size: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = Cluster::with_leader(size, 0, seed);
    run(&mut cluster, 2 * ELECTION_TIMEOUT);
    let leader = cluster.leader().expect("a leader");
    cluster.crash(leader, 0);
    let standstill = ELECTION_TIMEOUT / 3;
    let is_replaced = (0..30).any(|_| {
        cluster.advance(standstill);
        for _ in 0..ROUNDS {
            complete_writes(&mut cluster);
            deliver_all(&mut cluster);
        }
        cluster.leader().is_some_and(|id| id != leader)
    });
    assert!(is_replaced, "no leader in ten election times");
    cluster.heal_and_verify();
}
