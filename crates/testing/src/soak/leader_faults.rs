//! Orders of an operator while one leader after the other is lost.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;

use super::backend::RunCounts;
use super::load::{self, Shared};
use super::throttle::Throttle;
use super::{LONG_ELECTION_TIMEOUT, start_site, submit_first_version};
use crate::operator::{Operator, Order, OrderReport};
use crate::plaintext_site::PlaintextSite;

/// Time for which a fault lasts.
const FAULT_TIME: Duration = Duration::from_secs(3);
/// Time from the end of a fault to the next order.
const ORDER_DELAY: Duration = Duration::from_secs(1);
/// Time from an order after a fault to the next fault.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Time for the first reports of the targets, and for the other members to join.
const SETUP_TIME: Duration = Duration::from_secs(2);

/// Way to lose a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderFault {
    /// Its disk refuses all writes.
    RefuseWrites,
    /// Its disk has room for this number of bytes in each file.
    FillDisk(u64),
    /// It is killed and started again.
    Kill,
    /// It is told to stop and started again.
    Terminate,
    /// It stands still.
    Pause,
}

impl fmt::Display for LeaderFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RefuseWrites => f.write_str("refuse-writes"),
            Self::FillDisk(spare) => write!(f, "fill-disk:{spare}"),
            Self::Kill => f.write_str("kill"),
            Self::Terminate => f.write_str("terminate"),
            Self::Pause => f.write_str("pause"),
        }
    }
}

impl FromStr for LeaderFault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match (text, text.strip_prefix("fill-disk:")) {
            ("refuse-writes", _) => Ok(Self::RefuseWrites),
            ("kill", _) => Ok(Self::Kill),
            ("terminate", _) => Ok(Self::Terminate),
            ("pause", _) => Ok(Self::Pause),
            (_, Some(spare)) => {
                let spare = spare.parse().map_err(|error| format!("{spare:?}: {error}"))?;
                Ok(Self::FillDisk(spare))
            }
            (_, None) => Err(format!(
                "{text:?} is not one of refuse-writes, fill-disk:BYTES, kill, terminate and pause"
            )),
        }
    }
}

/// Kind of order that is sent during the faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// A configuration as a whole.
    Revision,
    /// An availability zone is taken out of service, or back in.
    Zone,
    /// A move of traffic to another version.
    Move,
}

impl FromStr for OrderKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "revision" => Ok(Self::Revision),
            "zone" => Ok(Self::Zone),
            "move" => Ok(Self::Move),
            _ => Err(format!("{text:?} is not one of revision, zone and move")),
        }
    }
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct LeaderFaultOptions {
    /// Seed of the operator's choices.
    pub seed: u64,
    /// How leaders are lost.
    pub fault: LeaderFault,
    /// Number of leaders that are lost, one after the other.
    pub count: u64,
    /// Kind of orders.
    pub order: OrderKind,
    /// Number of source members.
    pub members: usize,
    /// Number of nodes, each with a target.
    pub nodes: usize,
    /// Number of threads that send calls.
    pub callers: u64,
    /// Number of routes that get no calls.
    pub idle_routes: usize,
    /// Time from the beginning of a fault to the next order.
    pub order_delay: Duration,
    /// Share of a processor that each member may use; 0 means no limit.
    pub member_share: f64,
    /// The same for each node.
    pub node_share: f64,
}

impl LeaderFaultOptions {
    /// Three leaders of five members are lost, without limits to the processor.
    pub fn new(seed: u64, fault: LeaderFault, order: OrderKind) -> Self {
        Self {
            seed,
            fault,
            count: 3,
            order,
            members: 5,
            nodes: 2,
            callers: 2,
            idle_routes: 300,
            order_delay: Duration::from_secs(1),
            member_share: 0.0,
            node_share: 0.0,
        }
    }
}

/// Orders of an operator, in turn.
struct Orders {
    kind: OrderKind,
    idle_routes: usize,
    number: u64,
    chain: Vec<u64>,
}

impl Orders {
    fn next(&mut self) -> Order {
        self.number += 1;
        let number = self.number;
        let order = |method, path: &str, headers: String, body: String| Order {
            method,
            path: path.to_owned(),
            headers,
            body,
        };
        match self.kind {
            OrderKind::Revision => {
                let document = load::document(number, 0, &self.chain, self.idle_routes);
                self.chain.push(number);
                let headers = format!("if-match: {}\r\n", number - 1);
                order("PUT", "/v1/revision", headers, document.to_string())
            }
            OrderKind::Zone => {
                let state = if number.is_multiple_of(2) { "out" } else { "in" };
                order("POST", &format!("/v1/zones/b/{state}"), String::new(), String::new())
            }
            OrderKind::Move => {
                let body =
                    json!({ "service": "desk", "to": format!("v{number}"), "within_s": 1.5 });
                order("POST", "/v1/moves", String::new(), body.to_string())
            }
        }
    }
}

