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
    /// number of source members
    #[argh(option, default = "3")]
    members: usize,
    /// number of nodes, each with a target
    #[argh(option, default = "4")]
    nodes: usize,
    /// folder for the logs of seeds that fail
    #[argh(option)]
    logs: Option<String>,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let mut failed = Vec::new();
    for seed in arguments.first..arguments.first + arguments.seeds {
        let report = run_soak(SoakOptions {
            seed,
            fault_duration: Duration::from_secs(arguments.seconds),
            members: arguments.members,
            nodes: arguments.nodes,
        });
        println!("{report}");
        if report.violations.is_empty() {
            continue;
        }
        failed.push(seed);
        report.violations.iter().take(5).for_each(|text| println!("  {text}"));
        if let Some(folder) = &arguments.logs {
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
