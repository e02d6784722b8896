//! Every fault at every step of the replicated log.

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::Membership;
use rstest::rstest;

use kingcuplift_testing::DiskFault;
use kingcuplift_testing::{Cluster, member_id as id};

/// Seed of the group's random numbers.
const SEED: u64 = 7;
/// Commands that exceed what is kept behind a snapshot.
const MANY: usize = 2_400;
/// Commands of one batch.
const BATCH: usize = 300;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Kill,
    Freeze,
    CutOut,
    CutIn,
    CutBoth,
    EmptyDisk,
    TornWrite,
    FailedSync,
    FullDisk,
    LateRestart,
}

/// When it goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    BeforeAppend,
    AfterAppend,
    AfterSync,
    AfterCommit,
    DuringSnapshot,
    DuringInstall,
    LearnerAdded,
    LearnerPromoted,
    VoterRemoved,
}

/// Which member it happens to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Victim {
    Leader,
    Follower,
}

/// Delivers everything and finishes every write, again and again.
fn rounds(cluster: &mut Cluster, count: usize) {
    for _ in 0..count {
        for id in cluster.ids() {
            cluster.sync(id);
        }
        for _ in 0..cluster.in_flight() {
            cluster.deliver(0, false);
        }
        cluster.advance(20);
    }
}

fn commands(cluster: &mut Cluster, name: &str, count: usize) {
    for number in 0..count {
        let Some(leader) = cluster.leader() else {
            return rounds(cluster, 5);
        };
        cluster.propose(leader, format!("{name}{number}").as_bytes());
        if number % BATCH == BATCH - 1 {
            rounds(cluster, 6);
        }
    }
    rounds(cluster, 6);
}

/// Returns a voter that does not lead.
fn follower(cluster: &Cluster) -> MemberId {
    let leader = cluster.leader().expect("a leader");
    (1..=3).map(id).find(|member| *member != leader).expect("another voter")
}

fn membership(cluster: &Cluster) -> Membership {
    let leader = cluster.leader().expect("a leader");
    cluster.replica(leader).expect("a leader runs").membership().clone()
}

/// Proposes a changed membership at the leader.
fn change(cluster: &mut Cluster, edit: impl FnOnce(&mut Membership)) -> u64 {
    let leader = cluster.leader().expect("a leader");
    let mut next = membership(cluster);
    edit(&mut next);
    cluster.propose_membership(leader, next)
}

/// Adds a member as a learner and lets it catch up.
fn add_learner(cluster: &mut Cluster, member: MemberId) {
    let voter = cluster.voter(member);
    let token = change(cluster, |next| next.learners.push(voter));
    rounds(cluster, 40);
    assert!(cluster.committed_changes.contains(&token), "the learner is added");
}

fn promote(cluster: &mut Cluster, member: MemberId) -> u64 {
    change(cluster, |next| {
        let at = next.learners.iter().position(|v| v.id == member.get()).expect("a learner");
        let voter = next.learners.remove(at);
        next.voters.push(voter);
    })
}

fn remove(cluster: &mut Cluster, member: MemberId) -> u64 {
    change(cluster, |next| next.voters.retain(|voter| voter.id != member.get()))
}

/// Brings the group to the moment and returns the member that the fault hits.
fn reach(cluster: &mut Cluster, moment: Moment, victim: Victim) -> MemberId {
    commands(cluster, "a", 20);
    let leader = cluster.leader().expect("a leader");
    let other = follower(cluster);
    let hit = match victim {
        Victim::Leader => leader,
        Victim::Follower => other,
    };
    match moment {
        Moment::BeforeAppend => {}
        Moment::AfterAppend => {
            cluster.propose(leader, b"mid");
            if victim == Victim::Follower {
                cluster.deliver(0, false);
                cluster.deliver(0, false);
            }
        }
        Moment::AfterSync => {
            cluster.propose(leader, b"mid");
            for _ in 0..cluster.in_flight() {
                cluster.deliver(0, false);
            }
            for member in cluster.ids() {
                cluster.sync(member);
            }
        }
        Moment::AfterCommit => {
            cluster.propose(leader, b"mid");
            for _ in 0..3 {
                for member in cluster.ids() {
                    cluster.sync(member);
                }
                for _ in 0..cluster.in_flight() {
                    cluster.deliver(0, false);
                }
            }
        }
        Moment::DuringSnapshot => cluster.snapshot(hit),
        Moment::DuringInstall => begin_install(cluster, leader, other),
        Moment::LearnerAdded => {
            let voter = cluster.voter(id(4));
            change(cluster, |next| next.learners.push(voter));
        }
        Moment::LearnerPromoted => {
            add_learner(cluster, id(4));
            promote(cluster, id(4));
        }
        Moment::VoterRemoved => {
            add_learner(cluster, id(4));
            promote(cluster, id(4));
            rounds(cluster, 10);
            let third = (1..=3).map(id).find(|m| *m != leader && *m != other).expect("a third");
            remove(cluster, third);
        }
    }
    hit
}

