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

/// Time for which an offer counts, in milliseconds.
const OFFER_VALID: Millis = 3_000;

/// Who forms the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InitialMembers {
    /// Members with these numbers.
    Ids(Vec<MemberId>),
    /// The members at these addresses, while the whole site starts for the first time.
    Seeds(Vec<String>),
    /// Nobody: the member waits until a group takes it in.
    None,
}

/// An offer of another member.
#[derive(Debug, Clone)]
struct Offered {
    at: Millis,
    voter: Voter,
    is_first: bool,
}

/// A member that has no group yet.
#[derive(Debug)]
pub struct Formation {
    own: Voter,
    founders: InitialMembers,
    offers: BTreeMap<MemberId, Offered>,
}

impl Formation {
    /// Makes a member that waits for a group; `own` names its number, disk and addresses.
    pub fn new(own: Voter, founders: InitialMembers) -> Self {
        Self { own, founders, offers: BTreeMap::new() }
    }

    /// Returns the offer to send to every founder.
    pub fn offer(&self) -> Peer {
        let is_first = !matches!(self.founders, InitialMembers::None);
        formation_offer(&self.own, is_first)
    }

    /// Handles a message and returns the membership once this member belongs to a group.
    pub fn receive(&mut self, message: &Peer, now: Millis) -> Option<Membership> {
        match &message.body {
            Some(peer::Body::Offer(body)) if message.group == 0 => {
                let offered = Offered {
                    at: now,
                    voter: voter_from_offer(message, body),
                    is_first: body.first,
                };
                self.offers.insert(MemberId::new(message.from), offered);
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

    /// Forms the group when this founder has the lowest number and all others have offered themselves.
    pub fn try_form(&self, group: u64, now: Millis) -> Option<Membership> {
        let others = match &self.founders {
            InitialMembers::Ids(ids) => self.offers_of(ids, now)?,
            InitialMembers::Seeds(addresses) => self.offers_from(addresses, now)?,
            InitialMembers::None => return None,
        };
        if others.iter().any(|voter| voter.id <= self.own.id) {
            return None;
        }
        let voters = std::iter::once(self.own.clone()).chain(others).collect();
        Some(Membership { group, voters, learners: Vec::new() })
    }

    /// Returns the other founders by number, if each has offered itself of late.
    fn offers_of(&self, ids: &[MemberId], now: Millis) -> Option<Vec<Voter>> {
        let own = MemberId::new(self.own.id);
        let others = ids.iter().filter(|id| **id != own);
        others.map(|id| self.fresh(self.offers.get(id)?, now)).collect()
    }

    /// Returns the other founders by address, if this is one and each has offered itself of late.
    fn offers_from(&self, addresses: &[String], now: Millis) -> Option<Vec<Voter>> {
        if !addresses.contains(&self.own.listen) {
            return None;
        }
        let others = addresses.iter().filter(|address| **address != self.own.listen);
        others
            .map(|address| {
                let from_there = |offered: &&Offered| {
                    offered.is_first && offered.voter.listen == *address && is_fresh(offered, now)
                };
                Some(self.offers.values().find(from_there)?.voter.clone())
            })
            .collect()
    }

    fn fresh(&self, offered: &Offered, now: Millis) -> Option<Voter> {
        is_fresh(offered, now).then(|| offered.voter.clone())
    }
}

fn is_fresh(offered: &Offered, now: Millis) -> bool {
    now <= offered.at + OFFER_VALID
}

/// Makes the message by which a process offers itself as a member.
pub fn formation_offer(own: &Voter, is_first: bool) -> Peer {
    let body = FormationOffer {
        listen: own.listen.clone(),
        http: own.http.clone(),
        relay: own.relay.clone(),
        zone: own.zone.clone(),
        first: is_first,
    };
    Peer { from: own.id, disk: own.disk, group: 0, term: 0, body: Some(peer::Body::Offer(body)) }
}

/// Returns the process that an offer speaks of.
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
