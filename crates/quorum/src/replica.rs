//! The consensus state machine of one member.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{
    Entry, HardState, Membership, Peer, Snapshot, Watermark, entry, peer,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::disk_verification::DiskVerification;
use crate::effect::{Effect, Event, Millis, Notice, Refusal, StepDownReason, Token, WriteSeq};
use crate::log::Log;
use crate::membership::MembershipExt;
use crate::vote_restriction::VoteRestriction;

/// Maximum number of uncommitted proposals.
const MAX_PENDING_PROPOSALS: usize = 4_096;
/// Clocks may drift apart by this fraction (1/n) of the election time during a lease.
const DRIFT_DIVISOR: u64 = 10;
/// Early elections of successive voters are this fraction (1/n) of the election time apart.
const STAGGER_DIVISOR: u64 = 10;
/// Syncs in series until a candidate is elected: its own vote, and then those of the others.
const VOTE_SYNCS: u64 = 2;
/// Number of election times for which a slow sync is remembered.
const SYNC_MEMORY_ELECTIONS: u64 = 5;
/// Elections allow for syncs of up to this number of election times.
const MAX_SYNC_DELAY_ELECTIONS: u64 = 2;
/// Number of election times after which a member that is there has answered a new leader.
const ANSWER_ELECTIONS: u64 = 2;
/// Number of election times after a start during which failed elections are retried early.
const EARLY_RETRY_ELECTIONS: u64 = 3;

/// Identity of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Member id.
    pub id: MemberId,
    /// Identity of its disk.
    pub disk: u64,
}

/// Protocol timeouts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time without a leader after which an election may begin.
    pub election: Millis,
    /// Time between heartbeats.
    pub heartbeat: Millis,
}

/// Durable state, as restored at start.
#[derive(Debug, Clone, Default)]
pub struct Restored {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot; its membership contains the group id.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Role of a member, without its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    /// Replicates the leader's entries.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Appends and replicates entries.
    Leader,
}

/// Replication progress of another member, as the leader knows it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    /// Next index to send.
    pub(crate) next_index: u64,
    /// Highest index known to be stored by the member.
    pub(crate) match_index: u64,
    /// When the latest acknowledged request was sent, on the leader's clock.
    pub(crate) acked_ms: Millis,
    /// When replication to the member started, on the leader's clock.
    pub(crate) started_ms: Millis,
    /// When the latest unacknowledged snapshot was sent.
    pub(crate) snapshot_sent_ms: Option<Millis>,
}

/// Role of a member.
#[derive(Debug)]
pub(crate) enum Role {
    Follower { leader: Option<MemberId> },
    PreCandidate { granted: BTreeSet<MemberId> },
    Candidate { granted: BTreeSet<MemberId> },
    Leader(LeaderState),
}

/// State of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) elected_at: Millis,
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    pub(crate) pending_proposals: BTreeMap<u64, Token>,
    pub(crate) next_heartbeat_at: Millis,
    /// Target of a leadership transfer; while set, there is no lease and proposals are refused.
    pub(crate) successor: Option<MemberId>,
    /// When the transfer started.
    pub(crate) transfer_started_at: Option<Millis>,
    /// When a leader whose storage has failed resigns at the latest; while set, proposals are refused.
    pub(crate) resign_by: Option<Millis>,
}

/// A write that is not synced yet.
#[derive(Debug, Clone, Copy)]
struct PendingWrite {
    seq: WriteSeq,
    /// Last index of the log that is synced with it.
    last_index: u64,
    issued_at: Millis,
}

