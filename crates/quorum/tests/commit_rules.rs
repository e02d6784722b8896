//! Rules for committing entries and for serving reads under the leader's lease.

use kingcuplift_core::MemberId;
use kingcuplift_quorum::{
    Effect, Event, Identity, Millis, Replica, Restored, RoleName, Timing, WriteSeq,
};
use kingcuplift_schema::quorum::{
    AppendReply, Entry, HardState, InquiryReply, Membership, Peer, Snapshot, VoteReply, Voter,
    entry, peer,
};
use kingcuplift_testing::{Cluster, ELECTION_TIMEOUT, member_id as id};

const TIMING: Timing = Timing { election: 300, heartbeat: 60 };
/// Seed of the election timeouts.
const SEED: u64 = 1;

fn voter(number: u64) -> Voter {
    Voter { id: number, disk: number * 10, ..Voter::default() }
}

fn command_entry(index: u64, term: u64) -> Entry {
    Entry { index, term, body: Some(entry::Body::Command(vec![index as u8].into())) }
}

/// Creates member 1 of three, with entries of the given terms on its disk.
fn member(terms: &[u64]) -> Replica {
    let voters = vec![voter(1), voter(2), voter(3)];
    let membership = Some(Membership { group: 5, voters, learners: Vec::new() });
    let entries =
        terms.iter().enumerate().map(|(i, term)| command_entry(i as u64 + 1, *term)).collect();
    let term = terms.last().copied().unwrap_or(0);
    let restored = Restored {
        hard_state: HardState { term, vote: 0 },
        snapshot: Snapshot { membership, ..Snapshot::default() },
        entries,
    };
    let identity = Identity { id: MemberId::new(1), disk: 10 };
    Replica::new(identity, TIMING, restored, SEED, 0)
}

fn from(number: u64, term: u64, body: peer::Body) -> Event {
    Event::Receive(Box::new(Peer {
        from: number,
        disk: number * 10,
        group: 5,
        term,
        body: Some(body),
    }))
}

fn last_write(effects: &[Effect]) -> Option<WriteSeq> {
    let seqs = effects.iter().filter_map(|effect| match effect {
        Effect::Save { seq, .. } => Some(*seq),
        _ => None,
    });
    seqs.max()
}

/// Elects the member with the vote of member 2; returns the time and the last unsynced write.
fn elect(replica: &mut Replica) -> (Millis, Option<WriteSeq>) {
    for number in [2, 3] {
        replica.handle(from(number, 0, peer::Body::InquiryReply(InquiryReply::default())), 1);
    }
    let mut now = 1;
    while replica.role() == RoleName::Follower {
        now += 10;
        replica.handle(Event::Tick, now);
    }
    let pre_vote = VoteReply { pre: true, granted: true, last_index: 9 };
    let effects = replica.handle(from(2, 0, peer::Body::VoteReply(pre_vote)), now);
    replica.handle(Event::Stored(last_write(&effects).expect("term and vote are written")), now);
    let vote = VoteReply { pre: false, granted: true, last_index: 9 };
    let term = replica.term();
    let effects = replica.handle(from(2, term, peer::Body::VoteReply(vote)), now);
    assert_eq!(replica.role(), RoleName::Leader);
    (now, last_write(&effects))
}

fn append_ack(number: u64, term: u64, index: u64, sent_ms: Millis) -> Event {
    let reply = AppendReply { accepted: true, index, sent_ms, last_index: index };
    from(number, term, peer::Body::AppendReply(reply))
}

#[test]
fn older_term_waits() {
    let mut replica = member(&[1, 2]);
    let (now, seq) = elect(&mut replica);
    replica.handle(Event::Stored(seq.expect("the first entry is written")), now);
    let term = replica.term();
    replica.handle(append_ack(2, term, 2, now), now);
    assert_eq!(replica.commit_index(), 0, "a majority has stored entry 2, but its term is older");
    assert!(
        !replica.is_current(now),
        "entries acknowledged in earlier terms may not be committed here yet"
    );
    replica.handle(append_ack(2, term, 3, now), now);
    assert_eq!(replica.commit_index(), 3);
    assert!(replica.is_current(now));
}

#[test]
fn own_entry_waits_for_sync() {
    let mut replica = member(&[]);
    let (now, seq) = elect(&mut replica);
    let term = replica.term();
    replica.handle(append_ack(2, term, 1, now), now);
    assert_eq!(replica.commit_index(), 0, "only one member has synced the entry");
    replica.handle(Event::Stored(seq.expect("the first entry is written")), now);
    assert_eq!(replica.commit_index(), 1);
}

#[test]
fn foreign_disk_does_not_count() {
    let mut replica = member(&[]);
    let (now, seq) = elect(&mut replica);
    replica.handle(Event::Stored(seq.expect("the first entry is written")), now);
    let term = replica.term();
    let reply = AppendReply { accepted: true, index: 1, sent_ms: now, last_index: 1 };
    let message =
        Peer { from: 2, disk: 99, group: 5, term, body: Some(peer::Body::AppendReply(reply)) };
    replica.handle(Event::Receive(Box::new(message)), now);
    assert_eq!(replica.commit_index(), 0);
}

#[test]
fn lease_ends_in_time() {
    let mut replica = member(&[]);
    let (now, seq) = elect(&mut replica);
    replica.handle(Event::Stored(seq.expect("the first entry is written")), now);
    let term = replica.term();
    replica.handle(append_ack(2, term, 1, now), now);
    let end = now + TIMING.election - TIMING.election / 10;
    assert!(replica.is_current(end - 1));
    assert!(!replica.is_current(end), "the election time less drift has passed");
}

#[test]
fn handing_over_ends_lease() {
    let mut replica = member(&[]);
    let (now, seq) = elect(&mut replica);
    replica.handle(Event::Stored(seq.expect("the first entry is written")), now);
    let term = replica.term();
    replica.handle(append_ack(2, term, 1, now), now);
    assert!(replica.is_current(now));
    replica.handle(Event::Transfer, now);
    assert!(!replica.is_current(now), "the successor may be elected at any time");
}

#[test]
fn no_vote_during_lease() {
    for offset in 0..40 {
        let mut cluster = Cluster::with_leader(3, 0, offset);
        let leader = cluster.leader().expect("a leader");
        let others: Vec<MemberId> = (1..=3).map(id).filter(|m| *m != leader).collect();
        let (isolated, follower) = (others[0], others[1]);
        cluster.set_blocked(leader, isolated, true);
        cluster.set_blocked(isolated, leader, true);
        for _ in 0..30 + offset {
            step(&mut cluster);
        }
        assert_eq!(cluster.leader(), Some(leader), "a member that hears a leader grants no vote");
        cluster.set_blocked(follower, leader, true);
        for _ in 0..ELECTION_TIMEOUT / 10 {
            step(&mut cluster);
            cluster.propose(isolated, b"new");
        }
        cluster.heal_and_verify();
    }
}

/// Advances the time by 10 ms, delivers all messages and completes all writes.
fn step(cluster: &mut Cluster) {
    cluster.advance(10);
    for _ in 0..3 {
        for member in cluster.ids() {
            cluster.sync(member);
        }
        for _ in 0..cluster.in_flight() {
            cluster.deliver(0, false);
        }
    }
}
