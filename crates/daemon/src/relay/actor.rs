//! Connects the source above with the nodes below.

use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message};
use kingcuplift_config::{
    ApplyOutcome, Subscription, UpdateError, VersionedDocument, decode_update,
};
use kingcuplift_core::{Event, NodeName, Version, ZoneName};
use kingcuplift_keys::{Protocol, Role};
use kingcuplift_schema::control::{
    Downward, FreshnessReply, FreshnessRequest, Hello, Progress, Redirect, Target, TargetUpdate,
    UpdateFrame, Upward, downward, upward,
};
use kingcuplift_traffic::{HandshakeLimit, MergeResult, RemoteMerge, TargetKey, TargetRegistry};
use tokio::sync::mpsc;

use crate::clock::monotonic_ms;
use crate::fanout::{Fanout, SessionId};
use crate::link::{Endpoint, complete};
use crate::metrics;
use crate::relay::sums;
use crate::session::{self, BEAT_INTERVAL, FromBelow, Join, Joined, Leave, Pull};
use crate::upstream::{Addresses, FromAbove, LinkMeter, Upstream};

/// Shortest time between two sends to one node.
const PUSH_INTERVAL: Duration = Duration::from_millis(50);
/// Time between reports of progress.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a node may be away before its targets count as gone, in milliseconds.
const NODE_GRACE: u64 = 10_000;
/// Time for which the word of a current leader counts as fresh, in milliseconds.
const FRESH_LIMIT: u64 = 800;
/// Time after which a node tries again while the relay has no configuration, in milliseconds.
const EMPTY_RETRY: u64 = 500;

/// Asks for the relay's state.
#[derive(Debug, Message)]
#[rtype(result = "RelayHealth")]
pub(crate) struct AskHealth;

/// State of a relay, for health checks.
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
    addresses: Addresses,
    above: Option<mpsc::Sender<Upward>>,
    /// Whether the process above has sent anything on the present link; before that it may refuse.
    is_linked: bool,
    feed: VersionedDocument,
    fanout: Fanout,
    targets: TargetRegistry,
    /// Nodes that wait for the next proof of freshness.
    waiting: Vec<(SessionId, u64)>,
    /// Nodes that the request in flight will answer.
    asked: Vec<(SessionId, u64)>,
    request: u64,
    reported: Progress,
    /// When a current leader last showed itself, in milliseconds.
    fresh_ms: u64,
}

impl RelayActor {
    /// Makes a relay that connects to one of the source members at `sources`.
    pub fn new(
        name: NodeName,
        zone: ZoneName,
        endpoint: Endpoint,
        sources: Vec<std::net::SocketAddr>,
        meter: Arc<LinkMeter>,
    ) -> Self {
        let role = Role::Source;
        let addresses = Addresses::new(sources);
        Self {
            name,
            zone,
            upstream: Some(Upstream { endpoint, role, addresses: addresses.clone(), meter }),
            addresses,
            above: None,
            is_linked: false,
            feed: VersionedDocument::default(),
            fanout: Fanout::default(),
            targets: TargetRegistry::new(NODE_GRACE),
            waiting: Vec::new(),
            asked: Vec::new(),
            request: 0,
            reported: Progress::default(),
            fresh_ms: 0,
        }
    }

    /// Returns the addresses of the source members, to be changed from outside.
    pub(crate) fn addresses(&self) -> Addresses {
        self.addresses.clone()
    }

    /// Returns whether this relay has word of a current leader.
    fn is_fresh(&self) -> bool {
        monotonic_ms() < self.fresh_ms + FRESH_LIMIT
    }

    fn send_above(&mut self, body: upward::Body) -> bool {
        let message = Upward { body: Some(body) };
        self.above.as_ref().is_some_and(|above| above.try_send(message).is_ok())
    }

    fn opened(&mut self, above: mpsc::Sender<Upward>) {
        self.above = Some(above);
        self.is_linked = false;
        self.reported = Progress::default();
        let hello = Hello {
            name: self.name.to_string(),
            zone: self.zone.to_string(),
            version: self.feed.head().get(),
            digest: self.feed.digest(&Subscription::All).to_bytes().to_vec(),
            services: Vec::new(),
        };
        self.send_above(upward::Body::Hello(hello));
        let owned = self.targets.owned().cloned().collect();
        let update = TargetUpdate { targets: owned, full: true, position: 0 };
        self.send_above(upward::Body::Targets(update));
        self.waiting.append(&mut self.asked);
        self.ask_freshness();
    }

