//! The source role: a member of the group that replicates the log of configuration versions.

mod actor;
mod departures;
mod forming;
mod http;
mod links;
mod members;
mod messages;
mod moves;
mod observer;
mod operators;
mod pending;
mod query;
mod relays;
mod response;
mod writer;

pub(crate) use actor::{AttachLocalRelay, SourceActor, UpdateSeeds};
pub(crate) use http::serve_http;
pub(crate) use links::accept_links;
pub(crate) use messages::TransferLeadership;
