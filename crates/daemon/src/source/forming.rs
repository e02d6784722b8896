//! How a member without a group finds or forms one.

use kingcuplift_core::{Event, MemberId};
use kingcuplift_quorum::{Members, Millis, Restored};
use kingcuplift_schema::quorum::{Membership, Peer, Snapshot, peer};
use rand::Rng;

use crate::source::actor::{SourceActor, Stage, new_replica};

/// Time between offers to form a group, in milliseconds.
const OFFER_INTERVAL: Millis = 200;

impl SourceActor {
    pub(crate) fn tick_forming(&mut self, now: Millis) {
        if now < self.offered_at + OFFER_INTERVAL {
            return;
        }
        self.offered_at = now;
        let Stage::Forming(formation) = &self.stage else { return };
        let offer = formation.offer();
        let group = rand::rng().random_range(1..u64::MAX);
        let formed = formation.try_form(group, now);
        let own = self.identity.id;
        let members = self.options.members.iter().map(|member| member.id);
        let others: Vec<MemberId> = members.filter(|id| *id != own).collect();
        for id in others {
            self.send(id, Box::new(offer.clone()));
        }
        if let Some(membership) = formed {
            self.join_group(membership);
        }
    }

    /// Writes the membership down and becomes a member.
    pub(crate) fn join_group(&mut self, membership: Membership) {
        let snapshot = Snapshot { membership: Some(membership), ..Snapshot::default() };
        let Some(store) = &mut self.store else { return };
        if let Err(error) = store.save_snapshot(&snapshot) {
            Event::StorageFailed.emit(&[("reason", &error)]);
            self.stage = Stage::Failed;
            return;
        }
        Event::GroupFormed.emit(&[("member", &self.identity.id)]);
        let restored = Restored { snapshot, ..Restored::default() };
        self.stage = Stage::Member(new_replica(self.identity, &self.options, restored));
    }

    /// Answers a member that has no group, if its disk belongs to this one.
    pub(crate) fn answer_offer(&mut self, message: &Peer) {
        let Stage::Member(replica) = &self.stage else { return };
        let id = MemberId::new(message.from);
        let membership = replica.membership();
        if membership.member(id).is_none_or(|voter| voter.disk != message.disk) {
            return;
        }
        let formed = Peer {
            from: self.identity.id.get(),
            disk: self.identity.disk,
            group: membership.group,
            term: 0,
            body: Some(peer::Body::Formed(membership.clone())),
        };
        self.send(id, Box::new(formed));
    }
}
