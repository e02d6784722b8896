//! Actor that connects the source with the nodes of a relay.

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message};
use kingcuplift_config::{ApplyOutcome, DepartureTable, Subscription, VersionedDocument};
use kingcuplift_core::{Event, NodeName, Version, ZoneName};
use kingcuplift_keys::{Protocol, Role};
use kingcuplift_schema::control::{
    Departure, Downward, Evidence, FreshnessReply, FreshnessRequest, Hello, Redirect, Target,
    TargetUpdate, UpdateFrame, Upward, downward, upward,
};
use kingcuplift_traffic::{
    HandshakeLimit, MergeResult, ProgressReporter, RemoteMerge, TargetKey, TargetRegistry,
};
use tokio::sync::mpsc;

use crate::clock::monotonic_ms;
use crate::fanout::{Content, DepartureScope, Fanout, SessionId};
use crate::link::{Endpoint, complete_handshake};
use crate::metrics;
use crate::refused_update::apply_update;
use crate::session::{self, DownstreamMessage, HEARTBEAT_INTERVAL, Join, Joined, Leave, Pull};
use crate::turns::{Work, measure};
use crate::upstream::{LinkMeter, Upstream, UpstreamAddresses, UpstreamEvent};

/// Minimum time between two sends to one node.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the progress reports to the source.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a node disconnects until its targets expire, in milliseconds.
const NODE_GRACE_PERIOD_MS: u64 = 10_000;
/// Time for which evidence of nodes waits for a link to the source, in milliseconds.
const EVIDENCE_TTL_MS: u64 = 6_000;
/// Maximum number of evidence reports that wait.
const MAX_PENDING_EVIDENCE: usize = 1_024;
/// Time for which a heartbeat from a current leader proves freshness, in milliseconds.
const FRESHNESS_TTL_MS: u64 = 800;

/// Requests the relay's health.
#[derive(Debug, Message)]
#[rtype(result = "RelayHealth")]
pub(crate) struct GetHealth;

/// Health of a relay.
#[derive(Debug, Clone, actix::MessageResponse)]
pub(crate) struct RelayHealth {
    pub(crate) head: u64,
    pub(crate) nodes: usize,
    pub(crate) linked: bool,
}

/// Actor of the relay role.
#[derive(Debug)]
pub struct RelayActor {
    name: NodeName,
    zone: ZoneName,
    upstream: Option<Upstream>,
    source_addresses: UpstreamAddresses,
    source_sender: Option<mpsc::Sender<Upward>>,
    /// Address of the source member of the latest link.
    source_address: Option<SocketAddr>,
    /// Whether the source has sent anything on the current link; until then it may still refuse the link.
    is_linked: bool,
    config: VersionedDocument,
    fanout: Fanout,
    targets: TargetRegistry,
    /// Departures that the source has stored.
    departures: DepartureTable,
    /// Freshness requests of nodes, to be covered by the next request to the source.
    queued_freshness: Vec<(SessionId, u64)>,
    /// Freshness requests of nodes that are covered by the request in flight.
    in_flight_freshness: Vec<(SessionId, u64)>,
    last_request: u64,
    progress: ProgressReporter,
    /// Evidence of nodes that waits for a link to the source, with the time of its arrival in milliseconds.
    pending_evidence: VecDeque<(u64, Evidence)>,
    /// Monotonic time of the last heartbeat from a current leader, in milliseconds.
    last_fresh_ms: u64,
}

impl RelayActor {
    /// Creates a relay that connects to one of the source members at `sources`.
    pub fn new(
        name: NodeName,
        zone: ZoneName,
        endpoint: Endpoint,
        sources: Vec<SocketAddr>,
        meter: Arc<LinkMeter>,
    ) -> Self {
        let role = Role::Source;
        let source_addresses = UpstreamAddresses::new(sources);
        Self {
            name,
            zone,
            upstream: Some(Upstream { endpoint, role, addresses: source_addresses.clone(), meter }),
            source_addresses,
            source_sender: None,
            source_address: None,
            is_linked: false,
            config: VersionedDocument::default(),
            fanout: Fanout::default(),
            targets: TargetRegistry::new(NODE_GRACE_PERIOD_MS),
            departures: DepartureTable::default(),
            queued_freshness: Vec::new(),
            in_flight_freshness: Vec::new(),
            last_request: 0,
            progress: ProgressReporter::default(),
            pending_evidence: VecDeque::new(),
            last_fresh_ms: 0,
        }
    }

