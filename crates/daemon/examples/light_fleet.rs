//! Runs many nodes or relays without traffic in one process, over QUIC, to measure their load on upstream processes.
//!
//! Connects them, idles, submits changes, and prints one JSON object: the time until all are ready, the time from
//! acceptance of a change until it is in force, bytes, and the CPU time and memory of the processes given by `--watch`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, Arbiter};
use argh::FromArgs;
use hdrhistogram::Histogram;
use kingcuplift_core::{NodeName, ServiceName, Version, ZoneName};
use kingcuplift_daemon::node::{NodeActor, NodeShared};
use kingcuplift_daemon::relay::RelayActor;
use kingcuplift_daemon::{Endpoint, LinkMeter, Security};
use kingcuplift_keys::Credentials;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

/// Number of services in the full-size configuration.
const SERVICES: usize = 2_300;
/// Number of routes in the full-size configuration.
const ROUTES: usize = 10_000;
/// Nodes or relays that share one UDP socket.
const PROCESSES_PER_SOCKET: usize = 25;
/// Threads that run the light nodes or relays.
const THREADS: usize = 2;
/// Interval of the checks of the versions in force.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Timeout of requests and of the wait for readiness.
const TIMEOUT: Duration = Duration::from_secs(120);
/// Unit of CPU times in `/proc`: clock ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Run many light nodes or relays in one process.
#[derive(Debug, Clone, FromArgs)]
struct Flags {
    /// folder with ca.pem, NAME.pem and NAME.key
    #[argh(option)]
    keys: PathBuf,
    /// name of the certificate
    #[argh(option)]
    name: NodeName,
    /// addresses of the upstream processes, separated by commas
    #[argh(option)]
    to: String,
    /// operators' interface of the leader
    #[argh(option)]
    source: String,
    /// number of light processes
    #[argh(option)]
    count: usize,
    /// run relays instead of nodes
    #[argh(switch)]
    relays: bool,
    /// services that each node subscribes to; 0 means all
    #[argh(option, default = "8")]
    services: usize,
    /// submit the full-size configuration first
    #[argh(switch)]
    fill: bool,
    /// length of the idle phase, in seconds
    #[argh(option, default = "10")]
    idle: u64,
    /// number of changes
    #[argh(option, default = "50")]
    changes: u64,
    /// changes per second
    #[argh(option, default = "5")]
    rate: u64,
    /// NAME=PID of processes to measure, separated by commas
    #[argh(option, default = "String::new()")]
    watch: String,
    /// seed of the subscriptions and changes
    #[argh(option, default = "1")]
    seed: u64,
}

/// A light node or relay.
struct LightProcess {
    shared: Arc<NodeShared>,
    meter: Arc<LinkMeter>,
}

/// CPU time and memory of a process.
#[derive(Debug, Clone, Copy)]
struct Usage {
    cpu_s: f64,
    rss_mb: f64,
}

#[actix_rt::main]
async fn main() -> eyre::Result<()> {
    let flags: Flags = argh::from_env();
    if flags.fill {
        submit(&flags, &full_configuration()).await?;
    }
    let start_time = Instant::now();
    let own_usage_at_start = usage("self");
    let fleet = start_fleet(&flags)?;
    let head = head(&flags).await?;
    if !flags.relays {
        wait_for_version(&fleet, head).await?;
    }
    let ready_time = start_time.elapsed();
    let usage_at_ready = watched_usage(&flags);
    let own_usage_at_ready = usage("self");
    let connect_bytes = total_bytes(&fleet);
    let before_idle = watched_usage(&flags);
    tokio::time::sleep(Duration::from_secs(flags.idle)).await;
    let after_idle = watched_usage(&flags);
    let idle_bytes = total_bytes(&fleet) - connect_bytes;
    let before_changes =
        (total_bytes(&fleet), watched_usage(&flags), usage("self"), Instant::now());
    let (accept_times, in_force_times) = apply_changes(&flags, &fleet).await?;
    let change_phase_s = before_changes.3.elapsed().as_secs_f64();
    let change_bytes = total_bytes(&fleet) - before_changes.0;
    let after_changes = watched_usage(&flags);
    let own = usage("self");
    let count = flags.count as f64;
    let report = json!({
        "count": flags.count,
        "services": flags.services,
        "ready_ms": ready_time.as_millis() as u64,
        "connect_bytes_each": connect_bytes as f64 / count,
        "idle_bytes_each_per_s": idle_bytes as f64 / count / flags.idle as f64,
        "changes": flags.changes,
        "change_phase_s": change_phase_s,
        "change_bytes_each_per_s": change_bytes as f64 / count / change_phase_s,
        "accept_ms": quantiles(&accept_times),
        "in_force_ms": quantiles(&in_force_times),
        "light_rss_kb_each": (own_usage_at_ready.rss_mb - own_usage_at_start.rss_mb) * 1024.0 / count,
        "light_change_cpu_percent_each": (own.cpu_s - before_changes.2.cpu_s) / change_phase_s * 100.0 / count,
        "idle": usage_between(&before_idle, &after_idle, flags.idle as f64),
        "changing": usage_between(&before_changes.1, &after_changes, change_phase_s),
        "at_ready": usage_at_ready.iter().map(|(n, u)| (n.clone(), json!(u.rss_mb))).collect::<Value>(),
    });
    println!("{report}");
    Ok(())
}

