//! Which membership changes are permitted.

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
#[case::straight_in(membership(&[1, 2, 3, 5], &[4]), Err(MembershipError::NotLearner(id(5))))]
#[case::nobody(membership(&[], &[4]), Err(MembershipError::Empty))]
#[case::twice(membership(&[1, 2, 3], &[3]), Err(MembershipError::Duplicate(id(3))))]
fn one_change_at_a_time(#[case] next: Membership, #[case] expected: Result<(), MembershipError>) {
    let present = membership(&[1, 2, 3], &[4]);
    assert_eq!(present.check_change(&next), expected);
}

#[test]
fn other_disk_is_another_voter() {
    let present = membership(&[1, 2, 3], &[]);
    let mut next = present.clone();
    next.voters[2].disk = 99;
    assert_eq!(present.check_change(&next), Err(MembershipError::ManyChanges));
}

#[test]
fn second_change_waits() {
    let mut cluster = Cluster::with_leader(3, 2, 3);
    let leader = cluster.leader().expect("a leader");
    let present = cluster.replica(leader).expect("it runs").membership().clone();
    let (four, five) = (cluster.voter(id(4)), cluster.voter(id(5)));
    let mut first = present.clone();
    first.learners.push(four.clone());
    let accepted = cluster.propose_membership(leader, first);
    let mut second = present;
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
