//! Receives configuration and targets from a relay and prepares what calls read.

mod locals;
mod messages;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler};
use kingcuplift_config::{ApplyOutcome, Subscription, VersionedDocument, decode_update};
use kingcuplift_core::{Event, ServiceName, Version};
use kingcuplift_keys::Role;
use kingcuplift_schema::control::{
    Directory, FreshnessReply, FreshnessRequest, Hello, Target, TargetState, TargetUpdate,
    UpdateFrame, Upward, downward, upward,
};
use kingcuplift_traffic::{Leases, MergeResult, RoutingView, TargetKey, TargetTable};
use smol_str::SmolStr;
use tokio::sync::mpsc;

pub(crate) use self::messages::{
    Announce, ApplySettings, AskHealth, Drain, Life, Part, TargetDown, Withdraw,
};

use self::locals::Known;
use crate::clock::monotonic_ms;
use crate::link::Endpoint;
use crate::metrics;
use crate::node::shared::NodeShared;
use crate::upstream::{Addresses, FromAbove, LinkMeter, Upstream};

/// Time between checks of leases.
const TICK: Duration = Duration::from_millis(200);
/// Time between reports of what calls show of target versions.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an announcement is valid, in milliseconds.
pub(crate) const LEASE: u64 = 6_000;

/// Proof that the held version is current, as far as it has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    /// No proof yet.
    Unproved,
    /// The version in force must be at least this one.
    Needed(Version),
    /// A version that was current after the start has been in force.
    Proved,
}

/// Actor of the node role.
#[derive(Debug)]
pub struct NodeActor {
    shared: Arc<NodeShared>,
    peer: String,
    services: Vec<ServiceName>,
    subscription: Subscription,
    upstream: Option<Upstream>,
    above: Option<mpsc::Sender<Upward>>,
    /// Whether the process above has sent anything on the present link; before that it may refuse.
    is_linked: bool,
    feed: VersionedDocument,
    table: TargetTable,
    leases: Leases,
    incarnations: HashMap<TargetKey, u64>,
    lives: HashMap<TargetKey, Known>,
    /// Start of the newest life that has ended here, in milliseconds since the Unix epoch.
    ended: u64,
    addresses: Addresses,
    /// Whether the node's availability zone is out of service.
    is_out: bool,
    /// Whether the node takes no new calls for its targets, because it stops.
    is_closing: bool,
    /// Address of the target beside the node, where the settings name it.
    target: Option<SocketAddr>,
    started_ms: u64,
    own: Option<Addr<Self>>,
    view: RoutingView,
    /// Services whose targets have changed since the view was last updated.
    changed: BTreeSet<SmolStr>,
    freshness: Freshness,
}

impl NodeActor {
    /// Makes a node that connects to one of the relays at `relays`.
    pub fn new(
        shared: Arc<NodeShared>,
        peer: String,
        services: Vec<ServiceName>,
        endpoint: Endpoint,
        relays: Vec<SocketAddr>,
        meter: Arc<LinkMeter>,
    ) -> Self {
        let role = Role::Relay;
        let addresses = Addresses::new(relays);
        Self {
            shared,
            peer,
            subscription: Subscription::new(services.iter().cloned()),
            services,
            upstream: Some(Upstream { endpoint, role, addresses: addresses.clone(), meter }),
            above: None,
            is_linked: false,
            feed: VersionedDocument::default(),
            table: TargetTable::default(),
            leases: Leases::default(),
            incarnations: HashMap::new(),
            lives: HashMap::new(),
            ended: 0,
            addresses,
            is_out: false,
            is_closing: false,
            target: None,
            started_ms: monotonic_ms(),
            own: None,
            view: RoutingView::default(),
            changed: BTreeSet::new(),
            freshness: Freshness::Unproved,
        }
    }

    /// Sets the address of the target beside the node.
    #[must_use]
    pub fn with_target(mut self, target: Option<SocketAddr>) -> Self {
        self.target = target;
        self
    }

    fn send_above(&self, body: upward::Body) {
        let message = Upward { body: Some(body) };
        // A link that is too slow or gone is replaced, and everything is stated anew.
        drop(self.above.as_ref().map(|above| above.try_send(message)));
    }

