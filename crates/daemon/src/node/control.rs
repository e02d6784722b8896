//! Control plane of the node: receives configuration and targets from a relay and publishes the view for calls.

mod departures;
mod local_targets;
mod messages;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler};
use kingcuplift_config::{ApplyOutcome, Subscription, VersionedDocument};
use kingcuplift_core::{CallFingerprint, Event, ServiceName, Version};
use kingcuplift_keys::Role;
use kingcuplift_schema::control::{
    Directory, FreshnessReply, FreshnessRequest, Hello, Target, TargetState, TargetUpdate,
    UpdateFrame, Upward, downward, upward,
};
use kingcuplift_traffic::{
    AdmissionPolicy, Departures, Leases, MergeResult, RoutingView, TargetKey, TargetTable,
};
use smol_str::SmolStr;
use tokio::sync::mpsc;

pub(crate) use self::messages::{
    Announce, ApplySettings, Deregister, Drain, GetHealth, InstanceReport, Withdraw,
};

use self::departures::PendingConfirmations;
use self::local_targets::KnownInstance;
pub(crate) use self::local_targets::QUEUE_GRACE;
use crate::clock::{US_PER_MS, monotonic_ms, wall_us};
use crate::link::Endpoint;
use crate::metrics;
use crate::node::shared::NodeShared;
use crate::refused_update::apply_update;
use crate::upstream::{LinkMeter, Upstream, UpstreamAddresses, UpstreamEvent};

/// Interval of the checks for expired leases, departures to repeat, and changed losses of local targets.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the reports of call statistics by target version.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(100);
/// Duration of a target's lease after an announcement, in milliseconds.
pub(crate) const LEASE_MS: u64 = 6_000;

/// Whether the received configuration is confirmed to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    /// No reply to the freshness request yet.
    Unconfirmed,
    /// The reply requires at least this version.
    Required(Version),
    /// A version that was current after the node's start has been received.
    Confirmed,
}

/// Actor of the node role.
#[derive(Debug)]
pub struct NodeActor {
    shared: Arc<NodeShared>,
    peer_address: String,
    services: Vec<ServiceName>,
    subscription: Subscription,
    upstream: Option<Upstream>,
    relay_sender: Option<mpsc::Sender<Upward>>,
    /// Address of the relay of the latest link.
    relay_address: Option<SocketAddr>,
    /// Whether the relay has sent anything on the current link; until then it may still refuse the link.
    is_linked: bool,
    config: VersionedDocument,
    table: TargetTable,
    leases: Leases,
    incarnations: HashMap<TargetKey, u64>,
    instances: HashMap<TargetKey, KnownInstance>,
    departures: Departures,
    pending_confirmations: PendingConfirmations,
    relay_addresses: UpstreamAddresses,
    /// Whether the node's availability zone is out of service.
    is_zone_out: bool,
    /// Whether the node refuses new calls for its targets because it is shutting down.
    is_closing: bool,
    /// Address of the local target, if configured.
    target: Option<SocketAddr>,
    started_ms: u64,
    actor_address: Option<Addr<Self>>,
    view: RoutingView,
    /// Admission policy of the local targets, by the view in force.
    admission_policy: AdmissionPolicy,
    /// Services whose targets have changed since the last update of the view.
    changed_services: BTreeSet<SmolStr>,
    freshness: Freshness,
}

impl NodeActor {
    /// Creates a node that connects to one of the relays at `relays`.
    pub fn new(
        shared: Arc<NodeShared>,
        peer_address: String,
        services: Vec<ServiceName>,
        endpoint: Endpoint,
        relays: Vec<SocketAddr>,
        meter: Arc<LinkMeter>,
    ) -> Self {
        let role = Role::Relay;
        let relay_addresses = UpstreamAddresses::new(relays);
        Self {
            shared,
            peer_address,
            subscription: Subscription::new(services.iter().cloned()),
            services,
            upstream: Some(Upstream { endpoint, role, addresses: relay_addresses.clone(), meter }),
            relay_sender: None,
            relay_address: None,
            is_linked: false,
            config: VersionedDocument::default(),
            table: TargetTable::default(),
            leases: Leases::default(),
            incarnations: HashMap::new(),
            instances: HashMap::new(),
            departures: Departures::default(),
            pending_confirmations: PendingConfirmations::default(),
            relay_addresses,
            is_zone_out: false,
            is_closing: false,
            target: None,
            started_ms: monotonic_ms(),
            actor_address: None,
            view: RoutingView::default(),
            admission_policy: AdmissionPolicy::default(),
            changed_services: BTreeSet::new(),
            freshness: Freshness::Unconfirmed,
        }
    }

