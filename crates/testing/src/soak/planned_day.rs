//! A day with planned orders of an operator, during which leaders can't write for a while and processes stand still.

use std::collections::HashMap;
use std::fmt;
use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use kingcuplift_core::ByteSize;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rustix::process::{Pid, Signal, kill_process};

use super::LONG_ELECTION_TIMEOUT;
use super::backend::{Backend, RunCounts};
use super::leader_faults::start_callers;
use super::load::{self, Shared, lock};
use super::throttle::Throttle;
use crate::operator::{LossRate, Operator, Order, OrderReport};
use crate::plaintext_site::PlaintextSite;

/// Time within which all processes are started.
const START_TIME: Duration = Duration::from_millis(300);
/// Time from the start of the processes to the first order.
const FIRST_ORDER_DELAY: Duration = Duration::from_millis(500);
/// Time from the start of the processes to the first calls.
pub(super) const LOAD_DELAY: Duration = Duration::from_secs(8);
/// Times of the orders after the first calls, in seconds.
pub(super) const ORDER_TIMES: [f64; 7] = [2.0, 5.0, 10.0, 15.0, 20.0, 25.0, 33.0];
/// Times at which the disk of the member that has confirmed last begins to refuse writes, in seconds.
const FAULT_TIMES: [f64; 3] = [4.0, 14.0, 24.0];
/// Time for which a disk refuses writes.
const FAULT_TIME: Duration = Duration::from_secs(3);
/// Times at which targets say that they leave, in seconds.
const DEPARTURE_TIMES: [f64; 3] = [6.0, 16.0, 28.0];
/// Time for which a target tries to say that.
const DEPARTURE_LIMIT: Duration = Duration::from_secs(4);
/// Size of one write that loads the disk.
const LOAD_PIECE: ByteSize = ByteSize::mib(1);
/// Number of these writes between two syncs.
const LOAD_PIECES: u32 = 400;

/// Parameters of a planned day.
#[derive(Debug, Clone, Copy)]
pub struct PlannedDayOptions {
    /// Seed of the order of the starts, the stalls and the operator's choices.
    pub seed: u64,
    /// Number of source members.
    pub members: usize,
    /// Number of nodes, each with a target.
    pub nodes: usize,
    /// Number of threads that send calls.
    pub callers: u64,
    /// Number of routes that get no calls.
    pub idle_routes: usize,
    /// Share of a processor that each member may use; 0 means no limit.
    pub member_share: f64,
    /// The same for each node.
    pub node_share: f64,
    /// Confirmations that the operator doesn't receive.
    pub loss_rate: LossRate,
    /// Mean time between two stalls of one member; zero means none.
    pub stall_interval: Duration,
    /// Longest stall.
    pub longest_stall: Duration,
    /// Number of threads that write and sync large files on the disk that all members use.
    pub disk_writers: usize,
}

/// An order of a planned day.
#[derive(Debug)]
pub struct PlannedOrder {
    /// Time after the first calls at which it was sent, in seconds.
    pub sent_at: f64,
    /// How it went.
    pub report: OrderReport,
}

impl fmt::Display for PlannedOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {:.2} s: {}", self.sent_at, self.report)
    }
}

/// Result of a planned day.
#[derive(Debug)]
pub struct PlannedDayReport {
    /// Orders in their order.
    pub orders: Vec<PlannedOrder>,
    /// Time until the node of each target that left has confirmed that; `None` if it has not.
    pub departures: Vec<Option<Duration>>,
    /// Violated guarantees of the calls.
    pub violations: Vec<String>,
    /// Logs of all processes.
    pub logs: String,
}

/// Plays a planned day.
pub fn run_planned_day(options: PlannedDayOptions) -> PlannedDayReport {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let run_counts: RunCounts = Arc::new(Mutex::new(HashMap::new()));
    let shared: Shared = (Arc::default(), Arc::new(AtomicBool::new(false)));
    let is_over = Arc::clone(&shared.1);
    let backends: Vec<Backend> =
        (1..=options.nodes).map(|number| Backend::start(number, &run_counts, &is_over)).collect();
    let targets: Vec<_> = backends.iter().map(Backend::address).collect();
    let mut site =
        PlaintextSite::prepare(options.members, &targets, false, Some(LONG_ELECTION_TIMEOUT));
    let throttle = Throttle::default();
    let (limits, stop) = (throttle.clone(), Arc::clone(&is_over));
    let mut threads = vec![std::thread::spawn(move || limits.run(&stop))];
    let shares = (options.member_share, options.node_share);
    start_shuffled(&mut site, shares, &throttle, &mut rng);
    let started_at = Instant::now();
    for (number, backend) in backends.iter().enumerate() {
        backend.start_reporting(site.addresses(&format!("node-{}", number + 1)).admin.clone());
    }
    if !options.stall_interval.is_zero() {
        for number in 1..=options.members {
            let pid = site.process_id(&format!("core-{number}"));
            let (seed, is_over) = (options.seed ^ number as u64, Arc::clone(&is_over));
            threads.push(std::thread::spawn(move || stall(pid, seed, options, &is_over)));
        }
    }
    for _ in 0..options.disk_writers {
        let is_over = Arc::clone(&is_over);
        threads.push(std::thread::spawn(move || load_disk(&is_over)));
    }
    let origin = started_at + LOAD_DELAY;
    let confirmer = Mutex::new(None);
    let addresses = (1..=options.members).map(|number| site.operator_address(number)).collect();
    let operator = Operator::new(addresses, options.seed).with_loss_rate(options.loss_rate);
    let nodes: Vec<String> = (1..=options.nodes).map(|number| format!("node-{number}")).collect();
    let (orders, departures) = std::thread::scope(|scope| {
        std::thread::sleep(FIRST_ORDER_DELAY);
        let orders = scope.spawn(|| send_orders(options, operator, &confirmer, origin));
        sleep_until(origin);
        threads.extend(start_callers(&site, &nodes, options.callers, options.seed, &shared));
        let departures = scope.spawn(|| leave(&site, &backends, origin));
        refuse_writes(&site, &confirmer, origin);
        let orders = orders.join().expect("the operator does not panic");
        (orders, departures.join().expect("the targets do not panic"))
    });
    is_over.store(true, Ordering::Release);
    for thread in threads {
        assert!(thread.join().is_ok(), "a thread of the load panicked");
    }
    let violations = shared.0.violations();
    PlannedDayReport { orders, departures, violations, logs: site.logs() }
}

