//! Actor that connects the replicated log, the catalog and the relays.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use actix::{Actor, Addr, AsyncContext, Context, Handler, ResponseFuture};
use kingcuplift_config::{CanonicalCache, Catalog, Outcome, Submission};
use kingcuplift_core::{ByteSize, Event, MemberId, NodeName, ResultCode};
use kingcuplift_quorum::{
    DiskFolder, Effect, Event as Input, Formation, Identity, InitialMembers, MembershipController,
    MembershipExt, Millis, Notice, Record, Recovery, Refusal, Replica, Restored, RoleName, Store,
    StoreError, Timing, Token,
};
use kingcuplift_schema::Message as _;
use kingcuplift_schema::quorum::{Entry, Peer, Snapshot, Voter, entry, peer};
use rand::Rng;
use tokio::sync::mpsc;

use crate::clock::monotonic_ms;
use crate::error::StartError;
use crate::link::Endpoint;
use crate::options::SourceOptions;
use crate::session::HEARTBEAT_INTERVAL;
use crate::source::links::{PeerMessage, dial_member};
use crate::source::members;
use crate::source::moves::{MOVE_CHECK_INTERVAL, MoveController};
use crate::source::observer::Observer;
use crate::source::pending::PendingResponses;
use crate::source::relays::Relays;
use crate::source::response::Response;
use crate::source::writer::{self, Job, StorageReport};
use crate::turns::{Work, measure};
use crate::upstream::UpstreamAddresses;

/// Ticks of the replica per election timeout.
const TICKS_PER_ELECTION_TIMEOUT: u32 = 20;
/// Upper bound of randomly chosen member ids; JSON represents smaller integers exactly.
const MAX_RANDOM_MEMBER_ID: u64 = 1 << 53;
/// Interval of the periodic tasks; target expiry scans all targets each time.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Heartbeats per election timeout.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 5;
/// Time for which committed entries are applied before other messages, such as heartbeats, are handled.
const APPLY_SLICE: Duration = Duration::from_millis(4);
/// A leader counts as likely lost after this number of heartbeat intervals without contact.
const SILENT_HEARTBEATS: u64 = 3;
/// Number of election timeouts without a leader after which none is expected any more.
const LEADERLESS_ELECTIONS: u64 = 3;
/// The same at the first start of a site, whose members create their files first.
const FORMING_ELECTIONS: u64 = 10;
/// Number of applied entries after which a snapshot is taken.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 10_000;
/// Size of the applied entries after which a snapshot is taken, even if they are few.
const SNAPSHOT_INTERVAL_SIZE: ByteSize = ByteSize::mib(16);

/// Lifecycle stage of a member.
#[derive(Debug)]
pub(crate) enum Stage {
    /// The data folder is empty and the member has not joined a group yet.
    Forming(Formation),
    /// The member belongs to a group.
    Member(Box<Replica>),
    /// A write has failed; the member takes no part in the group until its data folder is recovered.
    Failed(Observer),
}

impl Stage {
    /// Returns the stage of a member whose data folder contains this state.
    fn restored(
        identity: Identity,
        options: &SourceOptions,
        local_voter: &Voter,
        restored: Restored,
    ) -> Self {
        match restored.snapshot.membership {
            Some(_) => Self::Member(new_replica(identity, options, restored)),
            None => Self::Forming(Formation::new(local_voter.clone(), initial_members(options))),
        }
    }
}

