//! A randomized soak: real processes, faults from outside, and promises checked by what callers, operators and
//! targets see.

mod backend;
mod load;
mod proxy;

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use self::backend::{Backend, Runs};
use self::load::{Seen, Shared, lock};
pub use self::proxy::{Proxy, ProxyFault};
use crate::plaintext_site::{PlaintextSite, follow, request};

/// Threads that send calls.
const CALLERS: u64 = 4;
/// Operators that race.
const OPERATORS: u64 = 2;
/// Longest time until everything works again once nothing is harmed.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Least time between two wipes; the first wiped member must have been replaced by then.
const WIPE_PAUSE: Duration = Duration::from_secs(9);
/// Time after its start in which a process may not catch signals yet.
const YOUTH: Duration = Duration::from_millis(300);
/// Delay of a link that is harmed so.
const LINK_DELAY: Duration = Duration::from_millis(60);

/// What to play.
#[derive(Debug, Clone, Copy)]
pub struct SoakOptions {
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Time with faults.
    pub time: Duration,
    /// Source members.
    pub members: usize,
    /// Nodes, each with a target.
    pub nodes: usize,
}

impl SoakOptions {
    /// A site of three members and four nodes, harmed for some seconds.
    pub fn short(seed: u64) -> Self {
        Self { seed, time: Duration::from_secs(8), members: 3, nodes: 4 }
    }
}

/// What a soak has shown.
#[derive(Debug)]
pub struct SoakReport {
    /// Seed that was played.
    pub seed: u64,
    /// Calls sent.
    pub calls: u64,
    /// Calls answered with success.
    pub answered: u64,
    /// Versions confirmed.
    pub versions: usize,
    /// Faults in the order in which they were made.
    pub injected_faults: Vec<String>,
    /// Broken promises.
    pub violations: Vec<String>,
    /// Logs of all processes, where a promise was broken.
    pub logs: String,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} calls, {} answered, {} versions, {} faults, {} broken",
            self.seed,
            self.calls,
            self.answered,
            self.versions,
            self.injected_faults.len(),
            self.violations.len()
        )
    }
}

/// One way to harm a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Kill,
    KillAllMembers,
    Pause,
    Stop,
    Reload,
    Wipe,
    Delay,
    CutIn,
    CutOut,
    Cut,
    Reset,
    Silence,
}

const FAULTS: [Fault; 12] = [
    Fault::Kill,
    Fault::KillAllMembers,
    Fault::Pause,
    Fault::Stop,
    Fault::Reload,
    Fault::Wipe,
    Fault::Delay,
    Fault::CutIn,
    Fault::CutOut,
    Fault::Cut,
    Fault::Reset,
    Fault::Silence,
];

/// What ends a fault later.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Remedy {
    Start(String),
    Resume(String),
    Heal(String),
}

/// A site under faults.
struct Soak {
    site: PlaintextSite,
    proxies: BTreeMap<String, Vec<Proxy>>,
    rng: SmallRng,
    due: Vec<(Instant, Remedy)>,
    injected_faults: Vec<String>,
    began: Instant,
    wiped_at: Option<Instant>,
    started: BTreeMap<String, Instant>,
}

impl Soak {
    fn is_young(&self, name: &str) -> bool {
        self.started.get(name).is_some_and(|at| at.elapsed() < YOUTH)
    }

    fn note(&mut self, text: String) {
        self.injected_faults.push(format!("{:.2} {text}", self.began.elapsed().as_secs_f64()));
    }

    fn is_harmed(&self, name: &str) -> bool {
        self.due.iter().any(|(_, remedy)| match remedy {
            Remedy::Start(held) | Remedy::Resume(held) | Remedy::Heal(held) => held == name,
        })
    }

    fn later(&mut self, remedy: Remedy) {
        let millis = self.rng.random_range(150..2_500);
        self.due.push((Instant::now() + Duration::from_millis(millis), remedy));
    }

    fn harm(&mut self, name: &str, harm: ProxyFault) {
        for proxy in &self.proxies[name] {
            proxy.set_fault(harm);
        }
        self.later(Remedy::Heal(name.to_owned()));
    }

