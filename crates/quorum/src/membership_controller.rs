//! Automatic membership changes by the leader.
//!
//! Processes send offers; the leader adds them as learners, promotes them to voters once they have caught up, and
//! removes an unreachable voter when that makes the group tolerate more failures. A process with an empty disk has
//! a new id, so it never gets the vote of its predecessor. Changes are made one at a time, and each needs a majority
//! of the current group, so two groups never form.

use std::collections::BTreeMap;

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{Membership, Voter};

use crate::effect::Millis;
use crate::membership::MembershipExt;
use crate::replica::{Replica, RoleName};

/// Time for which an offer is valid.
const OFFER_TTL: Millis = 3_000;
/// Time without contact after which a member counts as lost and may be removed, if all others are present or lost as well.
const REMOVAL_TIMEOUT: Millis = 6_000;
/// Time without contact after which a member counts as gone for good, whatever the others do.
const GONE_TIMEOUT: Millis = 12_000;
/// Maximum time since the last contact of a member that counts as alive.
const ALIVE_TIMEOUT: Millis = 1_500;
/// Maximum number of voters; more would slow down every commit without need.
const MAX_VOTERS: usize = 11;

/// Processes that have sent an offer to the leader.
#[derive(Debug, Default)]
pub struct MembershipController {
    offers: BTreeMap<(u64, u64), (Millis, Voter)>,
}

impl MembershipController {
    /// Records an offer, in place of earlier ones from the same address.
    pub fn record_offer(&mut self, voter: Voter, now: Millis) {
        self.offers.retain(|_, (_, other)| other.listen != voter.listen);
        self.offers.insert((voter.id, voter.disk), (now, voter));
    }

    /// Returns the next membership, or `None` if no change is due.
    pub fn next_change(&mut self, replica: &Replica, now: Millis) -> Option<Membership> {
        self.offers.retain(|_, (at, _)| now <= *at + OFFER_TTL);
        if replica.role() != RoleName::Leader || replica.has_change_in_flight() {
            return None;
        }
        let current = replica.membership();
        let contacts = replica.last_contacts();
        let silent_for = |voter: &Voter| match MemberId::new(voter.id) {
            id if id == replica.identity().id => 0,
            id => now.saturating_sub(contacts.get(&id).copied().unwrap_or(0)),
        };
        promote(replica, current, &silent_for)
            .or_else(|| self.remove_lost(current, &silent_for))
            .or_else(|| self.add_learner(current))
    }

    /// Removes an unreachable or replaced learner, or such a voter if that makes the group tolerate more failures.
    ///
    /// One voter less lowers the majority if their number is even. Of an odd number, one is removed if another one is
    /// gone as well and follows.
    fn remove_lost(
        &self,
        current: &Membership,
        silent_for: &impl Fn(&Voter) -> Millis,
    ) -> Option<Membership> {
        let is_gone =
            |voter: &Voter| silent_for(voter) > GONE_TIMEOUT || self.is_replaced(voter, current);
        let is_lost = |voter: &Voter| silent_for(voter) > REMOVAL_TIMEOUT || is_gone(voter);
        let mut next = current.clone();
        if let Some(at) = current.learners.iter().position(is_lost) {
            next.learners.remove(at);
            return Some(next);
        }
        let is_even = current.voters.len().is_multiple_of(2);
        let gone = current.voters.iter().filter(|voter| is_gone(voter)).count();
        let absent = current.voters.iter().filter(|v| silent_for(v) > ALIVE_TIMEOUT && !is_lost(v));
        let removable = match absent.count() {
            _ if gone >= 2 || (gone == 1 && is_even) => current.voters.iter().position(is_gone),
            0 if is_even => current.voters.iter().position(is_lost),
            _ => None,
        };
        removable.map(|at| {
            next.voters.remove(at);
            next
        })
    }

    /// Adds a process as a learner.
    fn add_learner(&self, current: &Membership) -> Option<Membership> {
        let known = |voter: &Voter| current.member(MemberId::new(voter.id)).is_some();
        let (_, voter) = self.offers.values().find(|(_, voter)| !known(voter))?;
        let mut next = current.clone();
        next.learners.push(voter.clone());
        Some(next)
    }

    /// Returns whether a process with another id has taken the voter's address: a later member, or the sender of an offer.
    fn is_replaced(&self, voter: &Voter, current: &Membership) -> bool {
        let members = current.voters.iter().chain(&current.learners);
        // Members are listed in the order in which they joined.
        let later = members.skip_while(|other| other.id != voter.id).skip(1);
        let offers = self.offers.values().map(|(_, other)| other);
        later.chain(offers).any(|other| other.listen == voter.listen && other.id != voter.id)
    }
}

/// Promotes a learner that has caught up.
fn promote(
    replica: &Replica,
    current: &Membership,
    silent_for: &impl Fn(&Voter) -> Millis,
) -> Option<Membership> {
    if current.voters.len() >= MAX_VOTERS {
        return None;
    }
    current
        .learners
        .iter()
        .enumerate()
        .filter(|(_, learner)| silent_for(learner) <= ALIVE_TIMEOUT)
        .find_map(|(at, learner)| {
            let mut next = current.clone();
            next.learners.remove(at);
            next.voters.push(learner.clone());
            replica.check_members(&next).is_ok().then_some(next)
        })
}
