//! Local targets: registration, admission limits and announcement to other nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kingcuplift_config::{Document, Kind, Resource, ResourceKey, ServiceSpec};
use kingcuplift_core::{Event, PerSecond, ServiceName};
use kingcuplift_schema::control::{Crash, Target, TargetState, TargetUpdate, upward};
use kingcuplift_traffic::{AdmissionLimits, Lease, TargetKey, WarmupPace, is_zone_out};
use smol_str::SmolStr;

use crate::clock::{monotonic_ms, wall_ms, wall_us};
use crate::node::admission::AdmissionController;
use crate::node::control::messages::{Announce, Deregister, InstanceReport, KnownTargetChecked};
use crate::node::control::{LEASE_MS, NodeActor};
use crate::node::probe::check_health;
use crate::node::shared::{LocalTarget, LocalTargets};

/// Time after its start in which a node adopts targets that were known before, in milliseconds.
const ADOPTION_WINDOW_MS: u64 = 5_000;
/// Rate limit of a cold target whose service is not known yet.
const DEFAULT_WARMUP_RATE: PerSecond = PerSecond::new(20.0);
/// Time for which queued calls may still go to a leaving target: half of the minimum notice that it gives.
pub(crate) const QUEUE_GRACE: Duration = Duration::from_secs(1);
/// Queue limit of a target whose service is not configured.
const DEFAULT_QUEUE: u32 = 100;

/// State of a local target that reports on itself.
#[derive(Debug, Clone)]
pub(super) struct KnownInstance {
    pub(super) report: InstanceReport,
    /// Whether it has refused a connection since its last report.
    pub(super) is_down: bool,
    /// End of its warm-up, on the node's monotonic clock, in milliseconds.
    pub(super) warm_at_ms: u64,
}

impl NodeActor {
    /// Returns whether the node has started so recently that it takes over what was announced of its targets before.
    pub(super) fn is_adopting(&self) -> bool {
        monotonic_ms() <= self.started_ms + ADOPTION_WINDOW_MS
    }

    /// Starts a health check of a target that was known before the node's start, to adopt it if it still runs.
    ///
    /// Returns false for any other target.
    pub(super) fn check_known_target(&self, target: &Target) -> bool {
        let key = TargetKey::of(target);
        let spec = service_spec(self.config.document(), &key.service);
        let path = spec.and_then(|spec| spec.health_check_path.clone());
        let (Some(address), Some(path)) = (self.target, path) else { return false };
        let is_known = self.leases.get(&key).is_some() || target.instance.is_empty();
        let is_gone = target.state() == TargetState::Gone;
        let Some(actor) = self.actor_address.clone() else { return false };
        let has_ended = self.departures.has_ended(&target.instance, target.born, monotonic_ms());
        if is_known || is_gone || has_ended || !self.is_adopting() {
            return false;
        }
        let (shared, target) = (Arc::clone(&self.shared), target.clone());
        actix::spawn(async move {
            let health = check_health(&shared.headers, address, &path, &target.instance).await;
            actor.do_send(KnownTargetChecked { target, address, health });
        });
        true
    }

    /// Takes the local targets out of service that have ended, also those that were announced before this node's start.
    pub(super) fn withdraw_departed(&mut self) {
        let now = monotonic_ms();
        let is_own = |key: &TargetKey| key.node == self.shared.name.as_str();
        let has_ended =
            |target: &Target| self.departures.has_ended(&target.instance, target.born, now);
        let announced =
            self.table.present().filter(|(key, target)| is_own(key) && has_ended(target));
        let mut ended: BTreeMap<TargetKey, u64> =
            announced.map(|(key, target)| (key.clone(), target.incarnation)).collect();
        for (key, _) in self.instances.iter().filter(|(_, known)| self.has_ended(&known.report)) {
            ended.entry(key.clone()).or_default();
        }
        if ended.is_empty() {
            return;
        }
        for (key, incarnation) in &ended {
            Event::TargetDrained.emit(&[("target", key)]);
            // The announcement may be from before this node's start, by a clock that was ahead.
            let known = self.incarnations.entry(key.clone()).or_default();
            *known = (*known).max(*incarnation);
        }
        let ended: Vec<TargetKey> = ended.into_keys().collect();
        self.withdraw(&ended, TargetState::Gone);
    }

    /// Returns whether a report is from an instance that has ended for good.
    pub(super) fn has_ended(&self, report: &InstanceReport) -> bool {
        self.departures.has_ended(&report.instance, report.start_time_ms, monotonic_ms())
    }

