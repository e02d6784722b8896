//! Rules for membership changes.

use kingcuplift_quorum::{MembershipError, MembershipExt};
use kingcuplift_schema::quorum::{Membership, Voter};
use kingcuplift_testing::{Cluster, member_id as id};
use rstest::rstest;

fn voter(number: u64) -> Voter {
    Voter { id: number, disk: number * 10, ..Voter::default() }
}

fn membership(voters: &[u64], learners: &[u64]) -> Membership {
    let make = |numbers: &[u64]| numbers.iter().copied().map(voter).collect();
    Membership { group: 1, voters: make(voters), learners: make(learners) }
}

#[rstest]
#[case::learner(membership(&[1, 2, 3], &[4]), Ok(()))]
#[case::promoted(membership(&[1, 2, 3, 4], &[]), Ok(()))]
#[case::removed(membership(&[1, 2], &[4]), Ok(()))]
#[case::swapped(membership(&[1, 2, 4], &[]), Err(MembershipError::ManyChanges))]
#[case::two_removed(membership(&[1], &[4]), Err(MembershipError::ManyChanges))]
#[case::not_a_learner(membership(&[1, 2, 3, 5], &[4]), Err(MembershipError::NotLearner(id(5))))]
#[case::no_voters(membership(&[], &[4]), Err(MembershipError::Empty))]
#[case::duplicate(membership(&[1, 2, 3], &[3]), Err(MembershipError::Duplicate(id(3))))]
fn one_change_at_a_time(#[case] next: Membership, #[case] expected: Result<(), MembershipError>) {
    let current = membership(&[1, 2, 3], &[4]);
    assert_eq!(current.check_change(&next), expected);
}

#[test]
fn other_disk_is_another_voter() {
    let current = membership(&[1, 2, 3], &[]);
    let mut next = current.clone();
    next.voters[2].disk = 99;
    assert_eq!(current.check_change(&next), Err(MembershipError::ManyChanges));
}

#[test]
fn second_change_waits() {
    let mut cluster = Cluster::with_leader(3, 2, 3);
    let leader = cluster.leader().expect("a leader");
    let current = cluster.replica(leader).expect("it runs").membership().clone();
    let (four, five) = (cluster.voter(id(4)), cluster.voter(id(5)));
    let mut first = current.clone();
    first.learners.push(four.clone());
    let accepted = cluster.propose_membership(leader, first);
    let mut second = current;
    second.learners.extend([four, five]);
    let refused = cluster.propose_membership(leader, second);
    assert!(cluster.refused.contains(&refused), "the first change is not committed yet");
    cluster.settle();
    assert!(cluster.committed_changes.contains(&accepted));
    cluster.heal_and_verify();
}

#[test]
fn lagging_learner_gets_no_vote() {
    let mut cluster = Cluster::with_leader(3, 1, 3);
    let leader = cluster.leader().expect("a leader");
    let mut next = cluster.replica(leader).expect("it runs").membership().clone();
    next.learners.push(cluster.voter(id(4)));
    cluster.propose_membership(leader, next.clone());
    cluster.settle();
    cluster.set_isolated(id(4), true);
    for _ in 0..200 {
        cluster.propose(leader, b"x");
    }
    cluster.settle();
    next.voters.append(&mut next.learners);
    let refused = cluster.propose_membership(leader, next);
    assert!(cluster.refused.contains(&refused));
    cluster.heal_and_verify();
}
