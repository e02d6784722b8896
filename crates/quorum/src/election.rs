//! Elections: pre-votes, votes and leadership transfer.

use std::collections::{BTreeMap, BTreeSet};

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{
    Entry, HardState, Resignation, TransferRequest, VoteReply, VoteRequest, entry, peer,
};

use crate::effect::{Effect, Notice};
use crate::membership::MembershipExt;
use crate::replica::{LeaderState, Progress, Replica, Role};
use crate::vote_restriction::VoteRestriction;

/// A resigning leader's successor has this fraction (1/n) of the election time before others try to be elected.
const SUCCESSOR_TIME_DIVISOR: u64 = 4;

/// Number of election times for which a leader whose storage has failed waits for the entries in flight.
const RESIGNATION_ELECTIONS: u64 = 2;

impl Replica {
    /// Starts a pre-vote: asks whether an election could be won, without changing the term.
    pub(crate) fn start_pre_vote(&mut self) {
        let late_ms = self.now - self.election_deadline;
        self.schedule_election_retry();
        if !self.log.membership().is_voter(self.identity.id) {
            return;
        }
        if matches!(self.role, Role::Follower { .. }) {
            let silent_ms = self.now - self.last_leader_contact;
            let term = self.hard_state.term;
            let notice = Notice::ElectionStarted { term, silent_ms, late_ms };
            self.effects.push(Effect::Report(notice));
        }
        self.role = Role::PreCandidate { granted: BTreeSet::from([self.identity.id]) };
        self.request_votes(true, false);
        self.count_votes();
    }