    fn received(&mut self, body: downward::Body) {
        self.is_linked = true;
        match body {
            downward::Body::Update(frame) => self.update(&frame),
            downward::Body::Targets(update) => self.merge_targets(update.targets),
            downward::Body::Freshness(reply) => self.proved_fresh(reply),
            downward::Body::Directory(directory) => {
                let sources = directory.places.iter().filter_map(|place| place.source.parse().ok());
                self.addresses.learn(sources.collect());
                self.fanout.set_directory(directory);
            }
            downward::Body::Beat(_) | downward::Body::Redirect(_) => {}
        }
    }

    fn update(&mut self, frame: &UpdateFrame) {
        let applied = decode_update(frame).map_err(|error| error.to_string()).and_then(|update| {
            self.feed.apply(&update, &Subscription::All).map_err(|error| report_refusal(&error))
        });
        match applied {
            Ok(ApplyOutcome::Applied) => {
                metrics::VERSION.set(i64::try_from(self.feed.head().get()).unwrap_or(i64::MAX));
                self.fanout.wake_all();
            }
            Ok(ApplyOutcome::Stale) => {}
            Err(reason) => {
                Event::UpdateRefused.emit(&[("reason", &reason)]);
                self.send_above(upward::Body::Resync(true));
            }
        }
    }

    /// Merges targets from above, and contradicts those that are gone there and connected here.
    fn merge_targets(&mut self, targets: Vec<Target>) {
        let now = monotonic_ms();
        let before = self.targets.table().position();
        let mut contradicted = Vec::new();
        for target in targets {
            if let RemoteMerge::Contradicted(target) = self.targets.merge_remote(target, now) {
                contradicted.push(target);
            }
        }
        if self.targets.table().position() != before {
            self.fanout.wake_all();
        }
        self.publish(contradicted);
    }

    fn announced(&mut self, session: SessionId, update: TargetUpdate) {
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
        self.publish(changed);
    }

    /// Tells the source of changed targets.
    fn publish(&mut self, targets: Vec<Target>) {
        if !targets.is_empty() {
            let update = TargetUpdate { targets, full: false, position: 0 };
            self.send_above(upward::Body::Targets(update));
        }
    }

    /// Declares the targets of nodes that have been away for too long as gone.
    fn expire_nodes(&mut self) {
        let gone = self.targets.expire(monotonic_ms());
        if gone.is_empty() {
            return;
        }
        for target in &gone {
            Event::TargetExpired.emit(&[("target", &TargetKey::of(target))]);
        }
        self.fanout.wake_all();
        self.publish(gone);
    }

    fn ask_freshness(&mut self) {
        if self.waiting.is_empty() || !self.asked.is_empty() {
            return;
        }
        self.request += 1;
        let request = FreshnessRequest { request: self.request };
        if self.send_above(upward::Body::Freshness(request)) {
            self.asked = std::mem::take(&mut self.waiting);
        }
    }

    fn proved_fresh(&mut self, reply: FreshnessReply) {
        if reply.request != self.request {
            return;
        }
        for (session, request) in std::mem::take(&mut self.asked) {
            self.fanout.reply(session, FreshnessReply { request, head: reply.head });
        }
        self.ask_freshness();
    }

    fn report(&mut self) {
        let progress = sums::progress(&self.fanout);
        if progress != self.reported && self.send_above(upward::Body::Progress(progress.clone())) {
            self.reported = progress;
        }
        self.expire_nodes();
    }
}

/// Logs why an update was refused and returns the reason.
fn report_refusal(error: &UpdateError) -> String {
    if let UpdateError::Digest { version } = error {
        Event::DigestMismatch.emit(&[("version", version)]);
    }
    error.to_string()
}

