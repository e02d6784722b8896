//! Times the orders of a planned day: `cargo run --release -p kingcuplift-testing --example planned_day`.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use kingcuplift_testing::{LossRate, PlannedDayOptions, run_planned_day};

/// Plays a day in which leaders can't write for a while, and reports how long the orders of an operator take.
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
    /// number of nodes, each with a target
    #[argh(option, default = "10")]
    nodes: usize,
    /// number of threads that send calls
    #[argh(option, default = "8")]
    callers: u64,
    /// number of routes without calls
    #[argh(option, default = "3")]
    idle_routes: usize,
    /// share of a processor that each member may use; 0 means no limit
    #[argh(option, default = "0.075")]
    member_share: f64,
    /// the same for each node
    #[argh(option, default = "0.2")]
    node_share: f64,
    /// fraction of the confirmations that are lost
    #[argh(option, default = "LossRate::default()")]
    loss_rate: LossRate,
    /// mean time between two stalls of one member, in milliseconds; 0 means none
    #[argh(option, default = "0")]
    stall_interval_ms: u64,
    /// longest stall, in milliseconds
    #[argh(option, default = "500")]
    longest_stall_ms: u64,
    /// number of threads that write and sync large files, which delays the syncs of the members
    #[argh(option, default = "0")]
    disk_writers: usize,
    /// time of an order above which the logs of all processes are kept, in milliseconds
    #[argh(option, default = "2_000")]
    trace_ms: u64,
    /// folder for these logs
    #[argh(option, default = "std::env::temp_dir()")]
    logs: PathBuf,
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    let mut durations: Vec<Duration> = Vec::new();
    let mut unconfirmed = 0;
    for seed in arguments.first..arguments.first + arguments.seeds {
        let report = run_planned_day(PlannedDayOptions {
            seed,
            members: arguments.members,
            nodes: arguments.nodes,
            callers: arguments.callers,
            idle_routes: arguments.idle_routes,
            member_share: arguments.member_share,
            node_share: arguments.node_share,
            loss_rate: arguments.loss_rate,
            stall_interval: Duration::from_millis(arguments.stall_interval_ms),
            longest_stall: Duration::from_millis(arguments.longest_stall_ms),
            disk_writers: arguments.disk_writers,
        });
        let longest = report.orders.iter().map(|order| order.report.duration).max();
        let is_slow = longest.is_some_and(|time| time.as_millis() as u64 > arguments.trace_ms);
        for order in &report.orders {
            println!("seed {seed} {order}");
            unconfirmed += usize::from(!order.report.is_confirmed());
            durations.push(order.report.duration);
        }
        for time in &report.departures {
            let time = time.map_or("not confirmed".to_owned(), |time| format!("{time:.2?}"));
            println!("seed {seed} departure: {time}");
        }
        for violation in &report.violations {
            println!("seed {seed} violation: {violation}");
        }
        if is_slow {
            std::fs::write(arguments.logs.join(format!("planned-day-{seed}.log")), report.logs)?;
        }
    }
    durations.sort_unstable();
    println!(
        "{} orders, {unconfirmed} not confirmed, median {:.2?}, longest {:.2?}",
        durations.len(),
        durations[durations.len() / 2],
        durations[durations.len() - 1]
    );
    Ok(())
}