/// Starts all processes in a random order; each member and each node may use its share of a processor.
pub(super) fn start_shuffled(
    site: &mut PlaintextSite,
    (member_share, node_share): (f64, f64),
    throttle: &Throttle,
    rng: &mut SmallRng,
) {
    let mut names = site.names();
    names.shuffle(rng);
    for name in &names {
        site.start_process(name);
        let is_member = name.starts_with("core");
        let share = if is_member { member_share } else { node_share };
        throttle.limit(name, site.process_id(name), share);
        std::thread::sleep(START_TIME / names.len() as u32);
    }
}

/// Lets a process stand still at random times.
fn stall(pid: u32, seed: u64, options: PlannedDayOptions, is_over: &AtomicBool) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) else { return };
    while !is_over.load(Ordering::Acquire) {
        let pause = options.stall_interval.mul_f64(rng.random_range(0.0..2.0));
        let until = Instant::now() + pause;
        while Instant::now() < until && !is_over.load(Ordering::Acquire) {
            std::thread::sleep(Duration::from_millis(20));
        }
        // The process may have ended.
        let _stopped = kill_process(pid, Signal::STOP);
        std::thread::sleep(options.longest_stall.mul_f64(rng.random_range(0.0..1.0)));
        let _continued = kill_process(pid, Signal::CONT);
    }
}

/// Writes and syncs large files, which delays the syncs of the members.
fn load_disk(is_over: &AtomicBool) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("load");
    let piece = vec![1; LOAD_PIECE.get() as usize];
    while !is_over.load(Ordering::Acquire) {
        let mut file = File::create(&path).expect("the file can be created");
        for _ in 0..LOAD_PIECES {
            file.write_all(&piece).expect("the disk has room");
        }
        file.sync_all().expect("the file can be synced");
    }
}

/// Lets the disk of the member that has confirmed last refuse writes, at the planned times.
pub(super) fn refuse_writes(
    site: &PlaintextSite,
    confirmer: &Mutex<Option<String>>,
    origin: Instant,
) {
    for time in FAULT_TIMES {
        sleep_until(origin + Duration::from_secs_f64(time));
        let name = lock(confirmer).as_deref().and_then(|address| site.member_at(address));
        let Some(name) = name else { continue };
        site.refuse_writes(&name, true);
        std::thread::sleep(FAULT_TIME);
        site.refuse_writes(&name, false);
    }
}

/// Lets one target after the other say that it leaves, at the planned times; returns how long the confirmations took.
fn leave(site: &PlaintextSite, targets: &[Backend], origin: Instant) -> Vec<Option<Duration>> {
    let mut confirmed = Vec::new();
    // One target at least stays.
    for (number, time) in (2..=targets.len()).rev().zip(DEPARTURE_TIMES) {
        sleep_until(origin + Duration::from_secs_f64(time));
        let admin = &site.addresses(&format!("node-{number}")).admin;
        confirmed.push(targets[number - 1].report_leaving(admin, DEPARTURE_LIMIT));
    }
    confirmed
}

/// Sends the first configuration at once, and another one at each planned time.
fn send_orders(
    options: PlannedDayOptions,
    mut operator: Operator,
    confirmer: &Mutex<Option<String>>,
    origin: Instant,
) -> Vec<PlannedOrder> {
    let mut chain: Vec<u64> = Vec::new();
    let times = std::iter::once(Instant::now())
        .chain(ORDER_TIMES.map(|time| origin + Duration::from_secs_f64(time)));
    let mut orders = Vec::new();
    for (number, time) in (1..).zip(times) {
        sleep_until(time);
        let after = chain.last().copied().unwrap_or(0);
        let order = Order {
            method: "PUT",
            path: "/v1/revision".to_owned(),
            headers: format!("if-match: {after}\r\n"),
            body: load::document(number, 0, &chain, options.idle_routes).to_string(),
        };
        let sent_at = Instant::now();
        let report = operator.send(&order);
        if report.is_confirmed() {
            chain.push(number);
            *lock(confirmer) = report.last_address().map(str::to_owned);
        }
        let sent_at = sent_at.saturating_duration_since(origin).as_secs_f64();
        orders.push(PlannedOrder { sent_at, report });
    }
    orders
}

pub(super) fn sleep_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}
