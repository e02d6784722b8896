//! Replication: entries, heartbeats, commitment, snapshots and membership changes.

use std::sync::Arc;

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{
    AppendReply, AppendRequest, Entry, Membership, SnapshotRequest, Voter, Watermark, entry, peer,
};

use crate::effect::{Effect, Refusal, Token};
use crate::membership::{MembershipError, MembershipExt};
use crate::promise::Promise;
use crate::replica::{Identity, Leadership, Progress, Replica, Role};

/// Entries in one request.
const MAX_BATCH: usize = 512;
/// Entries that a learner may lack when it is to become a voter.
const CAUGHT_UP: u64 = 64;

impl Replica {
    pub(crate) fn tick_leader(&mut self) {
        let election = self.timing.election;
        let Role::Leader(lead) = &self.role else { return };
        let heard = self.lease_start(lead).max(lead.since);
        let beat = self.now >= lead.heartbeat_at;
        let handed_over = lead.transfer_at.is_some_and(|at| self.now >= at + election);
        if handed_over || self.now >= heard + election {
            self.follow(self.hard_state.term, None);
            return;
        }
        if beat {
            self.send_heartbeats();
            self.continue_transfer();
        }
    }

    /// Sends a request to every member, with entries where it lacks some.
    fn send_heartbeats(&mut self) {
        let next_beat = self.now + self.timing.heartbeat;
        let Role::Leader(lead) = &mut self.role else { return };
        lead.heartbeat_at = next_beat;
        let ids: Vec<MemberId> = lead.progress.keys().copied().collect();
        for id in ids {
            self.send_append(id);
        }
    }

    /// Sends entries to the members that have not been sent them yet.
    pub(crate) fn send_entries(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(lead) = &self.role else { return };
        let behind =
            lead.progress.iter().filter(|(_, p)| p.next <= last && p.snapshot_ms.is_none());
        let ids: Vec<MemberId> = behind.map(|(id, _)| *id).collect();
        for id in ids {
            self.send_append(id);
        }
    }

    fn send_append(&mut self, to: MemberId) {
        let now = self.now;
        let base = self.log.base_index();
        let Role::Leader(lead) = &mut self.role else { return };
        let watermarks = watermarks(lead, self.log.membership(), self.identity, self.commit);
        let Some(progress) = lead.progress.get_mut(&to) else { return };
        if progress.next <= base && progress.snapshot_ms.is_none() {
            return self.send_snapshot(to);
        }
        let (prev_index, entries) = match progress.snapshot_ms {
            Some(_) => (self.log.snapshot().index, Vec::new()),
            None => (progress.next - 1, self.log.slice(progress.next, MAX_BATCH)),
        };
        progress.next += entries.len() as u64;
        let request = AppendRequest {
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or(0),
            entries,
            commit: self.commit,
            sent_ms: now,
            watermarks,
        };
        self.send_now(to, peer::Body::Append(request));
    }

    fn send_snapshot(&mut self, to: MemberId) {
        let now = self.now;
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(progress) = lead.progress.get_mut(&to) else { return };
        progress.snapshot_ms = Some(now);
        let snapshot = Some(self.log.snapshot().as_ref().clone());
        self.send_now(to, peer::Body::Snapshot(SnapshotRequest { snapshot, sent_ms: now }));
    }

