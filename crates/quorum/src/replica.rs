//! The consensus state machine of one member.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{Entry, HardState, Membership, Peer, Snapshot, entry, peer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::effect::{Effect, Event, Millis, Notice, Refusal, Token, WriteSeq};
use crate::log::Log;
use crate::membership::MembershipExt;
use crate::promise::Promise;
use crate::trust::Trust;

/// Proposals that may wait for commitment at a time.
const MAX_PENDING: usize = 4_096;
/// Part of the election time by which clocks may drift apart during a lease: one tenth.
const DRIFT_DIVISOR: u64 = 10;
/// Part of the election time between the first tries of two voters: one tenth.
const TURN_DIVISOR: u64 = 10;
/// Election times after a start during which a failed election is soon tried again.
const YOUTH: u64 = 3;

/// Who the member is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Number of the member.
    pub id: MemberId,
    /// Identity of its disk.
    pub disk: u64,
}

/// Intervals of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time without a leader after which an election may begin.
    pub election: Millis,
    /// Time between heartbeats.
    pub heartbeat: Millis,
}

/// Durable state, as read back at start.
#[derive(Debug, Clone, Default)]
pub struct Restored {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot; its membership names the group.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Role of a member, without its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    /// Receives entries.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Appends entries.
    Leader,
}

/// What the leader knows of another member.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    /// Next index to send.
    pub(crate) next: u64,
    /// Highest index known to be stored there.
    pub(crate) matched: u64,
    /// When the newest answered request was sent, on the leader's clock.
    pub(crate) acked_ms: Millis,
    /// When replication to the member began, on the leader's clock.
    pub(crate) since_ms: Millis,
    /// When a snapshot was last sent, while no answer has come.
    pub(crate) snapshot_ms: Option<Millis>,
}

/// Role of a member.
#[derive(Debug)]
pub(crate) enum Role {
    Follower { leader: Option<MemberId> },
    PreCandidate { granted: BTreeSet<MemberId> },
    Candidate { granted: BTreeSet<MemberId> },
    Leader(Leadership),
}

/// Data of a leader.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) since: Millis,
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    pub(crate) pending: BTreeMap<u64, Token>,
    pub(crate) heartbeat_at: Millis,
    /// Member that is to take over; no lease and no proposals from then on.
    pub(crate) successor: Option<MemberId>,
    /// When the transfer began.
    pub(crate) transfer_at: Option<Millis>,
}

/// One member of the replicated log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) identity: Identity,
    pub(crate) timing: Timing,
    pub(crate) role: Role,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    /// Highest index that is synced here.
    pub(crate) stored: u64,
    pub(crate) contact_at: Millis,
    /// Whom the member may not vote against.
    pub(crate) promise: Promise,
    /// Time after which failed elections are no longer hastened.
    young_until: Millis,
    pub(crate) deadline: Millis,
    pub(crate) now: Millis,
    /// Committed entries that each member, with its disk, is known to have stored.
    pub(crate) watermarks: BTreeMap<(MemberId, u64), u64>,
    pub(crate) trust: Trust,
    pub(crate) effects: Vec<Effect>,
    /// Members whose disk has been reported as foreign or as lacking entries.
    reported: BTreeSet<MemberId>,
    saved: HardState,
    unsaved: Vec<Entry>,
    seq: WriteSeq,
    done: WriteSeq,
    held: VecDeque<(WriteSeq, Effect)>,
    writes: VecDeque<(WriteSeq, u64)>,
    rng: SmallRng,
}

