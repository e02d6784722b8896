//! Reports on local targets from the call path to the node's control plane.

use actix::Message;
use kingcuplift_traffic::TargetKey;
use smol_str::SmolStr;

/// What calls to a target have shown.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TargetChange {
    /// The target refuses connections.
    Down,
    /// The target says in an answer that it is about to leave, or states another limit.
    Stated,
}

/// Reports what calls to a target have shown.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct TargetChanged {
    pub(crate) key: TargetKey,
    pub(crate) instance: SmolStr,
    pub(crate) change: TargetChange,
}