    /// Returns whether the relay's record of a local target differs from its state here.
    pub(super) fn is_inaccurate(&self, target: &Target) -> bool {
        let key = TargetKey::of(target);
        let instance = self.instances.get(&key).map_or("", |known| known.report.instance.as_str());
        match self.leases.get(&key) {
            Some(_) => target.state() != self.state_of(&key) || target.instance != instance,
            None => target.state() != TargetState::Gone,
        }
    }

    /// Applies the configuration to the limits of the local targets.
    pub(super) fn update_local_targets(&mut self) {
        let is_out = is_zone_out(self.config.document(), self.shared.zone.as_str());
        let is_back = std::mem::replace(&mut self.is_zone_out, is_out) && !is_out;
        let local_targets = self.shared.local_targets.load_full();
        let mut cold = Vec::new();
        let policy = self.view.admission_policy();
        if std::mem::replace(&mut self.admission_policy, policy) != policy {
            Event::AdmissionChanged.emit(&[("policy", &policy)]);
        }
        for (key, lease) in self.leases.iter() {
            let Some(local) = local_targets.get(key) else { continue };
            local.admission.set_policy(policy);
            local.admission.set_limits(self.admission_limits(key, lease));
            self.update_admission(key, local);
            if !self.instances.contains_key(key) {
                continue;
            }
            // The target may have gone cold while its zone received no calls; its next report states its warm-up.
            let assumed = if is_back { self.configured_warmup(key) } else { Duration::ZERO };
            let warmup = assumed.max(self.remaining_warmup(key));
            if !warmup.is_zero() {
                self.limit_cold_target(key, local, warmup);
            }
            if !assumed.is_zero() {
                cold.push((key.clone(), monotonic_ms() + assumed.as_millis() as u64));
            }
        }
        for (key, warm_at_ms) in cold {
            if let Some(known) = self.instances.get_mut(&key) {
                known.warm_at_ms = known.warm_at_ms.max(warm_at_ms);
            }
            self.republish_target(&key);
        }
    }

    /// Opens or closes the admission of a target by its state.
    pub(super) fn update_admission(&self, key: &TargetKey, local: &LocalTarget) {
        match self.state_of(key) {
            TargetState::Ready if !self.is_zone_out && !self.is_closing => local.admission.open(),
            _ => local.admission.close(QUEUE_GRACE),
        }
    }

    fn state_of(&self, key: &TargetKey) -> TargetState {
        let is_ready =
            self.instances.get(key).is_none_or(|known| !known.report.is_leaving && !known.is_down);
        let local_targets = self.shared.local_targets.load();
        let is_leaving = local_targets.get(key).is_some_and(|local| local.stated().is_leaving());
        match self.leases.get(key) {
            None => TargetState::Gone,
            Some(_) if is_ready && !is_leaving && !self.shared.is_draining() => TargetState::Ready,
            Some(_) => TargetState::Leaving,
        }
    }

    /// Returns the remaining warm-up time of a local target.
    fn remaining_warmup(&self, key: &TargetKey) -> Duration {
        let warm_at_ms = self.instances.get(key).map_or(0, |known| known.warm_at_ms);
        Duration::from_millis(warm_at_ms.saturating_sub(monotonic_ms()))
    }

    /// Returns the announced fraction of lost answers of a local target, in thousandths.
    fn announced_losses(&self, key: &TargetKey) -> u32 {
        let local_targets = self.shared.local_targets.load();
        local_targets.get(key).map_or(0, |local| local.losses().announced())
    }

    /// Returns the limit that a local target states.
    fn stated_limit(&self, key: &TargetKey) -> Option<PerSecond> {
        let local_targets = self.shared.local_targets.load();
        local_targets.get(key).and_then(|local| local.stated().limit())
    }

    /// Restores the limit of a local target that was announced before this node's start.
    pub(super) fn restore_limit(&self, target: &Target) {
        let local_targets = self.shared.local_targets.load();
        let local = local_targets.get(&TargetKey::of(target));
        if let Some(local) = local.filter(|local| local.instance == target.instance) {
            local.restore_limit(target.rate_limit.map(PerSecond::new));
        }
    }

    /// Announces the local targets whose fraction of lost answers has changed.
    pub(super) fn announce_losses(&mut self) {
        let now = monotonic_ms();
        let local_targets = self.shared.local_targets.load_full();
        for (key, local) in local_targets.iter() {
            let Some(lost_permille) = local.losses().poll(now) else { continue };
            Event::TargetLosses.emit(&[("target", key), ("lost_permille", &lost_permille)]);
            self.republish_target(key);
        }
    }

