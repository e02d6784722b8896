//! Receives configuration and targets from a relay and prepares what calls read.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, Message};
use kingcuplift_config::{
    Applied, Document, Feed, Kind, Resource, ResourceKey, ServiceSpec, Subscription, decode_update,
};
use kingcuplift_core::{Event, ServiceName, Version};
use kingcuplift_keys::Role;
use kingcuplift_schema::control::{
    FreshnessReply, FreshnessRequest, Hello, Target, TargetState, TargetUpdate, UpdateFrame,
    Upward, downward, upward,
};
use kingcuplift_traffic::{Lease, Leases, Limits, Merge, TargetKey, TargetTable, View};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::clock::{monotonic_ms, wall_us};
use crate::link::Endpoint;
use crate::metrics;
use crate::node::gate::Gate;
use crate::node::shared::{LocalTarget, Locals, NodeShared};
use crate::upstream::{FromAbove, LinkMeter, Upstream};

/// Time between checks of leases.
const TICK: Duration = Duration::from_millis(200);
/// Time for which an announcement is valid, in milliseconds.
pub(crate) const LEASE: u64 = 6_000;
/// Calls that may wait before a target whose service is not configured.
const DEFAULT_QUEUE: u32 = 100;

/// Announces a target or renews its lease.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Announce {
    pub(crate) service: ServiceName,
    pub(crate) version: SmolStr,
    pub(crate) address: String,
    pub(crate) slots: Option<u32>,
}

/// Ends a target's lease; its new calls end at once.
#[derive(Debug, Message)]
#[rtype(result = "Vec<Arc<Gate>>")]
pub(crate) struct Withdraw {
    pub(crate) service: ServiceName,
    /// Version to withdraw; absent means all versions.
    pub(crate) version: Option<SmolStr>,
}

/// Takes all targets beside the node out of service.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Drain;

/// Asks for the node's state.
#[derive(Debug, Message)]
#[rtype(result = "NodeHealth")]
pub(crate) struct AskHealth;