    fn make(&mut self, fault: Fault) {
        let names = self.site.names();
        let Some(name) = names.choose(&mut self.rng).cloned() else { return };
        let is_core = name.starts_with("core");
        if self.is_harmed(&name) || !self.site.is_started(&name) {
            return;
        }
        match fault {
            Fault::Kill => {
                self.site.kill(&name);
                self.later(Remedy::Start(name.clone()));
            }
            Fault::KillAllMembers => {
                for member in names.iter().filter(|name| name.starts_with("core")) {
                    if self.site.is_started(member) && !self.is_harmed(member) {
                        self.site.kill(member);
                        self.later(Remedy::Start(member.clone()));
                    }
                }
            }
            Fault::Pause => {
                self.site.signal(&name, "-STOP");
                self.later(Remedy::Resume(name.clone()));
            }
            Fault::Stop => {
                self.site.signal(&name, "-TERM");
                self.site.wait_exited(&name);
                self.later(Remedy::Start(name.clone()));
            }
            // A process that has only just been started can't catch signals yet.
            Fault::Reload if self.is_young(&name) => return,
            Fault::Reload => self.site.signal(&name, "-HUP"),
            Fault::Wipe if is_core && self.may_wipe() => {
                self.site.kill(&name);
                let number = name.trim_start_matches("core-").parse().expect("a member's number");
                self.site.wipe(number);
                self.wiped_at = Some(Instant::now());
                self.later(Remedy::Start(name.clone()));
            }
            Fault::Wipe => return,
            Fault::Delay => self.harm(&name, ProxyFault::Delay(LINK_DELAY)),
            Fault::CutIn => self.harm(&name, ProxyFault::BlockInbound),
            Fault::CutOut => self.harm(&name, ProxyFault::BlockOutbound),
            Fault::Cut => self.harm(&name, ProxyFault::BlockAll),
            Fault::Reset => self.proxies[&name].iter().for_each(Proxy::reset_connections),
            Fault::Silence => self.proxies[&name].iter().for_each(Proxy::stall_connections),
        }
        self.note(format!("{fault:?} {name}"));
    }

    /// Returns whether losing a disk now leaves a majority that holds everything.
    fn may_wipe(&self) -> bool {
        let members = self.site.names().into_iter().filter(|name| name.starts_with("core"));
        let all_sound =
            members.into_iter().all(|name| self.site.is_started(&name) && !self.is_harmed(&name));
        let is_settled = self.began.elapsed() > Duration::from_secs(2);
        all_sound && is_settled && self.wiped_at.is_none_or(|at| at.elapsed() > WIPE_PAUSE)
    }

    /// Ends the faults that are due; all of them at the end.
    fn remedy(&mut self, all: bool) {
        let now = Instant::now();
        let (due, rest) =
            std::mem::take(&mut self.due).into_iter().partition(|(at, _)| all || *at <= now);
        self.due = rest;
        let due: Vec<(Instant, Remedy)> = due;
        for (_, remedy) in due {
            match remedy {
                Remedy::Start(name) => {
                    self.site.start_process(&name);
                    self.started.insert(name, now);
                }
                Remedy::Resume(name) => self.site.signal(&name, "-CONT"),
                Remedy::Heal(name) => {
                    self.proxies[&name].iter().for_each(|p| p.set_fault(ProxyFault::None))
                }
            }
        }
    }
}

/// Plays one seed and returns what it has shown.
pub fn run_soak(options: SoakOptions) -> SoakReport {
    let runs: Runs = Arc::new(Mutex::new(HashMap::new()));
    let shared: Shared = (Arc::default(), Arc::new(AtomicBool::new(false)));
    let backends: Vec<Backend> =
        (1..=options.nodes).map(|number| Backend::start(number, &runs, &shared.1)).collect();
    let addresses: Vec<_> = backends.iter().map(Backend::address).collect();
    let site = PlaintextSite::start_proxied(options.members, &addresses);
    let mut proxies: BTreeMap<String, Vec<Proxy>> = BTreeMap::new();
    for front in site.proxied_addresses() {
        proxies
            .entry(front.process.clone())
            .or_default()
            .push(Proxy::start(&front.advertised, &front.listen));
    }
    let nodes: Vec<String> = (1..=options.nodes).map(|number| format!("node-{number}")).collect();
    for (backend, node) in backends.iter().zip(&nodes) {
        backend.report_to(site.addresses(node).admin.clone());
    }
    let members: Vec<String> =
        (1..=options.members).map(|number| site.operator_address(number)).collect();
    let callers: Vec<String> =
        nodes.iter().map(|node| site.addresses(node).callers.clone()).collect();
    let mut soak = Soak {
        site,
        proxies,
        rng: SmallRng::seed_from_u64(options.seed),
        due: Vec::new(),
        injected_faults: Vec::new(),
        began: Instant::now(),
        wiped_at: None,
        started: BTreeMap::new(),
    };
    let (seen, is_over) = (Arc::clone(&shared.0), Arc::clone(&shared.1));
    confirm_first(&soak.site, &seen);
    let threads = start_load(&members, &callers, options.seed, &shared);
    soak.began = Instant::now();
    while soak.began.elapsed() < options.time {
        let fault = *FAULTS.choose(&mut soak.rng).expect("there are faults");
        soak.make(fault);
        let pause = soak.rng.random_range(30..600);
        std::thread::sleep(Duration::from_millis(pause));
        soak.remedy(false);
    }
    soak.remedy(true);
    check_recovery(&soak.site, &members, &callers, &seen);
    is_over.store(true, Ordering::Release);
    for thread in threads {
        if thread.join().is_err() {
            seen.fault("a thread of the load has panicked".to_owned());
        }
    }
    check_runs(&runs, &seen);
    soak.proxies.values().flatten().for_each(Proxy::stop);
    let violations = seen.faults();
    SoakReport {
        seed: options.seed,
        calls: seen.calls.load(Ordering::Relaxed),
        answered: seen.answered.load(Ordering::Relaxed),
        versions: lock(&seen.confirmed).len(),
        injected_faults: soak.injected_faults,
        logs: if violations.is_empty() { String::new() } else { soak.site.logs() },
        violations,
    }
}

