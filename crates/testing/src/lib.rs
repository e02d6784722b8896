//! Support for tests: whole sites of real processes, and groups of members on fake disks.
//!
//! A [`Site`] stops only the processes that it started. A [`Cluster`] runs the real consensus state
//! machine and the real storage code on fake disks and a fake network.

mod addresses;
mod cluster;
mod disk;
mod open_site;
mod process;
mod scripted;
mod site;
mod soak;

pub use cluster::{Cluster, ELECTION, member_id};
pub use disk::{DiskFault, FakeDisk};
pub use open_site::{Front, NodeAddresses, OpenSite, RawAnswer, begin_request, request};
pub use process::binary;
pub use scripted::{Script, ScriptedTarget, Seen};
pub use site::{Reply, Site, SiteBuilder};
pub use soak::{Harm, Proxy, SoakOptions, SoakReport, run_soak};
