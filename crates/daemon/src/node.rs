//! The node role: a sidecar proxy that routes the calls of its VM and admits calls to its local targets.

mod admin;
mod admission;
mod body;
mod bulk_link;
mod call;
mod callers;
mod control;
mod envelope;
mod evidence;
mod forward;
mod headers;
mod in_flight;
mod load_exchange;
mod paced_stream;
mod peers;
mod pool;
mod probe;
mod respond;
mod running_call;
mod server;
mod shared;
mod target_change;
mod unwritten;

pub use control::NodeActor;
pub use headers::HeaderNames;
pub use shared::NodeShared;

pub(crate) use admin::serve_admin;
pub(crate) use callers::serve_callers;
pub(crate) use control::{ApplySettings, Drain};
pub(crate) use peers::serve_peers;