/// Lets a follower lag until it needs a snapshot, and lets the snapshot arrive without a sync.
fn begin_install(cluster: &mut Cluster, leader: MemberId, lagging: MemberId) {
    cluster.set_isolated(lagging, true);
    commands(cluster, "b", MANY);
    cluster.snapshot(leader);
    rounds(cluster, 3);
    cluster.set_isolated(lagging, false);
    let before = cluster.applied(lagging).len();
    for _ in 0..200 {
        cluster.advance(20);
        for member in cluster.ids().into_iter().filter(|member| *member != lagging) {
            cluster.sync(member);
        }
        for _ in 0..cluster.in_flight() {
            cluster.deliver(0, false);
            if cluster.applied(lagging).len() > before + BATCH {
                return;
            }
        }
        cluster.sync(lagging);
    }
    panic!("the snapshot did not arrive");
}

fn inject(cluster: &mut Cluster, fault: Fault, hit: MemberId) {
    match fault {
        Fault::Kill | Fault::LateRestart => cluster.crash(hit, 0),
        Fault::TornWrite => cluster.crash(hit, 7),
        Fault::Freeze => cluster.set_paused(hit, true),
        Fault::CutOut => cut(cluster, hit, true, false),
        Fault::CutIn => cut(cluster, hit, false, true),
        Fault::CutBoth => cut(cluster, hit, true, true),
        Fault::EmptyDisk => {
            cluster.wipe(hit);
            cluster.restart(hit);
        }
        Fault::FailedSync => cluster.inject_disk_fault(hit, DiskFault::Sync),
        Fault::FullDisk => cluster.inject_disk_fault(hit, DiskFault::Full),
    }
}

fn cut(cluster: &mut Cluster, hit: MemberId, out: bool, into: bool) {
    for other in cluster.ids() {
        cluster.set_blocked(hit, other, out);
        cluster.set_blocked(other, hit, into);
    }
}

/// Puts a member with an empty disk back: learner first, then the old voter out, then the vote.
fn replace_disk(cluster: &mut Cluster, hit: MemberId) {
    rounds(cluster, 60);
    let listed = membership(cluster).voters.iter().any(|voter| voter.id == hit.get());
    if !listed {
        return;
    }
    let token = remove(cluster, hit);
    rounds(cluster, 40);
    assert!(cluster.committed_changes.contains(&token), "the lost voter is removed");
    add_learner(cluster, hit);
    let token = promote(cluster, hit);
    rounds(cluster, 40);
    assert!(cluster.committed_changes.contains(&token), "the new disk gets the vote");
}

#[rstest]
fn acknowledged_entries_survive(
    #[values(
        Fault::Kill,
        Fault::Freeze,
        Fault::CutOut,
        Fault::CutIn,
        Fault::CutBoth,
        Fault::EmptyDisk,
        Fault::TornWrite,
        Fault::FailedSync,
        Fault::FullDisk,
        Fault::LateRestart
    )]
    fault: Fault,
    #[values(
        Moment::BeforeAppend,
        Moment::AfterAppend,
        Moment::AfterSync,
        Moment::AfterCommit,
        Moment::DuringSnapshot,
        Moment::DuringInstall,
        Moment::LearnerAdded,
        Moment::LearnerPromoted,
        Moment::VoterRemoved
    )]
    moment: Moment,
    #[values(Victim::Leader, Victim::Follower)] victim: Victim,
) {
    let mut cluster = Cluster::with_leader(3, 1, SEED);
    let hit = reach(&mut cluster, moment, victim);
    let before = cluster.acknowledged.len();
    inject(&mut cluster, fault, hit);
    rounds(&mut cluster, 80);
    // A failing disk shows with the next write; what is proposed until then is not acknowledged.
    commands(&mut cluster, "probe", 1);
    rounds(&mut cluster, 80);
    let count = if fault == Fault::LateRestart { BATCH } else { 20 };
    commands(&mut cluster, "c", count);
    rounds(&mut cluster, 40);
    assert!(cluster.acknowledged.len() >= before + count, "the others go on");
    if fault == Fault::EmptyDisk {
        let identity = cluster.replica(hit);
        assert!(identity.is_none(), "an empty disk takes no part");
        replace_disk(&mut cluster, hit);
    }
    cluster.heal_and_verify();
}

