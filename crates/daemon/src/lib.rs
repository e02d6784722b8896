//! The kingcuplift daemon: the roles source, relay and node, and the links between them.
//!
//! The packages `config`, `quorum` and `traffic` contain the logic. The actors here connect it to sockets, files
//! and clocks.

pub mod cli;
mod clock;
mod credentials;
mod dial;
mod error;
mod fanout;
mod link;
mod listener;
mod metrics;
pub mod node;
pub mod options;
mod problem;
mod refused_update;
pub mod relay;
mod run;
mod session;
pub mod source;
mod turns;
mod upstream;

pub use error::StartError;
pub use link::{Endpoint, Security};
pub use run::run;
pub use upstream::LinkMeter;
