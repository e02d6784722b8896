//! Bootstrap of a group from members with empty disks.
//!
//! A member without a group sends offers to the other initial members. The member with the lowest id
//! forms the group once it has offers from all of them, each with the identity of its disk. A member
//! whose disk is replaced later offers a disk that is in no membership, so it never gets the old
//! member's vote.

use std::collections::BTreeMap;

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{FormationOffer, Membership, Peer, Voter, peer};

use crate::effect::Millis;
use crate::joining::Joining;
use crate::membership::MembershipExt;

/// Time for which an offer is valid.
const OFFER_TTL: Millis = 3_000;
/// Time for which a process that has been named as the leader is taken for it.
const LEADER_TTL: Millis = 1_000;

/// Members that form the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InitialMembers {
    /// Members with these ids.
    Ids(Vec<MemberId>),
    /// The members at these addresses, during the first start of the whole site.
    Seeds(Vec<String>),
    /// No members: this member waits until an existing group adds it.
    None,
}

/// An offer from another member.
#[derive(Debug, Clone)]
struct ReceivedOffer {
    received_at: Millis,
    voter: Voter,
    is_first_start: bool,
}

/// A member that has no group yet.
#[derive(Debug)]
pub struct Formation {
    own: Voter,
    initial_members: InitialMembers,
    offers: BTreeMap<MemberId, ReceivedOffer>,
    /// Leader of the existing group, and when it was named.
    leader: Option<(Millis, Box<Voter>)>,
}

impl Formation {
    /// Creates a member without a group; `own` has its id, disk and addresses.
    pub fn new(own: Voter, initial_members: InitialMembers) -> Self {
        Self { own, initial_members, offers: BTreeMap::new(), leader: None }
    }

    /// Returns the offer to send to every initial member.
    pub fn offer(&self) -> Peer {
        let is_first_start = !matches!(self.initial_members, InitialMembers::None);
        formation_offer(&self.own, is_first_start)
    }

    /// Returns the leader of the existing group, if another member has just named it.
    pub fn leader(&self, now: Millis) -> Option<&Voter> {
        let (at, leader) = self.leader.as_ref()?;
        (now <= at + LEADER_TTL).then_some(leader)
    }

    /// Handles a message; returns the group once this member belongs to one.
    pub fn receive(&mut self, message: &Peer, now: Millis) -> Option<Joining> {
        let is_self = |v: &Voter| v.id == self.own.id && v.disk == self.own.disk;
        match &message.body {
            Some(peer::Body::Offer(body)) if message.group == 0 => {
                let received = ReceivedOffer {
                    received_at: now,
                    voter: voter_from_offer(message, body),
                    is_first_start: body.first,
                };
                self.offers.insert(MemberId::new(message.from), received);
                None
            }
            Some(peer::Body::Formed(membership)) => {
                let mut members = membership.voters.iter().chain(&membership.learners);
                members.any(is_self).then(|| Joining::Newcomer(membership.clone()))
            }
            Some(peer::Body::Founded(membership)) => {
                let founder = MemberId::new(message.from);
                let is_voter = membership.voters.iter().any(is_self);
                (is_voter && membership.is_voter(founder))
                    .then(|| Joining::Voter { membership: membership.clone(), founder })
            }
            Some(peer::Body::Leader(voter)) => {
                self.leader = Some((now, Box::new(voter.clone())));
                None
            }
            _ => None,
        }
    }

    /// Forms the group if this member has the lowest id and valid offers from all other initial members.
    pub fn try_form(&self, group: u64, now: Millis) -> Option<Joining> {
        let others = match &self.initial_members {
            InitialMembers::Ids(ids) => self.offered_by_ids(ids, now)?,
            InitialMembers::Seeds(addresses) => self.offered_by_addresses(addresses, now)?,
            InitialMembers::None => return None,
        };
        if others.iter().any(|voter| voter.id <= self.own.id) {
            return None;
        }
        let voters = std::iter::once(self.own.clone()).chain(others).collect();
        Some(Joining::Founder(Membership { group, voters, learners: Vec::new() }))
    }

    /// Returns the other initial members, if each has sent a valid offer.
    fn offered_by_ids(&self, ids: &[MemberId], now: Millis) -> Option<Vec<Voter>> {
        let own = MemberId::new(self.own.id);
        let others = ids.iter().filter(|id| **id != own);
        others.map(|id| self.valid_voter(self.offers.get(id)?, now)).collect()
    }

    /// Returns the other seeds, if this member is a seed and each of them has sent a valid offer.
    fn offered_by_addresses(&self, addresses: &[String], now: Millis) -> Option<Vec<Voter>> {
        if !addresses.contains(&self.own.listen) {
            return None;
        }
        let others = addresses.iter().filter(|address| **address != self.own.listen);
        others
            .map(|address| {
                let matches_address = |offer: &&ReceivedOffer| {
                    offer.is_first_start && offer.voter.listen == *address && is_valid(offer, now)
                };
                Some(self.offers.values().find(matches_address)?.voter.clone())
            })
            .collect()
    }

    fn valid_voter(&self, offer: &ReceivedOffer, now: Millis) -> Option<Voter> {
        is_valid(offer, now).then(|| offer.voter.clone())
    }
}

fn is_valid(offer: &ReceivedOffer, now: Millis) -> bool {
    now <= offer.received_at + OFFER_TTL
}

/// Creates the message with which a process offers to join or form a group.
pub fn formation_offer(own: &Voter, is_first_start: bool) -> Peer {
    let body = FormationOffer {
        listen: own.listen.clone(),
        http: own.http.clone(),
        relay: own.relay.clone(),
        zone: own.zone.clone(),
        first: is_first_start,
    };
    Peer { from: own.id, disk: own.disk, group: 0, term: 0, body: Some(peer::Body::Offer(body)) }
}

/// Returns the sender of an offer as a voter.
pub fn voter_from_offer(message: &Peer, offer: &FormationOffer) -> Voter {
    Voter {
        id: message.from,
        disk: message.disk,
        listen: offer.listen.clone(),
        http: offer.http.clone(),
        relay: offer.relay.clone(),
        zone: offer.zone.clone(),
    }
}
