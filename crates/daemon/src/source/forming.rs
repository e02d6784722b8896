//! Forming or joining a group, and automatic membership changes by the leader.

use kingcuplift_core::{Event, MemberId};
use kingcuplift_quorum::{
    Event as Input, Joining, MembershipExt, Millis, Replica, RoleName, formation_offer,
    voter_from_offer,
};
use kingcuplift_schema::control::{Directory, Place};
use kingcuplift_schema::quorum::{Membership, Peer, Voter, peer};
use rand::Rng;

use crate::source::actor::{SourceActor, Stage, timing};

/// Interval of the offers to join a group, and of the membership changes, in milliseconds.
const OFFER_INTERVAL_MS: Millis = 200;
/// Interval of the offers to form a group, in milliseconds.
const FORMING_INTERVAL_MS: Millis = 100;
/// Time without contact with a leader after which a member sends offers again, in milliseconds.
const LEADERLESS_TIMEOUT_MS: Millis = 2_000;

impl SourceActor {
    pub(crate) fn tick_forming(&mut self, now: Millis) {
        if now < self.last_offer_ms + FORMING_INTERVAL_MS {
            return;
        }
        self.last_offer_ms = now;
        let Stage::Forming(formation) = &self.stage else { return };
        let offer = formation.offer();
        let own = self.identity.id;
        let members = self.options.members.iter().map(|member| member.id);
        let others: Vec<MemberId> = members.filter(|id| *id != own).collect();
        for id in others {
            self.send(id, Box::new(offer.clone()));
        }
        self.offer_to_seeds(&offer);
        self.form_group();
    }

    /// Forms the group if this member is the one to do so and all others have made their offers.
    pub(crate) fn form_group(&mut self) {
        let Stage::Forming(formation) = &self.stage else { return };
        let group = rand::rng().random_range(1..u64::MAX);
        if let Some(joining) = formation.try_form(group, self.now()) {
            self.join_group(joining);
        }
    }

    /// Sends an offer to the seeds, except this process.
    fn offer_to_seeds(&mut self, offer: &Peer) {
        let own = self.local_voter.listen.clone();
        let seeds = self.options.seeds.iter().map(ToString::to_string);
        for address in seeds.filter(|address| *address != own).collect::<Vec<_>>() {
            self.send_to(&address, Box::new(offer.clone()));
        }
    }

    /// Becomes a member of the group; its membership is stored with the first write.
    pub(crate) fn join_group(&mut self, joining: Joining) {
        Event::GroupFormed.emit(&[("member", &self.identity.id)]);
        let seed = rand::rng().random();
        let timing = timing(&self.options);
        let replica = Replica::join(self.identity, timing, joining, seed, self.now());
        self.stage = Stage::Member(Box::new(replica));
        self.start_writer();
        self.step(Input::Tick);
    }

    /// Handles an offer: replies to a member with the membership, and passes any other process to the leader to add.
    ///
    /// Until it is added, such a process can send operators to the leader, too.
    pub(crate) fn handle_offer(&mut self, message: Box<Peer>) {
        let Stage::Member(replica) = &self.stage else { return };
        let Some(peer::Body::Offer(body)) = &message.body else { return };
        let id = MemberId::new(message.from);
        let is_member =
            replica.membership().member(id).is_some_and(|voter| voter.disk == message.disk);
        if is_member {
            return self.send_membership(id);
        }
        if self.options.id.is_some() {
            return;
        }
        let voter = voter_from_offer(&message, body);
        let address = voter.listen.clone();
        match (replica.role(), replica.leader()) {
            (RoleName::Leader, _) => self.membership_controller.record_offer(voter, self.now()),
            (_, Some(leader)) => self.send(leader, message),
            (_, None) => {}
        }
        if let (Some(leader), Stage::Member(replica)) = (self.live_leader(), &self.stage) {
            let leader = peer::Body::Leader(leader.clone());
            let message = self.outside_message(replica, leader);
            self.send_to(&address, message);
        }
    }

    /// Creates a message to a process that doesn't know its group yet.
    fn outside_message(&self, replica: &Replica, body: peer::Body) -> Box<Peer> {
        Box::new(Peer {
            from: self.identity.id.get(),
            disk: self.identity.disk,
            group: replica.membership().group,
            term: 0,
            body: Some(body),
        })
    }

    /// Sends the membership to a member that does not know its group yet.
    fn send_membership(&mut self, id: MemberId) {
        let Stage::Member(replica) = &self.stage else { return };
        if let Some(invitation) = replica.invitation() {
            let message = self.outside_message(replica, invitation);
            self.send(id, message);
        }
    }

    /// As leader, proposes the next membership change; after too long without a leader, offers to join again.
    pub(crate) fn tick_membership(&mut self, now: Millis) {
        if self.options.id.is_some() || now < self.last_offer_ms + OFFER_INTERVAL_MS {
            return;
        }
        self.last_offer_ms = now;
        let Stage::Member(replica) = &self.stage else { return };
        match replica.role() {
            RoleName::Leader => {
                if let Some(membership) = self.membership_controller.next_change(replica, now) {
                    self.propose_membership(membership);
                }
            }
            _ if now > replica.last_leader_contact() + LEADERLESS_TIMEOUT_MS => {
                let members =
                    replica.membership().voters.iter().chain(&replica.membership().learners);
                let others = members.filter(|voter| voter.listen != self.local_voter.listen);
                let addresses: Vec<String> = others.map(|voter| voter.listen.clone()).collect();
                let message = formation_offer(&self.local_voter, false);
                self.offer_to_seeds(&message);
                for address in addresses {
                    self.send_to(&address, Box::new(message.clone()));
                }
            }
            _ => {}
        }
    }

    fn propose_membership(&mut self, membership: Membership) {
        let names = |voters: &[Voter]| {
            voters.iter().map(|voter| voter.listen.as_str()).collect::<Vec<_>>().join(",")
        };
        let (voters, learners) = (names(&membership.voters), names(&membership.learners));
        Event::MembersPlaced.emit(&[("voters", &voters), ("learners", &learners)]);
        let token = self.next_token();
        self.step(Input::ChangeMembers { token, membership });
    }

    /// As leader, sends the list of all members to the relays.
    pub(crate) fn publish_directory(&mut self) {
        let Stage::Member(replica) = &self.stage else { return };
        if replica.role() != RoleName::Leader {
            return;
        }
        let membership = replica.membership();
        let members = membership.voters.iter().chain(&membership.learners);
        let places = members.map(|voter| Place {
            source: voter.listen.clone(),
            relay: voter.relay.clone(),
            zone: voter.zone.clone(),
        });
        let directory = Directory { places: places.collect() };
        self.relays.fanout.set_directory(directory);
    }
}
