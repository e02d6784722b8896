//! Elections: pre-votes, votes and transfer of leadership.

use std::collections::{BTreeMap, BTreeSet};

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{
    Entry, HardState, TransferRequest, VoteReply, VoteRequest, entry, peer,
};

use crate::effect::{Effect, Notice};
use crate::membership::MembershipExt;
use crate::replica::{Leadership, Progress, Replica, Role};

impl Replica {
    /// Asks whether an election could be won, without changing the term.
    pub(crate) fn begin_pre_vote(&mut self) {
        self.plan_retry();
        if !self.log.membership().is_voter(self.identity.id) {
            return;
        }
        self.role = Role::PreCandidate { granted: BTreeSet::from([self.identity.id]) };
        self.request_votes(true, false);
        self.count_votes();
    }

    /// Begins an election in a new term.
    pub(crate) fn begin_election(&mut self, transfer: bool) {
        if !self.log.membership().is_voter(self.identity.id) || !self.trust.is_proved() {
            return;
        }
        self.plan_retry();
        self.hard_state =
            HardState { term: self.hard_state.term + 1, vote: self.identity.id.get() };
        self.role = Role::Candidate { granted: BTreeSet::from([self.identity.id]) };
        self.request_votes(false, transfer);
        self.count_votes();
    }

    fn request_votes(&mut self, pre: bool, transfer: bool) {
        let request = VoteRequest {
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        };
        for id in self.other_voters() {
            self.send_synced(id, peer::Body::Vote(request));
        }
    }

    pub(crate) fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.log.membership().voters.iter();
        voters.map(|v| MemberId::new(v.id)).filter(|id| *id != self.identity.id).collect()
    }

    pub(crate) fn on_vote(&mut self, from: MemberId, term: u64, request: VoteRequest) {
        let led = matches!(self.role, Role::Leader(_)) || self.promise.binds(self.now);
        let proposed = if request.pre { term + 1 } else { term };
        if led && !request.transfer {
            return self.reply_vote(from, request.pre, false);
        }
        if !request.pre && term > self.hard_state.term {
            self.follow(term, None);
        }
        let own = (self.log.last_term(), self.log.last_index());
        let current = (request.last_term, request.last_index) >= own;
        let free = match request.pre {
            true => proposed > self.hard_state.term,
            false => proposed == self.hard_state.term && self.may_vote_for(from),
        };
        let granted = current && free && self.trust.is_proved();
        if granted && !request.pre {
            self.hard_state.vote = from.get();
            self.reset_deadline();
        }
        self.reply_vote(from, request.pre, granted);
    }

    fn may_vote_for(&self, candidate: MemberId) -> bool {
        self.hard_state.vote == 0 || self.hard_state.vote == candidate.get()
    }

    fn reply_vote(&mut self, to: MemberId, pre: bool, granted: bool) {
        let last_index = self.log.last_index();
        self.send_synced(to, peer::Body::VoteReply(VoteReply { pre, granted, last_index }));
    }

    pub(crate) fn on_vote_reply(&mut self, from: MemberId, disk: u64, term: u64, reply: VoteReply) {
        if term > self.hard_state.term {
            self.follow(term, None);
            return;
        }
        if !self.check_disk(from, disk) || self.has_forgotten(from, disk, reply.last_index) {
            return;
        }
        let current = reply.pre || term == self.hard_state.term;
        match &mut self.role {
            Role::PreCandidate { granted } if reply.pre && reply.granted => {
                granted.insert(from);
            }
            Role::Candidate { granted } if !reply.pre && reply.granted && current => {
                granted.insert(from);
            }
            _ => return,
        }
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let membership = self.log.membership();
        let majority = membership.majority();
        let votes = |granted: &BTreeSet<MemberId>| {
            granted.iter().filter(|id| membership.is_voter(**id)).count()
        };
        match &self.role {
            Role::PreCandidate { granted } if votes(granted) >= majority => {
                self.begin_election(false)
            }
            Role::Candidate { granted } if votes(granted) >= majority => self.lead(),
            _ => {}
        }
    }

    fn lead(&mut self) {
        let next = self.log.last_index() + 1;
        let members = self.log.membership();
        let others = members.voters.iter().chain(&members.learners).map(|v| MemberId::new(v.id));
        let progress: BTreeMap<_, _> = others
            .filter(|id| *id != self.identity.id)
            .map(|id| (id, Progress { next, ..Progress::default() }))
            .collect();
        self.role = Role::Leader(Leadership {
            since: self.now,
            progress,
            pending: BTreeMap::new(),
            heartbeat_at: self.now,
            successor: None,
            transfer_at: None,
        });
        let term = self.hard_state.term;
        self.effects.push(Effect::Report(Notice::Elected { term }));
        self.append_own(Entry { index: next, term, body: Some(entry::Body::Noop(true)) });
    }

    /// Hands leadership to the voter that holds the most entries.
    pub(crate) fn begin_transfer(&mut self) {
        let voters = self.other_voters();
        let Role::Leader(lead) = &mut self.role else { return };
        let best = lead
            .progress
            .iter()
            .filter(|(id, _)| voters.contains(id))
            .max_by_key(|(_, progress)| (progress.matched, progress.acked_ms))
            .map(|(id, _)| *id);
        lead.successor = best;
        lead.transfer_at = best.map(|_| self.now);
        self.continue_transfer();
    }

    /// Tells the successor to start an election once it holds every entry.
    pub(crate) fn continue_transfer(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(lead) = &self.role else { return };
        let Some(successor) = lead.successor else { return };
        let ready = lead.progress.get(&successor).is_some_and(|p| p.matched == last);
        if ready {
            self.send_now(successor, peer::Body::Transfer(TransferRequest {}));
        }
    }
}
