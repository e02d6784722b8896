//! Connects the replicated log, the catalog and the relays.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, ResponseFuture};
use kingcuplift_config::{Catalog, Outcome, Submission};
use kingcuplift_core::{Event, MemberId, NodeName, ResultCode};
use kingcuplift_quorum::{
    DiskFolder, Effect, Event as Input, Formation, Identity, InitialMembers, MembershipController,
    MembershipExt, Millis, Notice, Record, Refusal, Replica, Restored, RoleName, Store, Timing,
    Token,
};
use kingcuplift_schema::Message as _;
use kingcuplift_schema::quorum::{Entry, Peer, Snapshot, Voter, entry, peer};
use rand::Rng;
use tokio::sync::{mpsc, oneshot};

use crate::clock::monotonic_ms;
use crate::error::StartError;
use crate::link::Endpoint;
use crate::options::SourceOptions;
use crate::session::BEAT_INTERVAL;
use crate::source::answer::Answer;
use crate::source::links::{FromPeer, dial_member};
use crate::source::members;
use crate::source::moves::{MOVE_INTERVAL, MoveControl};
use crate::source::relays::Relays;
use crate::source::writer::{self, Job, Written};
use crate::upstream::Addresses;

/// Ticks of the state machine within one election time.
const TICKS: u32 = 20;
/// Numbers that members draw for themselves lie below this; JSON holds them exactly.
const MAX_MEMBER: u64 = 1 << 53;
/// Time between looks for targets that are gone; each look passes over all targets.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Heartbeats within one election time.
const HEARTBEATS: u64 = 5;
/// Applied entries after which a snapshot is written.
const SNAPSHOT_ENTRIES: u64 = 10_000;

/// How far the member has come.
#[derive(Debug)]
pub(crate) enum Stage {
    /// The disk is empty and no group is known.
    Forming(Formation),
    /// The member belongs to a group.
    Member(Box<Replica>),
    /// The data folder has failed; the member takes no part any more.
    Failed,
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
    /// Senders by address.
    dialed: HashMap<String, mpsc::Sender<Box<Peer>>>,
    /// Addresses that the relay in the same process connects to.
    own_relay: Option<Addresses>,
    /// This member as others know it.
    pub(crate) own: Voter,
    /// Processes that have offered themselves.
    pub(crate) placement: MembershipController,
    /// Moves that the leader carries out.
    pub(crate) moves: MoveControl,
    pub(crate) catalog: Catalog,
    answers: HashMap<Token, oneshot::Sender<Answer>>,
    token: Token,
    pub(crate) relays: Relays,
    pub(crate) offered_at: Millis,
    snapshot_at: u64,
}

impl SourceActor {
    /// Opens the durable state.
    pub(crate) fn open(
        options: SourceOptions,
        name: NodeName,
        endpoint: Endpoint,
    ) -> Result<Self, StartError> {
        let folder = DiskFolder::open(&options.data).map_err(|source| match source.kind() {
            std::io::ErrorKind::WouldBlock => kingcuplift_quorum::StoreError::Locked,
            _ => kingcuplift_quorum::StoreError::Io { file: ".".to_owned(), source },
        })?;
        let fresh = rand::rng().random_range(1..u64::MAX);
        let (store, recovery) = match options.id {
            Some(id) => Store::open(folder, id, fresh)?,
            None => {
                let drawn = MemberId::new(rand::rng().random_range(1..MAX_MEMBER));
                Store::open_any(folder, drawn, fresh)?
            }
        };
        let entries = recovery.restored.entries.len();
        Event::LogRecovered.emit(&[("entries", &entries)]);
        if recovery.truncated > 0 {
            Event::TailTruncated.emit(&[("bytes", &recovery.truncated)]);
        }
        let catalog = Catalog::decode(&recovery.restored.snapshot.state)?;
        let identity = recovery.identity;
        let own = own_entry(identity, &options);
        let stage = match recovery.restored.snapshot.membership {
            Some(_) => Stage::Member(new_replica(identity, &options, recovery.restored)),
            None => Stage::Forming(Formation::new(own.clone(), founders(&options))),
        };
        Ok(Self {
            options,
            name,
            identity,
            endpoint,
            stage,
            store: Some(store),
            writer: None,
            dialed: HashMap::new(),
            own_relay: None,
            own,
            placement: MembershipController::default(),
            moves: MoveControl::default(),
            catalog,
            answers: HashMap::new(),
            token: 0,
            relays: Relays::default(),
            offered_at: 0,
            snapshot_at: 0,
        })
    }

