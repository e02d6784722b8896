//! The relay role: forwards updates from the source to nodes and aggregates the nodes' progress reports.

mod actor;
mod http;

pub use actor::RelayActor;
pub(crate) use actor::{UpdateSources, accept_nodes};
pub(crate) use http::serve_http;
