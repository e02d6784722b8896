//! Replication: entries, heartbeats, commits, snapshots and membership changes.

use std::sync::Arc;

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{
    AppendReply, AppendRequest, Entry, HeartbeatReceipt, Membership, SnapshotRequest, Voter,
    Watermark, entry, peer,
};

use crate::effect::{Effect, Refusal, Token};
use crate::membership::{MembershipError, MembershipExt};
use crate::replica::{Identity, LeaderState, Progress, Replica, Role};
use crate::vote_restriction::VoteRestriction;

/// Maximum number of entries in one request.
const MAX_APPEND_ENTRIES: usize = 512;
/// Maximum number of entries that a learner may lag behind when it is promoted to voter.
const MAX_PROMOTION_LAG: u64 = 64;

impl Replica {
    pub(crate) fn tick_leader(&mut self) {
        let election = self.timing.election;
        let Role::Leader(leader) = &self.role else { return };
        let majority_contact = self.lease_start(leader).max(leader.elected_at);
        let heartbeat_due = self.now >= leader.next_heartbeat_at;
        let transfer_timed_out =
            leader.transfer_started_at.is_some_and(|at| self.now >= at + election);
        let contact_due = majority_contact + election;
        let is_silent = self.now >= contact_due && !self.may_have_unread(contact_due);
        if transfer_timed_out || is_silent {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        if heartbeat_due {
            self.send_heartbeats();
            self.continue_transfer();
        }
        self.resign_if_due();
    }

    /// Sends an append request to every member, with the entries that it lacks.
    fn send_heartbeats(&mut self) {
        let next_heartbeat = self.now + self.timing.heartbeat;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.next_heartbeat_at = next_heartbeat;
        let ids: Vec<MemberId> = leader.progress.keys().copied().collect();
        for id in ids {
            self.send_append(id);
        }
    }

    /// Sends new entries to the members that have not been sent them yet.
    pub(crate) fn send_entries(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &self.role else { return };
        let behind = leader
            .progress
            .iter()
            .filter(|(_, p)| p.next_index <= last && p.snapshot_sent_ms.is_none());
        let ids: Vec<MemberId> = behind.map(|(id, _)| *id).collect();
        for id in ids {
            self.send_append(id);
        }
    }

    fn send_append(&mut self, to: MemberId) {
        let now = self.now;
        let base = self.log.base_index();
        let contacts = self.known_contacts();
        let Role::Leader(leader) = &mut self.role else { return };
        let mut watermarks = watermarks(
            leader,
            self.log.membership(),
            (self.identity, self.synced_index),
            self.commit_index,
        );
        for mark in &mut watermarks {
            let contact = contacts.get(&MemberId::new(mark.id));
            mark.silent_ms = contact.map_or(0, |at| now.saturating_sub(*at));
        }
        let Some(progress) = leader.progress.get_mut(&to) else { return };
        if progress.next_index <= base && progress.snapshot_sent_ms.is_none() {
            return self.send_snapshot(to);
        }
        let (prev_index, entries) = match progress.snapshot_sent_ms {
            Some(_) => (self.log.snapshot().index, Vec::new()),
            None => {
                (progress.next_index - 1, self.log.slice(progress.next_index, MAX_APPEND_ENTRIES))
            }
        };
        progress.next_index += entries.len() as u64;
        let request = AppendRequest {
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or(0),
            entries,
            commit: self.commit_index,
            sent_ms: now,
            watermarks,
        };
        self.send_now(to, peer::Body::Append(request));
    }

    fn send_snapshot(&mut self, to: MemberId) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&to) else { return };
        progress.snapshot_sent_ms = Some(now);
        let snapshot = Some(self.log.snapshot().as_ref().clone());
        self.send_now(to, peer::Body::Snapshot(SnapshotRequest { snapshot, sent_ms: now }));
    }

    /// Accepts the sender as leader of `term`; returns false for a stale leader.
    fn accept_leader(&mut self, from: MemberId, term: u64) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        if matches!(self.role, Role::Leader(_)) && term == self.hard_state.term {
            return false;
        }
        self.become_follower(term, Some(from));
        self.last_leader_contact = self.now;
        self.vote_restriction = VoteRestriction::leader_heard(self.now + self.timing.election);
        self.reset_election_deadline();
        true
    }

    pub(crate) fn on_append(&mut self, from: MemberId, term: u64, request: AppendRequest) {
        if !self.accept_leader(from, term) {
            return self.reply_append(from, false, self.log.last_index(), request.sent_ms);
        }
        self.merge_watermarks(&request.watermarks);
        self.note_silences(&request.watermarks);
        if !self.disk_verification.is_verified() {
            return;
        }
        if request.entries.is_empty() && self.has_unsynced_writes() {
            self.send_receipt(from, request.sent_ms);
        }
        match self.log.term_at(request.prev_index) {
            Some(term) if term == request.prev_term => {}
            None if request.prev_index < self.log.base_index() => {
                return self.reply_append(from, true, self.commit_index, request.sent_ms);
            }
            _ => {
                let hint = self.conflict_hint(request.prev_index);
                return self.reply_append(from, false, hint, request.sent_ms);
            }
        }
        let match_index = request.prev_index + request.entries.len() as u64;
        let new_entries = self.skip_stored_entries(request.entries);
        self.append_entries(new_entries);
        self.commit_index = self.commit_index.max(request.commit.min(match_index));
        self.reply_append(from, true, match_index, request.sent_ms);
    }

    /// Drops leading entries that the log already contains.
    fn skip_stored_entries(&self, entries: Vec<Entry>) -> Vec<Entry> {
        let known = |entry: &Entry| self.log.term_at(entry.index) == Some(entry.term);
        entries.into_iter().skip_while(known).collect()
    }

    /// Returns the last index before `index` at which the log may match the leader's.
    fn conflict_hint(&self, index: u64) -> u64 {
        let conflict = self.log.term_at(index);
        let mut hint = self.log.last_index().min(index.saturating_sub(1));
        while conflict.is_some() && hint > self.commit_index && self.log.term_at(hint) == conflict {
            hint -= 1;
        }
        hint
    }

    /// Confirms a heartbeat at once; the reply to it waits for the writes before it.
    ///
    /// The lease and the lead of the leader depend on this member being there, not on what it has stored. With a receipt,
    /// they outlast a sync that takes longer than the election timeout.
    fn send_receipt(&mut self, to: MemberId, sent_ms: u64) {
        let receipt = HeartbeatReceipt { sent_ms, last_index: self.log.last_index() };
        self.send_now(to, peer::Body::Receipt(receipt));
    }

    /// Records that a member has received a heartbeat.
    pub(crate) fn on_receipt(
        &mut self,
        from: MemberId,
        disk: u64,
        term: u64,
        receipt: HeartbeatReceipt,
    ) {
        self.record_contact(from, disk, term, receipt.last_index, receipt.sent_ms);
    }

    /// Records that a member has answered a request of this leader's term; returns false if the answer doesn't count.
    fn record_contact(
        &mut self,
        from: MemberId,
        disk: u64,
        term: u64,
        last_index: u64,
        sent_ms: u64,
    ) -> bool {
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return false;
        }
        if term < self.hard_state.term
            || !self.check_disk(from, disk)
            || self.has_lost_entries(from, disk, last_index)
        {
            return false;
        }
        let Role::Leader(leader) = &mut self.role else { return false };
        let Some(progress) = leader.progress.get_mut(&from) else { return false };
        progress.acked_ms = progress.acked_ms.max(sent_ms);
        true
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
        if !self.record_contact(from, disk, term, reply.last_index, reply.sent_ms) {
            return;
        }
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&from) else { return };
        match reply.accepted {
            true => {
                progress.match_index = progress.match_index.max(reply.index);
                progress.next_index = progress.next_index.max(progress.match_index + 1);
                progress.snapshot_sent_ms = None;
            }
            // The member answered a later request without having the snapshot: it was lost.
            false if progress.snapshot_sent_ms.is_some_and(|sent| reply.sent_ms > sent) => {
                progress.snapshot_sent_ms = None;
            }
            false if progress.snapshot_sent_ms.is_some() => {}
            false => progress.next_index = (reply.index + 1).max(progress.match_index + 1),
        }
        self.advance_commit();
        self.continue_transfer();
        self.resign_if_due();
    }

    /// Commits the entries that a majority of voters has stored.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let membership = self.log.membership();
        let mut match_indexes: Vec<u64> = membership
            .voters
            .iter()
            .map(|voter| match MemberId::new(voter.id) {
                id if id == self.identity.id => self.synced_index,
                id => leader.progress.get(&id).map_or(0, |progress| progress.match_index),
            })
            .collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let index = match_indexes.get(membership.majority() - 1).copied().unwrap_or(0);
        if index > self.commit_index && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_index = index;
            self.update_watermarks();
            self.step_down_if_removed();
        }
    }

    /// Records which committed entries each member has stored.
    fn update_watermarks(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let own = (self.identity, self.synced_index);
        let watermarks = watermarks(leader, self.log.membership(), own, self.commit_index);
        self.merge_watermarks(&watermarks);
    }

    /// Steps down once a membership without this member is committed.
    fn step_down_if_removed(&mut self) {
        let removed = !self.log.membership().is_voter(self.identity.id);
        if removed && self.commit_index >= self.log.membership_index() {
            self.send_heartbeats();
            // Stepping down drops the pending proposals, so answer the committed ones first.
            self.apply_committed();
            self.become_follower(self.hard_state.term, None);
        }
    }

    pub(crate) fn on_snapshot(&mut self, from: MemberId, term: u64, request: SnapshotRequest) {
        if !self.accept_leader(from, term) {
            return self.reply_append(from, false, self.log.last_index(), request.sent_ms);
        }
        let Some(snapshot) = request.snapshot.map(Arc::new) else { return };
        let index = snapshot.index;
        if index > self.commit_index {
            self.log.install(Arc::clone(&snapshot));
            self.commit_index = index;
            self.applied_index = index;
            self.save_snapshot(Arc::clone(&snapshot));
            self.effects.push(Effect::Install(snapshot));
        }
        self.reply_append(from, true, self.commit_index, request.sent_ms);
    }

    pub(crate) fn change_members(&mut self, token: Token, membership: Membership) {
        let permitted = !self.has_change_in_flight() && self.check_members(&membership).is_ok();
        match (&self.role, permitted) {
            (Role::Leader(_), true) => {
                self.propose(token, entry::Body::Membership(membership));
                self.update_progress();
            }
            (Role::Leader(_), false) => {
                let refusal = Refusal::MembershipRefused;
                self.effects.push(Effect::Refuse { token, refusal });
            }
            _ => self.effects.push(Effect::Refuse { token, refusal: Refusal::NotLeader }),
        }
    }

    /// Checks whether `next` may follow the current membership.
    pub fn check_members(&self, next: &Membership) -> Result<(), MembershipError> {
        let current = self.log.membership();
        current.check_change(next)?;
        let matched = self.matched();
        let last = self.log.last_index();
        let lagging = next
            .voters
            .iter()
            .filter(|voter| !current.voters.contains(voter))
            .map(|voter| MemberId::new(voter.id))
            .find(|id| matched.get(id).copied().unwrap_or(0) + MAX_PROMOTION_LAG < last);
        match lagging {
            Some(id) => Err(MembershipError::NotCaughtUp(id)),
            None => Ok(()),
        }
    }

    /// Starts replication to new members and stops it to removed ones.
    fn update_progress(&mut self) {
        let next_index = self.log.last_index() + 1;
        let (own, now) = (self.identity.id, self.now);
        let members = self.log.membership().clone();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.progress.retain(|id, _| members.member(*id).is_some());
        for voter in members.voters.iter().chain(&members.learners) {
            let id = MemberId::new(voter.id);
            if id != own {
                let initial = Progress { next_index, started_ms: now, ..Progress::default() };
                leader.progress.entry(id).or_insert(initial);
            }
        }
    }
}

/// Returns the highest committed index that each member is known to have stored.
///
/// Uncommitted entries don't count, since a later leader may overwrite them. `own` is the leader with the last index that
/// it has synced: the others may have committed entries that its own disk has not stored yet, or never will.
fn watermarks(
    leader: &LeaderState,
    membership: &Membership,
    own: (Identity, u64),
    commit: u64,
) -> Vec<Watermark> {
    let (identity, synced) = own;
    let stored = |voter: &Voter| match MemberId::new(voter.id) {
        id if id == identity.id => synced.min(commit),
        id => leader.progress.get(&id).map_or(0, |progress| progress.match_index.min(commit)),
    };
    let members = membership.voters.iter().chain(&membership.learners);
    members
        .map(|voter| Watermark {
            id: voter.id,
            disk: voter.disk,
            index: stored(voter),
            silent_ms: 0,
        })
        .collect()
}