/// Loses one leader after the other, and returns how the orders during and after each fault went.
pub fn run_leader_faults(options: LeaderFaultOptions) -> Vec<OrderReport> {
    let run_counts: RunCounts = Arc::new(Mutex::new(HashMap::new()));
    let shared: Shared = (Arc::default(), Arc::new(AtomicBool::new(false)));
    let (observations, is_stopped) = &shared;
    let sizes = (options.members, options.nodes);
    let election = Some(LONG_ELECTION_TIMEOUT);
    let (mut site, nodes) = start_site(sizes, false, election, &run_counts, is_stopped);
    submit_first_version(&site, observations, options.idle_routes);
    let mut threads = start_callers(&site, &nodes, options.callers, options.seed, &shared);
    let throttle = Throttle::default();
    let (limits, stop) = (throttle.clone(), Arc::clone(is_stopped));
    threads.push(std::thread::spawn(move || limits.run(&stop)));
    let limit = |site: &PlaintextSite, name: &str| {
        let is_member = name.starts_with("core");
        let share = if is_member { options.member_share } else { options.node_share };
        throttle.limit(name, site.process_id(name), share);
    };
    site.names().iter().for_each(|name| limit(&site, name));
    std::thread::sleep(SETUP_TIME);
    let addresses = (1..=options.members).map(|number| site.operator_address(number)).collect();
    let mut operator = Operator::new(addresses, options.seed);
    let mut orders =
        Orders { kind: options.order, idle_routes: options.idle_routes, number: 1, chain: vec![1] };
    let mut reports = Vec::new();
    for _ in 0..options.count {
        let name = format!("core-{}", site.wait("a leader", PlaintextSite::leader));
        if matches!(options.fault, LeaderFault::Kill | LeaderFault::Terminate | LeaderFault::Pause)
        {
            throttle.release(&name);
        }
        begin(&mut site, &name, options.fault);
        std::thread::sleep(options.order_delay);
        reports.push(operator.send(&orders.next()));
        std::thread::sleep(FAULT_TIME.saturating_sub(options.order_delay));
        end(&mut site, &name, options.fault);
        limit(&site, &name);
        std::thread::sleep(ORDER_DELAY);
        reports.push(operator.send(&orders.next()));
        std::thread::sleep(CALM_TIME);
    }
    is_stopped.store(true, Ordering::Release);
    for thread in threads {
        assert!(thread.join().is_ok(), "a thread of the load panicked");
    }
    let violations = observations.violations();
    assert!(violations.is_empty(), "{violations:#?}");
    reports
}

/// Starts `count` threads that send calls to all nodes.
pub(super) fn start_callers(
    site: &PlaintextSite,
    nodes: &[String],
    count: u64,
    seed: u64,
    shared: &Shared,
) -> Vec<std::thread::JoinHandle<()>> {
    let callers: Vec<String> =
        nodes.iter().map(|node| site.addresses(node).callers.clone()).collect();
    let start = |number: u64| {
        let (callers, (observations, is_stopped)) = (callers.clone(), shared.clone());
        std::thread::spawn(move || {
            load::send_calls(&callers, number, seed, &observations, &is_stopped);
        })
    };
    (0..count).map(start).collect()
}

fn begin(site: &mut PlaintextSite, name: &str, fault: LeaderFault) {
    match fault {
        LeaderFault::RefuseWrites => site.refuse_writes(name, true),
        LeaderFault::FillDisk(spare) => site.limit_writes(name, spare),
        LeaderFault::Kill => site.kill(name),
        LeaderFault::Terminate => site.signal(name, "-TERM"),
        LeaderFault::Pause => site.signal(name, "-STOP"),
    }
}

fn end(site: &mut PlaintextSite, name: &str, fault: LeaderFault) {
    match fault {
        LeaderFault::RefuseWrites | LeaderFault::FillDisk(_) => site.refuse_writes(name, false),
        LeaderFault::Kill => site.start_process(name),
        LeaderFault::Terminate => {
            site.wait_exited(name);
            site.start_process(name);
        }
        LeaderFault::Pause => site.signal(name, "-CONT"),
    }
}
