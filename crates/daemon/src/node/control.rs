//! Receives configuration and targets from a relay and prepares what calls read.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message};
use kingcuplift_config::{
    Applied, Document, Feed, Kind, Resource, ResourceKey, ServiceSpec, Subscription, decode_update,
};
use kingcuplift_core::{Event, PerSecond, ServiceName, Version};
use kingcuplift_keys::Role;
use kingcuplift_schema::control::{
    Directory, FreshnessReply, FreshnessRequest, Hello, Target, TargetState, TargetUpdate,
    UpdateFrame, Upward, downward, upward,
};
use kingcuplift_traffic::{Lease, Leases, Limits, Merge, TargetKey, TargetTable, View, is_out};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::clock::{monotonic_ms, wall_us};
use crate::link::Endpoint;
use crate::metrics;
use crate::node::gate::Gate;
use crate::node::probe::ask_target;
use crate::node::shared::{LocalTarget, Locals, NodeShared};
use crate::upstream::{Addresses, FromAbove, LinkMeter, Upstream};

/// Time between checks of leases.
const TICK: Duration = Duration::from_millis(200);
/// Time between reports of what calls show of target versions.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an announcement is valid, in milliseconds.
pub(crate) const LEASE: u64 = 6_000;
/// Time after its start in which a node takes over targets known before, in milliseconds.
const INHERITANCE: u64 = 5_000;
/// Calls a second for a cold target whose service names no rate.
const DEFAULT_WARMUP_RATE: PerSecond = PerSecond::new(20.0);
/// Calls that may wait before a target whose service is not configured.
const DEFAULT_QUEUE: u32 = 100;

/// Announces a target or renews its lease.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Announce {
    pub(crate) service: ServiceName,
    pub(crate) version: SmolStr,
    pub(crate) address: SocketAddr,
    pub(crate) slots: Option<u32>,
    /// What the target says of its present life; absent where it says nothing of the kind.
    pub(crate) life: Option<Life>,
}

/// What a target says of its present life.
#[derive(Debug, Clone)]
pub(crate) struct Life {
    /// Name that it gave itself at its start.
    pub(crate) instance: SmolStr,
    /// When it started, in milliseconds since the Unix epoch.
    pub(crate) born: u64,
    /// Rises with each report.
    pub(crate) sequence: u64,
    pub(crate) is_leaving: bool,
    /// Time for which it stays cold.
    pub(crate) warmup: Duration,
}

/// Says that a target leaves; its calls in flight finish.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Part {
    pub(crate) instance: SmolStr,
    /// When it started; 0 when it does not say.
    pub(crate) born: u64,
}

/// Says that a target takes no connections.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct TargetDown {
    pub(crate) key: TargetKey,
    pub(crate) instance: SmolStr,
}

impl TargetDown {
    /// Tells the node's actor; a later call tells it again if it is too busy.
    pub(crate) fn send(self, shared: &NodeShared) {
        if let Some(control) = shared.control.get() {
            drop(control.try_send(self));
        }
    }
}

