//! Tests every fault at every step of replication.

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::Membership;
use rstest::rstest;

use kingcuplift_testing::DiskFault;
use kingcuplift_testing::{Cluster, member_id as id};

/// Seed of the group's random numbers.
const SEED: u64 = 7;
/// Number of commands that exceeds the entries retained before a snapshot.
const LAGGING_COMMANDS: usize = 2_400;
/// Number of commands in one batch.
const BATCH: usize = 300;

/// Injected fault.
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

/// Step at which the fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
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

/// Member that the fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Victim {
    Leader,
    Follower,
}

/// Completes all writes, delivers all messages and advances the time, `count` times.
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

fn propose_commands(cluster: &mut Cluster, name: &str, count: usize) {
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

/// Returns a voter that is not the leader.
fn follower(cluster: &Cluster) -> MemberId {
    let leader = cluster.leader().expect("a leader");
    (1..=3).map(id).find(|member| *member != leader).expect("another voter")
}

fn membership(cluster: &Cluster) -> Membership {
    let leader = cluster.leader().expect("a leader");
    cluster.replica(leader).expect("a leader runs").membership().clone()
}

/// Proposes a membership change to the leader.
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

/// Brings the group to the given step and returns the member that the fault affects.
fn advance_to(cluster: &mut Cluster, step: Step, victim: Victim) -> MemberId {
    propose_commands(cluster, "a", 20);
    let leader = cluster.leader().expect("a leader");
    let other = follower(cluster);
    let affected = match victim {
        Victim::Leader => leader,
        Victim::Follower => other,
    };
    match step {
        Step::BeforeAppend => {}
        Step::AfterAppend => {
            cluster.propose(leader, b"mid");
            if victim == Victim::Follower {
                cluster.deliver(0, false);
                cluster.deliver(0, false);
            }
        }
        Step::AfterSync => {
            cluster.propose(leader, b"mid");
            for _ in 0..cluster.in_flight() {
                cluster.deliver(0, false);
            }
            for member in cluster.ids() {
                cluster.sync(member);
            }
        }
        Step::AfterCommit => {
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
        Step::DuringSnapshot => cluster.snapshot(affected),
        Step::DuringInstall => start_install(cluster, leader, other),
        Step::LearnerAdded => {
            let voter = cluster.voter(id(4));
            change(cluster, |next| next.learners.push(voter));
        }
        Step::LearnerPromoted => {
            add_learner(cluster, id(4));
            promote(cluster, id(4));
        }
        Step::VoterRemoved => {
            add_learner(cluster, id(4));
            promote(cluster, id(4));
            rounds(cluster, 10);
            let third = (1..=3).map(id).find(|m| *m != leader && *m != other).expect("a third");
            remove(cluster, third);
        }
    }
    affected
}

/// Makes a follower lag until it needs a snapshot, and delivers the snapshot without a sync.
fn start_install(cluster: &mut Cluster, leader: MemberId, lagging: MemberId) {
    cluster.set_isolated(lagging, true);
    propose_commands(cluster, "b", LAGGING_COMMANDS);
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

fn inject(cluster: &mut Cluster, fault: Fault, affected: MemberId) {
    match fault {
        Fault::Kill | Fault::LateRestart => cluster.crash(affected, 0),
        Fault::TornWrite => cluster.crash(affected, 7),
        Fault::Freeze => cluster.set_paused(affected, true),
        Fault::CutOut => cut(cluster, affected, true, false),
        Fault::CutIn => cut(cluster, affected, false, true),
        Fault::CutBoth => cut(cluster, affected, true, true),
        Fault::EmptyDisk => {
            cluster.wipe(affected);
            cluster.restart(affected);
        }
        Fault::FailedSync => cluster.inject_disk_fault(affected, DiskFault::Sync),
        Fault::FullDisk => cluster.inject_disk_fault(affected, DiskFault::Full),
    }
}

fn cut(cluster: &mut Cluster, affected: MemberId, outbound: bool, inbound: bool) {
    for other in cluster.ids() {
        cluster.set_blocked(affected, other, outbound);
        cluster.set_blocked(other, affected, inbound);
    }
}

/// Replaces a voter that has an empty disk: removes it, adds it as a learner and promotes it.
fn replace_disk(cluster: &mut Cluster, affected: MemberId) {
    rounds(cluster, 60);
    let listed = membership(cluster).voters.iter().any(|voter| voter.id == affected.get());
    if !listed {
        return;
    }
    let token = remove(cluster, affected);
    rounds(cluster, 40);
    assert!(cluster.committed_changes.contains(&token), "the lost voter is removed");
    add_learner(cluster, affected);
    let token = promote(cluster, affected);
    rounds(cluster, 40);
    assert!(cluster.committed_changes.contains(&token), "the new disk is promoted");
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
        Step::BeforeAppend,
        Step::AfterAppend,
        Step::AfterSync,
        Step::AfterCommit,
        Step::DuringSnapshot,
        Step::DuringInstall,
        Step::LearnerAdded,
        Step::LearnerPromoted,
        Step::VoterRemoved
    )]
    step: Step,
    #[values(Victim::Leader, Victim::Follower)] victim: Victim,
) {
    let mut cluster = Cluster::with_leader(3, 1, SEED);
    let affected = advance_to(&mut cluster, step, victim);
    let before = cluster.acknowledged.len();
    inject(&mut cluster, fault, affected);
    rounds(&mut cluster, 80);
    // A failing disk is detected at the next write; commands proposed until then are not acknowledged.
    propose_commands(&mut cluster, "probe", 1);
    rounds(&mut cluster, 80);
    let count = if fault == Fault::LateRestart { BATCH } else { 20 };
    propose_commands(&mut cluster, "c", count);
    rounds(&mut cluster, 40);
    assert!(cluster.acknowledged.len() >= before + count, "the other members make progress");
    if fault == Fault::EmptyDisk {
        let replica = cluster.replica(affected);
        assert!(replica.is_none(), "a member with an empty disk does not participate");
        replace_disk(&mut cluster, affected);
    }
    cluster.heal_and_verify();
}

#[rstest]
#[case::leader(true)]
#[case::follower(false)]
fn second_loss_after_repair(#[case] lose_leader: bool) {
    let mut cluster = Cluster::with_leader(3, 1, SEED);
    propose_commands(&mut cluster, "a", 50);
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
    propose_commands(&mut cluster, "b", 20);
    assert!(cluster.acknowledged.len() >= before + 20, "the repaired group makes progress");
    cluster.heal_and_verify();
}

#[test]
fn isolated_member_for_an_hour() {
    let mut cluster = Cluster::with_leader(3, 0, SEED);
    propose_commands(&mut cluster, "a", 10);
    let leader = cluster.leader().expect("a leader");
    cluster.set_isolated(leader, true);
    rounds(&mut cluster, 60);
    let token = cluster.propose(leader, b"alone");
    for _ in 0..60 {
        cluster.advance(60_000);
        rounds(&mut cluster, 2);
    }
    assert!(cluster.refused.contains(&token), "the isolated member refuses the proposal");
    rounds(&mut cluster, 100);
    let other = cluster.leader().expect("a new leader");
    let term = cluster.replica(other).expect("it runs").term();
    cluster.set_isolated(leader, false);
    rounds(&mut cluster, 100);
    assert_eq!(cluster.leader(), Some(other), "the returning member does not disrupt the group");
    assert_eq!(cluster.replica(other).expect("it runs").term(), term);
    cluster.heal_and_verify();
}

#[test]
fn older_disk_is_refused() {
    let mut cluster = Cluster::with_leader(3, 0, SEED);
    propose_commands(&mut cluster, "a", 10);
    let leader = cluster.leader().expect("a leader");
    let other = follower(&cluster);
    let third = (1..=3).map(id).find(|m| *m != leader && *m != other).expect("a third");
    let old = cluster.disk(other);
    cluster.set_isolated(third, true);
    propose_commands(&mut cluster, "b", 10);
    let acknowledged = cluster.acknowledged.len();
    cluster.crash(other, 0);
    cluster.set_disk(other, old);
    cluster.restart(other);
    rounds(&mut cluster, 5);
    cluster.crash(leader, 0);
    cluster.heal();
    rounds(&mut cluster, 200);
    assert_eq!(
        cluster.leader(),
        None,
        "the older disk grants no vote to a member that lacks entries"
    );
    cluster.restart(leader);
    rounds(&mut cluster, 300);
    assert!(cluster.leader().is_some(), "the members with intact disks elect a leader");
    assert_eq!(cluster.acknowledged.len(), acknowledged);
    cluster.heal_and_verify();
}

#[test]
fn transfer_moves_leadership() {
    let mut cluster = Cluster::with_leader(3, 0, SEED);
    propose_commands(&mut cluster, "a", 10);
    let leader = cluster.leader().expect("a leader");
    cluster.transfer_leadership(leader);
    rounds(&mut cluster, 3);
    let next = cluster.leader().expect("a new leader after three rounds");
    assert_ne!(next, leader);
    propose_commands(&mut cluster, "b", 10);
    cluster.heal_and_verify();
}