fn start_fleet(flags: &Flags) -> eyre::Result<Vec<LightProcess>> {
    let read = |name: &str| std::fs::read_to_string(flags.keys.join(name));
    let credentials = Credentials {
        authority: read("ca.pem")?,
        certificate: read(&format!("{}.pem", flags.name))?,
        key: read(&format!("{}.key", flags.name))?,
    };
    let upstreams: Result<Vec<SocketAddr>, _> = flags.to.split(',').map(str::parse).collect();
    let upstreams = upstreams?;
    let arbiters: Vec<Arbiter> = (0..THREADS).map(|_| Arbiter::new()).collect();
    let mut rng = SmallRng::seed_from_u64(flags.seed);
    let mut fleet = Vec::new();
    for first in (0..flags.count).step_by(PROCESSES_PER_SOCKET) {
        let last = flags.count.min(first + PROCESSES_PER_SOCKET);
        let mut group = Vec::new();
        for number in first..last {
            let name: NodeName = format!("light-{number}").parse()?;
            let zone: ZoneName = format!("zone-{}", number % 3).parse()?;
            let shared = Arc::new(NodeShared::new(name.clone(), zone.clone()));
            let light = LightProcess { shared, meter: Arc::new(LinkMeter::default()) };
            let mut services: Vec<ServiceName> = Vec::new();
            for _ in 0..flags.services {
                services.push(format!("service-{}", rng.random_range(0..SERVICES)).parse()?);
            }
            let mut addresses = upstreams.clone();
            addresses.rotate_left(number % upstreams.len());
            group.push((
                name,
                zone,
                Arc::clone(&light.shared),
                Arc::clone(&light.meter),
                services,
                addresses,
            ));
            fleet.push(light);
        }
        let security = Security::Tls(credentials.clone());
        let relays = flags.relays;
        arbiters[first / PROCESSES_PER_SOCKET % THREADS].spawn_fn(move || {
            let any_port = SocketAddr::from(([0, 0, 0, 0], 0));
            let endpoint = Endpoint::bind(any_port, &security).expect("a socket is free");
            for (name, zone, shared, meter, services, upstreams) in group {
                match relays {
                    true => drop(
                        RelayActor::new(name, zone, endpoint.clone(), upstreams, meter).start(),
                    ),
                    false => {
                        let peer = "127.0.0.1:1".to_owned();
                        drop(
                            NodeActor::new(
                                shared,
                                peer,
                                services,
                                endpoint.clone(),
                                upstreams,
                                meter,
                            )
                            .start(),
                        );
                    }
                }
            }
        });
    }
    std::mem::forget(arbiters);
    Ok(fleet)
}