/// Actor of the source role.
#[derive(Debug)]
pub(crate) struct SourceActor {
    pub(crate) options: SourceOptions,
    pub(crate) name: NodeName,
    pub(crate) identity: Identity,
    endpoint: Endpoint,
    pub(crate) stage: Stage,
    pub(crate) store: Option<Store<DiskFolder>>,
    writer: Option<Sender<Job>>,
    /// Whether writes fail; a leader goes on without storage for a moment, until it has resigned.
    has_failed_storage: bool,
    /// Queues of the senders to other members, by address.
    peer_senders: HashMap<String, mpsc::Sender<Box<Peer>>>,
    /// Upstream addresses of the relay in the same process.
    local_relay: Option<UpstreamAddresses>,
    /// This member's entry in the membership.
    pub(crate) local_voter: Voter,
    /// Proposes membership changes as leader, from the offers of other processes.
    pub(crate) membership_controller: MembershipController,
    /// Moves that the leader is carrying out.
    pub(crate) moves: MoveController,
    pub(crate) catalog: Catalog,
    /// Makes configurations that differ little from the previous one cheap to read.
    pub(crate) canonical_cache: CanonicalCache,
    pub(crate) pending_responses: PendingResponses,
    last_token: Token,
    /// Committed entries that are not applied to the catalog yet, with the tokens of their proposals.
    committed: VecDeque<(Entry, Option<Token>)>,
    own_address: Option<Addr<Self>>,
    pub(crate) relays: Relays,
    pub(crate) last_offer_ms: Millis,
    last_snapshot_index: u64,
    /// Size of the entries applied since the last snapshot, in bytes.
    applied_size: u64,
    /// Time since which no leader is known.
    leaderless_since: Option<Millis>,
}

impl SourceActor {
    /// Opens the data folder and recovers the state from it.
    pub(crate) fn open(
        options: SourceOptions,
        name: NodeName,
        endpoint: Endpoint,
    ) -> Result<Self, StartError> {
        let folder = DiskFolder::open(&options.data).map_err(|source| match source.kind() {
            std::io::ErrorKind::WouldBlock => kingcuplift_quorum::StoreError::Locked,
            _ => kingcuplift_quorum::StoreError::Io { file: ".".to_owned(), source },
        })?;
        let new_disk_id = rand::rng().random_range(1..u64::MAX);
        let (store, recovery) = match options.id {
            Some(id) => Store::open(folder, id, new_disk_id)?,
            None => {
                let random_id = MemberId::new(rand::rng().random_range(1..MAX_RANDOM_MEMBER_ID));
                Store::open_any(folder, random_id, new_disk_id)?
            }
        };
        let entries = recovery.restored.entries.len();
        Event::LogRecovered.emit(&[("entries", &entries)]);
        if recovery.truncated > 0 {
            Event::TailTruncated.emit(&[("bytes", &recovery.truncated)]);
        }
        let catalog = Catalog::decode(&recovery.restored.snapshot.state)?;
        let identity = recovery.identity;
        let local_voter = membership_entry(identity, &options);
        let stage = Stage::restored(identity, &options, &local_voter, recovery.restored);
        Ok(Self {
            options,
            name,
            identity,
            endpoint,
            stage,
            store: Some(store),
            writer: None,
            has_failed_storage: false,
            peer_senders: HashMap::new(),
            local_relay: None,
            local_voter,
            membership_controller: MembershipController::default(),
            moves: MoveController::default(),
            catalog,
            canonical_cache: CanonicalCache::default(),
            pending_responses: PendingResponses::default(),
            last_token: 0,
            committed: VecDeque::new(),
            own_address: None,
            relays: Relays::default(),
            last_offer_ms: 0,
            last_snapshot_index: 0,
            applied_size: 0,
            leaderless_since: None,
        })
    }

    pub(crate) fn step(&mut self, input: Input) {
        let was_applying = !self.has_applied_all();
        let Stage::Member(replica) = &mut self.stage else { return };
        for effect in replica.handle(input, monotonic_ms()) {
            self.perform(effect);
        }
        if !was_applying && !self.has_applied_all() {
            self.apply_committed();
        }
        self.leave_unless_leading();
    }