    /// Logs and announces the local targets that ended while they ran calls.
    pub(super) fn report_crashes(&mut self) {
        let crashes = self.shared.crash_log().poll(wall_us(), monotonic_ms());
        for crash in &crashes {
            let suspects: Vec<_> = crash.suspects.iter().map(ToString::to_string).collect();
            Event::TargetCrashed.emit(&[
                ("target", &crash.key),
                ("crash", &crash.id),
                ("calls", &suspects.len()),
                ("requests", &suspects.join(",")),
            ]);
            self.republish_target(&crash.key);
        }
    }

    /// Returns the recent crashes of a local target.
    fn recent_crashes(&self, key: &TargetKey) -> Vec<Crash> {
        let log = self.shared.crash_log();
        let crashes = log.crashes().filter(|crash| crash.key == *key).map(|crash| Crash {
            id: crash.id,
            requests: crash.suspects.iter().map(|request| request.get()).collect(),
        });
        crashes.collect()
    }

    fn configured_warmup(&self, key: &TargetKey) -> Duration {
        service_spec(self.config.document(), &key.service)
            .map_or(Duration::ZERO, |spec| spec.warmup)
    }

    /// Returns the pace of calls to a local target while it is cold; `None` if its service configures no rate.
    ///
    /// Such a target is slow while it is cold, but bears calls in all its slots.
    fn warmup_pace(&self, key: &TargetKey) -> Option<WarmupPace> {
        let rate = match service_spec(self.config.document(), &key.service) {
            Some(spec) => spec.warmup_rate?,
            None => DEFAULT_WARMUP_RATE,
        };
        Some(self.shared.warmup_tolerance.pace(rate))
    }

    /// Limits the pace of calls to a local target that stays cold for `warmup`.
    fn limit_cold_target(&self, key: &TargetKey, local: &LocalTarget, warmup: Duration) {
        match self.warmup_pace(key) {
            Some(pace) if !warmup.is_zero() => local.admission.set_rate_limit(pace, warmup),
            _ => local.admission.clear_rate_limit(),
        }
    }

    /// Returns the time for which the pace of calls to a local target is limited.
    fn limited_warmup(&self, key: &TargetKey) -> Duration {
        match self.warmup_pace(key) {
            Some(_) => self.remaining_warmup(key),
            None => Duration::ZERO,
        }
    }

    fn admission_limits(&self, key: &TargetKey, lease: &Lease) -> AdmissionLimits {
        let service = service_spec(self.config.document(), &key.service);
        let queue = service.map_or(DEFAULT_QUEUE, |spec| spec.queue);
        AdmissionLimits { slots: lease.slots, queue }
    }

    fn target_key(&self, service: &ServiceName, version: &SmolStr) -> TargetKey {
        TargetKey {
            service: SmolStr::new(service.as_str()),
            version: version.clone(),
            node: SmolStr::new(self.shared.name.as_str()),
        }
    }

    pub(super) fn announce(&mut self, message: Announce) {
        let key = self.target_key(&message.service, &message.version);
        if let Some(report) = &message.report {
            if self.is_outdated(report, message.address) {
                return;
            }
            if self.is_foreign(&key, message.address) {
                let reason = "its service is not configured, and another target has its address";
                Event::ReportRefused.emit(&[("instance", &report.instance), ("reason", &reason)]);
                return;
            }
            self.withdraw_earlier_instances(&key, report, message.address);
        }
        let spec = service_spec(self.config.document(), &key.service);
        let slots = message.slots.or_else(|| spec.map(|spec| spec.slots));
        let lease = Lease {
            address: message.address.to_string(),
            slots: slots.unwrap_or(1).max(1),
            until_ms: monotonic_ms() + LEASE_MS,
        };
        let limits = self.admission_limits(&key, &lease);
        let before = self.state_of(&key);
        let was_cold = !self.remaining_warmup(&key).is_zero();
        let changed = self.leases.renew(key.clone(), lease);
        let is_same_instance = self.record_instance(&key, message.report.as_ref());
        if let Some(report) = &message.report {
            self.record_life(report);
        }
        let local_targets = self.shared.local_targets.load();
        let existing = local_targets
            .get(&key)
            .filter(|existing| is_same_instance && existing.address == message.address);
        let local = match existing {
            Some(existing) => Arc::clone(existing),
            None => self.add_local_target(&key, message.address, limits, message.report.as_ref()),
        };
        if let Some(report) = &message.report {
            self.limit_cold_target(&key, &local, report.warmup);
        }
        local.admission.set_limits(limits);
        self.update_admission(&key, &local);
        let is_cold = !self.remaining_warmup(&key).is_zero();
        if changed || !is_same_instance || before != self.state_of(&key) || is_cold != was_cold {
            self.republish_target(&key);
        }
    }