    /// Returns a handle to the addresses of the source members, through which they can be changed.
    pub(crate) fn addresses(&self) -> UpstreamAddresses {
        self.source_addresses.clone()
    }

    /// Returns whether this relay has heard from a current leader recently.
    fn is_fresh(&self) -> bool {
        monotonic_ms() < self.last_fresh_ms + FRESHNESS_TTL_MS
    }

    fn send_to_source(&mut self, body: upward::Body) -> bool {
        let message = Upward { body: Some(body) };
        self.source_sender.as_ref().is_some_and(|sender| sender.try_send(message).is_ok())
    }

    fn handle_link_opened(&mut self, source_sender: mpsc::Sender<Upward>) {
        self.source_sender = Some(source_sender);
        self.is_linked = false;
        self.progress = ProgressReporter::default();
        let hello = Hello {
            name: self.name.to_string(),
            zone: self.zone.to_string(),
            version: self.config.head().get(),
            digest: self.config.digest(&Subscription::All).to_bytes().to_vec(),
            services: Vec::new(),
        };
        self.send_to_source(upward::Body::Hello(hello));
        let owned = self.targets.owned().cloned().collect();
        let update = TargetUpdate { targets: owned, full: true, position: 0 };
        self.send_to_source(upward::Body::Targets(update));
        self.queued_freshness.append(&mut self.in_flight_freshness);
        self.request_freshness();
    }

    fn handle_downward(&mut self, body: downward::Body) {
        self.is_linked = true;
        match body {
            downward::Body::Update(frame) => measure(Work::Update, || self.apply_update(&frame)),
            downward::Body::Targets(update) => self.merge_targets(update.targets),
            downward::Body::Freshness(reply) => self.handle_freshness_reply(reply),
            downward::Body::Directory(directory) => {
                let sources = directory.places.iter().filter_map(|place| place.source.parse().ok());
                self.source_addresses.set_discovered(sources.collect());
                self.fanout.set_directory(directory);
            }
            downward::Body::Departures(list) => self.merge_departures(&list.departures),
            downward::Body::Beat(_) | downward::Body::Redirect(_) => {}
        }
    }

    /// Merges departures that the source has stored; their nodes wait for that.
    fn merge_departures(&mut self, departures: &[Departure]) {
        let now = monotonic_ms();
        let new = departures.iter().filter(|departure| self.departures.merge(departure, now));
        let nodes: HashSet<String> = new.map(|departure| departure.node.clone()).collect();
        self.departures.forget_old(now);
        self.fanout.wake_named(&nodes);
    }

    /// Passes a node's departure on to the source, unless it is stored; the node repeats it until then.
    fn forward_departure(&mut self, session: SessionId, departure: Departure) {
        let sender = self.fanout.get_mut(session).map(|node| node.name.as_str());
        if sender == Some(departure.node.as_str())
            && !self.departures.covers(&departure, monotonic_ms())
        {
            self.send_to_source(upward::Body::Departure(departure));
        }
    }

    fn apply_update(&mut self, frame: &UpdateFrame) {
        match apply_update(&mut self.config, frame, &Subscription::All) {
            Ok(ApplyOutcome::Applied) => {
                metrics::VERSION.set(i64::try_from(self.config.head().get()).unwrap_or(i64::MAX));
                self.fanout.wake_all();
            }
            Ok(ApplyOutcome::Stale) => {}
            Err(refused) => {
                refused.emit(self.source_address);
                self.send_to_source(upward::Body::Resync(true));
            }
        }
    }

    /// Merges targets from the source, and announces those again that are gone there but connected here.
    fn merge_targets(&mut self, targets: Vec<Target>) {
        let now = monotonic_ms();
        let before = self.targets.table().position();
        let mut contradicted = Vec::new();
        for target in targets {
            if let RemoteMerge::Contradicted(target) = self.targets.merge_remote(target, now) {
                contradicted.push(*target);
            }
        }
        if self.targets.table().position() != before {
            self.fanout.wake_all();
        }
        self.publish_targets(contradicted);
    }

