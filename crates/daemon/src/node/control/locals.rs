//! Targets beside the node: their lives, their gates, and what others are told of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kingcuplift_config::{Document, Kind, Resource, ResourceKey, ServiceSpec};
use kingcuplift_core::{Event, PerSecond, ServiceName};
use kingcuplift_schema::control::{Target, TargetState, TargetUpdate, upward};
use kingcuplift_traffic::{AdmissionLimits, Lease, TargetKey, is_zone_out};
use smol_str::SmolStr;

use crate::clock::{monotonic_ms, wall_us};
use crate::node::control::messages::{Announce, Inherited, Life, Part, TargetDown};
use crate::node::control::{LEASE, NodeActor};
use crate::node::gate::Gate;
use crate::node::probe::ask_target;
use crate::node::shared::{LocalTarget, Locals};

/// Time after its start in which a node takes over targets known before, in milliseconds.
const INHERITANCE: u64 = 5_000;
/// Calls a second for a cold target whose service names no rate.
const DEFAULT_WARMUP_RATE: PerSecond = PerSecond::new(20.0);
/// Time for which calls that wait may still go to a target that leaves: half of what it grants at least.
const LINGER: Duration = Duration::from_secs(1);
/// Calls that may wait before a target whose service is not configured.
const DEFAULT_QUEUE: u32 = 100;

/// What the node knows of the life of a target beside it.
#[derive(Debug, Clone)]
pub(super) struct Known {
    pub(super) life: Life,
    /// Whether it took no connection since its last report.
    pub(super) is_down: bool,
    /// When the target is warm, on the node's clock, in milliseconds.
    pub(super) warm_at: u64,
}