    /// Returns whether a report is from an ended or earlier instance, or not newer than the last one for its address or
    /// than one in which a target here said that it leaves.
    fn is_outdated(&self, report: &InstanceReport, address: SocketAddr) -> bool {
        let address = address.to_string();
        let at_address =
            |key: &TargetKey| self.leases.get(key).is_some_and(|lease| lease.address == address);
        let known = self.instances.iter().filter(|(key, _)| at_address(key));
        let newest = known.map(|(_, known)| known.report.position()).max();
        let position = report.position();
        self.departures.is_outdated(&report.instance, position, monotonic_ms())
            || newest.is_some_and(|newest| position <= newest)
    }

    /// Returns whether a report names a service that is not configured, at the address of a target whose service is.
    fn is_foreign(&self, key: &TargetKey, address: SocketAddr) -> bool {
        let is_configured =
            |key: &TargetKey| service_spec(self.config.document(), &key.service).is_some();
        let address = address.to_string();
        let mut at_address = self.leases.iter().filter(|(_, lease)| lease.address == address);
        !is_configured(key) && at_address.any(|(other, _)| is_configured(other))
    }

    /// Withdraws the earlier instances at the address of a reported one.
    fn withdraw_earlier_instances(
        &mut self,
        key: &TargetKey,
        report: &InstanceReport,
        address: SocketAddr,
    ) {
        let address = address.to_string();
        let is_earlier = |other: &TargetKey, lease: &Lease| {
            let known = self.instances.get(other);
            lease.address == address
                && (other != key
                    || known
                        .is_some_and(|known| known.report.start_time_ms != report.start_time_ms))
        };
        let earlier: Vec<TargetKey> = self
            .leases
            .iter()
            .filter(|(other, lease)| is_earlier(other, lease))
            .map(|(other, _)| other.clone())
            .collect();
        for other in earlier {
            self.shared.crash_log().record_down(&other, monotonic_ms());
            self.withdraw(&[other], TargetState::Gone);
        }
    }

    /// Stores a target's report and returns whether it is from the instance known before.
    fn record_instance(&mut self, key: &TargetKey, report: Option<&InstanceReport>) -> bool {
        let Some(report) = report else { return true };
        let previous = self
            .instances
            .get(key)
            .map(|known| (known.report.start_time_ms, known.report.instance.clone()));
        let is_same = previous == Some((report.start_time_ms, report.instance.clone()));
        self.instances.insert(
            key.clone(),
            KnownInstance {
                report: report.clone(),
                is_down: false,
                warm_at_ms: monotonic_ms() + report.warmup.as_millis() as u64,
            },
        );
        is_same
    }

    /// Adds a target with its admission control.
    fn add_local_target(
        &self,
        key: &TargetKey,
        address: SocketAddr,
        limits: AdmissionLimits,
        report: Option<&InstanceReport>,
    ) -> Arc<LocalTarget> {
        Event::TargetAnnounced.emit(&[("target", key), ("address", &address)]);
        let admission = match (self.shared.local_targets.load().get(key), report) {
            (Some(local), None) => Arc::clone(&local.admission),
            (_, Some(_)) => Arc::new(AdmissionController::with_fixed_limit(limits)),
            (None, None) => Arc::new(AdmissionController::with_adaptive_limit(limits)),
        };
        admission.set_policy(self.admission_policy);
        let instance = report.map(|report| report.instance.clone()).unwrap_or_default();
        let local = Arc::new(LocalTarget::new(address, instance, admission));
        self.modify_local_targets(|targets| drop(targets.insert(key.clone(), Arc::clone(&local))));
        if let Some(target) = self.table.get(key) {
            self.restore_limit(target);
        }
        local
    }

