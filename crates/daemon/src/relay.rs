//! The relay role: hands changes from the source to nodes and sums what the nodes report.

mod actor;
mod http;
mod sums;

pub use actor::RelayActor;
pub(crate) use actor::{UpdateSources, accept_nodes};
pub(crate) use http::serve_http;