impl Replica {
    /// Makes a member from its durable state; `seed` varies election times.
    ///
    /// The first election may begin sooner than later ones: after a restart of all, nobody leads. Members that
    /// do follow a leader refuse the pre-vote.
    pub fn new(
        identity: Identity,
        timing: Timing,
        restored: Restored,
        seed: u64,
        now: Millis,
    ) -> Self {
        let start = restored.snapshot.index;
        let log = Log::new(restored.snapshot, restored.entries);
        let trust = match log.last_index() {
            0 => Trust::Proved,
            _ => Trust::asking(now, timing.election),
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        let promise = Promise::unknown(now + timing.election, rng.random());
        let mut replica = Self {
            identity,
            timing,
            role: Role::Follower { leader: None },
            hard_state: restored.hard_state,
            saved: restored.hard_state,
            commit: start,
            applied: start,
            stored: log.last_index(),
            log,
            contact_at: now,
            promise,
            young_until: now + YOUTH * timing.election,
            deadline: now,
            now,
            watermarks: BTreeMap::new(),
            trust,
            effects: Vec::new(),
            reported: BTreeSet::new(),
            unsaved: Vec::new(),
            seq: 0,
            done: 0,
            held: VecDeque::new(),
            writes: VecDeque::new(),
            rng,
        };
        replica.hasten_election();
        replica
    }

    /// Handles one event at time `now` and returns what is to be done, in order.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Receive(message) => self.receive(*message),
            Event::Propose { token, command } => {
                self.propose(token, entry::Body::Command(command.into()));
            }
            Event::Stored(seq) => self.stored(seq),
            Event::SnapshotTaken { index, state } => self.snapshot_taken(index, state),
            Event::ChangeMembers { token, membership } => self.change_members(token, membership),
            Event::Transfer => self.begin_transfer(),
        }
        self.flush();
        std::mem::take(&mut self.effects)
    }

    /// Returns who the member is.
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

    /// Returns the leader that the member knows of.
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
        self.commit
    }

    /// Returns the index that each other member is known to hold; empty unless the member leads.
    pub fn matched(&self) -> BTreeMap<MemberId, u64> {
        match &self.role {
            Role::Leader(lead) => lead.progress.iter().map(|(id, p)| (*id, p.matched)).collect(),
            _ => BTreeMap::new(),
        }
    }

    /// Returns when each other member was last known to be there; empty unless the member leads.
    ///
    /// A new leader counts from the time at which it began to lead.
    pub fn last_contacts(&self) -> BTreeMap<MemberId, Millis> {
        match &self.role {
            Role::Leader(lead) => {
                let seen = |p: &Progress| p.acked_ms.max(lead.since).max(p.since_ms);
                lead.progress.iter().map(|(id, p)| (*id, seen(p))).collect()
            }
            _ => BTreeMap::new(),
        }
    }

    /// Returns whether a change of the membership is not committed yet, or none can be made at present.
    pub fn has_change_in_flight(&self) -> bool {
        self.commit < self.log.membership_index()
            || self.log.term_at(self.commit) != Some(self.hard_state.term)
    }

    /// Returns when the member last heard of a leader.
    pub fn last_leader_contact(&self) -> Millis {
        self.contact_at
    }

    /// Returns whether the applied state is the latest that any member has acknowledged.
    ///
    /// That holds while the member leads, has committed an entry of its own term, and a majority has
    /// answered a request sent less than the election time, less drift, ago.
    pub fn is_current(&self, now: Millis) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let own_term = self.log.term_at(self.commit) == Some(self.hard_state.term);
        let until = self.lease_start(lead) + self.timing.election - self.drift();
        // Members that hold a membership without this leader don't ask it before they elect another.
        let is_voter = self.log.membership().is_voter(self.identity.id);
        let in_charge = own_term && is_voter && lead.successor.is_none();
        in_charge && now < until && self.applied == self.commit
    }

    /// Returns when the newest request was sent that a majority has answered.
    pub(crate) fn lease_start(&self, lead: &Leadership) -> Millis {
        let mut times: Vec<Millis> = self
            .log
            .membership()
            .voters
            .iter()
            .map(|voter| match MemberId::new(voter.id) {
                id if id == self.identity.id => self.now,
                id => lead.progress.get(&id).map_or(0, |progress| progress.acked_ms),
            })
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.log.membership().majority() - 1).copied().unwrap_or(0)
    }

    fn drift(&self) -> Millis {
        self.timing.election / DRIFT_DIVISOR
    }

    fn tick(&mut self) {
        self.tick_trust();
        self.tick_promise();
        match &self.role {
            Role::Leader(_) => self.tick_leader(),
            _ if !self.trust.is_proved() || self.promise.is_unknown() => {}
            _ if self.now >= self.deadline => self.begin_pre_vote(),
            _ => {}
        }
    }

    fn receive(&mut self, message: Peer) {
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
            Some(peer::Body::Snapshot(request)) => self.on_snapshot(from, message.term, request),
            Some(peer::Body::Inquiry(request)) => self.on_inquiry(from, message.disk, request),
            Some(peer::Body::InquiryReply(reply)) => {
                self.on_inquiry_reply(from, message.disk, reply);
            }
            Some(peer::Body::Transfer(_)) if message.term == self.hard_state.term => {
                self.begin_election(true);
            }
            _ => {}
        }
    }

    /// Appends an entry as leader, or refuses the proposal.
    pub(crate) fn propose(&mut self, token: Token, body: entry::Body) {
        let index = self.log.last_index() + 1;
        let term = self.hard_state.term;
        let refusal = match &mut self.role {
            Role::Leader(lead) if lead.successor.is_some() => Some(Refusal::NotLeader),
            Role::Leader(lead) if lead.pending.len() >= MAX_PENDING => Some(Refusal::Busy),
            Role::Leader(lead) => {
                lead.pending.insert(index, token);
                None
            }
            _ => Some(Refusal::NotLeader),
        };
        match refusal {
            Some(refusal) => self.effects.push(Effect::Refuse { token, refusal }),
            None => self.append_own(Entry { index, term, body: Some(body) }),
        }
    }

    /// Adds an entry to the leader's own log; it is sent with the next flush.
    pub(crate) fn append_own(&mut self, entry: Entry) {
        self.append_entries(vec![entry]);
    }

    /// Adds entries to the log and to the next write.
    pub(crate) fn append_entries(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first().map(|entry| entry.index) else { return };
        self.unsaved.retain(|entry| entry.index < first);
        self.unsaved.extend(entries.iter().cloned());
        self.stored = self.stored.min(first - 1);
        for write in &mut self.writes {
            write.1 = write.1.min(first - 1);
        }
        self.log.append(entries);
    }

    fn stored(&mut self, seq: WriteSeq) {
        self.done = self.done.max(seq);
        while let Some((done, index)) = self.writes.front().copied() {
            if done > seq {
                break;
            }
            self.stored = self.stored.max(index);
            self.writes.pop_front();
        }
        while self.held.front().is_some_and(|(held, _)| *held <= seq) {
            self.effects.extend(self.held.pop_front().map(|(_, effect)| effect));
        }
        self.advance_commit();
    }

    fn snapshot_taken(&mut self, index: u64, state: Vec<u8>) {
        if let Some(snapshot) = self.log.compact(index, state) {
            self.save_snapshot(snapshot);
        }
    }

    /// Writes a snapshot together with whatever is not yet written.
    pub(crate) fn save_snapshot(&mut self, snapshot: std::sync::Arc<Snapshot>) {
        self.unsaved.retain(|entry| entry.index > snapshot.index);
        self.save(Some(snapshot));
    }

    /// Issues a write when anything has changed, and sends new entries.
    fn flush(&mut self) {
        if self.hard_state != self.saved || !self.unsaved.is_empty() {
            self.save(None);
        }
        self.send_entries();
        self.apply_committed();
    }

    fn save(&mut self, snapshot: Option<std::sync::Arc<Snapshot>>) {
        self.seq += 1;
        let hard_state = (self.hard_state != self.saved).then_some(self.hard_state);
        self.saved = self.hard_state;
        let entries = std::mem::take(&mut self.unsaved);
        self.writes.push_back((self.seq, self.log.last_index()));
        self.effects.push(Effect::Save { seq: self.seq, hard_state, entries, snapshot });
    }

    /// Hands out committed entries, with the proposals that they came from.
    pub(crate) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else { return };
            self.applied = entry.index;
            let token = match &mut self.role {
                Role::Leader(lead) => lead.pending.remove(&entry.index),
                _ => None,
            };
            self.effects.push(Effect::Apply { entry, token });
        }
    }

    /// Sends at once; the message asserts nothing about this member's disk.
    pub(crate) fn send_now(&mut self, to: MemberId, body: peer::Body) {
        let message = self.envelope(body);
        self.effects.push(Effect::Send { to, message });
    }

    /// Sends once everything that this member has changed so far is synced.
    pub(crate) fn send_synced(&mut self, to: MemberId, body: peer::Body) {
        if self.hard_state != self.saved || !self.unsaved.is_empty() {
            self.save(None);
        }
        let effect = Effect::Send { to, message: self.envelope(body) };
        match self.seq > self.done {
            true => self.held.push_back((self.seq, effect)),
            false => self.effects.push(effect),
        }
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

    /// Returns whether the message came from the disk that the membership names.
    pub(crate) fn check_disk(&mut self, from: MemberId, disk: u64) -> bool {
        let known = self.log.membership().member(from).is_some_and(|voter| voter.disk == disk);
        if !known {
            self.report_disk(from);
        }
        known
    }

    /// Returns whether a member holds fewer entries than it has acknowledged.
    pub(crate) fn has_forgotten(&mut self, from: MemberId, disk: u64, last_index: u64) -> bool {
        let known = self.watermarks.get(&(from, disk));
        let forgotten = known.is_some_and(|index| last_index < *index);
        if forgotten {
            self.report_disk(from);
        }
        forgotten
    }

    /// Reports a member's disk once.
    pub(crate) fn report_disk(&mut self, member: MemberId) {
        if self.reported.insert(member) {
            self.effects.push(Effect::Report(Notice::DiskRefused { member }));
        }
    }

    /// Goes to `term` as a follower.
    pub(crate) fn follow(&mut self, term: u64, leader: Option<MemberId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: 0 };
        }
        let followed = matches!(self.role, Role::Follower { leader: known } if known == leader);
        self.abandon_leadership();
        self.role = Role::Follower { leader };
        match leader {
            Some(leader) if !followed => {
                self.effects.push(Effect::Report(Notice::Following { term, leader }));
            }
            _ => {}
        }
    }

    fn abandon_leadership(&mut self) {
        let Role::Leader(lead) = &mut self.role else { return };
        let pending = std::mem::take(&mut lead.pending);
        let term = self.hard_state.term;
        self.reset_deadline();
        for token in pending.into_values() {
            self.effects.push(Effect::Refuse { token, refusal: Refusal::LeadershipLost });
        }
        self.effects.push(Effect::Report(Notice::SteppedDown { term }));
    }

    /// Lets an election begin soon: after a restart of all, nobody leads.
    ///
    /// The voters try one after the other, so that their votes don't split.
    pub(crate) fn hasten_election(&mut self) {
        let turn = self.timing.election / TURN_DIVISOR;
        let voters = self.log.membership().voters.iter();
        let before = voters.take_while(|voter| voter.id != self.identity.id.get()).count() as u64;
        self.deadline = self.now + turn * (before + 1) + self.rng.random_range(0..=turn / 4);
    }

    /// Sets the time of the next election after one that may fail.
    pub(crate) fn plan_retry(&mut self) {
        match self.now < self.young_until {
            true => self.hasten_election(),
            false => self.reset_deadline(),
        }
    }

    /// Sets the time at which the next election may begin.
    pub(crate) fn reset_deadline(&mut self) {
        let election = self.timing.election;
        self.deadline = self.now + self.rng.random_range(election..2 * election);
    }
}
