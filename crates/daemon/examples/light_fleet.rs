//! Many light nodes or relays in one process, over real QUIC, to measure what they cost upstream.
//!
//! Connects them, waits, submits changes, and prints one JSON object: time to readiness, time from
//! acceptance to force, bytes, and the processor time and memory of the processes named by `--watch`.

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

/// Services of the configuration at target size.
const SERVICES: usize = 2_300;
/// Routes of the configuration at target size.
const ROUTES: usize = 10_000;
/// Nodes that share one UDP socket.
const NODES_PER_SOCKET: usize = 25;
/// Threads of the light nodes.
const THREADS: usize = 2;
/// Time between looks at the versions in force.
const POLL: Duration = Duration::from_millis(1);
/// Longest time for anything.
const PATIENCE: Duration = Duration::from_secs(120);
/// Clock ticks of the kernel in one second.
const TICKS: f64 = 100.0;

/// Many light nodes or relays in one process.
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
    /// make relays instead of nodes
    #[argh(switch)]
    relays: bool,
    /// services that each node subscribes to; 0 means all
    #[argh(option, default = "8")]
    services: usize,
    /// submit the configuration of target size first
    #[argh(switch)]
    fill: bool,
    /// length of the idle phase, in seconds
    #[argh(option, default = "10")]
    idle: u64,
    /// number of changes
    #[argh(option, default = "50")]
    changes: u64,
    /// changes a second
    #[argh(option, default = "5")]
    rate: u64,
    /// NAME=PID of processes to watch, separated by commas
    #[argh(option, default = "String::new()")]
    watch: String,
    /// seed of the subscriptions and changes
    #[argh(option, default = "1")]
    seed: u64,
}

/// One light process.
struct Light {
    shared: Arc<NodeShared>,
    meter: Arc<LinkMeter>,
}

/// Processor time and memory of a process.
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
    let began = Instant::now();
    let own_before = usage("self");
    let fleet = start(&flags)?;
    let head = head(&flags).await?;
    if !flags.relays {
        wait_for(&fleet, head).await?;
    }
    let ready = began.elapsed();
    let after_start = watch(&flags);
    let own_ready = usage("self");
    let connect_bytes = total_bytes(&fleet);
    let before_idle = watch(&flags);
    tokio::time::sleep(Duration::from_secs(flags.idle)).await;
    let after_idle = watch(&flags);
    let idle_bytes = total_bytes(&fleet) - connect_bytes;
    let before_changes = (total_bytes(&fleet), watch(&flags), usage("self"), Instant::now());
    let (accept, force) = change(&flags, &fleet).await?;
    let span = before_changes.3.elapsed().as_secs_f64();
    let change_bytes = total_bytes(&fleet) - before_changes.0;
    let after_changes = watch(&flags);
    let own = usage("self");
    let count = flags.count as f64;
    let report = json!({
        "count": flags.count,
        "services": flags.services,
        "ready_ms": ready.as_millis() as u64,
        "connect_bytes_each": connect_bytes as f64 / count,
        "idle_bytes_each_per_s": idle_bytes as f64 / count / flags.idle as f64,
        "changes": flags.changes,
        "change_phase_s": span,
        "change_bytes_each_per_s": change_bytes as f64 / count / span,
        "accept_ms": quantiles(&accept),
        "in_force_ms": quantiles(&force),
        "light_rss_kb_each": (own_ready.rss_mb - own_before.rss_mb) * 1024.0 / count,
        "light_change_cpu_percent_each": (own.cpu_s - before_changes.2.cpu_s) / span * 100.0 / count,
        "idle": compare(&before_idle, &after_idle, flags.idle as f64),
        "changing": compare(&before_changes.1, &after_changes, span),
        "at_ready": after_start.iter().map(|(n, u)| (n.clone(), json!(u.rss_mb))).collect::<Value>(),
    });
    println!("{report}");
    Ok(())
}