impl NodeActor {
    /// Asks a target that was known before the node's start whether it is still there.
    ///
    /// Returns false for any other target.
    pub(super) fn ask_inherited(&self, target: &Target) -> bool {
        let key = TargetKey::of(target);
        let spec = service_spec(self.feed.document(), &key.service);
        let path = spec.and_then(|spec| spec.health_path.clone());
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
    pub(super) fn is_mistaken(&self, target: &Target) -> bool {
        let key = TargetKey::of(target);
        let instance = self.lives.get(&key).map_or("", |known| known.life.instance.as_str());
        match self.leases.get(&key) {
            Some(_) => target.state() != self.state_of(&key) || target.instance != instance,
            None => target.state() != TargetState::Gone,
        }
    }

    /// Makes the limits of the targets beside this node follow the configuration.
    pub(super) fn update_gates(&mut self) {
        let is_out = is_zone_out(self.feed.document(), self.shared.zone.as_str());
        let is_back = std::mem::replace(&mut self.is_out, is_out) && !is_out;
        let locals = self.shared.locals.load_full();
        let mut cold = Vec::new();
        for (key, lease) in self.leases.iter() {
            let Some(local) = locals.get(key) else { continue };
            local.gate.set_limits(self.limits(key, lease));
            self.follow_state(key, local);
            if !self.lives.contains_key(key) {
                continue;
            }
            // What it did while its zone got no calls is unknown; its next report says whether it is cold.
            let assumed = if is_back { self.warmup(key) } else { Duration::ZERO };
            let warmup = assumed.max(self.cold_for(key));
            if !warmup.is_zero() {
                local.gate.set_pace(self.warmup_rate(key), warmup);
            }
            if !assumed.is_zero() {
                cold.push((key.clone(), monotonic_ms() + assumed.as_millis() as u64));
            }
        }
        for (key, warm_at) in cold {
            if let Some(known) = self.lives.get_mut(&key) {
                known.warm_at = known.warm_at.max(warm_at);
            }
            self.publish_anew(&key);
        }
    }

    /// Opens or closes the gate of a target.
    fn follow_state(&self, key: &TargetKey, local: &LocalTarget) {
        match self.state_of(key) {
            TargetState::Ready if !self.is_out && !self.is_closing => local.gate.open(),
            _ => local.gate.close(LINGER),
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

    /// Returns for how long a target beside this node stays cold.
    fn cold_for(&self, key: &TargetKey) -> Duration {
        let warm_at = self.lives.get(key).map_or(0, |known| known.warm_at);
        Duration::from_millis(warm_at.saturating_sub(monotonic_ms()))
    }

    fn warmup(&self, key: &TargetKey) -> Duration {
        service_spec(self.feed.document(), &key.service).map_or(Duration::ZERO, |spec| spec.warmup)
    }

    fn warmup_rate(&self, key: &TargetKey) -> PerSecond {
        let spec = service_spec(self.feed.document(), &key.service);
        spec.and_then(|spec| spec.warmup_rate).unwrap_or(DEFAULT_WARMUP_RATE)
    }

    fn limits(&self, key: &TargetKey, lease: &Lease) -> AdmissionLimits {
        let service = service_spec(self.feed.document(), &key.service);
        let queue = service.map_or(DEFAULT_QUEUE, |spec| spec.queue);
        AdmissionLimits { slots: lease.slots, queue }
    }

    fn key(&self, service: &ServiceName, version: &SmolStr) -> TargetKey {
        TargetKey {
            service: SmolStr::new(service.as_str()),
            version: version.clone(),
            node: SmolStr::new(self.shared.name.as_str()),
        }
    }

    pub(super) fn announce(&mut self, message: Announce) {
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
        let was_cold = !self.cold_for(&key).is_zero();
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
        let is_cold = !self.cold_for(&key).is_zero();
        if changed || !same_life || before != self.state_of(&key) || is_cold != was_cold {
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
        self.lives.insert(
            key.clone(),
            Known {
                life: life.clone(),
                is_down: false,
                warm_at: monotonic_ms() + life.warmup.as_millis() as u64,
            },
        );
        same
    }

    /// Opens a gate for a target.
    fn add_local(
        &self,
        key: &TargetKey,
        address: SocketAddr,
        limits: AdmissionLimits,
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
    pub(super) fn target_down(&mut self, down: &TargetDown) {
        let Some(known) = self.lives.get_mut(&down.key) else { return };
        if known.life.instance != down.instance || known.is_down {
            return;
        }
        known.is_down = true;
        Event::TargetLost.emit(&[("target", &down.key), ("instance", &down.instance)]);
        if let Some(local) = self.shared.locals.load().get(&down.key) {
            local.gate.close(Duration::ZERO);
        }
        self.publish_anew(&down.key);
    }

    /// Takes a target out of service for good.
    pub(super) fn part(&mut self, part: &Part) {
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
    pub(super) fn withdraw(&mut self, keys: &[TargetKey], state: TargetState) -> Vec<Arc<Gate>> {
        let mut gates = Vec::new();
        for key in keys {
            self.raise_incarnation(key);
            self.publish_target(key, state);
            self.leases.remove(key);
            self.lives.remove(key);
        }
        self.change_locals(|locals| {
            for local in keys.iter().filter_map(|key| locals.remove(key)) {
                local.gate.close(LINGER);
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
    pub(super) fn publish_anew(&mut self, key: &TargetKey) {
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
            cold_ms: self.cold_for(key).as_millis() as u32,
        };
        target.set_state(state);
        self.merge_target(target.clone(), monotonic_ms());
        if !self.changed.is_empty() {
            self.refresh();
        }
        let update = TargetUpdate { targets: vec![target], full: false, position: 0 };
        self.send_above(upward::Body::Targets(update));
    }
}

fn service_spec<'a>(document: &'a Document, service: &str) -> Option<&'a ServiceSpec> {
    let key = ResourceKey::new(Kind::Services, service);
    match document.get(&key).map(|stored| &stored.resource) {
        Some(Resource::Service(spec)) => Some(spec),
        _ => None,
    }
}
