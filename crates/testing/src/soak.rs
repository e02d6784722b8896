//! A randomized soak test: injects faults into real processes and checks the guarantees of the system by what
//! callers, operators and targets observe.

mod backend;
mod faults;
mod final_loss;
mod invalid;
mod leader_faults;
mod load;
mod planned_day;
mod platform_day;
mod probes;
mod proxy;
mod route_changes;
mod throttle;

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::backend::{Backend, RunCounts};
use self::faults::Action;
pub use self::leader_faults::{LeaderFault, LeaderFaultOptions, OrderKind, run_leader_faults};
use self::load::{Members, OPERATORS, Observations, Shared, lock};
pub use self::planned_day::{PlannedDayOptions, PlannedDayReport, PlannedOrder, run_planned_day};
pub use self::platform_day::{PlatformDayOptions, PlatformDayReport, run_platform_day};
use self::probes::Disturbance;
pub use self::proxy::{Proxy, ProxyFault};
pub use self::route_changes::ChangeReport;
use self::throttle::Throttle;
use crate::plaintext_site::{PlaintextSite, request, request_with_redirect};

/// Number of threads that probe the configuration in force at the nodes.
const PROBERS: u64 = 4;
/// Longest time until the site serves again after the last fault has ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Election timeout of sites with many processes, as in `platform/source.json`.
const LONG_ELECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the checks for actions that are due.
const ACTION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Parameters of a soak.
#[derive(Debug, Clone, Copy)]
pub struct SoakOptions {
    /// Seed of the faults and the load.
    pub seed: u64,
    /// Time before the first fault.
    pub steady_time: Duration,
    /// Time during which faults are injected.
    pub fault_duration: Duration,
    /// Number of source members.
    pub members: usize,
    /// Number of nodes, each with a target.
    pub nodes: usize,
    /// Number of threads that send calls.
    pub callers: u64,
    /// Election timeout of the members, unless it is the default.
    pub election_timeout: Option<Duration>,
    /// Whether all links pass through proxies that disturb them.
    pub is_proxied: bool,
    /// Whether disks of members refuse writes at times.
    pub disk_faults: bool,
    /// Whether all processes are killed right after the last confirmation.
    pub ends_with_kill: bool,
    /// Number of members that lose their disks right after the last confirmation while all other processes are killed.
    pub lost_disks: usize,
    /// Longest pause between two faults.
    pub fault_interval: Duration,
    /// Longest time that a fault lasts.
    pub longest_fault: Duration,
    /// Mean time between two submissions of one operator.
    pub submit_interval: Duration,
    /// Number of routes that get no calls.
    pub idle_routes: usize,
    /// Share of a processor that each member may use; 0 means no limit.
    pub member_share: f64,
    /// The same for each node.
    pub node_share: f64,
}

impl SoakOptions {
    /// A site of three members and four nodes with 8 s of faults.
    pub fn short(seed: u64) -> Self {
        Self {
            seed,
            steady_time: Duration::ZERO,
            fault_duration: Duration::from_secs(8),
            members: 3,
            nodes: 4,
            callers: 4,
            election_timeout: None,
            is_proxied: true,
            disk_faults: false,
            ends_with_kill: false,
            lost_disks: 0,
            fault_interval: Duration::from_millis(600),
            longest_fault: Duration::from_millis(2_500),
            submit_interval: Duration::from_millis(150),
            idle_routes: 0,
            member_share: 0.0,
            node_share: 0.0,
        }
    }

    /// A site with `members` and `nodes` and pauses between the faults, in which versions must be in force in time.
    pub fn calm(seed: u64, members: usize, nodes: usize) -> Self {
        Self {
            fault_duration: Duration::from_secs(40),
            members,
            nodes,
            fault_interval: Duration::from_secs(9),
            longest_fault: Duration::from_secs(9),
            submit_interval: Duration::from_millis(800),
            idle_routes: 800,
            election_timeout: Some(LONG_ELECTION_TIMEOUT),
            ..Self::short(seed)
        }
    }
}