fn start(flags: &Flags) -> eyre::Result<Vec<Light>> {
    let read = |name: &str| std::fs::read_to_string(flags.keys.join(name));
    let credentials = Credentials {
        authority: read("ca.pem")?,
        certificate: read(&format!("{}.pem", flags.name))?,
        key: read(&format!("{}.key", flags.name))?,
    };
    let to: Result<Vec<SocketAddr>, _> = flags.to.split(',').map(str::parse).collect();
    let to = to?;
    let arbiters: Vec<Arbiter> = (0..THREADS).map(|_| Arbiter::new()).collect();
    let mut rng = SmallRng::seed_from_u64(flags.seed);
    let mut fleet = Vec::new();
    for first in (0..flags.count).step_by(NODES_PER_SOCKET) {
        let last = flags.count.min(first + NODES_PER_SOCKET);
        let mut group = Vec::new();
        for number in first..last {
            let name: NodeName = format!("light-{number}").parse()?;
            let zone: ZoneName = format!("zone-{}", number % 3).parse()?;
            let shared = Arc::new(NodeShared::new(name.clone(), zone.clone()));
            let light = Light { shared, meter: Arc::new(LinkMeter::default()) };
            let mut services: Vec<ServiceName> = Vec::new();
            for _ in 0..flags.services {
                services.push(format!("service-{}", rng.random_range(0..SERVICES)).parse()?);
            }
            let mut addresses = to.clone();
            addresses.rotate_left(number % to.len());
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
        arbiters[first / NODES_PER_SOCKET % THREADS].spawn_fn(move || {
            let any = SocketAddr::from(([0, 0, 0, 0], 0));
            let endpoint = Endpoint::bind(any, &security).expect("a socket is free");
            for (name, zone, shared, meter, services, to) in group {
                match relays {
                    true => drop(RelayActor::new(name, zone, endpoint.clone(), to, meter).start()),
                    false => {
                        let peer = "127.0.0.1:1".to_owned();
                        drop(
                            NodeActor::new(shared, peer, services, endpoint.clone(), to, meter)
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

async fn wait_for(fleet: &[Light], version: u64) -> eyre::Result<()> {
    let until = Instant::now() + PATIENCE;
    while fleet.iter().any(|light| light.shared.version() < Version::new(version)) {
        eyre::ensure!(Instant::now() < until, "not all nodes reached version {version}");
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}

/// Submits changes and measures each one's time to acceptance, and from there to force on every node.
async fn change(flags: &Flags, fleet: &[Light]) -> eyre::Result<(Histogram<u64>, Histogram<u64>)> {
    let mut accept = Histogram::new(3)?;
    let mut force = Histogram::new(3)?;
    let mut rng = SmallRng::seed_from_u64(flags.seed ^ 0xC0FFEE);
    let interval = Duration::from_secs(1) / u32::try_from(flags.rate.max(1))?;
    let mut due = Instant::now();
    let mut open: Vec<(u64, Instant)> = Vec::new();
    let mut submitted = 0;
    while submitted < flags.changes || !open.is_empty() {
        if submitted < flags.changes && Instant::now() >= due {
            due += interval;
            submitted += 1;
            let route = rng.random_range(0..ROUTES);
            let timeout = rng.random_range(1_000..9_000);
            let patch =
                json!({ "routes": { format!("route-{route}"): { "timeout_ms": timeout } } });
            let sent = Instant::now();
            let version = submit(flags, &patch).await?;
            accept.record(sent.elapsed().as_micros() as u64)?;
            open.push((version, Instant::now()));
        }
        let slowest = fleet.iter().map(|light| light.shared.version().get()).min().unwrap_or(0);
        let reached = if flags.relays { u64::MAX } else { slowest };
        for (_, accepted) in open.extract_if(.., |(version, _)| *version <= reached) {
            force.record(accepted.elapsed().as_micros() as u64)?;
        }
        tokio::time::sleep(POLL).await;
    }
    Ok((accept, force))
}

async fn submit(flags: &Flags, patch: &Value) -> eyre::Result<u64> {
    let head = head(flags).await?;
    let url = format!("http://{}/v1/versions", flags.source);
    let body = json!({ "base": head, "patch": patch });
    let client = awc::Client::builder().timeout(PATIENCE).finish();
    let mut response = client.post(url).send_json(&body).await.map_err(|e| eyre::eyre!("{e}"))?;
    let answer: Value = response.json().limit(1 << 24).await?;
    answer["version"].as_u64().ok_or_else(|| eyre::eyre!("refused: {answer}"))
}

async fn head(flags: &Flags) -> eyre::Result<u64> {
    let url = format!("http://{}/v1/versions?limit=0", flags.source);
    let client = awc::Client::builder().timeout(PATIENCE).finish();
    let mut response = client.get(url).send().await.map_err(|e| eyre::eyre!("{e}"))?;
    let answer: Value = response.json().await?;
    answer["head"].as_u64().ok_or_else(|| eyre::eyre!("no head: {answer}"))
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

fn total_bytes(fleet: &[Light]) -> u64 {
    fleet.iter().map(|light| light.meter.bytes()).sum()
}

fn watch(flags: &Flags) -> Vec<(String, Usage)> {
    let named = flags.watch.split(',').filter_map(|entry| entry.split_once('='));
    named.map(|(name, pid)| (name.to_owned(), usage(pid))).collect()
}

/// Reads the processor time and memory of a process from the kernel.
fn usage(pid: &str) -> Usage {
    let read =
        |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap_or_default();
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    let status = read("status");
    let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb: f64 = rss.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0.0);
    Usage { cpu_s: (ticks(11) + ticks(12)) / TICKS, rss_mb: kb / 1024.0 }
}

fn compare(before: &[(String, Usage)], after: &[(String, Usage)], seconds: f64) -> Value {
    let pairs = before.iter().zip(after);
    pairs
        .map(|((name, first), (_, last))| {
            let cpu = (last.cpu_s - first.cpu_s) / seconds * 100.0;
            (name.clone(), json!({ "cpu_percent": cpu, "rss_mb": last.rss_mb }))
        })
        .collect()
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    json!({ "p50": ms(0.5), "p99": ms(0.99), "max": histogram.max() as f64 / 1_000.0 })
}