    /// Takes a target that refuses connections out of service until it reports again.
    pub(super) fn mark_down(&mut self, key: &TargetKey, instance: &SmolStr) {
        let Some(known) = self.instances.get_mut(key) else { return };
        if known.report.instance != *instance || known.is_down {
            return;
        }
        known.is_down = true;
        Event::TargetLost.emit(&[("target", key), ("instance", instance)]);
        if let Some(local) = self.shared.local_targets.load().get(key) {
            local.admission.close(Duration::ZERO);
        }
        self.republish_target(key);
    }

    /// Takes an instance out of service permanently; a delayed report does not bring it back.
    ///
    /// The node may not know the instance: its lease has ended, or the node has just started. Returns the start time of the
    /// instance, or 0 if it isn't known.
    pub(super) fn deregister(&mut self, deregister: &Deregister) -> u64 {
        let Deregister { instance, start_time_ms } = deregister;
        let known = self.instances.values().find(|known| known.report.instance == *instance);
        let known_start_ms = known.map(|known| known.report.start_time_ms);
        let start_time_ms = match *start_time_ms {
            0 => known_start_ms.unwrap_or(0),
            stated_ms => stated_ms,
        };
        self.departures.record_end(start_time_ms);
        if start_time_ms == 0 || known_start_ms == Some(0) {
            self.departures.record_undated_end(instance, wall_ms(), monotonic_ms());
        }
        self.withdraw_departed();
        self.send_departure();
        start_time_ms
    }

    /// Ends leases and returns the admission control of the targets, whose calls may still be in flight.
    pub(super) fn withdraw(
        &mut self,
        keys: &[TargetKey],
        state: TargetState,
    ) -> Vec<Arc<AdmissionController>> {
        let mut controllers = Vec::new();
        for key in keys {
            self.advance_incarnation(key);
            self.publish_target(key, state);
            self.leases.remove(key);
            self.instances.remove(key);
        }
        self.modify_local_targets(|targets| {
            for local in keys.iter().filter_map(|key| targets.remove(key)) {
                local.admission.close(QUEUE_GRACE);
                controllers.push(Arc::clone(&local.admission));
            }
        });
        controllers
    }

    fn modify_local_targets(&self, change: impl FnOnce(&mut LocalTargets)) {
        let mut targets = LocalTargets::clone(&self.shared.local_targets.load());
        change(&mut targets);
        self.shared.local_targets.store(Arc::new(targets));
    }

    /// Publishes the current state of a local target to the relay and to this node's own view.
    pub(super) fn republish_target(&mut self, key: &TargetKey) {
        self.advance_incarnation(key);
        self.publish_target(key, self.state_of(key));
    }

    /// Raises the incarnation of a target above all before, even if the system clock was set back.
    fn advance_incarnation(&mut self, key: &TargetKey) {
        let known = self.incarnations.entry(key.clone()).or_default();
        *known = wall_us().max(*known + 1);
    }

    /// Publishes a state of a target to the relay and to this node's own view.
    fn publish_target(&mut self, key: &TargetKey, state: TargetState) {
        let slots = self.leases.get(key).map(|lease| lease.slots);
        let mut target = Target {
            node: key.node.to_string(),
            service: key.service.to_string(),
            version: key.version.to_string(),
            zone: self.shared.zone.to_string(),
            peer: self.peer_address.clone(),
            slots: slots.unwrap_or(1),
            state: TargetState::Ready.into(),
            incarnation: self.incarnations.get(key).copied().unwrap_or_else(wall_us),
            instance: self
                .instances
                .get(key)
                .map(|known| known.report.instance.to_string())
                .unwrap_or_default(),
            born: self.instances.get(key).map_or(0, |known| known.report.start_time_ms),
            cold_ms: self.limited_warmup(key).as_millis() as u32,
            lost_permille: self.announced_losses(key),
            crashes: self.recent_crashes(key),
            rate_limit: self.stated_limit(key).map(PerSecond::get),
        };
        target.set_state(state);
        self.merge_target(target.clone(), monotonic_ms());
        if !self.changed_services.is_empty() {
            self.publish_view();
        }
        // The table's entry also has the crashes that were announced before this node's start.
        let target = self.table.get(key).cloned().unwrap_or(target);
        let update = TargetUpdate { targets: vec![target], full: false, position: 0 };
        self.send_to_relay(upward::Body::Targets(update));
    }
}

fn service_spec<'a>(document: &'a Document, service: &str) -> Option<&'a ServiceSpec> {
    let key = ResourceKey::new(Kind::Services, service);
    match document.get(&key).map(|stored| &stored.resource) {
        Some(Resource::Service(spec)) => Some(spec),
        _ => None,
    }
}