    fn handle_announcement(&mut self, session: SessionId, update: TargetUpdate) {
        let now = monotonic_ms();
        let mut changed = Vec::new();
        for target in update.targets {
            if self.targets.announce(session, target.clone(), now) == MergeResult::Changed {
                changed.push(target);
            }
        }
        if !changed.is_empty() {
            self.fanout.wake_all();
        }
        self.publish_targets(changed);
    }

    /// Sends changed targets to the source.
    fn publish_targets(&mut self, targets: Vec<Target>) {
        if !targets.is_empty() {
            let update = TargetUpdate { targets, full: false, position: 0 };
            self.send_to_source(upward::Body::Targets(update));
        }
    }

    /// Expires the targets of nodes that have been disconnected longer than the grace period.
    fn expire_targets(&mut self) {
        let gone = self.targets.expire(monotonic_ms());
        if gone.is_empty() {
            return;
        }
        for target in &gone {
            Event::TargetExpired.emit(&[("target", &TargetKey::of(target))]);
        }
        self.fanout.wake_all();
        self.publish_targets(gone);
    }

    fn request_freshness(&mut self) {
        if self.queued_freshness.is_empty() || !self.in_flight_freshness.is_empty() {
            return;
        }
        self.last_request += 1;
        let request = FreshnessRequest { request: self.last_request };
        if self.send_to_source(upward::Body::Freshness(request)) {
            self.in_flight_freshness = std::mem::take(&mut self.queued_freshness);
        }
    }

    fn handle_freshness_reply(&mut self, reply: FreshnessReply) {
        if reply.request != self.last_request {
            return;
        }
        for (session, request) in std::mem::take(&mut self.in_flight_freshness) {
            self.fanout.reply(session, FreshnessReply { request, head: reply.head });
        }
        self.request_freshness();
    }

    /// Sends the evidence of nodes to the source; what can't be sent yet waits until it is outdated.
    fn send_evidence(&mut self) {
        let oldest_ms = monotonic_ms().saturating_sub(EVIDENCE_TTL_MS);
        let received = self.pending_evidence.len();
        let surplus = received.saturating_sub(MAX_PENDING_EVIDENCE);
        self.pending_evidence.drain(..surplus);
        self.pending_evidence.retain(|(received_ms, _)| *received_ms >= oldest_ms);
        let dropped = received - self.pending_evidence.len();
        if dropped > 0 {
            log::debug!("dropped {dropped} evidence reports: no link to the source in time");
        }
        while let Some((_, evidence)) = self.pending_evidence.front() {
            if !self.send_to_source(upward::Body::Evidence(evidence.clone())) {
                return;
            }
            self.pending_evidence.pop_front();
        }
    }

    fn report_progress(&mut self) {
        self.send_evidence();
        if self.source_sender.is_some() {
            let nodes = self.fanout.iter().map(|(_, node)| (&node.name, &node.zone, node.applied));
            let report = self.progress.report(nodes);
            let is_lost =
                report.is_some_and(|report| !self.send_to_source(upward::Body::Progress(report)));
            if is_lost {
                // The next report must not build on one that was not sent.
                self.progress = ProgressReporter::default();
            }
        }
        self.expire_targets();
    }
}

/// Accepts connections from nodes until the endpoint is closed.
pub(crate) async fn accept_nodes(endpoint: Endpoint, actor: Addr<RelayActor>) {
    let mut limit = HandshakeLimit::new(monotonic_ms());
    while let Some(incoming) = endpoint.accept().await {
        if !limit.admit(monotonic_ms()) {
            incoming.refuse();
            continue;
        }
        let actor = actor.clone();
        actix::spawn(async move {
            match complete_handshake(incoming).await {
                Ok(accepted) if accepted.protocol == Protocol::Distribution => {
                    session::serve(accepted, Role::Node, actor, MIN_PUSH_INTERVAL).await;
                }
                Ok(accepted) => Event::LinkRefused.emit(&[("peer", &accepted.identity.name)]),
                Err(error) => Event::LinkRefused.emit(&[("reason", &error)]),
            }
        });
    }
}