/// Puts the first version in force.
fn confirm_first(site: &PlaintextSite, seen: &Seen) {
    let document = load::document(1, 0);
    let answer =
        site.operator_request("PUT", "/v1/revision", "if-match: 0\r\n", &document.to_string());
    assert!(matches!(answer.status, 200 | 201), "the first version is accepted: {answer:?}");
    lock(&seen.confirmed).insert(1, load::Confirmed { at: Instant::now(), document });
    site.wait("a ready node", |site| {
        let ready = request(&site.addresses("node-1").ready, "GET", "/readyz", "", "");
        (ready.status == 200).then_some(())
    });
}

fn start_load(
    members: &[String],
    callers: &[String],
    seed: u64,
    shared: &Shared,
) -> Vec<std::thread::JoinHandle<()>> {
    let mut threads = Vec::new();
    for number in 0..CALLERS {
        let (callers, (seen, is_over)) = (callers.to_vec(), shared.clone());
        threads.push(std::thread::spawn(move || {
            load::call_on(&callers, number, seed, &seen, &is_over);
        }));
    }
    for author in 1..=OPERATORS {
        let (members, (seen, is_over)) = (members.to_vec(), shared.clone());
        threads.push(std::thread::spawn(move || {
            load::order_on(&members, author, seed, &seen, &is_over);
        }));
    }
    let (members, (seen, is_over)) = (members.to_vec(), shared.clone());
    threads.push(std::thread::spawn(move || load::read_on(&members, seed, &seen, &is_over)));
    threads
}

/// Waits until every node serves and every member shows what was confirmed.
fn check_recovery(site: &PlaintextSite, members: &[String], callers: &[String], seen: &Seen) {
    let until = Instant::now() + RECOVERY_LIMIT;
    let headers = "host: a.example\r\nx-call: last\r\nx-left: 1000\r\n";
    let serves = |at: &String| request(at, "GET", "/read/last", headers, "").status == 200;
    let newest = || lock(&seen.confirmed).keys().next_back().copied().unwrap_or(0);
    let shows = |at: &String| {
        let due = newest();
        let answer = follow(at, "GET", "/v1/revision", "", "");
        answer.status == 200 && answer.json()["version"].as_u64().unwrap_or(0) >= due
    };
    let mut missing = String::from("not looked at");
    while Instant::now() < until {
        let silent = callers.iter().find(|at| !serves(at));
        let behind = members.iter().find(|at| !shows(at));
        missing = match (silent, behind) {
            (None, None) => return check_content(site, seen),
            (Some(at), _) => format!("node {at} does not serve"),
            (None, Some(at)) => format!("member {at} does not show version {}", newest()),
        };
        std::thread::sleep(Duration::from_millis(100));
    }
    seen.fault(format!("{RECOVERY_LIMIT:?} after the last fault {missing}"));
}

/// Checks that the newest configuration is what was sent under its number.
fn check_content(site: &PlaintextSite, seen: &Seen) {
    let shown = site.operator_request("GET", "/v1/revision", "", "").json();
    let number = shown["version"].as_u64().unwrap_or(0);
    match lock(&seen.confirmed).get(&number) {
        Some(held) if held.document != shown => {
            seen.fault(format!("version {number} is not what was confirmed: {shown}"));
        }
        // A version without a clear answer may be in force.
        _ => {}
    }
}

/// Checks that calls which may run once did, and that those refused did not run.
fn check_runs(runs: &Runs, seen: &Seen) {
    let runs = lock(runs);
    for (id, is_refused) in lock(&seen.once).iter() {
        let count = runs.get(id).copied().unwrap_or(0);
        match (is_refused, count) {
            (false, 0 | 1) | (true, 0) => {}
            (true, _) => seen.fault(format!("call {id} was said not to have run, and ran")),
            (false, _) => seen.fault(format!("call {id} ran {count} times")),
        }
    }
}