/// Result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of calls sent.
    pub calls: u64,
    /// Number of calls answered with success.
    pub answered: u64,
    /// Number of versions confirmed.
    pub versions: usize,
    /// Number of probes that showed whether a node had a version in force.
    pub probes: usize,
    /// What the calls on routes that versions change have shown.
    pub changes: ChangeReport,
    /// Longest time after its confirmation at which an undisturbed node lacked a version.
    pub longest_lag: Duration,
    /// Time after the last fault until all nodes served and all members showed the newest version.
    pub recovery_time: Duration,
    /// Largest share of a processor that a member, and a node, has used since its last start.
    pub processor_shares: (f64, f64),
    /// Injected faults in their order, each with its time in seconds.
    pub injected_faults: Vec<String>,
    /// Violated guarantees.
    pub violations: Vec<String>,
    /// Logs of all processes.
    pub logs: String,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} calls, {} answered, {} versions, {} probes, lag {:.0?}, recovery {:.1?}, \
             processor {:.3} {:.3}, {}, {} faults, {} violations",
            self.seed,
            self.calls,
            self.answered,
            self.versions,
            self.probes,
            self.longest_lag,
            self.recovery_time,
            self.processor_shares.0,
            self.processor_shares.1,
            self.changes,
            self.injected_faults.len(),
            self.violations.len()
        )
    }
}

/// A site under fault injection.
struct Soak {
    site: PlaintextSite,
    proxies: BTreeMap<String, Vec<Proxy>>,
    rng: SmallRng,
    /// Actions that are due later, such as the ends of faults.
    scheduled: Vec<(Instant, Action)>,
    members: Members,
    observations: Arc<Observations>,
    injected_faults: Vec<String>,
    started_at: Instant,
    wiped_at: Option<Instant>,
    start_times: BTreeMap<String, Instant>,
    disturbances: Vec<Disturbance>,
    options: SoakOptions,
    throttle: Throttle,
}

impl Soak {
    /// Applies the processor limit of a running process.
    fn throttle(&self, name: &str) {
        let share = match name.starts_with("core") {
            true => self.options.member_share,
            false => self.options.node_share,
        };
        self.throttle.limit(name, self.site.process_id(name), share);
    }
}