    pub(crate) fn step(&mut self, input: Input) {
        let Stage::Member(replica) = &mut self.stage else { return };
        for effect in replica.handle(input, monotonic_ms()) {
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Save { seq, hard_state, entries, snapshot } => {
                let job = Job { seq, record: Record { hard_state, entries }, snapshot };
                if self.writer.as_ref().is_none_or(|writer| writer.send(job).is_err()) {
                    self.stage = Stage::Failed;
                }
            }
            Effect::Send { to, message } => self.send(to, message),
            Effect::Apply { entry, token } => self.apply(entry, token),
            Effect::Install(snapshot) => self.install(&snapshot),
            Effect::Refuse { token, refusal } => self.refuse(token, refusal),
            Effect::Report(notice) => self.report(notice),
        }
    }

    fn apply(&mut self, entry: Entry, token: Option<Token>) {
        let command = match entry.body {
            Some(entry::Body::Command(command)) => command,
            Some(entry::Body::Membership(_)) => return self.answer_change(token),
            _ => return,
        };
        let submission = match Submission::decode(command.as_ref()) {
            Ok(submission) => submission,
            Err(error) => return Event::StorageFailed.emit(&[("reason", &error)]),
        };
        let outcome = self.catalog.apply(&submission);
        let is_leader = matches!(&self.stage, Stage::Member(r) if r.role() == RoleName::Leader);
        if is_leader {
            log_outcome(&submission, &outcome);
            self.relays.fanout.wake_all();
        }
        let waiting = token.and_then(|token| self.answers.remove(&token));
        if let Some(answer) = waiting {
            // The operator may have gone; the outcome stays known for a resend.
            drop(answer.send(Answer::outcome(outcome)));
        }
    }

    /// Answers the operator whose membership change is committed.
    fn answer_change(&mut self, token: Option<Token>) {
        self.publish_places();
        let waiting = token.and_then(|token| self.answers.remove(&token));
        let (Some(answer), Stage::Member(replica)) = (waiting, &self.stage) else { return };
        drop(answer.send(Answer::Document(members::list(replica))));
    }

    /// Returns the time on the member's clock.
    pub(crate) fn now(&self) -> Millis {
        monotonic_ms()
    }

    /// Returns the number of the next proposal.
    pub(crate) fn next_token(&mut self) -> Token {
        self.token += 1;
        self.token
    }

    /// Keeps the place for an answer and returns its token and the future answer.
    pub(crate) fn expect_answer(&mut self) -> (Token, ResponseFuture<Answer>) {
        self.next_token();
        let (sender, receiver) = oneshot::channel();
        self.answers.insert(self.token, sender);
        let answer = Box::pin(async move {
            receiver.await.unwrap_or_else(|_| {
                let detail = "the member stopped; send the same request again";
                Answer::problem(ResultCode::LeadershipLost, detail)
            })
        });
        (self.token, answer)
    }

    fn install(&mut self, snapshot: &Snapshot) {
        match Catalog::decode(&snapshot.state) {
            Ok(catalog) => {
                self.catalog = catalog;
                Event::SnapshotInstalled.emit(&[("index", &snapshot.index)]);
            }
            Err(error) => {
                Event::StorageFailed.emit(&[("reason", &error)]);
                self.stage = Stage::Failed;
            }
        }
    }

    fn refuse(&mut self, token: Token, refusal: Refusal) {
        let Some(answer) = self.answers.remove(&token) else { return };
        let (code, detail) = match refusal {
            Refusal::NotLeader => {
                (ResultCode::NoLeader, "this member is not the leader; try another")
            }
            Refusal::Busy => (ResultCode::SourceBusy, "too many submissions in flight; try again"),
            Refusal::LeadershipLost => (
                ResultCode::LeadershipLost,
                "the leader changed; send the same operation id again to learn the outcome",
            ),
            Refusal::MembershipRefused => {
                (ResultCode::MembershipRefused, "another change is in flight; try again later")
            }
        };
        drop(answer.send(Answer::problem(code, detail)));
    }