    /// Applies committed entries; if they take long, the rest follows after the messages that wait meanwhile.
    ///
    /// After a restart the whole log is applied at once. A leader that sends no heartbeats meanwhile would be replaced by
    /// another member, which then does the same.
    fn apply_committed(&mut self) {
        let started_at = Instant::now();
        while let Some((entry, token)) = self.committed.pop_front() {
            self.apply(entry, token);
            if started_at.elapsed() >= APPLY_SLICE {
                break;
            }
        }
        match self.own_address.clone() {
            // A message that the actor sends itself would be handled before its timers.
            Some(address) if !self.has_applied_all() => drop(actix::spawn(async move {
                tokio::task::yield_now().await;
                address.do_send(ApplyCommitted);
            })),
            _ => self.relays.fanout.wake_all(),
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Save { seq, hard_state, entries, snapshot, joined } => {
                let job = Job { seq, record: Record { hard_state, entries, joined }, snapshot };
                match &self.writer {
                    _ if self.has_failed_storage => {}
                    // A storage thread that takes no more jobs has failed, and its report is on the way.
                    Some(writer) => drop(writer.send(job)),
                    None => self.stage = Stage::Failed(Observer::of(&self.stage)),
                }
            }
            Effect::Send { to, message } => self.send(to, message),
            Effect::Apply { entry, token } => self.committed.push_back((entry, token)),
            Effect::Install(snapshot) => self.install(&snapshot),
            Effect::Refuse { token, refusal } => self.refuse(token, refusal),
            Effect::Report(notice) => self.handle_notice(notice),
        }
    }

    fn apply(&mut self, entry: Entry, token: Option<Token>) {
        let command = match entry.body {
            Some(entry::Body::Command(command)) => command,
            Some(entry::Body::Membership(_)) => return self.respond_to_membership_change(token),
            _ => return,
        };
        self.applied_size += command.len() as u64;
        let submission = match measure(Work::Apply, || Submission::decode(command.as_ref())) {
            Ok(submission) => submission,
            Err(error) => return Event::StorageFailed.emit(&[("reason", &error)]),
        };
        if let Some(token) = token {
            self.relays.departures.end_write(token);
        }
        if !submission.departures.is_empty() {
            if token.is_some() {
                let (count, bytes) = (submission.departures.len(), command.len());
                Event::DeparturesStored.emit(&[("departures", &count), ("bytes", &bytes)]);
            }
            return self.catalog.record_departures(&submission);
        }
        let outcome = measure(Work::Apply, || self.catalog.apply(&submission));
        // Only the leader has tokens. Entries of earlier terms have none; their outcomes were logged before.
        if token.is_some() {
            log_outcome(&submission, &outcome);
        }
        if let Some(token) = token {
            self.moves.end_step(token);
        }
        for sender in token.map(|token| self.pending_responses.take(token)).unwrap_or_default() {
            // The client may have disconnected; the catalog keeps the outcome for a retry.
            drop(sender.send(Response::from_outcome(outcome.clone())));
        }
    }

    /// Responds to the operator whose membership change was committed.
    fn respond_to_membership_change(&mut self, token: Option<Token>) {
        self.publish_directory();
        let waiting = token.map(|token| self.pending_responses.take(token)).unwrap_or_default();
        let Stage::Member(replica) = &self.stage else { return };
        for sender in waiting {
            drop(sender.send(Response::Document(members::list(replica))));
        }
    }

    /// Returns the current monotonic time.
    pub(crate) fn now(&self) -> Millis {
        monotonic_ms()
    }

    /// Returns a token for the next proposal.
    pub(crate) fn next_token(&mut self) -> Token {
        self.last_token += 1;
        self.last_token
    }

    /// Registers a pending response and returns its token and future.
    pub(crate) fn register_response(&mut self) -> (Token, ResponseFuture<Response>) {
        let token = self.next_token();
        (token, self.pending_responses.register(token))
    }

    fn install(&mut self, snapshot: &Snapshot) {
        match measure(Work::Snapshot, || Catalog::decode(&snapshot.state)) {
            Ok(catalog) => {
                self.catalog = catalog;
                self.applied_size = 0;
                self.committed.clear();
                Event::SnapshotInstalled.emit(&[("index", &snapshot.index)]);
            }
            Err(error) => {
                Event::StorageFailed.emit(&[("reason", &error)]);
                self.stage = Stage::Failed(Observer::of(&self.stage));
            }
        }
    }