/// What the node knows of the life of a target beside it.
#[derive(Debug, Clone)]
struct Known {
    life: Life,
    /// Whether it took no connection since its last report.
    is_down: bool,
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
    pub(crate) stopping: bool,
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
        let addresses = Addresses::new(relays);
        Self {
            shared,
            peer,
            subscription: Subscription::new(services.iter().cloned()),
            services,
            upstream: Some(Upstream { endpoint, role, addresses: addresses.clone(), meter }),
            above: None,
            is_linked: false,
            feed: Feed::default(),
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
            view: View::default(),
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
            downward::Body::Suspect(_) | downward::Body::Beat(_) | downward::Body::Redirect(_) => {}
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

    /// Asks a target that was known before the node's start whether it is still there.
    ///
    /// Returns false for any other target.
    fn ask_inherited(&self, target: &Target) -> bool {
        let key = TargetKey::of(target);
        let spec = service_spec(self.feed.document(), &key.service);
        let path = spec.and_then(|spec| spec.health.clone());
        let (Some(address), Some(path)) = (self.target, path) else { return false };
        let is_known = self.leases.get(&key).is_some() || target.instance.is_empty();
        let is_gone = target.state() == TargetState::Gone;
        let Some(actor) = self.own.clone() else { return false };
        if is_known || is_gone || monotonic_ms() > self.started_ms + INHERITANCE {
            return false;
        }
        let (shared, target) = (Arc::clone(&self.shared), target.clone());
        actix::spawn(async move {
            let warmup = ask_target(&shared.headers, address, &path, &target.instance).await;
            actor.do_send(Inherited { target, address, warmup });
        });
        true
    }

    /// Returns whether others know something of a target beside this node that is not so.
    fn is_mistaken(&self, target: &Target) -> bool {
        let key = TargetKey::of(target);
        let instance = self.lives.get(&key).map_or("", |known| known.life.instance.as_str());
        match self.leases.get(&key) {
            Some(_) => target.state() != self.state_of(&key) || target.instance != instance,
            None => target.state() != TargetState::Gone,
        }
    }

    /// Counts the nodes that have a target.
    fn count_nodes(&self) {
        let nodes: HashSet<&SmolStr> = self.table.present().map(|(key, _)| &key.node).collect();
        self.shared.nodes.store(nodes.len().max(1), Ordering::Relaxed);
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
    fn update_gates(&mut self) {
        let is_out = is_out(self.feed.document(), self.shared.zone.as_str());
        let is_back = std::mem::replace(&mut self.is_out, is_out) && !is_out;
        let locals = self.shared.locals.load_full();
        for (key, lease) in self.leases.iter() {
            let Some(local) = locals.get(key) else { continue };
            local.gate.set_limits(self.limits(key, lease));
            self.follow_state(key, local);
            if is_back && let Some(known) = self.lives.get(key) {
                // What it did while it got no calls is unknown; its next report says whether it is cold.
                let warmup = self.warmup(key).max(known.life.warmup);
                local.gate.set_pace(self.warmup_rate(key), warmup);
            }
        }
    }

    /// Opens or closes the gate of a target.
    fn follow_state(&self, key: &TargetKey, local: &LocalTarget) {
        match self.state_of(key) {
            TargetState::Ready if !self.is_out && !self.is_closing => local.gate.open(),
            _ => local.gate.close(),
        }
    }

    /// Returns the state of a target beside this node.
    fn state_of(&self, key: &TargetKey) -> TargetState {
        let is_ready =
            self.lives.get(key).is_none_or(|known| !known.life.is_leaving && !known.is_down);
        match self.leases.get(key) {
            None => TargetState::Gone,
            Some(_) if is_ready && !self.shared.is_draining() => TargetState::Ready,
            Some(_) => TargetState::Leaving,
        }
    }

    fn warmup(&self, key: &TargetKey) -> Duration {
        service_spec(self.feed.document(), &key.service).map_or(Duration::ZERO, |spec| spec.warmup)
    }

    fn warmup_rate(&self, key: &TargetKey) -> PerSecond {
        let spec = service_spec(self.feed.document(), &key.service);
        spec.and_then(|spec| spec.warmup_rate).unwrap_or(DEFAULT_WARMUP_RATE)
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
        if let Some(life) = &message.life {
            if self.is_outdated(life, message.address) {
                return;
            }
            self.end_earlier_lives(&key, life, message.address);
        }
        let spec = service_spec(self.feed.document(), &key.service);
        let slots = message.slots.or_else(|| spec.map(|spec| spec.slots));
        let lease = Lease {
            address: message.address.to_string(),
            slots: slots.unwrap_or(1).max(1),
            until_ms: monotonic_ms() + LEASE,
        };
        let limits = self.limits(&key, &lease);
        let before = self.state_of(&key);
        let changed = self.leases.renew(key.clone(), lease);
        let same_life = self.follow_life(&key, message.life.as_ref());
        let locals = self.shared.locals.load();
        let held = locals.get(&key).filter(|held| same_life && held.address == message.address);
        let local = match held {
            Some(held) => Arc::clone(held),
            None => self.add_local(&key, message.address, limits, message.life.as_ref()),
        };
        if let Some(life) = &message.life {
            match life.warmup.is_zero() {
                true => local.gate.clear_pace(),
                false => local.gate.set_pace(self.warmup_rate(&key), life.warmup),
            }
        }
        local.gate.set_limits(limits);
        self.follow_state(&key, &local);
        if changed || !same_life || before != self.state_of(&key) {
            self.publish_anew(&key);
        }
    }

    /// Returns whether a report is older than what is known of the target at its address.
    fn is_outdated(&self, life: &Life, address: SocketAddr) -> bool {
        let address = address.to_string();
        let at_address =
            |key: &TargetKey| self.leases.get(key).is_some_and(|lease| lease.address == address);
        let known = self.lives.iter().filter(|(key, _)| at_address(key));
        let newest = known.map(|(_, known)| (known.life.born, known.life.sequence)).max();
        (life.born != 0 && life.born <= self.ended)
            || newest.is_some_and(|newest| (life.born, life.sequence) <= newest)
    }

    /// Ends the lives at the same address that came before a reported one.
    fn end_earlier_lives(&mut self, key: &TargetKey, life: &Life, address: SocketAddr) {
        let address = address.to_string();
        let is_earlier = |held: &TargetKey, lease: &Lease| {
            let known = self.lives.get(held);
            lease.address == address
                && (held != key || known.is_some_and(|known| known.life.born != life.born))
        };
        let earlier: Vec<TargetKey> = self
            .leases
            .iter()
            .filter(|(held, lease)| is_earlier(held, lease))
            .map(|(held, _)| held.clone())
            .collect();
        for held in earlier {
            self.withdraw(&[held], TargetState::Gone);
        }
    }

    /// Remembers what a target says of its life; returns whether it is the life known before.
    fn follow_life(&mut self, key: &TargetKey, life: Option<&Life>) -> bool {
        let Some(life) = life else { return true };
        let held = self.lives.get(key).map(|known| (known.life.born, known.life.instance.clone()));
        let same = held == Some((life.born, life.instance.clone()));
        self.lives.insert(key.clone(), Known { life: life.clone(), is_down: false });
        same
    }

    /// Opens a gate for a target.
    fn add_local(
        &self,
        key: &TargetKey,
        address: SocketAddr,
        limits: Limits,
        life: Option<&Life>,
    ) -> Arc<LocalTarget> {
        Event::TargetAnnounced.emit(&[("target", key), ("address", &address)]);
        let gate = match (self.shared.locals.load().get(key), life) {
            (Some(local), None) => Arc::clone(&local.gate),
            (_, Some(_)) => Arc::new(Gate::stated(limits)),
            (None, None) => Arc::new(Gate::learning(limits)),
        };
        let instance = life.map(|life| life.instance.clone()).unwrap_or_default();
        let local = Arc::new(LocalTarget { address, instance, gate });
        self.change_locals(|locals| drop(locals.insert(key.clone(), Arc::clone(&local))));
        local
    }

    /// Takes a target out of service that takes no connections, until it reports again.
    fn target_down(&mut self, down: &TargetDown) {
        let Some(known) = self.lives.get_mut(&down.key) else { return };
        if known.life.instance != down.instance || known.is_down {
            return;
        }
        known.is_down = true;
        Event::TargetLost.emit(&[("target", &down.key), ("instance", &down.instance)]);
        if let Some(local) = self.shared.locals.load().get(&down.key) {
            local.gate.close();
        }
        self.publish_anew(&down.key);
    }

    /// Takes a target out of service for good.
    fn part(&mut self, part: &Part) {
        let is_meant = |known: &Known| {
            known.life.instance == part.instance && (part.born == 0 || part.born == known.life.born)
        };
        let found = self.lives.iter().find(|(_, known)| is_meant(known));
        let Some((key, born)) = found.map(|(key, known)| (key.clone(), known.life.born)) else {
            return;
        };
        self.ended = self.ended.max(born);
        Event::TargetDrained.emit(&[("target", &key)]);
        self.withdraw(&[key], TargetState::Gone);
    }

    /// Ends leases and returns the gates whose calls have yet to finish.
    fn withdraw(&mut self, keys: &[TargetKey], state: TargetState) -> Vec<Arc<Gate>> {
        let mut gates = Vec::new();
        for key in keys {
            self.raise_incarnation(key);
            self.publish_target(key, state);
            self.leases.remove(key);
            self.lives.remove(key);
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

    /// Tells the relay, and this node itself, of a target beside this node as it is now.
    fn publish_anew(&mut self, key: &TargetKey) {
        self.raise_incarnation(key);
        self.publish_target(key, self.state_of(key));
    }

    /// Makes the next word on a target newer than all before, also if the time of day went back.
    fn raise_incarnation(&mut self, key: &TargetKey) {
        let known = self.incarnations.entry(key.clone()).or_default();
        *known = wall_us().max(*known + 1);
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
            instance: self
                .lives
                .get(key)
                .map(|known| known.life.instance.to_string())
                .unwrap_or_default(),
            born: self.lives.get(key).map_or(0, |known| known.life.born),
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

    /// Tells the relay what calls have shown of target versions.
    fn report_evidence(&self) {
        if let Some(evidence) = self.shared.evidence().take() {
            self.send_above(upward::Body::Evidence(evidence));
        }
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

impl Handler<Announce> for NodeActor {
    type Result = ();

    fn handle(&mut self, message: Announce, _: &mut Self::Context) {
        if !self.is_closing {
            self.announce(message);
        }
    }
}

/// Takes over the relays and the service of changed settings.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Resettle {
    pub(crate) relays: Vec<SocketAddr>,
    pub(crate) service: Option<ServiceName>,
}

impl Handler<Resettle> for NodeActor {
    type Result = ();

    fn handle(&mut self, changed: Resettle, _: &mut Self::Context) {
        self.addresses.settle(changed.relays);
        self.shared.service.store(changed.service.map(Arc::new));
    }
}

/// What became of a question to a target whether it is still the one known before the node's start.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Inherited {
    target: Target,
    address: SocketAddr,
    /// Time for which the target says that it stays cold.
    warmup: Option<Duration>,
}

impl Handler<Inherited> for NodeActor {
    type Result = ();

    fn handle(&mut self, found: Inherited, _: &mut Self::Context) {
        let key = TargetKey::of(&found.target);
        let (Some(warmup), false) = (found.warmup, self.leases.get(&key).is_some()) else { return };
        let Ok(service) = found.target.service.parse() else { return };
        self.announce(Announce {
            service,
            version: key.version,
            address: found.address,
            slots: Some(found.target.slots),
            life: Some(Life {
                instance: SmolStr::new(&found.target.instance),
                born: found.target.born,
                // Any report of its own is newer.
                sequence: 0,
                is_leaving: false,
                warmup,
            }),
        });
    }
}

impl Handler<Part> for NodeActor {
    type Result = ();

    fn handle(&mut self, message: Part, _: &mut Self::Context) {
        self.part(&message);
    }
}

impl Handler<TargetDown> for NodeActor {
    type Result = ();

    fn handle(&mut self, message: TargetDown, _: &mut Self::Context) {
        self.target_down(&message);
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
        self.is_closing = true;
        let keys: Vec<TargetKey> = self.leases.iter().map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.publish_anew(key);
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
            stopping: self.shared.is_draining(),
            targets: self.table.present().count(),
            locals: self.leases.iter().count(),
        }
    }
}
