//! Random fault schedules on the real state machine and storage code.

use kingcuplift_core::MemberId;
use kingcuplift_quorum::MembershipExt;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use kingcuplift_testing::{Cluster, member_id as id};

/// Seed of the schedules.
const SEED: u64 = 20_261_204;
/// Number of schedules per test.
const CASES: u32 = 500;

/// One step of a schedule; indexes are taken modulo the number of members or messages.
#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Sync(u64),
    Propose(u64),
    Crash(u64, usize),
    Restart(u64),
    /// Crashes and restarts all members but one.
    RestartOthers(u64, usize),
    Cut(u64, u64),
    Heal,
    Freeze(u64),
    Thaw(u64),
    Snapshot(u64),
    Transfer(u64),
    /// The storage of a member fails, and it starts again later.
    FailStorage(u64, usize),
    Round,
    ChangeMembers(Change, u64),
}

/// Kind of membership change.
#[derive(Debug, Clone, Copy)]
enum Change {
    AddLearner,
    Promote,
    RemoveVoter,
    RemoveLearner,
}

fn membership_change() -> impl Strategy<Value = Step> {
    let change = prop_oneof![
        3 => Just(Change::AddLearner),
        3 => Just(Change::Promote),
        2 => Just(Change::RemoveVoter),
        1 => Just(Change::RemoveLearner),
    ];
    (change, 0..5_u64).prop_map(|(change, member)| Step::ChangeMembers(change, member))
}

fn steps_with_changes() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(prop_oneof![10 => step(), 1 => membership_change()], 100..400)
}

fn steps_with_failures() -> impl Strategy<Value = Vec<Step>> {
    let failure = (0..5_u64, any::<usize>()).prop_map(|(m, kept)| Step::FailStorage(m, kept));
    let restart = (0..5_u64).prop_map(Step::Restart);
    prop::collection::vec(prop_oneof![20 => step(), 1 => failure, 1 => restart], 100..400)
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 100..400)
}

fn step() -> impl Strategy<Value = Step> {
    let member = 0..5_u64;
    prop_oneof![
        6 => (1..120_u64).prop_map(Step::Advance),
        20 => any::<usize>().prop_map(Step::Deliver),
        2 => any::<usize>().prop_map(Step::Duplicate),
        3 => any::<usize>().prop_map(Step::Drop),
        12 => member.clone().prop_map(Step::Sync),
        8 => member.clone().prop_map(Step::Propose),
        1 => (member.clone(), any::<usize>()).prop_map(|(m, kept)| Step::Crash(m, kept)),
        2 => member.clone().prop_map(Step::Restart),
        1 => (0..6_u64, any::<usize>()).prop_map(|(m, kept)| Step::RestartOthers(m, kept)),
        2 => (member.clone(), member.clone()).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => Just(Step::Heal),
        1 => member.clone().prop_map(Step::Freeze),
        2 => member.clone().prop_map(Step::Thaw),
        1 => member.clone().prop_map(Step::Snapshot),
        1 => member.prop_map(Step::Transfer),
        10 => Just(Step::Round),
    ]
}

fn run(cluster: &mut Cluster, size: u64, steps: &[Step]) {
    let member = |number: &u64| id(number % size + 1);
    for (at, step) in steps.iter().enumerate() {
        match step {
            Step::Advance(millis) => cluster.advance(*millis),
            Step::Deliver(pick) => cluster.deliver(*pick, false),
            Step::Duplicate(pick) => cluster.deliver(*pick, true),
            Step::Drop(pick) => cluster.drop_message(*pick),
            Step::Sync(number) => drop(cluster.sync(member(number))),
            Step::Propose(number) => {
                let to = cluster.leader().unwrap_or(member(number));
                cluster.propose(to, format!("c{at}").as_bytes());
            }
            Step::Crash(number, kept) => cluster.crash(member(number), *kept),
            Step::Restart(number) => drop(cluster.restart(member(number))),
            Step::RestartOthers(spared, kept) => {
                let others = cluster.ids().into_iter().filter(|other| *other != id(spared + 1));
                for killed in others {
                    cluster.crash(killed, *kept);
                    cluster.restart(killed);
                }
            }
            Step::Cut(from, to) => cluster.set_blocked(member(from), member(to), true),
            Step::Heal => cluster.heal(),
            Step::Freeze(number) => cluster.set_paused(member(number), true),
            Step::Thaw(number) => cluster.set_paused(member(number), false),
            Step::Snapshot(number) => cluster.snapshot(member(number)),
            Step::Transfer(number) => cluster.transfer_leadership(member(number)),
            Step::FailStorage(number, kept) => cluster.fail_storage(member(number), *kept),
            Step::Round => round(cluster),
            Step::ChangeMembers(kind, number) => change(cluster, *kind, member(number)),
        }
    }
}