/// One member of the replicated log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) identity: Identity,
    pub(crate) timing: Timing,
    pub(crate) role: Role,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    /// Highest index that is synced on this member.
    pub(crate) synced_index: u64,
    pub(crate) last_leader_contact: Millis,
    pub(crate) vote_restriction: VoteRestriction,
    /// Time until which failed elections are retried early.
    pub(crate) early_retry_until: Millis,
    pub(crate) election_deadline: Millis,
    pub(crate) now: Millis,
    /// Time until which messages may wait that came while this member stood still.
    unread_until: Millis,
    /// Highest committed index that each member, with its disk, is known to have stored.
    pub(crate) watermarks: BTreeMap<(MemberId, u64), u64>,
    /// For how long leaders had not heard of each member, with its disk, when they were last heard themselves.
    ///
    /// Time without a leader, in which nobody could hear of a member, doesn't count.
    silences: BTreeMap<(MemberId, u64), Millis>,
    pub(crate) disk_verification: DiskVerification,
    pub(crate) effects: Vec<Effect>,
    /// Members whose disk has been reported as unknown or as lacking entries.
    reported_disks: BTreeSet<MemberId>,
    saved_hard_state: HardState,
    unsaved_entries: Vec<Entry>,
    /// Membership with which this member joins its group, until it is written.
    pub(crate) unsaved_group: Option<Membership>,
    /// Write with that membership; 0 if it was stored before the start.
    group_seq: WriteSeq,
    last_seq: WriteSeq,
    synced_seq: WriteSeq,
    awaiting_sync: VecDeque<(WriteSeq, Effect)>,
    pending_writes: VecDeque<PendingWrite>,
    /// Last write with a new term or vote.
    last_vote_seq: WriteSeq,
    /// Longest time that a recent sync has taken, and when that was.
    slow_sync: (Millis, Millis),
    rng: SmallRng,
}

