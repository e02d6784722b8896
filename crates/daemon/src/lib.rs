//! The kingcuplift daemon: the roles source, relay and node, and what connects them.
//!
//! The decisions live in the packages `config`, `quorum` and `traffic`. The actors here connect them to
//! sockets, files and clocks.

pub mod cli;
mod clock;
mod credentials;
mod error;
mod fanout;
mod link;
mod listener;
mod metrics;
pub mod node;
pub mod options;
mod problem;
pub mod relay;
mod run;
mod session;
pub mod source;
mod upstream;

pub use error::StartError;
pub use link::{Endpoint, Security};
pub use run::run;
pub use upstream::LinkMeter;
