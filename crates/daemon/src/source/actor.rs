//! Connects the replicated log, the catalog and the relays.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, Message, ResponseFuture};
use kingcuplift_config::{Catalog, Outcome, Patch, Submission};
use kingcuplift_core::{Event, MemberId, NodeName, ResultCode};
use kingcuplift_quorum::{
    DiskFolder, Effect, Event as Input, Formation, Identity, Members, Millis, Notice, Record,
    Refusal, Replica, Restored, RoleName, Store, Timing, Token,
};
use kingcuplift_schema::Message as _;
use kingcuplift_schema::control::{Downward, FreshnessReply, Redirect, TargetUpdate, upward};
use kingcuplift_schema::quorum::{Entry, Membership, Peer, Snapshot, entry, peer};
use kingcuplift_traffic::{Roster, TargetKey};
use rand::Rng;
use tokio::sync::{mpsc, oneshot};

use crate::clock::{monotonic_ms, wall_ms};
use crate::error::StartError;
use crate::fanout::{Fanout, SessionId};
use crate::link::Endpoint;
use crate::options::SourceOptions;
use crate::session::{FromBelow, Join, Joined, Leave, Pull};
use crate::source::answer::Answer;
use crate::source::links::{FromPeer, dial_member};
use crate::source::members::{self, MemberChange};
use crate::source::query::{Question, View};
use crate::source::tracker::Tracker;
use crate::source::writer::{self, Job, Written};

/// Time between ticks of the state machine.
const TICK: Duration = Duration::from_millis(20);
/// Heartbeats within one election time.
const HEARTBEATS: u64 = 5;
/// Applied entries after which a snapshot is written.
const SNAPSHOT_ENTRIES: u64 = 10_000;
/// Time after which a relay asks again when no leader is known, in milliseconds.
const REDIRECT_RETRY: u64 = 200;
/// Time for which a relay may be away before its targets count as gone, in milliseconds.
const RELAY_GRACE: u64 = 30_000;
/// Time between offers to form a group, in milliseconds.
const OFFER_INTERVAL: Millis = 200;

/// Asks for a patch to become a version.
#[derive(Debug, Message)]
#[rtype(result = "Answer")]
pub(crate) struct Submit(pub(crate) Submission);

/// Asks a question; only a leader that is proved to be current answers.
#[derive(Debug, Message)]
#[rtype(result = "Answer")]
pub(crate) struct Ask(pub(crate) Question);

/// Asks for the member's own state.
#[derive(Debug, Message)]
#[rtype(result = "MemberHealth")]
pub(crate) struct AskHealth;

/// Asks for a change of the membership.
#[derive(Debug, Message)]
#[rtype(result = "Answer")]
pub(crate) struct Change(pub(crate) MemberChange);

/// Asks for the members as the leader sees them.
#[derive(Debug, Message)]
#[rtype(result = "Answer")]
pub(crate) struct AskMembers;

/// Asks for the whole state, to be kept elsewhere.
#[derive(Debug, Message)]
#[rtype(result = "Result<Vec<u8>, Answer>")]
pub(crate) struct AskBackup;

/// Asks the member to hand over leadership.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct HandOver;

/// State of a member, for health checks.
#[derive(Debug, Clone, actix::MessageResponse)]
pub(crate) struct MemberHealth {
    pub(crate) role: &'static str,
    pub(crate) term: u64,
    pub(crate) head: u64,
    pub(crate) leader: Option<u64>,
    pub(crate) relays: usize,
    pub(crate) disk: u64,
    pub(crate) healthy: bool,
}

/// How far the member has come.
#[derive(Debug)]
enum Stage {
    /// The disk is empty and no group is known.
    Forming(Formation),
    /// The member belongs to a group.
    Member(Box<Replica>),
    /// The data folder has failed; the member takes no part any more.
    Failed,
}

/// A freshness request that waits for a lease.
#[derive(Debug, Clone, Copy)]
struct Pending {
    session: SessionId,
    request: u64,
}

