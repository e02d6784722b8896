//! Leaders whose storage fails hand over at once, and claim no entry that they have not stored.

use kingcuplift_core::MemberId;
use kingcuplift_quorum::{Effect, Event, Identity, Replica, Restored, Timing};
use kingcuplift_schema::quorum::{
    AppendRequest, HardState, Membership, Peer, Resignation, Snapshot, VoteRequest, Voter, peer,
};
use kingcuplift_testing::{Cluster, DiskFault, ELECTION_TIMEOUT};
use rstest::rstest;

/// Seed of the group's random numbers.
const SEED: u64 = 11;
/// Simulated time of one round, in milliseconds.
const ROUND_MS: u64 = 20;

/// Completes the writes of the given members, delivers all messages and advances the time, `count` times.
fn rounds(cluster: &mut Cluster, writers: &[MemberId], count: u64) {
    for _ in 0..count {
        for id in writers {
            cluster.sync(*id);
        }
        for _ in 0..cluster.in_flight() {
            cluster.deliver(0, false);
        }
        cluster.advance(ROUND_MS);
    }
}

fn others(cluster: &Cluster, member: MemberId) -> Vec<MemberId> {
    cluster.ids().into_iter().filter(|id| *id != member).collect()
}

/// A full disk of the leader cost an election timeout: nobody was told that it had stopped leading.
#[rstest]
#[case::failed_sync(DiskFault::Sync)]
#[case::full_disk(DiskFault::Full)]
fn successor_takes_over(#[case] fault: DiskFault) {
    let mut cluster = Cluster::with_leader(5, 0, SEED);
    let leader = cluster.leader().expect("a leader");
    cluster.inject_disk_fault(leader, fault);
    cluster.propose(leader, b"refused by the disk");
    rounds(&mut cluster, &[leader], 1);
    let rest = others(&cluster, leader);
    let limit = ELECTION_TIMEOUT / 3 / ROUND_MS;
    rounds(&mut cluster, &rest, limit);
    let next = cluster.leader().expect("a new leader within a third of an election timeout");
    let token = cluster.propose(next, b"next");
    rounds(&mut cluster, &rest, limit);
    assert!(!cluster.refused.contains(&token));
    assert!(cluster.acknowledged.values().any(|command| command == b"next"));
    cluster.heal_and_verify();
}

/// An order whose entry the others could store was interrupted, and waited for an election of three syncs in series.
#[rstest]
#[case::failed_sync(DiskFault::Sync)]
#[case::full_disk(DiskFault::Full)]
fn entries_in_flight_are_committed(#[case] fault: DiskFault) {
    let mut cluster = Cluster::with_leader(5, 0, SEED);
    let leader = cluster.leader().expect("a leader");
    let rest = others(&cluster, leader);
    cluster.inject_disk_fault(leader, fault);
    let token = cluster.propose(leader, b"in flight");
    rounds(&mut cluster, &[leader], ELECTION_TIMEOUT / 2 / ROUND_MS);
    let late = cluster.propose(leader, b"too late");
    assert_eq!(cluster.refused, [late].into(), "new proposals are led to the next leader");
    rounds(&mut cluster, &rest, 2);
    assert!(!cluster.refused.contains(&token));
    assert!(cluster.acknowledged.values().any(|command| command == b"in flight"));
    assert_ne!(cluster.leader(), Some(leader), "it has resigned");
    cluster.heal_and_verify();
}

/// A leader that waits for entries in flight resigns in the end although nobody stores them.
#[test]
fn resignation_is_not_put_off() {
    let mut cluster = Cluster::with_leader(5, 0, SEED);
    let leader = cluster.leader().expect("a leader");
    cluster.inject_disk_fault(leader, DiskFault::Full);
    cluster.propose(leader, b"never stored");
    rounds(&mut cluster, &[leader], 5 * ELECTION_TIMEOUT / 2 / ROUND_MS);
    assert_ne!(cluster.leader(), Some(leader));
    cluster.heal_and_verify();
}

/// The member that a leader asks to take over may be lost as well; the others don't wait for its election timeout.
#[test]
fn lost_successor_is_replaced() {
    for lost in 0..4 {
        let mut cluster = Cluster::with_leader(5, 0, SEED);
        let leader = cluster.leader().expect("a leader");
        let mut rest = others(&cluster, leader);
        let lost = rest.remove(lost);
        cluster.set_isolated(lost, true);
        cluster.fail_storage(leader, 0);
        // The earliest of the other members' own election timeouts ends a heartbeat interval later.
        rounds(&mut cluster, &rest, 4 * ELECTION_TIMEOUT / 5 / ROUND_MS);
        let next = cluster.leader().filter(|next| rest.contains(next));
        assert!(next.is_some(), "a member takes over although {lost} is cut off");
        cluster.heal_and_verify();
    }
}

fn message(from: u64, term: u64, body: peer::Body) -> Event {
    let (disk, group) = (from * 10, 5);
    Event::Receive(Box::new(Peer { from, disk, group, term, body: Some(body) }))
}

fn bodies(effects: Vec<Effect>) -> impl Iterator<Item = peer::Body> {
    effects.into_iter().filter_map(|effect| match effect {
        Effect::Send { message, .. } => message.body,
        _ => None,
    })
}

/// A resignation that arrives late ends neither the lease of the next leader nor the wait for its heartbeats.
#[test]
fn late_resignation_is_ignored() {
    let voter = |number: u64| Voter { id: number, disk: number * 10, ..Voter::default() };
    let voters = vec![voter(1), voter(2), voter(3)];
    let membership = Some(Membership { group: 5, voters, learners: Vec::new() });
    let restored = Restored {
        hard_state: HardState { term: 2, vote: 0 },
        snapshot: Snapshot { membership, ..Snapshot::default() },
        entries: Vec::new(),
    };
    let identity = Identity { id: MemberId::new(1), disk: 10 };
    let timing = Timing { election: 300, heartbeat: 60 };
    let mut replica = Replica::new(identity, timing, restored, SEED, 0);
    let heartbeat = peer::Body::Append(AppendRequest::default());
    replica.handle(message(2, 3, heartbeat), 1);
    let resignation = Resignation { successor: 1 };
    let effects = replica.handle(message(3, 2, peer::Body::Resignation(resignation)), 2);
    assert_eq!(bodies(effects).count(), 0, "no election is started");
    assert_eq!(replica.leader(), Some(MemberId::new(2)));
    let request = VoteRequest { pre: true, last_index: 9, last_term: 3, transfer: false };
    let effects = replica.handle(message(3, 3, peer::Body::Vote(request)), 3);
    let sent: Vec<_> = bodies(effects).chain(bodies(replica.handle(Event::Stored(1), 4))).collect();
    assert!(
        matches!(sent.as_slice(), [peer::Body::VoteReply(reply), peer::Body::AppendReply(_)] if !reply.granted),
        "the lease is kept: {sent:?}"
    );
}