    fn refuse(&mut self, token: Token, refusal: Refusal) {
        self.moves.end_step(token);
        self.relays.departures.end_write(token);
        let response = || match refusal {
            Refusal::NotLeader => Response::Unready("this member is not the leader; try another"),
            Refusal::Busy => Response::problem(
                ResultCode::SourceBusy,
                "too many submissions in flight; try again",
            ),
            Refusal::LeadershipLost => Response::Interrupted(
                "the leader changed; send the same operation id again to learn the outcome",
            ),
            Refusal::MembershipRefused => Response::problem(
                ResultCode::MembershipRefused,
                "another membership change is in flight; try again later",
            ),
        };
        for sender in self.pending_responses.take(token) {
            drop(sender.send(response()));
        }
    }

    fn handle_notice(&mut self, notice: Notice) {
        let member = self.identity.id;
        match notice {
            Notice::Elected { term } => {
                Event::LeaderElected.emit(&[("member", &member), ("term", &term)]);
            }
            Notice::ElectionStarted { term, silent_ms, late_ms } => {
                let fields: [(&str, &dyn std::fmt::Display); 4] = [
                    ("member", &member),
                    ("term", &term),
                    ("silent_ms", &silent_ms),
                    ("late_ms", &late_ms),
                ];
                return Event::ElectionStarted.emit(&fields);
            }
            Notice::SteppedDown { term, reason, silent_ms } => {
                let fields: [(&str, &dyn std::fmt::Display); 4] = [
                    ("member", &member),
                    ("term", &term),
                    ("reason", &reason),
                    ("silent_ms", &silent_ms),
                ];
                Event::LeaderStepped.emit(&fields);
                self.relays.disconnect_all();
                self.moves.clear();
            }
            Notice::Resigned { term, successor } => {
                let fields: [(&str, &dyn std::fmt::Display); 3] =
                    [("member", &member), ("term", &term), ("successor", &successor)];
                Event::LeaderResigned.emit(&fields);
            }
            Notice::Following { term, leader } => {
                Event::LeaderFollowed.emit(&[("leader", &leader), ("term", &term)]);
                self.relays.disconnect_all();
            }
            Notice::DiskRefused { member } => Event::DiskRefused.emit(&[("member", &member)]),
        }
        self.hint_local_relay();
    }

    pub(crate) fn send(&mut self, to: MemberId, message: Box<Peer>) {
        if let Some(address) = self.member_address(to) {
            self.send_to(&address, message);
        }
    }

    /// Sends a message to the member at an address, whatever its id.
    pub(crate) fn send_to(&mut self, address: &str, message: Box<Peer>) {
        if !self.peer_senders.contains_key(address) {
            let Ok(parsed) = address.parse::<SocketAddr>() else { return };
            let sender = dial_member(self.endpoint.clone(), parsed);
            self.peer_senders.insert(address.to_owned(), sender);
        }
        if let Some(sender) = self.peer_senders.get(address) {
            // If the queue is full, the message is dropped; the protocol retransmits what it needs.
            drop(sender.try_send(message));
        }
    }

    fn member_address(&self, id: MemberId) -> Option<String> {
        let listed = match &self.stage {
            Stage::Member(replica) => replica.membership().member(id).map(|v| v.listen.clone()),
            Stage::Failed(observer) => observer.member(id).map(|v| v.listen.clone()),
            Stage::Forming(_) => None,
        };
        let initial = || {
            let member = self.options.members.iter().find(|member| member.id == id)?;
            Some(member.listen.to_string())
        };
        listed.or_else(initial)
    }

    /// Returns whether this member is the leader, its lease is valid, so that no other member can lead, and its catalog
    /// contains all that is committed.
    pub(crate) fn is_current_leader(&self) -> bool {
        let is_current =
            matches!(&self.stage, Stage::Member(replica) if replica.is_current(monotonic_ms()));
        is_current && self.has_applied_all()
    }

