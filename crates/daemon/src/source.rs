//! The source role: a member of the replicated log that holds the configuration versions.

mod actor;
mod answer;
mod http;
mod links;
mod members;
mod query;
mod tracker;
mod writer;

pub(crate) use actor::{HandOver, SourceActor};
pub(crate) use http::serve_http;
pub(crate) use links::accept_links;