    fn opened(&mut self, above: mpsc::Sender<Upward>) {
        self.above = Some(above);
        self.is_linked = false;
        let hello = Hello {
            name: self.shared.name.to_string(),
            zone: self.shared.zone.to_string(),
            version: self.feed.head().get(),
            digest: self.feed.digest(&self.subscription).to_bytes().to_vec(),
            services: self.services.iter().map(ToString::to_string).collect(),
        };
        self.send_above(upward::Body::Hello(hello));
        if self.freshness != Freshness::Proved {
            self.freshness = Freshness::Unproved;
            self.send_above(upward::Body::Freshness(FreshnessRequest { request: 1 }));
        }
        let keys: Vec<TargetKey> = self.leases.iter().map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.publish_anew(&key);
        }
        self.report_applied();
    }

    fn received(&mut self, body: downward::Body) {
        self.is_linked = true;
        match body {
            downward::Body::Update(frame) => self.update(&frame),
            downward::Body::Targets(update) => self.merge_targets(update),
            downward::Body::Freshness(reply) => self.proved_fresh(reply),
            downward::Body::Directory(directory) => self.learn_places(&directory),
            downward::Body::Beat(_) | downward::Body::Redirect(_) => {}
        }
    }

    /// Takes over the addresses of relays, those of the own availability zone first.
    fn learn_places(&self, directory: &Directory) {
        let own_zone = self.shared.zone.as_str();
        let mut places: Vec<_> = directory.places.iter().collect();
        places.sort_by_key(|place| place.zone != own_zone);
        self.addresses.learn(places.iter().filter_map(|place| place.relay.parse().ok()).collect());
    }

    fn update(&mut self, frame: &UpdateFrame) {
        let applied = decode_update(frame).map_err(|error| error.to_string()).and_then(|update| {
            self.feed.apply(&update, &self.subscription).map_err(|error| error.to_string())
        });
        match applied {
            Ok(ApplyOutcome::Applied) => self.refresh(),
            Ok(ApplyOutcome::Stale) => {}
            Err(reason) => {
                Event::UpdateRefused.emit(&[("reason", &reason)]);
                self.send_above(upward::Body::Resync(true));
            }
        }
    }

    fn merge_targets(&mut self, update: TargetUpdate) {
        let now = monotonic_ms();
        let mut mistaken = Vec::new();
        for target in update.targets {
            let is_own = target.node == self.shared.name.as_str();
            if is_own && self.ask_inherited(&target) {
                let known = self.incarnations.entry(TargetKey::of(&target)).or_default();
                *known = (*known).max(target.incarnation);
            } else if is_own && self.is_mistaken(&target) {
                mistaken.push(TargetKey::of(&target));
                let known = self.incarnations.entry(TargetKey::of(&target)).or_default();
                *known = (*known).max(target.incarnation);
            }
            self.merge_target(target, now);
        }
        for key in mistaken {
            self.publish_anew(&key);
        }
        self.count_nodes();
        if !self.changed.is_empty() {
            self.refresh();
        }
    }

    /// Counts the nodes that have a target.
    fn count_nodes(&self) {
        let nodes: HashSet<&SmolStr> = self.table.present().map(|(key, _)| &key.node).collect();
        self.shared.nodes.store(nodes.len().max(1), Ordering::Relaxed);
    }

    fn merge_target(&mut self, target: Target, now_ms: u64) {
        let service = SmolStr::new(&target.service);
        if self.table.merge(target, now_ms) == MergeResult::Changed {
            self.changed.insert(service);
        }
    }

    fn proved_fresh(&mut self, reply: FreshnessReply) {
        if self.freshness != Freshness::Proved {
            self.freshness = Freshness::Needed(Version::new(reply.head));
            self.refresh();
        }
    }

    /// Puts the held configuration and targets in force, once the configuration is proved current.
    fn refresh(&mut self) {
        match self.freshness {
            Freshness::Unproved => return,
            Freshness::Needed(version) if self.feed.head() < version => return,
            Freshness::Needed(_) => self.freshness = Freshness::Proved,
            Freshness::Proved => {}
        }
        if self.feed.head() == Version::default() {
            // Without any configuration a call is refused for now; it is not unknown.
            return;
        }
        self.view.update(&self.feed, &self.table, &self.changed);
        self.changed.clear();
        let version = self.feed.head();
        let before = self.shared.version();
        self.shared.view.store(Some(Arc::new(self.view.clone())));
        self.update_gates();
        metrics::VERSION.set(i64::try_from(version.get()).unwrap_or(i64::MAX));
        if version != before {
            Event::VersionApplied.emit(&[("version", &version)]);
        }
        self.report_applied();
    }

    fn report_applied(&self) {
        self.send_above(upward::Body::Applied(self.shared.version().get()));
    }

    fn tick(&mut self) {
        let now = monotonic_ms();
        let expired = self.leases.expire(now);
        for key in &expired {
            Event::TargetExpired.emit(&[("target", key)]);
        }
        if !expired.is_empty() {
            self.withdraw(&expired, TargetState::Gone);
        }
        self.table.forget_gone(now);
    }

    /// Tells the relay what calls have shown of target versions.
    fn report_evidence(&self) {
        if let Some(evidence) = self.shared.evidence().take() {
            self.send_above(upward::Body::Evidence(evidence));
        }
    }
}

impl Actor for NodeActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK, |actor, _| actor.tick());
        ctx.run_interval(EVIDENCE_INTERVAL, |actor, _| actor.report_evidence());
        // A second actor on the same state would be a fault of the program.
        drop(self.shared.control.set(ctx.address().recipient()));
        self.own = Some(ctx.address());
        if let Some(upstream) = self.upstream.take() {
            actix::spawn(upstream.run(ctx.address().recipient()));
        }
    }
}

impl Handler<FromAbove> for NodeActor {
    type Result = ();

    fn handle(&mut self, message: FromAbove, _: &mut Self::Context) {
        match message {
            FromAbove::Opened(above) => self.opened(above),
            FromAbove::Received(body) => self.received(*body),
            FromAbove::Beat(_) => {}
            FromAbove::Closed => {
                self.above = None;
                self.is_linked = false;
            }
        }
    }
}