/// Proposes a membership change to the leader, which may refuse it.
fn change(cluster: &mut Cluster, kind: Change, member: MemberId) {
    let Some(leader) = cluster.leader() else { return };
    let voter = cluster.voter(member);
    let Some(replica) = cluster.replica(leader) else { return };
    let mut next = replica.membership().clone();
    let learner = next.learners.iter().position(|voter| voter.id == member.get());
    match (kind, learner) {
        (Change::AddLearner, None) if !next.is_voter(member) && voter.disk != 0 => {
            next.learners.push(voter);
        }
        (Change::Promote, Some(at)) => {
            let promoted = next.learners.remove(at);
            next.voters.push(promoted);
        }
        (Change::RemoveVoter, _) if next.voters.len() > 2 => {
            next.voters.retain(|voter| voter.id != member.get());
        }
        (Change::RemoveLearner, Some(at)) => drop(next.learners.remove(at)),
        _ => return,
    }
    cluster.propose_membership(leader, next);
}

/// Completes all writes, delivers all messages in flight and advances the time by 20 ms.
fn round(cluster: &mut Cluster) {
    for id in cluster.ids() {
        cluster.sync(id);
    }
    for _ in 0..cluster.in_flight() {
        cluster.deliver(0, false);
    }
    cluster.advance(20);
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn failing_disks(seed in any::<u64>(), steps in steps_with_failures()) {
        let mut cluster = Cluster::with_leader(5, 0, seed);
        run(&mut cluster, 5, &steps);
        cluster.heal_and_verify();
    }

    #[test]
    fn three_members(seed in any::<u64>(), steps in steps()) {
        let mut cluster = Cluster::with_leader(3, 0, seed);
        run(&mut cluster, 3, &steps);
        cluster.heal_and_verify();
    }

    #[test]
    fn five_members(seed in any::<u64>(), steps in steps()) {
        let mut cluster = Cluster::with_leader(5, 0, seed);
        run(&mut cluster, 5, &steps);
        cluster.heal_and_verify();
    }

    /// Two members lose their disks while all others lose power, and what their disks had not synced.
    #[test]
    fn two_disks_are_lost(
        seed in any::<u64>(),
        steps in steps(),
        first in 1..=5_u64,
        distance in 1..5_u64,
        kept in any::<usize>(),
    ) {
        let mut cluster = Cluster::with_leader(5, 0, seed);
        run(&mut cluster, 5, &steps);
        let lost = [first, (first + distance - 1) % 5 + 1];
        for number in 1..=5 {
            match lost.contains(&number) {
                true => cluster.wipe(id(number)),
                false => cluster.crash(id(number), kept.rotate_left(number as u32)),
            }
        }
        cluster.heal_and_verify();
    }

    #[test]
    fn changing_members(seed in any::<u64>(), steps in steps_with_changes()) {
        let mut cluster = Cluster::with_leader(3, 2, seed);
        run(&mut cluster, 5, &steps);
        cluster.heal_and_verify();
    }

    #[test]
    fn one_member(seed in any::<u64>(), steps in steps()) {
        let mut cluster = Cluster::with_leader(1, 0, seed);
        run(&mut cluster, 1, &steps);
        cluster.heal_and_verify();
    }
}