    fn report(&mut self, notice: Notice) {
        let member = self.identity.id;
        match notice {
            Notice::Elected { term } => {
                Event::LeaderElected.emit(&[("member", &member), ("term", &term)]);
            }
            Notice::SteppedDown { term } => {
                Event::LeaderStepped.emit(&[("member", &member), ("term", &term)]);
                self.relays.drop_all();
                self.moves.forget();
            }
            Notice::Following { term, leader } => {
                Event::LeaderFollowed.emit(&[("leader", &leader), ("term", &term)]);
                self.relays.drop_all();
            }
            Notice::DiskRefused { member } => Event::DiskRefused.emit(&[("member", &member)]),
        }
        self.hint_relay();
    }

    pub(crate) fn send(&mut self, to: MemberId, message: Box<Peer>) {
        if let Some(address) = self.member_address(to) {
            self.send_to(&address, message);
        }
    }

    /// Sends a message to whichever member is at an address.
    pub(crate) fn send_to(&mut self, address: &str, message: Box<Peer>) {
        if !self.dialed.contains_key(address) {
            let Ok(parsed) = address.parse::<SocketAddr>() else { return };
            let sender = dial_member(self.endpoint.clone(), parsed);
            self.dialed.insert(address.to_owned(), sender);
        }
        if let Some(sender) = self.dialed.get(address) {
            // A full queue drops the message; the protocol repeats what matters.
            drop(sender.try_send(message));
        }
    }

    fn member_address(&self, id: MemberId) -> Option<String> {
        let listed = match &self.stage {
            Stage::Member(replica) => replica.membership().member(id).map(|v| v.listen.clone()),
            Stage::Forming(_) | Stage::Failed => None,
        };
        let initial = || {
            let member = self.options.members.iter().find(|member| member.id == id)?;
            Some(member.listen.to_string())
        };
        listed.or_else(initial)
    }

    /// Returns whether this member leads and no other can have led since.
    pub(crate) fn is_current(&self) -> bool {
        matches!(&self.stage, Stage::Member(replica) if replica.is_current(monotonic_ms()))
    }

    /// Tells the relay in the same process which member leads.
    fn hint_relay(&self) {
        let Some(relay) = &self.own_relay else { return };
        let leader = self.leader_addresses().and_then(|(_, listen)| listen.parse().ok());
        relay.hint(leader);
    }

    /// Returns the leader's operators' interface and its address for relays.
    pub(crate) fn leader_addresses(&self) -> Option<(String, String)> {
        let Stage::Member(replica) = &self.stage else {
            return None;
        };
        let leader = replica.leader()?;
        let voter = replica.membership().member(leader)?;
        Some((voter.http.clone(), voter.listen.clone()))
    }

    /// Returns an answer when this member can't act as a current leader.
    pub(crate) fn not_leading(&self) -> Option<Answer> {
        let Stage::Member(replica) = &self.stage else {
            let detail = "the member has no group yet or its data folder has failed";
            return Some(Answer::problem(ResultCode::NoLeader, detail));
        };
        match (replica.role(), self.leader_addresses()) {
            (RoleName::Leader, _) if replica.is_current(monotonic_ms()) => None,
            (RoleName::Leader, _) | (_, None) => {
                let detail = "no leader is known at present; try again shortly";
                Some(Answer::problem(ResultCode::NoLeader, detail))
            }
            (_, Some((http, _))) => Some(Answer::Redirect(http)),
        }
    }

    fn tick(&mut self) {
        let now = monotonic_ms();
        match &self.stage {
            Stage::Forming(_) => self.tick_forming(now),
            Stage::Member(_) => {
                self.step(Input::Tick);
                self.tick_placement(now);
                self.answer_freshness();
                self.take_snapshot();
            }
            Stage::Failed => {}
        }
    }

    /// Answers questions about freshness once the member is proved to be current.
    pub(crate) fn answer_freshness(&mut self) {
        let Stage::Member(replica) = &self.stage else { return };
        if self.relays.is_asked() && replica.is_current(monotonic_ms()) {
            self.relays.answer_freshness(self.catalog.head());
        }
    }

