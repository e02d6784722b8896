//! Which change of the membership a leader makes by itself.
//!
//! Processes offer themselves; the leader takes them in without a vote, gives them a vote once they have caught
//! up, and removes a voter that has been silent for long when that makes the group bear more losses. A process
//! with an empty disk has a number of its own, so it never gets the vote of the one before it. One change is
//! made at a time, and each needs a majority of the group as it then is, so two groups never form.

use std::collections::BTreeMap;

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{Membership, Voter};

use crate::effect::Millis;
use crate::membership::MembershipExt;
use crate::replica::{Replica, RoleName};

/// Time for which an offer counts, in milliseconds.
const OFFER_VALID: Millis = 3_000;
/// Silence after which a member counts as gone, in milliseconds.
const SILENCE: Millis = 6_000;
/// Silence up to which a member counts as present, in milliseconds.
const PRESENCE: Millis = 1_500;
/// Most voters: more would slow each entry down without need.
const MAX_VOTERS: usize = 11;

/// Processes that have offered themselves to a leader.
#[derive(Debug, Default)]
pub struct MembershipController {
    offers: BTreeMap<(u64, u64), (Millis, Voter)>,
}

impl MembershipController {
    /// Takes an offer.
    pub fn record_offer(&mut self, voter: Voter, now: Millis) {
        self.offers.insert((voter.id, voter.disk), (now, voter));
    }

    /// Returns the next membership, or `None` when nothing is to be changed.
    pub fn next_change(&mut self, replica: &Replica, now: Millis) -> Option<Membership> {
        self.offers.retain(|_, (at, _)| now <= *at + OFFER_VALID);
        if replica.role() != RoleName::Leader || replica.has_change_in_flight() {
            return None;
        }
        let present = replica.membership();
        let contacts = replica.last_contacts();
        let silence = |voter: &Voter| match MemberId::new(voter.id) {
            id if id == replica.identity().id => 0,
            id => now.saturating_sub(contacts.get(&id).copied().unwrap_or(0)),
        };
        promote(replica, present, &silence)
            .or_else(|| self.remove_superfluous(present, &silence))
            .or_else(|| self.take_in(present))
    }

    /// Removes a silent voter where one vote less lowers the majority, or a silent process without a vote.
    fn remove_superfluous(
        &self,
        present: &Membership,
        silence: &impl Fn(&Voter) -> Millis,
    ) -> Option<Membership> {
        let mut next = present.clone();
        let is_gone = |voter: &Voter| silence(voter) > SILENCE || self.is_superseded(voter);
        if let Some(at) = present.learners.iter().position(is_gone) {
            next.learners.remove(at);
            return Some(next);
        }
        let others_are_present =
            present.voters.iter().filter(|v| silence(v) > PRESENCE).count() <= 1;
        let gone = present.voters.iter().position(is_gone)?;
        let lowers_majority = present.voters.len().is_multiple_of(2);
        (lowers_majority && others_are_present).then(|| {
            next.voters.remove(gone);
            next
        })
    }

    /// Takes a process in without a vote.
    fn take_in(&self, present: &Membership) -> Option<Membership> {
        let known = |voter: &Voter| present.member(MemberId::new(voter.id)).is_some();
        let (_, voter) = self.offers.values().find(|(_, voter)| !known(voter))?;
        let mut next = present.clone();
        next.learners.push(voter.clone());
        Some(next)
    }

    /// Returns whether another process has offered itself at the voter's address.
    fn is_superseded(&self, voter: &Voter) -> bool {
        self.offers.values().any(|(_, other)| other.listen == voter.listen && other.id != voter.id)
    }
}

/// Gives a vote to a process that has caught up.
fn promote(
    replica: &Replica,
    present: &Membership,
    silence: &impl Fn(&Voter) -> Millis,
) -> Option<Membership> {
    if present.voters.len() >= MAX_VOTERS {
        return None;
    }
    present.learners.iter().enumerate().filter(|(_, l)| silence(l) <= PRESENCE).find_map(
        |(at, learner)| {
            let mut next = present.clone();
            next.learners.remove(at);
            next.voters.push(learner.clone());
            replica.check_members(&next).is_ok().then_some(next)
        },
    )
}