/// Runs the soak and returns its result.
pub fn run_soak(options: SoakOptions) -> SoakReport {
    let run_counts: RunCounts = Arc::new(Mutex::new(HashMap::new()));
    let shared: Shared = (Arc::default(), Arc::new(AtomicBool::new(false)));
    let (site, nodes) = start_site(
        (options.members, options.nodes),
        options.is_proxied,
        options.election_timeout,
        &run_counts,
        &shared.1,
    );
    let members =
        (1..=options.members).map(|number| site.operator_address(number)).collect::<Vec<_>>();
    let members: Members = Arc::new(Mutex::new(members));
    let callers: Vec<String> =
        nodes.iter().map(|node| site.addresses(node).callers.clone()).collect();
    let mut soak = Soak {
        site,
        proxies: BTreeMap::new(),
        rng: SmallRng::seed_from_u64(options.seed),
        scheduled: Vec::new(),
        members: Arc::clone(&members),
        observations: Arc::clone(&shared.0),
        injected_faults: Vec::new(),
        started_at: Instant::now(),
        wiped_at: None,
        start_times: BTreeMap::new(),
        disturbances: Vec::new(),
        options,
        throttle: Throttle::default(),
    };
    soak.start_proxies();
    let (observations, is_stopped) = (Arc::clone(&shared.0), Arc::clone(&shared.1));
    submit_first_version(&soak.site, &observations, options.idle_routes);
    let mut threads = start_load(&members, &callers, options, &shared);
    let probed: Vec<_> = nodes.iter().cloned().zip(callers.iter().cloned()).collect();
    for number in 0..PROBERS {
        let (probed, (observations, is_stopped)) = (probed.clone(), shared.clone());
        threads.push(std::thread::spawn(move || {
            probes::probe_nodes(&probed, options.seed ^ number, &observations, &is_stopped);
        }));
    }
    for number in 0..route_changes::CHANGE_CALLERS + route_changes::HANGING_CALLERS {
        let (probed, (observations, is_stopped)) = (probed.clone(), shared.clone());
        let is_hanging = number >= route_changes::CHANGE_CALLERS;
        let seed = options.seed ^ (number << 16);
        threads.push(std::thread::spawn(move || {
            route_changes::call_routes(&probed, seed, is_hanging, &observations, &is_stopped);
        }));
    }
    let (throttle, stop) = (soak.throttle.clone(), Arc::clone(&is_stopped));
    threads.push(std::thread::spawn(move || throttle.run(&stop)));
    for name in soak.site.names() {
        soak.throttle(&name);
    }
    std::thread::sleep(options.steady_time);
    soak.started_at = Instant::now();
    while soak.started_at.elapsed() < options.fault_duration {
        let fault = soak.draw_fault();
        soak.inject(fault);
        let longest = options.fault_interval.as_millis() as u64;
        let until = Instant::now() + Duration::from_millis(soak.rng.random_range(30..longest));
        while Instant::now() < until {
            std::thread::sleep(ACTION_POLL_INTERVAL);
            soak.perform_due(false);
        }
    }
    soak.perform_due(true);
    let processor_shares = soak.processor_shares();
    match options.lost_disks {
        0 if options.ends_with_kill => soak.kill_all_after_confirmation(),
        0 => {}
        disks => soak.lose_disks_after_confirmation(disks),
    }
    let recovery_time = check_recovery(&soak.site, &members, &callers, &observations);
    is_stopped.store(true, Ordering::Release);
    for thread in threads {
        if thread.join().is_err() {
            observations.record_violation("a load thread panicked".to_owned());
        }
    }
    check_run_counts(&run_counts, &observations);
    let (probes, longest_lag) =
        probes::check_probes(&soak.disturbances, options.members, &observations);
    let changes = route_changes::check_changes(&soak.disturbances, options.members, &observations);
    soak.proxies.values().flatten().for_each(Proxy::stop);
    let violations = observations.violations();
    SoakReport {
        seed: options.seed,
        calls: observations.calls.load(Ordering::Relaxed),
        answered: observations.answered.load(Ordering::Relaxed),
        versions: lock(&observations.confirmed).len(),
        probes,
        changes,
        longest_lag,
        recovery_time,
        processor_shares,
        injected_faults: soak.injected_faults,
        logs: soak.site.logs(),
        violations,
    }
}

/// Starts a site with numbers of members and of nodes, each with a target that reports to it; returns the names of the nodes, too.
fn start_site(
    (members, nodes): (usize, usize),
    is_proxied: bool,
    election_timeout: Option<Duration>,
    run_counts: &RunCounts,
    is_stopped: &Arc<AtomicBool>,
) -> (PlaintextSite, Vec<String>) {
    let start = |number| {
        let backend = Backend::start(number, run_counts, is_stopped);
        backend.with_service(route_changes::service_of(number))
    };
    let backends: Vec<Backend> = (1..=nodes).map(start).collect();
    let addresses: Vec<_> = backends.iter().map(Backend::address).collect();
    let site = PlaintextSite::start_with(members, &addresses, is_proxied, election_timeout);
    let nodes: Vec<String> = (1..=nodes).map(|number| format!("node-{number}")).collect();
    for (backend, node) in backends.iter().zip(&nodes) {
        backend.start_reporting(site.addresses(node).admin.clone());
    }
    (site, nodes)
}

/// Submits the first version and waits until a node has it in force.
fn submit_first_version(site: &PlaintextSite, observations: &Observations, idle_routes: usize) {
    let document = load::document(1, 0, &[], idle_routes);
    let response =
        site.operator_request("PUT", "/v1/revision", "if-match: 0\r\n", &document.to_string());
    assert!(matches!(response.status, 200 | 201), "the first version is accepted: {response:?}");
    let first = load::Confirmed { at: Instant::now(), document, chain: vec![1] };
    lock(&observations.submitted).insert(1, first.at);
    lock(&observations.confirmed).insert(1, first);
    site.wait("a ready node", |site| {
        let ready = request(&site.addresses("node-1").ready, "GET", "/readyz", "", "");
        (ready.status == 200).then_some(())
    });
}

