//! Messages to the actor of the node role and their handlers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::{Handler, Message, ResponseFuture};
use kingcuplift_core::{Event, ServiceName};
use kingcuplift_schema::control::{Target, TargetState};
use kingcuplift_traffic::{ReportPosition, TargetKey};
use smol_str::SmolStr;

use crate::node::admission::AdmissionController;
use crate::node::control::{Freshness, NodeActor};
use crate::node::probe::Health;
use crate::node::target_change::{TargetChange, TargetChanged};

/// Announces a target or renews its lease; returns false if the target leaves and this could not be stored in time.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct Announce {
    pub(crate) service: ServiceName,
    pub(crate) version: SmolStr,
    pub(crate) address: SocketAddr,
    pub(crate) slots: Option<u32>,
    /// The target's report on itself; absent for an announcement by service.
    pub(crate) report: Option<InstanceReport>,
}

/// Report of a target instance on itself.
#[derive(Debug, Clone)]
pub(crate) struct InstanceReport {
    /// Name of the instance.
    pub(crate) instance: SmolStr,
    /// Start time, in milliseconds since the Unix epoch; 0 if unknown.
    pub(crate) start_time_ms: u64,
    /// Increases with each report.
    pub(crate) sequence: u64,
    pub(crate) is_leaving: bool,
    /// Remaining warm-up time.
    pub(crate) warmup: Duration,
}

impl InstanceReport {
    /// Returns the position by which the reports at one address are ordered.
    pub(super) fn position(&self) -> ReportPosition {
        ReportPosition { start_time_ms: self.start_time_ms, sequence: self.sequence }
    }
}

/// Deregisters a target that leaves; its calls in flight finish. Returns false if this could not be stored in time.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct Deregister {
    pub(crate) instance: SmolStr,
    /// Start time, in milliseconds since the Unix epoch; 0 if unknown.
    pub(crate) start_time_ms: u64,
}

/// Ends the leases of a service's targets; new calls to them are refused at once.
#[derive(Debug, Message)]
#[rtype(result = "Vec<Arc<AdmissionController>>")]
pub(crate) struct Withdraw {
    pub(crate) service: ServiceName,
    /// Version to withdraw; `None` means all versions.
    pub(crate) version: Option<SmolStr>,
}

/// Takes all local targets out of service.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Drain;

/// Requests the node's health.
#[derive(Debug, Message)]
#[rtype(result = "NodeHealth")]
pub(crate) struct GetHealth;

/// Health of a node.
#[derive(Debug, Clone, actix::MessageResponse)]
pub(crate) struct NodeHealth {
    /// Version in force.
    pub(crate) version: u64,
    /// Newest version received.
    pub(crate) received_version: u64,
    pub(crate) linked: bool,
    pub(crate) ready: bool,
    pub(crate) stopping: bool,
    /// Number of known targets on all nodes.
    pub(crate) targets: usize,
    /// Number of local targets.
    pub(crate) locals: usize,
}

impl Handler<Announce> for NodeActor {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, message: Announce, _: &mut Self::Context) -> Self::Result {
        let leaving = message.report.as_ref().filter(|report| report.is_leaving);
        let leaving_start_ms = leaving.map(|report| report.start_time_ms);
        // A node that stops takes no target into use, but what it confirms of a departure binds after its restart, too.
        if !self.is_closing || leaving_start_ms.is_some() {
            self.announce(message);
        }
        match leaving_start_ms {
            Some(start_time_ms) => self.wait_stored(start_time_ms),
            None => Box::pin(async { true }),
        }
    }
}

/// Applies the relays and the service of changed settings.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ApplySettings {
    pub(crate) relays: Vec<SocketAddr>,
    pub(crate) service: Option<ServiceName>,
}

impl Handler<ApplySettings> for NodeActor {
    type Result = ();

    fn handle(&mut self, changed: ApplySettings, _: &mut Self::Context) {
        self.relay_addresses.set_configured(changed.relays);
        self.shared.service.store(changed.service.map(Arc::new));
    }
}

/// Result of the health check of a target that was known before the node started.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct KnownTargetChecked {
    pub(super) target: Target,
    pub(super) address: SocketAddr,
    /// `None` if the target is not healthy or is another instance.
    pub(super) health: Option<Health>,
}

impl Handler<KnownTargetChecked> for NodeActor {
    type Result = ();

    fn handle(&mut self, found: KnownTargetChecked, _: &mut Self::Context) {
        let key = TargetKey::of(&found.target);
        let (Some(health), false) = (found.health, self.leases.get(&key).is_some()) else { return };
        let Ok(service) = found.target.service.parse() else { return };
        self.announce(Announce {
            service,
            version: key.version.clone(),
            address: found.address,
            slots: Some(found.target.slots),
            report: Some(InstanceReport {
                instance: SmolStr::new(&found.target.instance),
                start_time_ms: found.target.born,
                // Lower than the sequence of any report by the target itself.
                sequence: 0,
                is_leaving: false,
                warmup: health.warmup,
            }),
        });
        // The target may still work on calls that this node has sent before its restart.
        if let Some(local) = self.shared.local_targets.load().get(&key) {
            self.shared.apply_load(&key, local, health.load, health.started_us);
        }
    }
}

impl Handler<Deregister> for NodeActor {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, message: Deregister, _: &mut Self::Context) -> Self::Result {
        let start_time_ms = self.deregister(&message);
        self.wait_stored(start_time_ms)
    }
}

impl Handler<TargetChanged> for NodeActor {
    type Result = ();

    fn handle(&mut self, message: TargetChanged, _: &mut Self::Context) {
        match message.change {
            TargetChange::Down => self.mark_down(&message.key, &message.instance),
            TargetChange::Stated => self.republish_target(&message.key),
        }
    }
}

impl Handler<Withdraw> for NodeActor {
    type Result = Vec<Arc<AdmissionController>>;

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
            self.republish_target(key);
        }
    }
}

impl Handler<GetHealth> for NodeActor {
    type Result = NodeHealth;

    fn handle(&mut self, _: GetHealth, _: &mut Self::Context) -> NodeHealth {
        NodeHealth {
            version: self.shared.version().get(),
            received_version: self.config.head().get(),
            linked: self.is_linked,
            ready: self.freshness == Freshness::Confirmed,
            stopping: self.shared.is_draining(),
            targets: self.table.present().count(),
            locals: self.leases.iter().count(),
        }
    }
}