/// Actor of the source role.
#[derive(Debug)]
pub(crate) struct SourceActor {
    options: SourceOptions,
    name: NodeName,
    identity: Identity,
    endpoint: Endpoint,
    stage: Stage,
    store: Option<Store<DiskFolder>>,
    writer: Option<Sender<Job>>,
    dialed: HashMap<MemberId, (String, mpsc::Sender<Box<Peer>>)>,
    catalog: Catalog,
    answers: HashMap<Token, oneshot::Sender<Answer>>,
    token: Token,
    fanout: Fanout,
    tracker: Tracker,
    targets: Roster,
    /// Names of the relays that have been connected to this leader.
    relays: BTreeSet<NodeName>,
    freshness: Vec<Pending>,
    offered_at: Millis,
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
        let (store, recovery) = Store::open(folder, options.id, fresh)?;
        let entries = recovery.restored.entries.len();
        Event::LogRecovered.emit(&[("entries", &entries)]);
        if recovery.truncated > 0 {
            Event::TailTruncated.emit(&[("bytes", &recovery.truncated)]);
        }
        let catalog = Catalog::decode(&recovery.restored.snapshot.state)?;
        let identity = recovery.identity;
        let stage = match recovery.restored.snapshot.membership {
            Some(_) => Stage::Member(new_replica(identity, &options, recovery.restored)),
            None => {
                let initial = options.members.iter().map(|member| member.id).collect();
                let (listen, http) = (options.listen.to_string(), options.http.to_string());
                Stage::Forming(Formation::new(identity, &listen, &http, initial))
            }
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
            catalog,
            answers: HashMap::new(),
            token: 0,
            fanout: Fanout::default(),
            tracker: Tracker::default(),
            targets: Roster::new(RELAY_GRACE),
            relays: BTreeSet::new(),
            freshness: Vec::new(),
            offered_at: 0,
            snapshot_at: 0,
        })
    }

    fn step(&mut self, input: Input) {
        let Stage::Member(replica) = &mut self.stage else { return };
        for effect in replica.handle(input, monotonic_ms()) {
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Save { ticket, hard, entries, snapshot } => {
                let job = Job { ticket, record: Record { hard, entries }, snapshot };
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
        let Ok(submission) = Submission::decode(command.as_ref()) else { return };
        let outcome = self.catalog.apply(&submission);
        let is_leader = matches!(&self.stage, Stage::Member(r) if r.role() == RoleName::Leader);
        if is_leader {
            log_outcome(&submission, &outcome);
            self.fanout.wake_all();
        }
        let waiting = token.and_then(|token| self.answers.remove(&token));
        if let Some(answer) = waiting {
            // The operator may have gone; the outcome stays known for a resend.
            drop(answer.send(Answer::outcome(outcome)));
        }
    }

    /// Answers the operator whose membership change is committed.
    fn answer_change(&mut self, token: Option<Token>) {
        let waiting = token.and_then(|token| self.answers.remove(&token));
        let (Some(answer), Stage::Member(replica)) = (waiting, &self.stage) else { return };
        drop(answer.send(Answer::Document(members::list(replica))));
    }

    /// Keeps the place for an answer and returns its token and the future answer.
    fn expect_answer(&mut self) -> (Token, ResponseFuture<Answer>) {
        self.token += 1;
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
                self.drop_relays();
            }
            Notice::Following { term, leader } => {
                Event::LeaderFollowed.emit(&[("leader", &leader), ("term", &term)]);
                self.drop_relays();
            }
            Notice::DiskRefused { member } => Event::DiskRefused.emit(&[("member", &member)]),
        }
    }

    /// Ends the sessions of all relays; they go to the new leader.
    fn drop_relays(&mut self) {
        self.fanout.clear();
        self.tracker.clear();
        self.freshness.clear();
        self.targets = Roster::new(RELAY_GRACE);
        self.relays.clear();
    }

    fn send(&mut self, to: MemberId, message: Box<Peer>) {
        let Some(address) = self.member_address(to) else { return };
        let endpoint = &self.endpoint;
        let known = self.dialed.get(&to).is_some_and(|(held, _)| *held == address);
        if !known {
            let Ok(parsed) = address.parse::<SocketAddr>() else { return };
            let sender = dial_member(endpoint.clone(), parsed);
            self.dialed.insert(to, (address, sender));
        }
        if let Some((_, sender)) = self.dialed.get(&to) {
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

    /// Returns the leader's operators' interface and its address for relays.
    fn leader_addresses(&self) -> Option<(String, String)> {
        let Stage::Member(replica) = &self.stage else {
            return None;
        };
        let leader = replica.leader()?;
        let voter = replica.membership().member(leader)?;
        Some((voter.http.clone(), voter.listen.clone()))
    }

    /// Returns an answer when this member can't act as a current leader.
    fn not_leading(&self) -> Option<Answer> {
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
                self.answer_freshness(now);
                self.take_snapshot();
            }
            Stage::Failed => {}
        }
        self.expire_targets(now);
    }

    fn tick_forming(&mut self, now: Millis) {
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
    fn join_group(&mut self, membership: Membership) {
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
    fn answer_offer(&mut self, message: &Peer) {
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

    fn answer_freshness(&mut self, now: Millis) {
        let Stage::Member(replica) = &self.stage else { return };
        if self.freshness.is_empty() || !replica.is_current(now) {
            return;
        }
        let head = self.catalog.head().get();
        for pending in std::mem::take(&mut self.freshness) {
            let reply = FreshnessReply { request: pending.request, head };
            self.fanout.reply(pending.session, reply);
        }
    }

    fn take_snapshot(&mut self) {
        let Stage::Member(replica) = &self.stage else { return };
        let start = replica.log().snapshot().index.max(self.snapshot_at);
        let index = replica.commit();
        if index < start + SNAPSHOT_ENTRIES {
            return;
        }
        self.snapshot_at = index;
        let state = self.catalog.encode();
        Event::SnapshotWritten.emit(&[("index", &index), ("bytes", &state.len())]);
        self.step(Input::SnapshotTaken { index, state });
    }

    fn merge_targets(&mut self, session: SessionId, update: TargetUpdate) {
        let now = monotonic_ms();
        let before = self.targets.table().position();
        for target in update.targets {
            self.targets.announce(session, target, now);
        }
        if self.targets.table().position() != before {
            self.fanout.wake_all();
        }
    }

    /// Declares targets gone whose relay has been away for too long.
    ///
    /// While most of the relays are away, the fault is more likely on this side, and nobody expires.
    fn expire_targets(&mut self, now: Millis) {
        if self.fanout.len() * 2 < self.relays.len() {
            self.targets.hold(now);
        }
        let gone = self.targets.expire(now);
        for target in &gone {
            Event::TargetExpired.emit(&[("target", &TargetKey::of(target))]);
        }
        if !gone.is_empty() {
            self.fanout.wake_all();
        }
    }
}

impl Actor for SourceActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK, |actor, ctx| {
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
            (Stage::Member(_), Some(peer::Body::Offer(_))) => self.answer_offer(&message),
            (Stage::Member(_), _) if self.writer.is_some() => self.step(Input::Receive(message)),
            _ => {}
        }
    }
}

