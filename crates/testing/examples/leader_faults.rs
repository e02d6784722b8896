//! Measures orders while leaders are lost: `cargo run --release -p kingcuplift-testing --example leader_faults`.

use std::time::Duration;

use argh::FromArgs;
use kingcuplift_testing::{LeaderFault, LeaderFaultOptions, OrderKind, run_leader_faults};

/// Loses one leader after the other, and reports how long the orders of an operator take.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// first seed
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// refuse-writes, fill-disk:BYTES, kill, terminate or pause
    #[argh(option, default = "LeaderFault::RefuseWrites")]
    fault: LeaderFault,
    /// revision, zone or move
    #[argh(option, default = "OrderKind::Revision")]
    order: OrderKind,
    /// number of leaders that are lost in each run
    #[argh(option, default = "3")]
    count: u64,
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
    #[argh(option, default = "300")]
    idle_routes: usize,
    /// time from the beginning of a fault to the next order, in milliseconds
    #[argh(option, default = "1_000")]
    delay_ms: u64,
    /// share of a processor that each member may use; 0 means no limit
    #[argh(option, default = "0.075")]
    member_share: f64,
    /// the same for each node
    #[argh(option, default = "0.2")]
    node_share: f64,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let mut durations: Vec<Duration> = Vec::new();
    let mut unconfirmed = 0;
    for seed in arguments.first..arguments.first + arguments.seeds {
        let reports = run_leader_faults(LeaderFaultOptions {
            seed,
            fault: arguments.fault,
            order: arguments.order,
            count: arguments.count,
            members: arguments.members,
            nodes: arguments.nodes,
            callers: arguments.callers,
            idle_routes: arguments.idle_routes,
            order_delay: Duration::from_millis(arguments.delay_ms),
            member_share: arguments.member_share,
            node_share: arguments.node_share,
        });
        for (number, report) in reports.iter().enumerate() {
            println!("seed {seed} order {number}: {report}");
        }
        unconfirmed += reports.iter().filter(|report| !report.is_confirmed()).count();
        durations.extend(reports.iter().map(|report| report.duration));
    }
    durations.sort_unstable();
    println!(
        "{}: {} orders, {unconfirmed} not confirmed, median {:.2?}, longest {:.2?}",
        arguments.fault,
        durations.len(),
        durations[durations.len() / 2],
        durations[durations.len() - 1]
    );
}