    /// Returns whether all committed entries are applied to the catalog.
    pub(crate) fn has_applied_all(&self) -> bool {
        self.committed.is_empty()
    }

    /// Tells the relay in the same process which member is the leader.
    fn hint_local_relay(&self) {
        let Some(relay) = &self.local_relay else { return };
        let leader = self.leader_addresses().and_then(|(_, listen)| listen.parse().ok());
        relay.set_preferred(leader);
    }

    /// Returns the leader, as far as this member knows it.
    fn leader(&self) -> Option<&Voter> {
        match &self.stage {
            Stage::Member(replica) => replica.membership().member(replica.leader()?),
            Stage::Failed(observer) => observer.leader(),
            Stage::Forming(formation) => formation.leader(monotonic_ms()),
        }
    }

    /// Returns the leader, unless it has not been heard of for too long.
    pub(crate) fn live_leader(&self) -> Option<&Voter> {
        let longest_silence =
            SILENT_HEARTBEATS * self.election_ms() / HEARTBEATS_PER_ELECTION_TIMEOUT;
        let is_recent = |heard_ms: Millis| monotonic_ms() <= heard_ms + longest_silence;
        let is_live = match &self.stage {
            Stage::Member(replica) if replica.role() == RoleName::Leader => {
                self.is_current_leader()
            }
            Stage::Member(replica) => is_recent(replica.last_leader_contact()),
            Stage::Failed(observer) => is_recent(observer.heard_ms()),
            Stage::Forming(_) => true,
        };
        self.leader().filter(|_| is_live)
    }

    /// Returns the leader's addresses for operators (HTTP) and for relays.
    pub(crate) fn leader_addresses(&self) -> Option<(String, String)> {
        self.leader().map(|voter| (voter.http.clone(), voter.listen.clone()))
    }

    fn election_ms(&self) -> Millis {
        self.options.election_timeout.as_millis() as Millis
    }

    /// Returns an error or a redirect unless this member is the leader with a valid lease.
    pub(crate) fn reject_unless_leader(&self) -> Option<Response> {
        if self.is_current_leader() {
            return None;
        }
        let is_forming = matches!(self.stage, Stage::Forming(_));
        let elections = match is_forming && self.options.is_first_start {
            true => FORMING_ELECTIONS,
            false => LEADERLESS_ELECTIONS,
        };
        let wait_time = elections * self.election_ms();
        let is_election_due =
            self.leaderless_since.is_none_or(|at| monotonic_ms() < at + wait_time);
        let detail = match is_forming {
            true => "the member has not joined a group yet",
            false => "no leader is known at present; try again shortly",
        };
        Some(match self.live_leader() {
            Some(leader) => Response::Redirect(leader.http.clone()),
            None if is_election_due => Response::Unready(detail),
            None => Response::problem(ResultCode::NoLeader, detail),
        })
    }

    /// Notes since when no leader is known.
    fn note_leader(&mut self, now: Millis) {
        let is_known = self.is_current_leader() || self.leader_addresses().is_some();
        self.leaderless_since = match is_known {
            true => None,
            false => self.leaderless_since.or(Some(now)),
        };
    }

    fn tick(&mut self) {
        let now = monotonic_ms();
        self.note_leader(now);
        match &self.stage {
            Stage::Forming(_) => self.tick_forming(now),
            Stage::Member(_) => {
                self.step(Input::Tick);
                self.tick_membership(now);
                self.reply_freshness();
                self.store_departures();
                self.take_snapshot();
            }
            Stage::Failed(_) => {}
        }
    }

    /// Replies to pending freshness requests if the leader's lease is valid.
    pub(crate) fn reply_freshness(&mut self) {
        if self.relays.has_pending_freshness() && self.is_current_leader() {
            self.relays.reply_freshness(self.catalog.head());
        }
    }

