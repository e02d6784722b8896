//! The source role: a member of the replicated log that holds the configuration versions.

mod actor;
mod forming;
mod http;
mod links;
mod members;
mod messages;
mod moves;
mod operators;
mod query;
mod relays;
mod response;
mod tracker;
mod writer;

pub(crate) use actor::{AttachLocalRelay, SourceActor, UpdateSeeds};
pub(crate) use http::serve_http;
pub(crate) use links::accept_links;
pub(crate) use messages::TransferLeadership;