impl Handler<Written> for SourceActor {
    type Result = ();

    fn handle(&mut self, written: Written, _: &mut Self::Context) {
        match written.0 {
            Ok(ticket) => self.step(Input::Stored(ticket)),
            Err(error) => {
                Event::StorageFailed.emit(&[("reason", &error)]);
                self.stage = Stage::Failed;
                self.drop_relays();
                for (_, answer) in self.answers.drain() {
                    let detail = "the member's data folder has failed; ask another member";
                    drop(answer.send(Answer::problem(ResultCode::LeadershipLost, detail)));
                }
            }
        }
    }
}

impl Handler<Submit> for SourceActor {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, message: Submit, _: &mut Self::Context) -> Self::Result {
        if let Some(answer) = self.not_leading() {
            return Box::pin(async move { answer });
        }
        let mut submission = message.0;
        submission.at_ms = wall_ms();
        if let Some(outcome) = self.catalog.remembered(&submission) {
            return Box::pin(async move { Answer::outcome(outcome) });
        }
        if let Err(faults) = Patch::parse(&submission.patch) {
            let code = faults.0.first().map(|fault| fault.code);
            let code = ResultCode::ALL.iter().find(|c| Some(c.number()) == code);
            let code = code.copied().unwrap_or(ResultCode::PatchMalformed);
            let outcome = Outcome::Refused { code, faults: faults.0 };
            return Box::pin(async move { Answer::outcome(outcome) });
        }
        let (token, answer) = self.expect_answer();
        let command = submission.encode_to_vec();
        self.step(Input::Propose { token, command });
        answer
    }
}

impl Handler<Change> for SourceActor {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, message: Change, _: &mut Self::Context) -> Self::Result {
        if let Some(answer) = self.not_leading() {
            return Box::pin(async move { answer });
        }
        let Stage::Member(replica) = &self.stage else {
            return Box::pin(async { Answer::problem(ResultCode::NoLeader, "no group is formed") });
        };
        match message.0.apply(replica) {
            Ok(membership) => {
                let (token, answer) = self.expect_answer();
                self.step(Input::ChangeMembers { token, membership });
                answer
            }
            Err(answer) => Box::pin(async move { answer }),
        }
    }
}