    /// Starts the storage thread of a member that has none.
    pub(crate) fn start_writer(&mut self) {
        let (Stage::Member(_), Some(address)) = (&self.stage, &self.own_address) else { return };
        if let Some(store) = self.store.take() {
            self.writer = Some(writer::start(store, address.clone().recipient()));
        }
    }

    /// Leaves the group until the data folder is recovered; a leader lets another member take over first.
    fn suspend(&mut self, error: &StoreError) {
        Event::StorageFailed.emit(&[("reason", error)]);
        self.has_failed_storage = true;
        self.step(Input::StorageFailed);
    }

    /// Leaves the group if the storage has failed, unless this member still leads.
    ///
    /// What it can't store it must not promise to other members either: messages that depend on a write are never sent.
    fn leave_unless_leading(&mut self) {
        match &self.stage {
            Stage::Member(replica) if replica.role() != RoleName::Leader => {}
            _ => return,
        }
        if !self.has_failed_storage {
            return;
        }
        self.stage = Stage::Failed(Observer::of(&self.stage));
        self.writer = None;
        self.committed.clear();
        self.relays.disconnect_all();
        self.moves.clear();
        self.hint_local_relay();
        for sender in self.pending_responses.take_all() {
            let detail = "the member's storage has failed; try another member";
            drop(sender.send(Response::Interrupted(detail)));
        }
    }

    /// Takes part in the group again, with the state that the data folder contains, as after a restart.
    fn resume(&mut self, store: Store<DiskFolder>, recovery: Recovery) {
        let catalog = match Catalog::decode(&recovery.restored.snapshot.state) {
            Ok(catalog) => catalog,
            Err(error) => return Event::StorageFailed.emit(&[("reason", &error)]),
        };
        let (entries, bytes) = (recovery.restored.entries.len(), recovery.truncated);
        Event::StorageRecovered.emit(&[("entries", &entries), ("truncated", &bytes)]);
        self.has_failed_storage = false;
        self.catalog = catalog;
        self.last_snapshot_index = 0;
        self.applied_size = 0;
        self.store = Some(store);
        let restored = recovery.restored;
        self.stage = Stage::restored(self.identity, &self.options, &self.local_voter, restored);
    }

    fn take_snapshot(&mut self) {
        let Stage::Member(replica) = &self.stage else { return };
        let start = replica.log().snapshot().index.max(self.last_snapshot_index);
        let index = replica.commit_index();
        let is_due = index >= start + SNAPSHOT_INTERVAL_ENTRIES
            || self.applied_size >= SNAPSHOT_INTERVAL_SIZE.get();
        if !is_due || !self.has_applied_all() {
            return;
        }
        self.last_snapshot_index = index;
        self.applied_size = 0;
        let state = measure(Work::Snapshot, || self.catalog.encode());
        Event::SnapshotWritten.emit(&[("index", &index), ("bytes", &state.len())]);
        self.step(Input::SnapshotTaken { index, state });
    }
}

impl Actor for SourceActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.own_address = Some(ctx.address());
        ctx.run_interval(HOUSEKEEPING_INTERVAL, |actor, _| {
            actor.relays.expire_targets(monotonic_ms());
            actor.publish_directory();
            actor.hint_local_relay();
            actor.pin_single_versions();
        });
        ctx.run_interval(HEARTBEAT_INTERVAL, |actor, _| {
            let fresh = actor.is_current_leader();
            actor.relays.fanout.queue_heartbeats(fresh);
        });
        ctx.run_interval(MOVE_CHECK_INTERVAL, |actor, _| actor.advance_moves());
        ctx.run_interval(self.options.election_timeout / TICKS_PER_ELECTION_TIMEOUT, |actor, _| {
            actor.start_writer();
            actor.tick();
        });
    }
}

impl Handler<PeerMessage> for SourceActor {
    type Result = ();