    fn take_snapshot(&mut self) {
        let Stage::Member(replica) = &self.stage else { return };
        let start = replica.log().snapshot().index.max(self.snapshot_at);
        let index = replica.commit_index();
        if index < start + SNAPSHOT_ENTRIES {
            return;
        }
        self.snapshot_at = index;
        let state = self.catalog.encode();
        Event::SnapshotWritten.emit(&[("index", &index), ("bytes", &state.len())]);
        self.step(Input::SnapshotTaken { index, state });
    }
}

impl Actor for SourceActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(EXPIRY_INTERVAL, |actor, _| {
            actor.relays.expire_targets(monotonic_ms());
            actor.publish_places();
            actor.hint_relay();
            actor.hold_versions();
        });
        ctx.run_interval(BEAT_INTERVAL, |actor, _| {
            let fresh = actor.is_current();
            actor.relays.fanout.beat_all(fresh);
        });
        ctx.run_interval(MOVE_INTERVAL, |actor, _| actor.tick_moves());
        ctx.run_interval(self.options.election / TICKS, |actor, ctx| {
            let is_member = matches!(actor.stage, Stage::Member(_));
            match (actor.store.take(), is_member) {
                (Some(store), true) => {
                    actor.writer = Some(writer::start(store, ctx.address().recipient()));
                }
                (store, _) => actor.store = store,
            }
            actor.tick();
        });
    }
}

impl Handler<FromPeer> for SourceActor {
    type Result = ();

    fn handle(&mut self, message: FromPeer, _: &mut Self::Context) {
        let message = message.0;
        match (&mut self.stage, &message.body) {
            (Stage::Forming(formation), _) => {
                if let Some(membership) = formation.receive(&message, monotonic_ms()) {
                    self.join_group(membership);
                }
            }
            (Stage::Member(_), Some(peer::Body::Offer(_))) => self.take_offer(message),
            (Stage::Member(_), _) if self.writer.is_some() => self.step(Input::Receive(message)),
            _ => {}
        }
    }
}

/// Takes over the seeds of changed settings.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct UpdateSeeds(pub(crate) Vec<SocketAddr>);

impl Handler<UpdateSeeds> for SourceActor {
    type Result = ();

    fn handle(&mut self, changed: UpdateSeeds, _: &mut Self::Context) {
        self.options.seeds = changed.0;
    }
}

/// Names the addresses that the relay in the same process connects to.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct AttachLocalRelay(pub(crate) Addresses);

impl Handler<AttachLocalRelay> for SourceActor {
    type Result = ();

    fn handle(&mut self, relay: AttachLocalRelay, _: &mut Self::Context) {
        self.own_relay = Some(relay.0);
        self.hint_relay();
    }
}

impl Handler<Written> for SourceActor {
    type Result = ();

    fn handle(&mut self, written: Written, _: &mut Self::Context) {
        match written.0 {
            Ok(seq) => self.step(Input::Stored(seq)),
            Err(error) => {
                Event::StorageFailed.emit(&[("reason", &error)]);
                self.stage = Stage::Failed;
                self.relays.drop_all();
                for (_, answer) in self.answers.drain() {
                    let detail = "the member's data folder has failed; ask another member";
                    drop(answer.send(Answer::problem(ResultCode::LeadershipLost, detail)));
                }
            }
        }
    }
}

/// Returns this member as others know it.
fn own_entry(identity: Identity, options: &SourceOptions) -> Voter {
    Voter {
        id: identity.id.get(),
        disk: identity.disk,
        listen: options.advertise.to_string(),
        http: options.http.to_string(),
        relay: options.relay.map(|relay| relay.to_string()).unwrap_or_default(),
        zone: options.zone.to_string(),
    }
}

/// Returns who forms the group.
fn founders(options: &SourceOptions) -> InitialMembers {
    match (options.id, options.is_first) {
        (Some(_), _) => {
            InitialMembers::Ids(options.members.iter().map(|member| member.id).collect())
        }
        (None, true) => {
            InitialMembers::Seeds(options.seeds.iter().map(ToString::to_string).collect())
        }
        (None, false) => InitialMembers::None,
    }
}

pub(crate) fn new_replica(
    identity: Identity,
    options: &SourceOptions,
    restored: Restored,
) -> Box<Replica> {
    let election = options.election.as_millis() as u64;
    let timing = Timing { election, heartbeat: election / HEARTBEATS };
    let seed = rand::rng().random();
    Box::new(Replica::new(identity, timing, restored, seed, monotonic_ms()))
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