    /// Starts an election in a new term.
    pub(crate) fn start_election(&mut self, transfer: bool) {
        if !self.log.membership().is_voter(self.identity.id)
            || !self.disk_verification.is_verified()
        {
            return;
        }
        self.schedule_election_retry();
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
            self.send_vote_message(id, pre, peer::Body::Vote(request));
        }
    }

    pub(crate) fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.log.membership().voters.iter();
        voters.map(|v| MemberId::new(v.id)).filter(|id| *id != self.identity.id).collect()
    }

    pub(crate) fn on_vote(&mut self, from: MemberId, term: u64, request: VoteRequest) {
        let lease_active =
            matches!(self.role, Role::Leader(_)) || self.vote_restriction.is_active(self.now);
        let candidate_term = if request.pre { term + 1 } else { term };
        // The leader's heartbeats may wait behind this request.
        let lease_end = self.last_leader_contact + self.timing.election;
        let is_unsure = request.pre && self.leader().is_some() && self.may_have_unread(lease_end);
        if (lease_active || is_unsure) && !request.transfer {
            return self.reply_vote(from, request.pre, false);
        }
        if !request.pre && term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let own_position = (self.log.last_term(), self.log.last_index());
        let up_to_date = (request.last_term, request.last_index) >= own_position;
        let vote_available = match request.pre {
            true => candidate_term > self.hard_state.term,
            false => candidate_term == self.hard_state.term && self.may_vote_for(from),
        };
        let granted = up_to_date && vote_available && self.disk_verification.is_verified();
        if granted && !request.pre {
            self.hard_state.vote = from.get();
            self.reset_election_deadline();
        }
        self.reply_vote(from, request.pre, granted);
    }

    fn may_vote_for(&self, candidate: MemberId) -> bool {
        self.hard_state.vote == 0 || self.hard_state.vote == candidate.get()
    }

    fn reply_vote(&mut self, to: MemberId, pre: bool, granted: bool) {
        let last_index = self.log.last_index();
        let reply = VoteReply { pre, granted, last_index };
        self.send_vote_message(to, pre, peer::Body::VoteReply(reply));
    }

    /// Sends a message of an election; a pre-vote binds nobody, so it need not wait for a sync.
    fn send_vote_message(&mut self, to: MemberId, pre: bool, body: peer::Body) {
        match pre {
            true => self.send_now(to, body),
            false => self.send_synced(to, body),
        }
    }

    pub(crate) fn on_vote_reply(&mut self, from: MemberId, disk: u64, term: u64, reply: VoteReply) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        if !self.check_disk(from, disk) || self.has_lost_entries(from, disk, reply.last_index) {
            return;
        }
        let same_term = reply.pre || term == self.hard_state.term;
        match &mut self.role {
            Role::PreCandidate { granted } if reply.pre && reply.granted => {
                granted.insert(from);
            }
            Role::Candidate { granted } if !reply.pre && reply.granted && same_term => {
                granted.insert(from);
            }
            _ => return,
        }
        self.count_votes();
    }

    pub(crate) fn count_votes(&mut self) {
        let membership = self.log.membership();
        let majority = membership.majority();
        let votes = |granted: &BTreeSet<MemberId>| {
            granted.iter().filter(|id| membership.is_voter(**id)).count()
        };
        match &self.role {
            Role::PreCandidate { granted } if votes(granted) >= majority => {
                self.start_election(false)
            }
            Role::Candidate { granted } if votes(granted) >= majority => self.become_leader(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        if let Role::Candidate { granted } = &self.role {
            let granted = granted.clone();
            self.forget_silences(&granted);
        }
        let next_index = self.log.last_index() + 1;
        let members = self.log.membership();
        let others = members.voters.iter().chain(&members.learners).map(|v| MemberId::new(v.id));
        let progress: BTreeMap<_, _> = others
            .filter(|id| *id != self.identity.id)
            .map(|id| (id, Progress { next_index, ..Progress::default() }))
            .collect();
        self.role = Role::Leader(LeaderState {
            elected_at: self.now,
            progress,
            pending_proposals: BTreeMap::new(),
            next_heartbeat_at: self.now,
            successor: None,
            transfer_started_at: None,
            resign_by: None,
        });
        let term = self.hard_state.term;
        self.effects.push(Effect::Report(Notice::Elected { term }));
        self.append_entry(Entry { index: next_index, term, body: Some(entry::Body::Noop(true)) });
    }

    /// Starts transferring leadership to the most up-to-date voter.
    pub(crate) fn start_transfer(&mut self) {
        let successor = self.most_current_voter();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.successor = successor;
        leader.transfer_started_at = successor.map(|_| self.now);
        self.continue_transfer();
    }

    /// Returns the voter that has stored most of the leader's log, and of several the one heard from last.
    fn most_current_voter(&self) -> Option<MemberId> {
        let voters = self.other_voters();
        let Role::Leader(leader) = &self.role else { return None };
        leader
            .progress
            .iter()
            .filter(|(id, _)| voters.contains(id))
            .max_by_key(|(_, progress)| (progress.match_index, progress.acked_ms))
            .map(|(id, _)| *id)
    }

    /// Stops leading soon, since this member can't store anything any more.
    ///
    /// The others can still commit the entries that it has sent them: it doesn't count its own disk for these.
    pub(crate) fn prepare_resignation(&mut self) {
        let longest_wait = RESIGNATION_ELECTIONS * self.timing.election;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.resign_by = match leader.resign_by {
            None => Some(self.now + longest_wait),
            Some(_) => Some(self.now),
        };
        self.resign_if_due();
    }

    /// Resigns if that was prepared and nothing is in flight any more, or it has taken too long.
    pub(crate) fn resign_if_due(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let has_committed_all = self.commit_index == self.log.last_index();
        if leader.resign_by.is_some_and(|at| has_committed_all || self.now >= at) {
            // Stepping down drops the pending proposals, so answer the committed ones first.
            self.apply_committed();
            self.resign();
        }
    }

    /// Stops leading at once and asks another member to take over.
    ///
    /// Unlike a transfer, this doesn't wait until the successor has the whole log; if it lacks entries that the others
    /// have, one of these is elected.
    fn resign(&mut self) {
        let term = self.hard_state.term;
        if let Some(successor) = self.most_current_voter() {
            for id in self.other_voters() {
                let notice = Resignation { successor: successor.get() };
                self.send_now(id, peer::Body::Resignation(notice));
            }
            self.effects.push(Effect::Report(Notice::Resigned { term, successor }));
        }
        self.become_follower(term, None);
    }

    /// Handles the resignation of the leader of the current term.
    ///
    /// It holds no lease any more, and no earlier leader does, since a majority elected it after the end of their leases.
    pub(crate) fn on_resignation(&mut self, successor: MemberId) {
        if matches!(self.role, Role::Leader(_)) {
            return;
        }
        self.vote_restriction = VoteRestriction::None;
        match successor == self.identity.id {
            true => self.start_election(true),
            false => {
                self.become_follower(self.hard_state.term, None);
                self.schedule_early_election();
                self.election_deadline += self.timing.election / SUCCESSOR_TIME_DIVISOR;
            }
        }
    }

    /// Tells the successor to start an election once it has the whole log.
    pub(crate) fn continue_transfer(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &self.role else { return };
        let Some(successor) = leader.successor else { return };
        let ready = leader.progress.get(&successor).is_some_and(|p| p.match_index == last);
        if ready {
            self.send_now(successor, peer::Body::Transfer(TransferRequest {}));
        }
    }
}