async fn wait_for_version(fleet: &[LightProcess], version: u64) -> eyre::Result<()> {
    let deadline = Instant::now() + TIMEOUT;
    while fleet.iter().any(|light| light.shared.version() < Version::new(version)) {
        eyre::ensure!(Instant::now() < deadline, "not all nodes reached version {version}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Submits changes and measures the time until each is accepted, and from then until it is in force on all nodes.
async fn apply_changes(
    flags: &Flags,
    fleet: &[LightProcess],
) -> eyre::Result<(Histogram<u64>, Histogram<u64>)> {
    let mut accept_times = Histogram::new(3)?;
    let mut in_force_times = Histogram::new(3)?;
    let mut rng = SmallRng::seed_from_u64(flags.seed ^ 0xC0FFEE);
    let interval = Duration::from_secs(1) / u32::try_from(flags.rate.max(1))?;
    let mut due = Instant::now();
    let mut pending: Vec<(u64, Instant)> = Vec::new();
    let mut submitted = 0;
    while submitted < flags.changes || !pending.is_empty() {
        if submitted < flags.changes && Instant::now() >= due {
            due += interval;
            submitted += 1;
            let route = rng.random_range(0..ROUTES);
            let timeout = rng.random_range(1_000..9_000);
            let patch =
                json!({ "routes": { format!("route-{route}"): { "timeout_ms": timeout } } });
            let sent = Instant::now();
            let version = submit(flags, &patch).await?;
            accept_times.record(sent.elapsed().as_micros() as u64)?;
            pending.push((version, Instant::now()));
        }
        let oldest = fleet.iter().map(|light| light.shared.version().get()).min().unwrap_or(0);
        let reached = if flags.relays { u64::MAX } else { oldest };
        for (_, accepted) in pending.extract_if(.., |(version, _)| *version <= reached) {
            in_force_times.record(accepted.elapsed().as_micros() as u64)?;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok((accept_times, in_force_times))
}

async fn submit(flags: &Flags, patch: &Value) -> eyre::Result<u64> {
    let head = head(flags).await?;
    let url = format!("http://{}/v1/versions", flags.source);
    let body = json!({ "base": head, "patch": patch });
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let mut response = client.post(url).send_json(&body).await.map_err(|e| eyre::eyre!("{e}"))?;
    let answer: Value = response.json().limit(1 << 24).await?;
    answer["version"].as_u64().ok_or_else(|| eyre::eyre!("the submission was refused: {answer}"))
}

async fn head(flags: &Flags) -> eyre::Result<u64> {
    let url = format!("http://{}/v1/versions?limit=0", flags.source);
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let mut response = client.get(url).send().await.map_err(|e| eyre::eyre!("{e}"))?;
    let answer: Value = response.json().await?;
    answer["head"].as_u64().ok_or_else(|| eyre::eyre!("the response has no head version: {answer}"))
}

fn full_configuration() -> Value {
    let mut services = serde_json::Map::new();
    for number in 0..SERVICES {
        let spec =
            json!({ "slots": 20, "connections": 120, "idempotent_methods": ["GET", "HEAD"] });
        services.insert(format!("service-{number}"), spec);
    }
    let mut routes = serde_json::Map::new();
    for number in 0..ROUTES {
        let route = json!({
            "host": format!("host-{}.example", number % SERVICES),
            "prefix": format!("/part-{}", number / SERVICES),
            "service": format!("service-{}", number % SERVICES),
            "priority": if number % 5 == 0 { "high" } else { "normal" },
            "timeout_ms": 2_000,
        });
        routes.insert(format!("route-{number}"), route);
    }
    json!({
        "priorities": { "high": { "rank": 0 }, "normal": { "rank": 1 } },
        "services": services,
        "routes": routes,
        "zones": (0..26).map(|n| (format!("zone-{n}"), json!({ "state": "in" }))).collect::<Value>(),
    })
}

fn total_bytes(fleet: &[LightProcess]) -> u64 {
    fleet.iter().map(|light| light.meter.bytes()).sum()
}

fn watched_usage(flags: &Flags) -> Vec<(String, Usage)> {
    let named = flags.watch.split(',').filter_map(|entry| entry.split_once('='));
    named.map(|(name, pid)| (name.to_owned(), usage(pid))).collect()
}

/// Reads the CPU time and memory of a process from `/proc`.
fn usage(pid: &str) -> Usage {
    let read =
        |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap_or_default();
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks =
        |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    let status = read("status");
    let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb: f64 = rss.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0.0);
    Usage { cpu_s: (ticks(11) + ticks(12)) / TICKS_PER_SECOND, rss_mb: kb / 1024.0 }
}

fn usage_between(before: &[(String, Usage)], after: &[(String, Usage)], seconds: f64) -> Value {
    let pairs = before.iter().zip(after);
    pairs
        .map(|((name, before), (_, after))| {
            let cpu = (after.cpu_s - before.cpu_s) / seconds * 100.0;
            (name.clone(), json!({ "cpu_percent": cpu, "rss_mb": after.rss_mb }))
        })
        .collect()
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    json!({ "p50": ms(0.5), "p99": ms(0.99), "max": histogram.max() as f64 / 1_000.0 })
}
