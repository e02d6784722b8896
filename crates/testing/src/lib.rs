//! Starts whole sites of real processes on loopback, for tests.
//!
//! A [`Site`] stops only the processes that it started.

mod ports;
mod process;
mod site;

pub use process::binary;
pub use site::{Reply, Site, SiteBuilder};