impl Handler<AskMembers> for SourceActor {
    type Result = Answer;

    fn handle(&mut self, _: AskMembers, _: &mut Self::Context) -> Answer {
        match (self.not_leading(), &self.stage) {
            (None, Stage::Member(replica)) => Answer::Document(members::list(replica)),
            (Some(answer), _) => answer,
            _ => Answer::problem(ResultCode::NoLeader, "no group is formed"),
        }
    }
}

impl Handler<AskBackup> for SourceActor {
    type Result = Result<Vec<u8>, Answer>;

    fn handle(&mut self, _: AskBackup, _: &mut Self::Context) -> Self::Result {
        match self.not_leading() {
            None => Ok(self.catalog.encode()),
            Some(answer) => Err(answer),
        }
    }
}

impl Handler<Ask> for SourceActor {
    type Result = Answer;

    fn handle(&mut self, message: Ask, _: &mut Self::Context) -> Answer {
        let view =
            View { catalog: &self.catalog, tracker: &self.tracker, targets: self.targets.table() };
        match self.not_leading() {
            Some(answer) => answer,
            None => view.answer(&message.0),
        }
    }
}

impl Handler<AskHealth> for SourceActor {
    type Result = MemberHealth;

    fn handle(&mut self, _: AskHealth, _: &mut Self::Context) -> MemberHealth {
        let (role, term, leader) = match &self.stage {
            Stage::Forming(_) => ("forming", 0, None),
            Stage::Failed => ("failed", 0, None),
            Stage::Member(replica) => {
                let role = match replica.role() {
                    RoleName::Leader => "leader",
                    RoleName::Follower => "follower",
                    RoleName::Survey | RoleName::Candidate => "candidate",
                };
                (role, replica.term(), replica.leader().map(MemberId::get))
            }
        };
        MemberHealth {
            role,
            term,
            head: self.catalog.head().get(),
            leader,
            relays: self.fanout.len(),
            disk: self.identity.disk,
            healthy: leader.is_some(),
        }
    }
}

impl Handler<HandOver> for SourceActor {
    type Result = ();

    fn handle(&mut self, _: HandOver, _: &mut Self::Context) {
        self.step(Input::Transfer);
    }
}

impl Handler<Join> for SourceActor {
    type Result = Result<Joined, Redirect>;

    fn handle(&mut self, join: Join, _: &mut Self::Context) -> Self::Result {
        let leads = matches!(&self.stage, Stage::Member(r) if r.role() == RoleName::Leader);
        if !leads {
            let address = self.leader_addresses().map(|(_, listen)| listen).unwrap_or_default();
            return Err(Redirect { address, retry_ms: REDIRECT_RETRY });
        }
        let grant = join.grant;
        Event::LinkOpened.emit(&[("peer", &grant.name), ("member", &self.name)]);
        self.relays.insert(grant.name.clone());
        let (session, wake) =
            self.fanout.join(grant.name, grant.zone, &join.hello, self.catalog.feed());
        Ok(Joined { session, wake })
    }
}

impl Handler<Pull> for SourceActor {
    type Result = Option<Vec<Downward>>;

    fn handle(&mut self, pull: Pull, _: &mut Self::Context) -> Self::Result {
        self.fanout.pull(pull.0, self.catalog.feed(), self.targets.table())
    }
}

impl Handler<FromBelow> for SourceActor {
    type Result = ();

    fn handle(&mut self, message: FromBelow, _: &mut Self::Context) {
        let session = message.session;
        if self.fanout.get_mut(session).is_none() {
            return;
        }
        match message.body {
            upward::Body::Progress(progress) => self.tracker.update(session, progress),
            upward::Body::Targets(update) => self.merge_targets(session, update),
            upward::Body::Freshness(request) => {
                self.freshness.push(Pending { session, request: request.request });
                self.answer_freshness(monotonic_ms());
            }
            upward::Body::Resync(_) => self.fanout.resync(session),
            upward::Body::Hello(_) | upward::Body::Applied(_) => {}
        }
    }
}

impl Handler<Leave> for SourceActor {
    type Result = ();

    fn handle(&mut self, leave: Leave, _: &mut Self::Context) {
        self.fanout.leave(leave.0);
        self.targets.leave(leave.0, monotonic_ms());
        self.tracker.remove(leave.0);
    }
}

fn new_replica(identity: Identity, options: &SourceOptions, restored: Restored) -> Box<Replica> {
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
