//! Runs the soak for a range of seeds: `cargo run --release -p kingcuplift-testing --example fault_soak -- --seeds 50`.

use std::time::Duration;

use argh::FromArgs;
use kingcuplift_testing::{SoakOptions, run_soak};

/// Runs a randomized soak of real processes under injected faults.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// first seed
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds
    #[argh(option, default = "10")]
    seeds: u64,
    /// time during which faults are injected, in seconds
    #[argh(option, default = "8")]
    seconds: u64,
    /// time before the first fault, in seconds
    #[argh(option, default = "0")]
    steady: u64,
    /// number of source members
    #[argh(option, default = "3")]
    members: usize,
    /// number of nodes, each with a target
    #[argh(option, default = "4")]
    nodes: usize,
    /// pauses of up to 9 s between the faults, and 800 routes without calls
    #[argh(switch)]
    calm: bool,
    /// number of routes without calls, which some versions change all at once
    #[argh(option)]
    idle_routes: Option<usize>,
    /// mean time between two submissions of one operator, in milliseconds
    #[argh(option)]
    submit_ms: Option<u64>,
    /// number of threads that send calls
    #[argh(option, default = "4")]
    callers: u64,
    /// connect the processes directly, without faults of links
    #[argh(switch)]
    direct: bool,
    /// let disks of members refuse writes at times
    #[argh(switch)]
    disk_faults: bool,
    /// kill all processes right after the last confirmation
    #[argh(switch)]
    kill_at_end: bool,
    /// number of members that lose their disks right after the last confirmation while all other processes are killed
    #[argh(option, default = "0")]
    lose_disks: usize,
    /// share of a processor that each member may use; 0 means no limit
    #[argh(option, default = "0.0")]
    member_share: f64,
    /// the same for each node
    #[argh(option, default = "0.0")]
    node_share: f64,
    /// folder for the logs of seeds that fail
    #[argh(option)]
    logs: Option<String>,
    /// keep the logs of seeds that pass, too
    #[argh(switch)]
    keep_logs: bool,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let mut failed = Vec::new();
    for seed in arguments.first..arguments.first + arguments.seeds {
        let options = match arguments.calm {
            true => SoakOptions::calm(seed, arguments.members, arguments.nodes),
            false => SoakOptions {
                members: arguments.members,
                nodes: arguments.nodes,
                ..SoakOptions::short(seed)
            },
        };
        let fault_duration = Duration::from_secs(arguments.seconds);
        let (member_share, node_share) = (arguments.member_share, arguments.node_share);
        let submit_interval =
            arguments.submit_ms.map_or(options.submit_interval, Duration::from_millis);
        let idle_routes = arguments.idle_routes.unwrap_or(options.idle_routes);
        let report = run_soak(SoakOptions {
            steady_time: Duration::from_secs(arguments.steady),
            fault_duration,
            submit_interval,
            callers: arguments.callers,
            is_proxied: !arguments.direct,
            disk_faults: arguments.disk_faults,
            ends_with_kill: arguments.kill_at_end,
            lost_disks: arguments.lose_disks,
            idle_routes,
            member_share,
            node_share,
            ..options
        });
        println!("{report}");
        report.violations.iter().take(5).for_each(|text| println!("  {text}"));
        let has_failed = !report.violations.is_empty();
        failed.extend(has_failed.then_some(seed));
        if let Some(folder) = arguments.logs.as_ref().filter(|_| has_failed || arguments.keep_logs)
        {
            let text = format!(
                "{}\n\n{}\n\n{}",
                report.violations.join("\n"),
                report.injected_faults.join("\n"),
                report.logs
            );
            let path = format!("{folder}/soak-{seed}.log");
            if let Err(error) = std::fs::write(&path, text) {
                eprintln!("cannot write the log {path}: {error}");
            }
        }
    }
    println!("{} seeds, {} failed: {failed:?}", arguments.seeds, failed.len());
    std::process::exit(i32::from(!failed.is_empty()));
}
