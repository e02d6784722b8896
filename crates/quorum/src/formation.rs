//! Forming a group from members whose disks are empty.
//!
//! A member without a group offers itself to the other initial members. The member with the lowest
//! number forms the group once all of them have offered themselves, each with the identity of its disk.
//! A member whose disk is replaced later offers a disk that no membership names, so it never gets the
//! old member's vote.

use std::collections::BTreeMap;

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{FormationOffer, Membership, Peer, Voter, peer};

use crate::effect::Millis;
use crate::replica::Identity;

/// Time for which an offer counts, in milliseconds.
const OFFER_VALID: Millis = 3_000;

/// A member that has no group yet.
#[derive(Debug)]
pub struct Formation {
    identity: Identity,
    own: Voter,
    initial: Vec<MemberId>,
    offers: BTreeMap<MemberId, (Millis, Voter)>,
}

impl Formation {
    /// Makes a member that waits for a group; `initial` holds the numbers of all initial members.
    pub fn new(identity: Identity, listen: &str, http: &str, initial: Vec<MemberId>) -> Self {
        let own = Voter {
            id: identity.id.get(),
            disk: identity.disk,
            listen: listen.to_owned(),
            http: http.to_owned(),
        };
        Self { identity, own, initial, offers: BTreeMap::new() }
    }

    /// Returns the offer to send to every other initial member.
    pub fn offer(&self) -> Peer {
        let body = FormationOffer { listen: self.own.listen.clone(), http: self.own.http.clone() };
        Peer {
            from: self.identity.id.get(),
            disk: self.identity.disk,
            group: 0,
            term: 0,
            body: Some(peer::Body::Offer(body)),
        }
    }

    /// Handles a message and returns the membership once this member belongs to a group.
    pub fn receive(&mut self, message: &Peer, now: Millis) -> Option<Membership> {
        match &message.body {
            Some(peer::Body::Offer(offer)) if message.group == 0 => {
                let voter = Voter {
                    id: message.from,
                    disk: message.disk,
                    listen: offer.listen.clone(),
                    http: offer.http.clone(),
                };
                self.offers.insert(MemberId::new(message.from), (now, voter));
                None
            }
            Some(peer::Body::Formed(membership)) => {
                let members = membership.voters.iter().chain(&membership.learners);
                let mine = |v: &Voter| v.id == self.own.id && v.disk == self.own.disk;
                members.into_iter().any(mine).then(|| membership.clone())
            }
            _ => None,
        }
    }

    /// Forms the group when this member has the lowest number and all others have offered themselves.
    pub fn try_form(&self, group: u64, now: Millis) -> Option<Membership> {
        let lowest = self.initial.iter().min() == Some(&self.identity.id);
        if !lowest {
            return None;
        }
        let mut voters = vec![self.own.clone()];
        for id in self.initial.iter().filter(|id| **id != self.identity.id) {
            let (at, voter) = self.offers.get(id)?;
            if now > at + OFFER_VALID {
                return None;
            }
            voters.push(voter.clone());
        }
        Some(Membership { group, voters, learners: Vec::new() })
    }
}