impl Actor for RelayActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(REPORT_INTERVAL, |actor, _| actor.report_progress());
        ctx.run_interval(HEARTBEAT_INTERVAL, |actor, _| {
            let fresh = actor.is_fresh();
            actor.fanout.queue_heartbeats(fresh);
        });
        if let Some(upstream) = self.upstream.take() {
            actix::spawn(upstream.run(ctx.address().recipient()));
        }
    }
}

impl Handler<UpstreamEvent> for RelayActor {
    type Result = ();

    fn handle(&mut self, message: UpstreamEvent, _: &mut Self::Context) {
        match message {
            UpstreamEvent::Opened(address, sender) => {
                self.source_address = Some(address);
                self.handle_link_opened(sender);
            }
            UpstreamEvent::Received(body) => self.handle_downward(*body),
            UpstreamEvent::Heartbeat(fresh) => {
                let was_fresh = self.is_fresh();
                self.last_fresh_ms = if fresh { monotonic_ms() } else { 0 };
                if fresh != was_fresh {
                    self.fanout.queue_heartbeats(fresh);
                }
            }
            UpstreamEvent::Closed => {
                self.source_sender = None;
                self.is_linked = false;
            }
        }
    }
}

/// Replaces the addresses of the source members after a settings reload.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct UpdateSources(pub(crate) Vec<SocketAddr>);

impl Handler<UpdateSources> for RelayActor {
    type Result = ();

    fn handle(&mut self, changed: UpdateSources, _: &mut Self::Context) {
        self.source_addresses.set_configured(changed.0);
    }
}

impl Handler<Join> for RelayActor {
    type Result = Result<Joined, Redirect>;

    fn handle(&mut self, join: Join, _: &mut Self::Context) -> Self::Result {
        let identity = join.identity;
        let fresh = self.is_fresh();
        let (session, wake) = measure(Work::Join, || {
            self.fanout.join(identity.name, identity.zone, &join.hello, &self.config, fresh)
        });
        Ok(Joined { session, wake })
    }
}

impl Handler<Pull> for RelayActor {
    type Result = Option<Vec<Downward>>;

    fn handle(&mut self, pull: Pull, _: &mut Self::Context) -> Self::Result {
        let content = Content {
            config: Some(&self.config),
            targets: self.targets.table(),
            departures: &self.departures,
            departure_scope: DepartureScope::Receiver,
        };
        measure(Work::Encode, || self.fanout.pull(pull.0, content))
    }
}

impl Handler<DownstreamMessage> for RelayActor {
    type Result = ();

    fn handle(&mut self, message: DownstreamMessage, _: &mut Self::Context) {
        let session = message.session;
        match message.body {
            upward::Body::Applied(version) => {
                if let Some(node) = self.fanout.get_mut(session) {
                    node.applied = Version::new(version);
                }
            }
            upward::Body::Targets(update) => self.handle_announcement(session, update),
            upward::Body::Freshness(request) => {
                self.queued_freshness.push((session, request.request));
                self.request_freshness();
            }
            upward::Body::Resync(_) => self.fanout.resync(session, &self.config),
            upward::Body::Evidence(evidence) => {
                self.pending_evidence.push_back((monotonic_ms(), evidence));
                self.send_evidence();
            }
            upward::Body::Departure(departure) => self.forward_departure(session, departure),
            upward::Body::Hello(_) | upward::Body::Progress(_) => {}
        }
    }
}

impl Handler<Leave> for RelayActor {
    type Result = ();

    fn handle(&mut self, leave: Leave, _: &mut Self::Context) {
        let Some(node) = self.fanout.leave(leave.0) else { return };
        self.targets.end_session(leave.0, monotonic_ms());
        log::debug!("node {} disconnected", node.name);
    }
}

impl Handler<GetHealth> for RelayActor {
    type Result = RelayHealth;

    fn handle(&mut self, _: GetHealth, _: &mut Self::Context) -> RelayHealth {
        RelayHealth {
            head: self.config.head().get(),
            nodes: self.fanout.len(),
            linked: self.is_linked,
        }
    }
}