/// State of a node, for health checks.
#[derive(Debug, Clone, actix::MessageResponse)]
pub(crate) struct NodeHealth {
    pub(crate) version: u64,
    pub(crate) held: u64,
    pub(crate) linked: bool,
    pub(crate) ready: bool,
    pub(crate) targets: usize,
    pub(crate) locals: usize,
}

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
    feed: Feed,
    table: TargetTable,
    leases: Leases,
    incarnations: HashMap<TargetKey, u64>,
    view: View,
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
        Self {
            shared,
            peer,
            subscription: Subscription::new(services.iter().cloned()),
            services,
            upstream: Some(Upstream { endpoint, role, addresses: relays, meter }),
            above: None,
            is_linked: false,
            feed: Feed::default(),
            table: TargetTable::default(),
            leases: Leases::default(),
            incarnations: HashMap::new(),
            view: View::default(),
            changed: BTreeSet::new(),
            freshness: Freshness::Unproved,
        }
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
        let incarnation = wall_us();
        for known in self.incarnations.values_mut() {
            *known = incarnation;
        }
        let keys: Vec<TargetKey> = self.leases.iter().map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.publish_target(&key, TargetState::Ready);
        }
        self.report_applied();
    }

    fn received(&mut self, body: downward::Body) {
        self.is_linked = true;
        match body {
            downward::Body::Update(frame) => self.update(&frame),
            downward::Body::Targets(update) => self.merge_targets(update),
            downward::Body::Freshness(reply) => self.proved_fresh(reply),
            downward::Body::Redirect(_) => {}
        }
    }

    fn update(&mut self, frame: &UpdateFrame) {
        let applied = decode_update(frame).map_err(|error| error.to_string()).and_then(|update| {
            self.feed.apply(&update, &self.subscription).map_err(|error| error.to_string())
        });
        match applied {
            Ok(Applied::InForce) => self.refresh(),
            Ok(Applied::Stale) => {}
            Err(reason) => {
                Event::UpdateRefused.emit(&[("reason", &reason)]);
                self.send_above(upward::Body::Resync(true));
            }
        }
    }

    fn merge_targets(&mut self, update: TargetUpdate) {
        let now = monotonic_ms();
        for target in update.targets {
            self.merge_target(target, now);
        }
        if !self.changed.is_empty() {
            self.refresh();
        }
    }

    fn merge_target(&mut self, target: Target, now_ms: u64) {
        let service = SmolStr::new(&target.service);
        if self.table.merge(target, now_ms) == Merge::Changed {
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

    /// Makes the limits of the targets beside this node follow the configuration.
    fn update_gates(&self) {
        let locals = self.shared.locals.load();
        for (key, lease) in self.leases.iter() {
            if let Some(local) = locals.get(key) {
                local.gate.set_limits(self.limits(key, lease));
            }
        }
    }

    fn limits(&self, key: &TargetKey, lease: &Lease) -> Limits {
        let service = service_spec(self.feed.document(), &key.service);
        let queue = service.map_or(DEFAULT_QUEUE, |spec| spec.queue);
        Limits { slots: lease.slots, queue }
    }

    fn key(&self, service: &ServiceName, version: &SmolStr) -> TargetKey {
        TargetKey {
            service: SmolStr::new(service.as_str()),
            version: version.clone(),
            node: SmolStr::new(self.shared.name.as_str()),
        }
    }

    fn announce(&mut self, message: Announce) {
        let key = self.key(&message.service, &message.version);
        let spec = service_spec(self.feed.document(), &key.service);
        let slots = message.slots.or_else(|| spec.map(|spec| spec.slots));
        let lease = Lease {
            address: message.address,
            slots: slots.unwrap_or(1).max(1),
            until_ms: monotonic_ms() + LEASE,
        };
        let limits = self.limits(&key, &lease);
        let address = lease.address.clone();
        if !self.leases.renew(key.clone(), lease) {
            return;
        }
        Event::TargetAnnounced.emit(&[("target", &key), ("address", &address)]);
        self.change_locals(|locals| {
            let gate = match locals.get(&key) {
                Some(local) => Arc::clone(&local.gate),
                None => Arc::new(Gate::new(limits)),
            };
            gate.open();
            gate.set_limits(limits);
            locals.insert(key.clone(), Arc::new(LocalTarget { address, gate }));
        });
        self.incarnations.insert(key.clone(), wall_us());
        self.publish_target(&key, TargetState::Ready);
    }

    /// Ends leases and returns the gates whose calls have yet to finish.
    fn withdraw(&mut self, keys: &[TargetKey], state: TargetState) -> Vec<Arc<Gate>> {
        let mut gates = Vec::new();
        for key in keys {
            self.publish_target(key, state);
            self.leases.remove(key);
            self.incarnations.remove(key);
        }
        self.change_locals(|locals| {
            for local in keys.iter().filter_map(|key| locals.remove(key)) {
                local.gate.close();
                gates.push(Arc::clone(&local.gate));
            }
        });
        gates
    }

    fn change_locals(&self, change: impl FnOnce(&mut Locals)) {
        let mut locals = Locals::clone(&self.shared.locals.load());
        change(&mut locals);
        self.shared.locals.store(Arc::new(locals));
    }

    /// Tells the relay, and this node itself, of a target.
    fn publish_target(&mut self, key: &TargetKey, state: TargetState) {
        let slots = self.leases.get(key).map(|lease| lease.slots);
        let mut target = Target {
            node: key.node.to_string(),
            service: key.service.to_string(),
            version: key.version.to_string(),
            zone: self.shared.zone.to_string(),
            peer: self.peer.clone(),
            slots: slots.unwrap_or(1),
            state: TargetState::Ready.into(),
            incarnation: self.incarnations.get(key).copied().unwrap_or_else(wall_us),
        };
        target.set_state(state);
        self.merge_target(target.clone(), monotonic_ms());
        if !self.changed.is_empty() {
            self.refresh();
        }
        let update = TargetUpdate { targets: vec![target], full: false, position: 0 };
        self.send_above(upward::Body::Targets(update));
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
}

fn service_spec<'a>(document: &'a Document, service: &str) -> Option<&'a ServiceSpec> {
    let key = ResourceKey::new(Kind::Services, service);
    match document.get(&key).map(|stored| &stored.resource) {
        Some(Resource::Service(spec)) => Some(spec),
        _ => None,
    }
}

impl Actor for NodeActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK, |actor, _| actor.tick());
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
            FromAbove::Closed => {
                self.above = None;
                self.is_linked = false;
            }
        }
    }
}

impl Handler<Announce> for NodeActor {
    type Result = ();

    fn handle(&mut self, message: Announce, _: &mut Self::Context) {
        if !self.shared.is_draining() {
            self.announce(message);
        }
    }
}

impl Handler<Withdraw> for NodeActor {
    type Result = Vec<Arc<Gate>>;

    fn handle(&mut self, message: Withdraw, _: &mut Self::Context) -> Self::Result {
        let wanted = |key: &TargetKey| {
            key.service == message.service.as_str()
                && message.version.as_ref().is_none_or(|version| *version == key.version)
        };
        let keys: Vec<TargetKey> =
            self.leases.iter().map(|(key, _)| key.clone()).filter(wanted).collect();
        for key in &keys {
            Event::TargetDrained.emit(&[("target", key)]);
        }
        self.withdraw(&keys, TargetState::Gone)
    }
}

impl Handler<Drain> for NodeActor {
    type Result = ();

    fn handle(&mut self, _: Drain, _: &mut Self::Context) {
        let keys: Vec<TargetKey> = self.leases.iter().map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.publish_target(key, TargetState::Leaving);
        }
    }
}

impl Handler<AskHealth> for NodeActor {
    type Result = NodeHealth;

    fn handle(&mut self, _: AskHealth, _: &mut Self::Context) -> NodeHealth {
        NodeHealth {
            version: self.shared.version().get(),
            held: self.feed.head().get(),
            linked: self.is_linked,
            ready: self.freshness == Freshness::Proved,
            targets: self.table.present().count(),
            locals: self.leases.iter().count(),
        }
    }
}