#[rstest]
#[case::leader(true)]
#[case::follower(false)]
fn second_loss_after_repair(#[case] lose_leader: bool) {
    let mut cluster = Cluster::with_leader(3, 1, SEED);
    commands(&mut cluster, "a", 50);
    let lost = follower(&cluster);
    cluster.wipe(lost);
    add_learner(&mut cluster, id(4));
    let removed = remove(&mut cluster, lost);
    rounds(&mut cluster, 10);
    let promoted = promote(&mut cluster, id(4));
    rounds(&mut cluster, 10);
    assert!(
        cluster.committed_changes.contains(&removed)
            && cluster.committed_changes.contains(&promoted)
    );
    let leader = cluster.leader().expect("a leader");
    let second = match lose_leader {
        true => leader,
        false => (1..=3).map(id).find(|m| *m != leader && *m != lost).expect("a voter"),
    };
    cluster.wipe(second);
    rounds(&mut cluster, 80);
    let before = cluster.acknowledged.len();
    commands(&mut cluster, "b", 20);
    assert!(cluster.acknowledged.len() >= before + 20, "the repaired group goes on");
    cluster.heal_and_verify();
}

#[test]
fn isolated_member_for_an_hour() {
    let mut cluster = Cluster::with_leader(3, 0, SEED);
    commands(&mut cluster, "a", 10);
    let leader = cluster.leader().expect("a leader");
    cluster.set_isolated(leader, true);
    rounds(&mut cluster, 60);
    let token = cluster.propose(leader, b"alone");
    for _ in 0..60 {
        cluster.advance(60_000);
        rounds(&mut cluster, 2);
    }
    assert!(cluster.refused.contains(&token), "the member accepts nothing");
    rounds(&mut cluster, 100);
    let other = cluster.leader().expect("a new leader");
    let term = cluster.replica(other).expect("it runs").term();
    cluster.set_isolated(leader, false);
    rounds(&mut cluster, 100);
    assert_eq!(cluster.leader(), Some(other), "the return disturbs nobody");
    assert_eq!(cluster.replica(other).expect("it runs").term(), term);
    cluster.heal_and_verify();
}

#[test]
fn older_disk_is_refused() {
    let mut cluster = Cluster::with_leader(3, 0, SEED);
    commands(&mut cluster, "a", 10);
    let leader = cluster.leader().expect("a leader");
    let other = follower(&cluster);
    let third = (1..=3).map(id).find(|m| *m != leader && *m != other).expect("a third");
    let old = cluster.disk(other);
    cluster.set_isolated(third, true);
    commands(&mut cluster, "b", 10);
    let acknowledged = cluster.acknowledged.len();
    cluster.crash(other, 0);
    cluster.set_disk(other, old);
    cluster.restart(other);
    rounds(&mut cluster, 5);
    cluster.crash(leader, 0);
    cluster.heal();
    rounds(&mut cluster, 200);
    assert_eq!(cluster.leader(), None, "the old disk gives no vote to a member that lacks entries");
    cluster.restart(leader);
    rounds(&mut cluster, 300);
    assert!(cluster.leader().is_some(), "the whole disks go on");
    assert_eq!(cluster.acknowledged.len(), acknowledged);
    cluster.heal_and_verify();
}

#[test]
fn transfer_moves_leadership() {
    let mut cluster = Cluster::with_leader(3, 0, SEED);
    commands(&mut cluster, "a", 10);
    let leader = cluster.leader().expect("a leader");
    cluster.transfer_leadership(leader);
    rounds(&mut cluster, 3);
    let next = cluster.leader().expect("a leader at once");
    assert_ne!(next, leader);
    commands(&mut cluster, "b", 10);
    cluster.heal_and_verify();
}
