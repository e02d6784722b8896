//! Test support: sites of real processes, a simulated consensus cluster and a fault-injection soak.
//!
//! A [`Site`] or [`PlaintextSite`] stops only the processes that it started. A [`Cluster`] runs the real
//! consensus state machine and the real storage code on in-memory disks and a simulated network.

mod addresses;
mod cluster;
mod desk;
mod disk;
mod operator;
mod plaintext_site;
mod platform_settings;
mod process;
mod scripted;
mod site;
mod soak;

pub use cluster::{Cluster, ELECTION_TIMEOUT, member_id};
pub use desk::{
    call_desk, desk_configuration, is_node_ready, put_revision, report_desk, start_desk_nodes,
    start_desk_site, wall_ms,
};
pub use disk::{DiskFault, FakeDisk};
pub use operator::{LossRate, Operator, Order, OrderReport};
pub use plaintext_site::{
    NodeAddresses, PlaintextSite, ProxiedAddress, RawResponse, request, send_request,
};
pub use process::binary;
pub use scripted::{PIECE_BYTES, ReceivedRequest, ScriptedTarget, TargetBehavior};
pub use site::{Response, Site, SiteBuilder};
pub use soak::{
    ChangeReport, LeaderFault, LeaderFaultOptions, OrderKind, PlannedDayOptions, PlannedDayReport,
    PlannedOrder, PlatformDayOptions, PlatformDayReport, Proxy, ProxyFault, SoakOptions,
    SoakReport, run_leader_faults, run_planned_day, run_platform_day, run_soak,
};