fn start_load(
    members: &Members,
    callers: &[String],
    options: SoakOptions,
    shared: &Shared,
) -> Vec<std::thread::JoinHandle<()>> {
    let mut threads = Vec::new();
    for number in 0..options.callers {
        let (callers, (observations, is_stopped)) = (callers.to_vec(), shared.clone());
        threads.push(std::thread::spawn(move || {
            load::send_calls(&callers, number, options.seed, &observations, &is_stopped);
        }));
    }
    for author in 1..=OPERATORS {
        let (members, (observations, is_stopped)) = (Arc::clone(members), shared.clone());
        threads.push(std::thread::spawn(move || {
            load::submit_versions(&members, author, options, &observations, &is_stopped);
        }));
    }
    let (readers, (observations, is_stopped)) = (Arc::clone(members), shared.clone());
    threads.push(std::thread::spawn(move || {
        load::read_versions(&readers, options.seed, &observations, &is_stopped)
    }));
    let (members, (observations, is_stopped)) = (Arc::clone(members), shared.clone());
    threads.push(std::thread::spawn(move || {
        load::submit_invalid(&members, options.seed, &observations, &is_stopped)
    }));
    threads
}

/// Waits until every node serves calls and every member returns the newest confirmed version; returns the time.
fn check_recovery(
    site: &PlaintextSite,
    members: &Members,
    callers: &[String],
    observations: &Observations,
) -> Duration {
    let members = lock(members).clone();
    let started_at = Instant::now();
    let headers = "host: a.example\r\nx-call: last\r\nx-left: 1000\r\n";
    let serves =
        |address: &String| request(address, "GET", "/read/last", headers, "").status == 200;
    let newest = || lock(&observations.confirmed).keys().next_back().copied().unwrap_or(0);
    let is_current = |address: &String| {
        let expected = newest();
        let response = request_with_redirect(address, "GET", "/v1/revision", "", "");
        let shown = response.json();
        final_loss::check_document(&shown, address, observations);
        response.status == 200 && shown["version"].as_u64().unwrap_or(0) >= expected
    };
    let mut missing = String::from("no check has been made");
    while started_at.elapsed() < RECOVERY_LIMIT {
        let failing = callers.iter().find(|address| !serves(address));
        let behind = members.iter().find(|address| !is_current(address));
        missing = match (failing, behind) {
            (None, None) => {
                let recovery_time = started_at.elapsed();
                if recovery_time > RECOVERY_LIMIT {
                    observations.record_violation(format!(
                        "recovery took {recovery_time:.1?}; the last checks before that: {missing}"
                    ));
                }
                check_newest_version(site, observations);
                final_loss::check_resends(&members, observations);
                return recovery_time;
            }
            (Some(address), _) => format!("node {address} does not serve"),
            (None, Some(address)) => {
                format!("member {address} does not return version {}", newest())
            }
        };
        std::thread::sleep(Duration::from_millis(100));
    }
    observations.record_violation(format!("{RECOVERY_LIMIT:?} after the last fault: {missing}"));
    started_at.elapsed()
}

/// Checks that the newest configuration is the document that was submitted under its number.
fn check_newest_version(site: &PlaintextSite, observations: &Observations) {
    let shown = site.operator_request("GET", "/v1/revision", "", "").json();
    let number = shown["version"].as_u64().unwrap_or(0);
    match lock(&observations.confirmed).get(&number) {
        Some(confirmed) if confirmed.document != shown => {
            observations.record_violation(format!(
                "version {number} differs from the document that was confirmed: {shown}"
            ));
        }
        // A version whose submission got no definite response may be in force.
        _ => {}
    }
}

/// Checks that at-most-once calls ran no more than once, and that those reported as not run did not run.
fn check_run_counts(run_counts: &RunCounts, observations: &Observations) {
    let run_counts = lock(run_counts);
    for (id, is_reported_not_run) in lock(&observations.at_most_once).iter() {
        let count = run_counts.get(id).copied().unwrap_or(0);
        match (is_reported_not_run, count) {
            (false, 0 | 1) | (true, 0) => {}
            (true, _) => {
                observations.record_violation(format!("call {id} was reported as not run, but ran"))
            }
            (false, _) => observations.record_violation(format!("call {id} ran {count} times")),
        }
    }
}