/// Accepts connections of nodes until the endpoint is closed.
pub(crate) async fn accept_nodes(endpoint: Endpoint, actor: Addr<RelayActor>) {
    let mut limit = HandshakeLimit::new(monotonic_ms());
    while let Some(incoming) = endpoint.accept().await {
        if !limit.admit(monotonic_ms()) {
            incoming.refuse();
            continue;
        }
        let actor = actor.clone();
        actix::spawn(async move {
            match complete(incoming).await {
                Ok(accepted) if accepted.protocol == Protocol::Distribution => {
                    session::serve(accepted, Role::Node, actor, PUSH_INTERVAL).await;
                }
                Ok(accepted) => Event::LinkRefused.emit(&[("peer", &accepted.grant.name)]),
                Err(error) => Event::LinkRefused.emit(&[("reason", &error)]),
            }
        });
    }
}

impl Actor for RelayActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(REPORT_INTERVAL, |actor, _| actor.report());
        ctx.run_interval(BEAT_INTERVAL, |actor, _| {
            let fresh = actor.is_fresh();
            actor.fanout.beat_all(fresh);
        });
        if let Some(upstream) = self.upstream.take() {
            actix::spawn(upstream.run(ctx.address().recipient()));
        }
    }
}

impl Handler<FromAbove> for RelayActor {
    type Result = ();

    fn handle(&mut self, message: FromAbove, _: &mut Self::Context) {
        match message {
            FromAbove::Opened(above) => self.opened(above),
            FromAbove::Received(body) => self.received(*body),
            FromAbove::Beat(fresh) => {
                let was_fresh = self.is_fresh();
                self.fresh_ms = if fresh { monotonic_ms() } else { 0 };
                if fresh != was_fresh {
                    self.fanout.beat_all(fresh);
                }
            }
            FromAbove::Closed => {
                self.above = None;
                self.is_linked = false;
            }
        }
    }
}

/// Takes over the source members of changed settings.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct UpdateSources(pub(crate) Vec<std::net::SocketAddr>);

impl Handler<UpdateSources> for RelayActor {
    type Result = ();

    fn handle(&mut self, changed: UpdateSources, _: &mut Self::Context) {
        self.addresses.settle(changed.0);
    }
}

impl Handler<Join> for RelayActor {
    type Result = Result<Joined, Redirect>;

    fn handle(&mut self, join: Join, _: &mut Self::Context) -> Self::Result {
        if self.feed.head() == Version::default() && self.above.is_none() {
            return Err(Redirect { address: String::new(), retry_ms: EMPTY_RETRY });
        }

        let grant = join.grant;
        let (session, wake) =
            self.fanout.join(grant.name, grant.zone, &join.hello, &self.feed, self.is_fresh());
        Ok(Joined { session, wake })
    }
}

impl Handler<Pull> for RelayActor {
    type Result = Option<Vec<Downward>>;

    fn handle(&mut self, pull: Pull, _: &mut Self::Context) -> Self::Result {
        self.fanout.pull(pull.0, &self.feed, self.targets.table())
    }
}

impl Handler<FromBelow> for RelayActor {
    type Result = ();

    fn handle(&mut self, message: FromBelow, _: &mut Self::Context) {
        let session = message.session;
        match message.body {
            upward::Body::Applied(version) => {
                if let Some(node) = self.fanout.get_mut(session) {
                    node.applied = Version::new(version);
                }
            }
            upward::Body::Targets(update) => self.announced(session, update),
            upward::Body::Freshness(request) => {
                self.waiting.push((session, request.request));
                self.ask_freshness();
            }
            upward::Body::Resync(_) => self.fanout.resync(session),
            upward::Body::Evidence(evidence) => {
                // Evidence that finds no link is old by the time there is one.
                if !self.send_above(upward::Body::Evidence(evidence)) {
                    log::debug!("evidence was dropped: the source is not linked");
                }
            }
            upward::Body::Hello(_) | upward::Body::Progress(_) => {}
        }
    }
}

impl Handler<Leave> for RelayActor {
    type Result = ();

    fn handle(&mut self, leave: Leave, _: &mut Self::Context) {
        let Some(node) = self.fanout.leave(leave.0) else { return };
        self.targets.end_session(leave.0, monotonic_ms());
        log::debug!("node {} left", node.name);
    }
}

impl Handler<AskHealth> for RelayActor {
    type Result = RelayHealth;

    fn handle(&mut self, _: AskHealth, _: &mut Self::Context) -> RelayHealth {
        RelayHealth {
            head: self.feed.head().get(),
            nodes: self.fanout.len(),
            linked: self.is_linked,
        }
    }
}