impl Replica {
    /// Creates a member from its durable state; `seed` randomizes election timeouts.
    ///
    /// The first election is scheduled early, since there is no leader after a restart of all members. Members
    /// that follow a leader refuse the pre-vote.
    pub fn new(
        identity: Identity,
        timing: Timing,
        restored: Restored,
        seed: u64,
        now: Millis,
    ) -> Self {
        let start = restored.snapshot.index;
        let log = Log::new(restored.snapshot, restored.entries);
        let disk_verification = match log.last_index() {
            0 => DiskVerification::Verified,
            _ => DiskVerification::pending(now, timing.election),
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        let vote_restriction = VoteRestriction::restarted(now + timing.election, rng.random());
        let mut replica = Self {
            identity,
            timing,
            role: Role::Follower { leader: None },
            hard_state: restored.hard_state,
            saved_hard_state: restored.hard_state,
            commit_index: start,
            applied_index: start,
            synced_index: log.last_index(),
            log,
            last_leader_contact: now,
            vote_restriction,
            early_retry_until: now + EARLY_RETRY_ELECTIONS * timing.election,
            election_deadline: now,
            now,
            unread_until: now,
            watermarks: BTreeMap::new(),
            silences: BTreeMap::new(),
            disk_verification,
            effects: Vec::new(),
            reported_disks: BTreeSet::new(),
            unsaved_entries: Vec::new(),
            unsaved_group: None,
            group_seq: 0,
            last_seq: 0,
            synced_seq: 0,
            awaiting_sync: VecDeque::new(),
            pending_writes: VecDeque::new(),
            last_vote_seq: 0,
            slow_sync: (0, 0),
            rng,
        };
        replica.schedule_early_election();
        replica
    }

    /// Handles one event at time `now` and returns the effects to perform, in order.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        // Ticks are much closer together.
        if now >= self.now + self.timing.heartbeat {
            self.unread_until = now + self.timing.heartbeat;
        }
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Receive(message) => self.on_message(*message),
            Event::Propose { token, command } => {
                self.propose(token, entry::Body::Command(command.into()));
            }
            Event::Stored(seq) => self.on_stored(seq),
            Event::SnapshotTaken { index, state } => self.on_snapshot_taken(index, state),
            Event::ChangeMembers { token, membership } => self.change_members(token, membership),
            Event::Transfer => self.start_transfer(),
            Event::StorageFailed => self.prepare_resignation(),
        }
        self.flush();
        std::mem::take(&mut self.effects)
    }

    /// Returns the identity of this member.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Returns the role.
    pub fn role(&self) -> RoleName {
        match self.role {
            Role::Follower { .. } => RoleName::Follower,
            Role::PreCandidate { .. } => RoleName::PreCandidate,
            Role::Candidate { .. } => RoleName::Candidate,
            Role::Leader(_) => RoleName::Leader,
        }
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<MemberId> {
        match self.role {
            Role::Leader(_) => Some(self.identity.id),
            Role::Follower { leader } => leader,
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        }
    }

    /// Returns the membership in force.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the highest index that each other member is known to store; empty unless this member leads.
    pub fn matched(&self) -> BTreeMap<MemberId, u64> {
        match &self.role {
            Role::Leader(leader) => {
                leader.progress.iter().map(|(id, p)| (*id, p.match_index)).collect()
            }
            _ => BTreeMap::new(),
        }
    }

    /// Returns when each other member was last known to be alive; empty unless this member leads.
    ///
    /// No time is before this member's election until all members have had time to answer it.
    pub fn last_contacts(&self) -> BTreeMap<MemberId, Millis> {
        let Role::Leader(leader) = &self.role else { return BTreeMap::new() };
        let settled_at = leader.elected_at + ANSWER_ELECTIONS * self.timing.election;
        let earliest = if self.now > settled_at { 0 } else { leader.elected_at };
        let contacts = self.known_contacts();
        contacts.into_iter().map(|(id, at)| (id, at.max(earliest))).collect()
    }

    /// Returns when this leader heard of each other member; for those that have not answered it, the time is before its
    /// election by the silence that earlier leaders noticed.
    pub(crate) fn known_contacts(&self) -> BTreeMap<MemberId, Millis> {
        let Role::Leader(leader) = &self.role else { return BTreeMap::new() };
        let last_contact = |id: &MemberId, progress: &Progress| {
            let own = progress.acked_ms.max(progress.started_ms);
            match own {
                0 => leader.elected_at.saturating_sub(self.noticed_silence(*id)),
                _ => own.max(leader.elected_at),
            }
        };
        leader.progress.iter().map(|(id, p)| (*id, last_contact(id, p))).collect()
    }

    /// Returns for how long earlier leaders had not heard of a member.
    fn noticed_silence(&self, id: MemberId) -> Millis {
        let voter = self.membership().member(id);
        let silence = voter.and_then(|voter| self.silences.get(&(id, voter.disk)));
        silence.copied().unwrap_or(0)
    }

    /// Records for how long the leader has not heard of the members, in case this member leads next.
    pub(crate) fn note_silences(&mut self, marks: &[Watermark]) {
        let silences = marks.iter().map(|m| ((MemberId::new(m.id), m.disk), m.silent_ms));
        self.silences = silences.collect();
    }

    /// Forgets the silence of members that have just granted this member their vote.
    pub(crate) fn forget_silences(&mut self, granted: &BTreeSet<MemberId>) {
        self.silences.retain(|(id, _), _| !granted.contains(id));
    }

    /// Keeps what this leader knows of the silence of the members, in case it leads again.
    fn keep_silences(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        // Since then the leader may have been cut off itself.
        let heard_at = self.lease_start(leader).max(leader.elected_at);
        let known = self.known_contacts().into_iter();
        let disk = |id: MemberId| self.membership().member(id).map(|voter| voter.disk);
        let silences =
            known.filter_map(|(id, at)| Some(((id, disk(id)?), heard_at.saturating_sub(at))));
        self.silences = silences.collect();
    }

    /// Returns whether a membership change is uncommitted, or the leader has not committed an entry of its term.
    pub fn has_change_in_flight(&self) -> bool {
        self.commit_index < self.log.membership_index()
            || self.log.term_at(self.commit_index) != Some(self.hard_state.term)
    }

    /// Returns when a leader last contacted this member.
    pub fn last_leader_contact(&self) -> Millis {
        self.last_leader_contact
    }

    /// Returns whether the applied state contains every acknowledged entry, so that reads are linearizable.
    ///
    /// This holds while the member leads, has committed an entry of its own term, and a majority has
    /// acknowledged a request sent within the last election time minus the permitted clock drift.
    pub fn is_current(&self, now: Millis) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let own_term_committed = self.log.term_at(self.commit_index) == Some(self.hard_state.term);
        let lease_end = self.lease_start(leader) + self.timing.election - self.max_drift();
        // Members whose membership lacks this leader don't query it before electing another one.
        let is_voter = self.log.membership().is_voter(self.identity.id);
        let holds_leadership = own_term_committed && is_voter && leader.successor.is_none();
        holds_leadership && now < lease_end && self.applied_index == self.commit_index
    }

    /// Returns when the latest request acknowledged by a majority was sent.
    pub(crate) fn lease_start(&self, leader: &LeaderState) -> Millis {
        let mut acked: Vec<Millis> = self
            .log
            .membership()
            .voters
            .iter()
            .map(|voter| match MemberId::new(voter.id) {
                id if id == self.identity.id => self.now,
                id => leader.progress.get(&id).map_or(0, |progress| progress.acked_ms),
            })
            .collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked.get(self.log.membership().majority() - 1).copied().unwrap_or(0)
    }

    fn max_drift(&self) -> Millis {
        self.timing.election / DRIFT_DIVISOR
    }

    fn tick(&mut self) {
        self.tick_disk_verification();
        self.tick_vote_restriction();
        match &self.role {
            Role::Leader(_) => self.tick_leader(),
            _ if !self.disk_verification.is_verified()
                || self.vote_restriction.blocks_candidacy()
                || self.is_vote_unsynced() => {}
            _ if self.now >= self.election_deadline
                && !self.may_have_unread(self.election_deadline) =>
            {
                self.start_pre_vote();
            }
            _ => {}
        }
    }

    /// Returns whether messages may wait that came while this member stood still, so that the silence of others since `due`
    /// may be its own; a member that stands still again and again doesn't wait for longer than an election time.
    pub(crate) fn may_have_unread(&self, due: Millis) -> bool {
        self.now < self.unread_until && self.now < due + self.timing.election
    }

    fn on_message(&mut self, message: Peer) {
        let from = MemberId::new(message.from);
        let group = self.log.membership().group;
        if message.group != group || from == self.identity.id {
            return;
        }
        match message.body {
            Some(peer::Body::Vote(request)) => self.on_vote(from, message.term, request),
            Some(peer::Body::VoteReply(reply)) => {
                self.on_vote_reply(from, message.disk, message.term, reply);
            }
            Some(peer::Body::Append(request)) => self.on_append(from, message.term, request),
            Some(peer::Body::AppendReply(reply)) => {
                self.on_append_reply(from, message.disk, message.term, reply);
            }
            Some(peer::Body::Receipt(receipt)) => {
                self.on_receipt(from, message.disk, message.term, receipt);
            }
            Some(peer::Body::Snapshot(request)) => self.on_snapshot(from, message.term, request),
            Some(peer::Body::Inquiry(request)) => self.on_inquiry(from, message.disk, request),
            Some(peer::Body::InquiryReply(reply)) => {
                self.on_inquiry_reply(from, message.disk, reply);
            }
            Some(peer::Body::Transfer(_)) if message.term == self.hard_state.term => {
                self.start_election(true);
            }
            Some(peer::Body::Resignation(notice)) if message.term == self.hard_state.term => {
                self.on_resignation(MemberId::new(notice.successor));
            }
            _ => {}
        }
    }

    /// Appends a proposed entry as leader, or refuses the proposal.
    pub(crate) fn propose(&mut self, token: Token, body: entry::Body) {
        let index = self.log.last_index() + 1;
        let term = self.hard_state.term;
        let refusal = match &mut self.role {
            Role::Leader(leader) if leader.successor.is_some() || leader.resign_by.is_some() => {
                Some(Refusal::NotLeader)
            }
            Role::Leader(leader) if leader.pending_proposals.len() >= MAX_PENDING_PROPOSALS => {
                Some(Refusal::Busy)
            }
            Role::Leader(leader) => {
                leader.pending_proposals.insert(index, token);
                None
            }
            _ => Some(Refusal::NotLeader),
        };
        match refusal {
            Some(refusal) => self.effects.push(Effect::Refuse { token, refusal }),
            None => self.append_entry(Entry { index, term, body: Some(body) }),
        }
    }

    /// Appends an entry to the leader's own log; the next flush replicates it.
    pub(crate) fn append_entry(&mut self, entry: Entry) {
        self.append_entries(vec![entry]);
    }

    /// Appends entries to the log and to the next write.
    pub(crate) fn append_entries(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first().map(|entry| entry.index) else { return };
        self.unsaved_entries.retain(|entry| entry.index < first);
        self.unsaved_entries.extend(entries.iter().cloned());
        self.synced_index = self.synced_index.min(first - 1);
        for write in &mut self.pending_writes {
            write.last_index = write.last_index.min(first - 1);
        }
        self.log.append(entries);
    }

    fn on_stored(&mut self, seq: WriteSeq) {
        let is_vote_stored = self.is_vote_unsynced() && seq >= self.last_vote_seq;
        let delay = self.present_sync_delay();
        if delay >= self.recent_sync_delay() {
            self.slow_sync = (delay, self.now);
        }
        self.synced_seq = self.synced_seq.max(seq);
        while let Some(write) = self.pending_writes.front().copied() {
            if write.seq > seq {
                break;
            }
            self.synced_index = self.synced_index.max(write.last_index);
            self.pending_writes.pop_front();
        }
        while self.awaiting_sync.front().is_some_and(|(write, _)| *write <= seq) {
            self.effects.extend(self.awaiting_sync.pop_front().map(|(_, effect)| effect));
        }
        // The messages that ask for votes, or grant one, leave only now.
        match &self.role {
            Role::Candidate { .. } if is_vote_stored => self.schedule_election_retry(),
            Role::Follower { .. } if is_vote_stored => self.reset_election_deadline(),
            _ => {}
        }
        self.advance_commit();
    }

    fn on_snapshot_taken(&mut self, index: u64, state: Vec<u8>) {
        if let Some(snapshot) = self.log.compact(index, state) {
            self.save_snapshot(snapshot);
        }
    }

    /// Writes a snapshot together with all unsaved state.
    pub(crate) fn save_snapshot(&mut self, snapshot: std::sync::Arc<Snapshot>) {
        self.unsaved_entries.retain(|entry| entry.index > snapshot.index);
        self.issue_write(Some(snapshot));
    }

    /// Writes unsaved state, replicates new entries and applies committed ones.
    fn flush(&mut self) {
        if self.has_unsaved_state() {
            self.issue_write(None);
        }
        self.send_entries();
        self.apply_committed();
    }

    fn issue_write(&mut self, snapshot: Option<std::sync::Arc<Snapshot>>) {
        self.last_seq += 1;
        let seq = self.last_seq;
        let hard_state = (self.hard_state != self.saved_hard_state).then_some(self.hard_state);
        if hard_state.is_some() {
            self.last_vote_seq = seq;
        }
        self.saved_hard_state = self.hard_state;
        let entries = std::mem::take(&mut self.unsaved_entries);
        let joined = self.unsaved_group.take();
        if joined.is_some() {
            self.group_seq = seq;
        }
        let last_index = self.log.last_index();
        self.pending_writes.push_back(PendingWrite { seq, last_index, issued_at: self.now });
        self.effects.push(Effect::Save { seq, hard_state, entries, snapshot, joined });
    }

    /// Applies committed entries, with the tokens of their proposals.
    pub(crate) fn apply_committed(&mut self) {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else { return };
            self.applied_index = entry.index;
            let token = match &mut self.role {
                Role::Leader(leader) => leader.pending_proposals.remove(&entry.index),
                _ => None,
            };
            self.effects.push(Effect::Apply { entry, token });
        }
    }

    /// Sends a message without waiting for a sync; it must not depend on this member's unsynced state.
    pub(crate) fn send_now(&mut self, to: MemberId, body: peer::Body) {
        let message = self.envelope(body);
        self.effects.push(Effect::Send { to, message });
    }

    /// Sends a message after all changes made so far are synced.
    pub(crate) fn send_synced(&mut self, to: MemberId, body: peer::Body) {
        if self.has_unsaved_state() {
            self.issue_write(None);
        }
        let effect = Effect::Send { to, message: self.envelope(body) };
        match self.last_seq > self.synced_seq {
            true => self.awaiting_sync.push_back((self.last_seq, effect)),
            false => self.effects.push(effect),
        }
    }

    /// Returns whether any change is not synced yet.
    pub(crate) fn has_unsynced_writes(&self) -> bool {
        self.last_seq > self.synced_seq || self.has_unsaved_state()
    }

    /// Returns whether any change has not been written yet.
    fn has_unsaved_state(&self) -> bool {
        self.hard_state != self.saved_hard_state
            || !self.unsaved_entries.is_empty()
            || self.unsaved_group.is_some()
    }

    /// Returns whether the membership with which this member has joined its group is not synced yet.
    pub(crate) fn is_group_unsynced(&self) -> bool {
        self.unsaved_group.is_some() || self.group_seq > self.synced_seq
    }

    /// Returns whether this member's term or vote is being written.
    fn is_vote_unsynced(&self) -> bool {
        self.last_vote_seq > self.synced_seq
    }

    /// Returns for how long the oldest write has been waiting for its sync.
    fn present_sync_delay(&self) -> Millis {
        self.pending_writes.front().map_or(0, |write| self.now - write.issued_at)
    }

    /// Returns the longest time that a sync has taken of late.
    fn recent_sync_delay(&self) -> Millis {
        let (delay, at) = self.slow_sync;
        match self.now < at + SYNC_MEMORY_ELECTIONS * self.timing.election {
            true => delay,
            false => 0,
        }
    }

    /// Returns how much longer an election takes because of slow disks: the candidate and then its voters store a vote.
    ///
    /// The timeouts themselves leave room for syncs that take up to the stagger of the voters.
    fn election_sync_delay(&self) -> Millis {
        let election = self.timing.election;
        let delay = self.recent_sync_delay().max(self.present_sync_delay());
        let excess = delay.saturating_sub(election / STAGGER_DIVISOR);
        VOTE_SYNCS * excess.min(MAX_SYNC_DELAY_ELECTIONS * election)
    }

    fn envelope(&self, body: peer::Body) -> Box<Peer> {
        Box::new(Peer {
            from: self.identity.id.get(),
            disk: self.identity.disk,
            group: self.log.membership().group,
            term: self.hard_state.term,
            body: Some(body),
        })
    }

    /// Returns whether the sender's disk is the one in the membership.
    pub(crate) fn check_disk(&mut self, from: MemberId, disk: u64) -> bool {
        let is_member_disk =
            self.log.membership().member(from).is_some_and(|voter| voter.disk == disk);
        if !is_member_disk {
            self.report_disk(from);
        }
        is_member_disk
    }

    /// Returns whether a member has lost entries that it had acknowledged.
    pub(crate) fn has_lost_entries(&mut self, from: MemberId, disk: u64, last_index: u64) -> bool {
        let watermark = self.watermarks.get(&(from, disk));
        let has_lost = watermark.is_some_and(|index| last_index < *index);
        if has_lost {
            self.report_disk(from);
        }
        has_lost
    }

    /// Reports a refused disk, once per member.
    pub(crate) fn report_disk(&mut self, member: MemberId) {
        if self.reported_disks.insert(member) {
            self.effects.push(Effect::Report(Notice::DiskRefused { member }));
        }
    }

    /// Becomes a follower in `term`.
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<MemberId>) {
        let is_superseded = term > self.hard_state.term;
        let is_same_leader =
            matches!(self.role, Role::Follower { leader: current } if current == leader);
        self.step_down(is_superseded);
        if is_superseded {
            self.hard_state = HardState { term, vote: 0 };
        }
        self.role = Role::Follower { leader };
        match leader {
            Some(leader) if !is_same_leader => {
                self.effects.push(Effect::Report(Notice::Following { term, leader }));
            }
            _ => {}
        }
    }

    fn step_down(&mut self, is_superseded: bool) {
        let Role::Leader(leader) = &self.role else { return };
        let silent_ms = self.now - self.lease_start(leader).max(leader.elected_at);
        let reason = match is_superseded {
            true => StepDownReason::HigherTerm,
            false if silent_ms >= self.timing.election => StepDownReason::NoMajority,
            false => StepDownReason::Retired,
        };
        self.keep_silences();
        let Role::Leader(leader) = &mut self.role else { return };
        let pending = std::mem::take(&mut leader.pending_proposals);
        let term = self.hard_state.term;
        self.reset_election_deadline();
        for token in pending.into_values() {
            self.effects.push(Effect::Refuse { token, refusal: Refusal::LeadershipLost });
        }
        self.effects.push(Effect::Report(Notice::SteppedDown { term, reason, silent_ms }));
    }

    /// Schedules an early election, since there is no leader after a restart of all members.
    ///
    /// Voters are staggered to avoid split votes.
    pub(crate) fn schedule_early_election(&mut self) {
        let stagger = self.timing.election / STAGGER_DIVISOR;
        let voters = self.log.membership().voters.iter();
        let position = voters.take_while(|voter| voter.id != self.identity.id.get()).count() as u64;
        self.election_deadline = self.now
            + stagger * (position + 1)
            + self.rng.random_range(0..=stagger / 4)
            + self.election_sync_delay();
    }

    /// Schedules the next election, in case the one that starts now fails.
    pub(crate) fn schedule_election_retry(&mut self) {
        match self.now < self.early_retry_until {
            true => self.schedule_early_election(),
            false => self.reset_election_deadline(),
        }
    }

    /// Sets a new randomized election timeout.
    pub(crate) fn reset_election_deadline(&mut self) {
        let election = self.timing.election;
        self.election_deadline =
            self.now + self.rng.random_range(election..2 * election) + self.election_sync_delay();
    }
}
