//! Messages to the actor of the node role, and how it handles them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::{Handler, Message};
use kingcuplift_core::{Event, ServiceName};
use kingcuplift_schema::control::{Target, TargetState};
use kingcuplift_traffic::TargetKey;
use smol_str::SmolStr;

use crate::node::control::{Freshness, NodeActor};
use crate::node::gate::Gate;
use crate::node::shared::NodeShared;

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
pub(crate) struct ApplySettings {
    pub(crate) relays: Vec<SocketAddr>,
    pub(crate) service: Option<ServiceName>,
}

impl Handler<ApplySettings> for NodeActor {
    type Result = ();

    fn handle(&mut self, changed: ApplySettings, _: &mut Self::Context) {
        self.addresses.settle(changed.relays);
        self.shared.service.store(changed.service.map(Arc::new));
    }
}

/// What became of a question to a target whether it is still the one known before the node's start.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Inherited {
    pub(super) target: Target,
    pub(super) address: SocketAddr,
    /// Time for which the target says that it stays cold.
    pub(super) warmup: Option<Duration>,
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
