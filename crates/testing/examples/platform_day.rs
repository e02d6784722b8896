//! Plays a day of the platform with real processes: `cargo run --release -p kingcuplift-testing --example platform_day`.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use eyre::bail;
use kingcuplift_testing::{PlatformDayOptions, run_platform_day};

/// Plays days with rendered settings and the platform's load; fails if an order, a departure or a call goes wrong.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// first seed
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// number of source members
    #[argh(option, default = "5")]
    members: usize,
    /// number of callers
    #[argh(option, default = "448")]
    callers: usize,
    /// number of routes without calls
    #[argh(option, default = "300")]
    idle_routes: usize,
    /// share of a processor that each member may use; 0 means no limit
    #[argh(option, default = "0.075")]
    member_share: f64,
    /// the same for each node
    #[argh(option, default = "0.2")]
    node_share: f64,
    /// time from the start of the first process to the first order, in milliseconds
    #[argh(option, default = "0")]
    first_order_ms: u64,
    /// number of members in the operator's list that are gone
    #[argh(option, default = "0")]
    gone_members: usize,
    /// write the logs to pipes that are read slowly
    #[argh(switch)]
    slow_logs: bool,
    /// take a zone out of service or back in at the time of each configuration
    #[argh(switch)]
    zone_orders: bool,
    /// folder for the logs of days that fail
    #[argh(option, default = "std::env::temp_dir()")]
    logs: PathBuf,
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    let mut failed = Vec::new();
    for seed in arguments.first..arguments.first + arguments.seeds {
        let report = run_platform_day(PlatformDayOptions {
            seed,
            members: arguments.members,
            callers: arguments.callers,
            idle_routes: arguments.idle_routes,
            member_share: arguments.member_share,
            node_share: arguments.node_share,
            first_order: Duration::from_millis(arguments.first_order_ms),
            gone_members: arguments.gone_members,
            slow_logs: arguments.slow_logs,
            zone_orders: arguments.zone_orders,
        });
        println!("seed {seed}\n{report}");
        if !report.violations.is_empty() {
            failed.push(seed);
            std::fs::write(arguments.logs.join(format!("platform-day-{seed}.log")), report.logs)?;
        }
    }
    if !failed.is_empty() {
        bail!("days with these seeds failed: {failed:?}");
    }
    Ok(())
}
