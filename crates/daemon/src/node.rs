//! The node role: the process beside a target that takes, routes and admits calls.

mod admin;
mod callers;
mod control;
mod forward;
mod gate;
mod peers;
mod shared;

pub use control::NodeActor;
pub use shared::NodeShared;

pub(crate) use admin::serve_admin;
pub(crate) use callers::serve_callers;
pub(crate) use control::Drain;
pub(crate) use forward::client as call_client;
pub(crate) use peers::serve_peers;