    fn handle(&mut self, message: PeerMessage, _: &mut Self::Context) {
        let message = message.0;
        match (&mut self.stage, &message.body) {
            (Stage::Forming(formation), _) => match formation.receive(&message, monotonic_ms()) {
                Some(joining) => self.join_group(joining),
                None => self.form_group(),
            },
            (Stage::Member(_), Some(peer::Body::Offer(_))) => self.handle_offer(message),
            (Stage::Member(_), _) if self.writer.is_some() || self.has_failed_storage => {
                measure(Work::Replicate, || self.step(Input::Receive(message)));
            }
            (Stage::Failed(observer), _) => {
                observer.observe(&message, monotonic_ms());
                self.hint_local_relay();
            }
            _ => {}
        }
    }
}

/// Applies further committed entries.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
struct ApplyCommitted;

impl Handler<ApplyCommitted> for SourceActor {
    type Result = ();

    fn handle(&mut self, _: ApplyCommitted, _: &mut Self::Context) {
        self.apply_committed();
    }
}

/// Replaces the seeds after a settings reload.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct UpdateSeeds(pub(crate) Vec<SocketAddr>);

impl Handler<UpdateSeeds> for SourceActor {
    type Result = ();

    fn handle(&mut self, changed: UpdateSeeds, _: &mut Self::Context) {
        self.options.seeds = changed.0;
    }
}

/// Passes the upstream addresses of the relay in the same process, to be updated with the current leader.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct AttachLocalRelay(pub(crate) UpstreamAddresses);

impl Handler<AttachLocalRelay> for SourceActor {
    type Result = ();

    fn handle(&mut self, relay: AttachLocalRelay, _: &mut Self::Context) {
        self.local_relay = Some(relay.0);
        self.hint_local_relay();
    }
}

impl Handler<StorageReport> for SourceActor {
    type Result = ();

    fn handle(&mut self, report: StorageReport, _: &mut Self::Context) {
        match report {
            StorageReport::Written(seq) => self.step(Input::Stored(seq)),
            StorageReport::Failed(error) => self.suspend(&error),
            StorageReport::Recovered(recovered) => {
                let (store, recovery) = *recovered;
                // A leader that still waits for entries in flight resigns now.
                self.step(Input::StorageFailed);
                self.resume(store, recovery);
                self.start_writer();
            }
        }
    }
}

/// Creates this member's entry in the membership.
fn membership_entry(identity: Identity, options: &SourceOptions) -> Voter {
    Voter {
        id: identity.id.get(),
        disk: identity.disk,
        listen: options.advertise.to_string(),
        http: options.http.to_string(),
        relay: options.relay.map(|relay| relay.to_string()).unwrap_or_default(),
        zone: options.zone.to_string(),
    }
}

/// Returns the members or seeds that form the group.
fn initial_members(options: &SourceOptions) -> InitialMembers {
    match (options.id, options.is_first_start) {
        (Some(_), _) => {
            InitialMembers::Ids(options.members.iter().map(|member| member.id).collect())
        }
        (None, true) => {
            InitialMembers::Seeds(options.seeds.iter().map(ToString::to_string).collect())
        }
        (None, false) => InitialMembers::None,
    }
}

fn new_replica(identity: Identity, options: &SourceOptions, restored: Restored) -> Box<Replica> {
    let seed = rand::rng().random();
    Box::new(Replica::new(identity, timing(options), restored, seed, monotonic_ms()))
}

/// Returns the protocol timeouts of a member.
pub(crate) fn timing(options: &SourceOptions) -> Timing {
    let election = options.election_timeout.as_millis() as u64;
    Timing { election, heartbeat: election / HEARTBEATS_PER_ELECTION_TIMEOUT }
}

fn log_outcome(submission: &Submission, outcome: &Outcome) {
    match outcome {
        Outcome::Accepted(version) => {
            Event::VersionAccepted
                .emit(&[("version", version), ("operation", &submission.operation)]);
        }
        Outcome::Refused { code, .. } => {
            Event::SubmissionRefused.emit(&[("code", code), ("operation", &submission.operation)]);
        }
    }
}