    /// Accepts the sender as leader of `term`, or returns false for a leader of the past.
    fn accept_leader(&mut self, from: MemberId, term: u64) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        if matches!(self.role, Role::Leader(_)) && term == self.hard_state.term {
            return false;
        }
        self.follow(term, Some(from));
        self.contact_at = self.now;
        self.promise = Promise::to_leader(self.now + self.timing.election);
        self.reset_deadline();
        true
    }

    pub(crate) fn on_append(&mut self, from: MemberId, term: u64, request: AppendRequest) {
        if !self.accept_leader(from, term) {
            return self.reply_append(from, false, self.log.last_index(), request.sent_ms);
        }
        self.learn_watermarks(&request.watermarks);
        if !self.trust.is_proved() {
            return;
        }
        match self.log.term_at(request.prev_index) {
            Some(held) if held == request.prev_term => {}
            None if request.prev_index < self.log.base_index() => {
                return self.reply_append(from, true, self.commit, request.sent_ms);
            }
            _ => {
                let hint = self.last_plausible(request.prev_index);
                return self.reply_append(from, false, hint, request.sent_ms);
            }
        }
        let matched = request.prev_index + request.entries.len() as u64;
        let fresh = self.skip_known(request.entries);
        self.append_entries(fresh);
        self.commit = self.commit.max(request.commit.min(matched));
        self.reply_append(from, true, matched, request.sent_ms);
    }

    /// Drops leading entries that the log already holds.
    fn skip_known(&self, entries: Vec<Entry>) -> Vec<Entry> {
        let known = |entry: &Entry| self.log.term_at(entry.index) == Some(entry.term);
        entries.into_iter().skip_while(known).collect()
    }

    /// Returns the last index before `index` that could equal the leader's log.
    fn last_plausible(&self, index: u64) -> u64 {
        let conflict = self.log.term_at(index);
        let mut hint = self.log.last_index().min(index.saturating_sub(1));
        while conflict.is_some() && hint > self.commit && self.log.term_at(hint) == conflict {
            hint -= 1;
        }
        hint
    }

    fn reply_append(&mut self, to: MemberId, accepted: bool, index: u64, sent_ms: u64) {
        self.send_synced(
            to,
            peer::Body::AppendReply(AppendReply {
                accepted,
                index,
                sent_ms,
                last_index: self.log.last_index(),
            }),
        );
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: MemberId,
        disk: u64,
        term: u64,
        reply: AppendReply,
    ) {
        if term > self.hard_state.term {
            return self.follow(term, None);
        }
        if term < self.hard_state.term || !self.check_disk(from, disk) {
            return;
        }
        if self.has_forgotten(from, disk, reply.last_index) {
            return;
        }
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(progress) = lead.progress.get_mut(&from) else { return };
        progress.acked_ms = progress.acked_ms.max(reply.sent_ms);
        match reply.accepted {
            true => {
                progress.matched = progress.matched.max(reply.index);
                progress.next = progress.next.max(progress.matched + 1);
                progress.snapshot_ms = None;
            }
            // The member lacks the snapshot although it has seen a later request.
            false if progress.snapshot_ms.is_some_and(|sent| reply.sent_ms > sent) => {
                progress.snapshot_ms = None;
            }
            false if progress.snapshot_ms.is_some() => {}
            false => progress.next = (reply.index + 1).max(progress.matched + 1),
        }
        self.advance_commit();
        self.continue_transfer();
    }

    /// Commits what a majority of voters has stored.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(lead) = &self.role else { return };
        let membership = self.log.membership();
        let mut stored: Vec<u64> = membership
            .voters
            .iter()
            .map(|voter| match MemberId::new(voter.id) {
                id if id == self.identity.id => self.stored,
                id => lead.progress.get(&id).map_or(0, |progress| progress.matched),
            })
            .collect();
        stored.sort_unstable_by(|a, b| b.cmp(a));
        let index = stored.get(membership.majority() - 1).copied().unwrap_or(0);
        if index > self.commit && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit = index;
            self.raise_watermarks();
            self.leave_if_removed();
        }
    }

    /// Remembers which committed entries each member has stored.
    fn raise_watermarks(&mut self) {
        let Role::Leader(lead) = &self.role else { return };
        let marks = watermarks(lead, self.log.membership(), self.identity, self.commit);
        self.learn_watermarks(&marks);
    }

    /// Gives up leadership once a membership without this member is committed.
    fn leave_if_removed(&mut self) {
        let gone = !self.log.membership().is_voter(self.identity.id);
        if gone && self.commit >= self.log.membership_index() {
            self.send_heartbeats();
            // The proposals are answered while they are still known.
            self.apply_committed();
            self.follow(self.hard_state.term, None);
        }
    }

    pub(crate) fn on_snapshot(&mut self, from: MemberId, term: u64, request: SnapshotRequest) {
        if !self.accept_leader(from, term) {
            return self.reply_append(from, false, self.log.last_index(), request.sent_ms);
        }
        let Some(snapshot) = request.snapshot.map(Arc::new) else { return };
        let index = snapshot.index;
        if index > self.commit {
            self.log.install(Arc::clone(&snapshot));
            self.commit = index;
            self.applied = index;
            self.save_snapshot(Arc::clone(&snapshot));
            self.effects.push(Effect::Install(snapshot));
        }
        self.reply_append(from, true, self.commit, request.sent_ms);
    }

    pub(crate) fn change_members(&mut self, token: Token, membership: Membership) {
        let permitted = !self.has_change_in_flight() && self.check_members(&membership).is_ok();
        match (&self.role, permitted) {
            (Role::Leader(_), true) => {
                self.propose(token, entry::Body::Membership(membership));
                self.track_members();
            }
            (Role::Leader(_), false) => {
                let refusal = Refusal::MembershipRefused;
                self.effects.push(Effect::Refuse { token, refusal });
            }
            _ => self.effects.push(Effect::Refuse { token, refusal: Refusal::NotLeader }),
        }
    }

    /// Returns whether `next` may follow the present membership.
    pub fn check_members(&self, next: &Membership) -> Result<(), MembershipError> {
        let present = self.log.membership();
        present.check_change(next)?;
        let matched = self.matched();
        let last = self.log.last_index();
        let lacking = next
            .voters
            .iter()
            .filter(|voter| !present.voters.contains(voter))
            .map(|voter| MemberId::new(voter.id))
            .find(|id| matched.get(id).copied().unwrap_or(0) + CAUGHT_UP < last);
        match lacking {
            Some(id) => Err(MembershipError::NotCaughtUp(id)),
            None => Ok(()),
        }
    }

    /// Starts and ends replication to follow the membership.
    fn track_members(&mut self) {
        let next = self.log.last_index() + 1;
        let (own, now) = (self.identity.id, self.now);
        let members = self.log.membership().clone();
        let Role::Leader(lead) = &mut self.role else { return };
        lead.progress.retain(|id, _| members.member(*id).is_some());
        for voter in members.voters.iter().chain(&members.learners) {
            let id = MemberId::new(voter.id);
            if id != own {
                let fresh = Progress { next, since_ms: now, ..Progress::default() };
                lead.progress.entry(id).or_insert(fresh);
            }
        }
    }
}

/// Lists the committed entries that each member is known to have stored.
///
/// Entries that are not committed don't count: a later leader may have them removed.
fn watermarks(
    lead: &Leadership,
    membership: &Membership,
    own: Identity,
    commit: u64,
) -> Vec<Watermark> {
    let stored = |voter: &Voter| match MemberId::new(voter.id) {
        id if id == own.id => commit,
        id => lead.progress.get(&id).map_or(0, |progress| progress.matched.min(commit)),
    };
    let members = membership.voters.iter().chain(&membership.learners);
    members
        .map(|voter| Watermark { id: voter.id, disk: voter.disk, index: stored(voter) })
        .collect()
}