    /// Sets the address of the local target.
    #[must_use]
    pub fn with_target(mut self, target: Option<SocketAddr>) -> Self {
        self.target = target;
        self
    }

    /// Sends a message to the relay; returns false if it was dropped, as there is no link or its queue is full.
    ///
    /// A new link begins with the complete state.
    fn send_to_relay(&self, body: upward::Body) -> bool {
        let message = Upward { body: Some(body) };
        self.relay_sender.as_ref().is_some_and(|sender| sender.try_send(message).is_ok())
    }

    fn handle_link_opened(&mut self, relay_sender: mpsc::Sender<Upward>) {
        self.relay_sender = Some(relay_sender);
        self.is_linked = false;
        let hello = Hello {
            name: self.shared.name.to_string(),
            zone: self.shared.zone.to_string(),
            version: self.config.head().get(),
            digest: self.config.digest(&self.subscription).to_bytes().to_vec(),
            services: self.services.iter().map(ToString::to_string).collect(),
        };
        self.send_to_relay(upward::Body::Hello(hello));
        if self.freshness != Freshness::Confirmed {
            self.freshness = Freshness::Unconfirmed;
            self.send_to_relay(upward::Body::Freshness(FreshnessRequest { request: 1 }));
        }
        let keys: Vec<TargetKey> = self.leases.iter().map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.republish_target(&key);
        }
        self.send_departure();
        self.report_applied();
    }

    fn handle_downward(&mut self, body: downward::Body) {
        self.is_linked = true;
        match body {
            downward::Body::Update(frame) => self.apply_update(&frame),
            downward::Body::Targets(update) => self.merge_targets(update),
            downward::Body::Freshness(reply) => self.handle_freshness_reply(reply),
            downward::Body::Directory(directory) => self.update_relay_addresses(&directory),
            downward::Body::Departures(list) => self.learn_departures(&list.departures),
            downward::Body::Beat(_) | downward::Body::Redirect(_) => {}
        }
    }

    /// Updates the relay addresses from a directory; those in the node's own availability zone come first.
    fn update_relay_addresses(&self, directory: &Directory) {
        let own_zone = self.shared.zone.as_str();
        let mut places: Vec<_> = directory.places.iter().collect();
        places.sort_by_key(|place| place.zone != own_zone);
        self.relay_addresses
            .set_discovered(places.iter().filter_map(|place| place.relay.parse().ok()).collect());
    }

    fn apply_update(&mut self, frame: &UpdateFrame) {
        match apply_update(&mut self.config, frame, &self.subscription) {
            Ok(ApplyOutcome::Applied) => self.publish_view(),
            Ok(ApplyOutcome::Stale) => {}
            Err(refused) => {
                refused.emit(self.relay_address);
                self.send_to_relay(upward::Body::Resync(true));
            }
        }
    }

    fn merge_targets(&mut self, update: TargetUpdate) {
        let now = monotonic_ms();
        let mut inaccurate = Vec::new();
        for target in update.targets {
            let is_own = target.node == self.shared.name.as_str();
            if is_own && self.is_adopting() {
                self.restore_limit(&target);
            }
            if is_own && self.check_known_target(&target) {
                let known = self.incarnations.entry(TargetKey::of(&target)).or_default();
                *known = (*known).max(target.incarnation);
            } else if is_own && self.is_inaccurate(&target) {
                inaccurate.push(TargetKey::of(&target));
                let known = self.incarnations.entry(TargetKey::of(&target)).or_default();
                *known = (*known).max(target.incarnation);
            }
            self.merge_target(target, now);
        }
        for key in inaccurate {
            self.republish_target(&key);
        }
        self.update_node_count();
        if !self.changed_services.is_empty() {
            self.publish_view();
        }
    }

    fn update_node_count(&self) {
        let nodes: HashSet<&SmolStr> = self.table.present().map(|(key, _)| &key.node).collect();
        self.shared.node_count.store(nodes.len().max(1), Ordering::Relaxed);
    }

    fn merge_target(&mut self, target: Target, now_ms: u64) {
        let service = SmolStr::new(&target.service);
        self.record_crashes(&target, now_ms);
        if self.table.merge(target, now_ms) == MergeResult::Changed {
            self.changed_services.insert(service);
        }
    }

    /// Records the requests that a target ran when it ended.
    fn record_crashes(&self, target: &Target, now_ms: u64) {
        let (node, wall_now_us) = (SmolStr::new(&target.node), wall_us());
        for crash in &target.crashes {
            // Crashes are numbered by the time of day.
            let age_ms = wall_now_us.saturating_sub(crash.id) / US_PER_MS;
            let crashed_ms = now_ms.saturating_sub(age_ms);
            let requests = crash.requests.iter().map(|number| CallFingerprint::new(*number));
            let requests: Vec<_> = requests.collect();
            let mut quarantine = self.shared.quarantine();
            for request in quarantine.record_crash(&node, crash.id, &requests, crashed_ms) {
                let key = TargetKey::of(target);
                Event::RequestQuarantined.emit(&[("request", &request), ("target", &key)]);
            }
        }
    }

    fn handle_freshness_reply(&mut self, reply: FreshnessReply) {
        if self.freshness != Freshness::Confirmed {
            self.freshness = Freshness::Required(Version::new(reply.head));
            self.publish_view();
        }
    }

    /// Puts the received configuration and targets in force, once the configuration is confirmed to be current.
    fn publish_view(&mut self) {
        match self.freshness {
            Freshness::Unconfirmed => return,
            Freshness::Required(version) if self.config.head() < version => return,
            Freshness::Required(_) => self.freshness = Freshness::Confirmed,
            Freshness::Confirmed => {}
        }
        if self.config.head() == Version::default() {
            // Without a configuration, calls fail as "not ready" rather than as "route not found".
            return;
        }
        self.view.update(&self.config, &self.table, &self.changed_services);
        self.changed_services.clear();
        let version = self.config.head();
        let before = self.shared.version();
        self.shared.set_view(self.view.clone());
        self.update_local_targets();
        metrics::VERSION.set(i64::try_from(version.get()).unwrap_or(i64::MAX));
        if version != before {
            Event::VersionApplied.emit(&[("version", &version)]);
        }
        self.report_applied();
    }

    fn report_applied(&self) {
        self.send_to_relay(upward::Body::Applied(self.shared.version().get()));
    }

    fn expire_leases(&mut self) {
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

    /// Sends the call statistics by target version to the relay.
    fn report_evidence(&self) {
        let send = |evidence| self.send_to_relay(upward::Body::Evidence(evidence));
        self.shared.evidence().report(monotonic_ms(), send);
    }
}

impl Actor for NodeActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(LEASE_CHECK_INTERVAL, |actor, _| {
            actor.expire_leases();
            actor.send_departure();
            actor.announce_losses();
        });
        ctx.run_interval(EVIDENCE_INTERVAL, |actor, _| {
            actor.report_evidence();
            actor.report_crashes();
        });
        // Setting the recipient fails only for a second actor on the same state, which is a bug.
        drop(self.shared.control.set(ctx.address().recipient()));
        self.actor_address = Some(ctx.address());
        if let Some(upstream) = self.upstream.take() {
            actix::spawn(upstream.run(ctx.address().recipient()));
        }
    }
}

impl Handler<UpstreamEvent> for NodeActor {
    type Result = ();

    fn handle(&mut self, message: UpstreamEvent, _: &mut Self::Context) {
        match message {
            UpstreamEvent::Opened(address, relay_sender) => {
                self.relay_address = Some(address);
                self.handle_link_opened(relay_sender);
            }
            UpstreamEvent::Received(body) => self.handle_downward(*body),
            UpstreamEvent::Heartbeat(_) => {}
            UpstreamEvent::Closed => {
                self.relay_sender = None;
                self.is_linked = false;
            }
        }
    }
}
