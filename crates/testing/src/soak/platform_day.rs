//! A day as the platform plays it, with real processes: settings rendered from the platform's templates, its load, and an
//! operator whose orders meet leaders that can't write.

mod callers;
mod target;

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use self::callers::{CallCounts, INNER_KIND, KINDS, Kind};
use self::target::{DayTarget, Departure};
use super::load::{Observations, lock};
use super::planned_day::{
    LOAD_DELAY, ORDER_TIMES, PlannedOrder, refuse_writes, sleep_until, start_shuffled,
};
use super::throttle::Throttle;
use crate::operator::{Operator, Order};
use crate::plaintext_site::{PlaintextSite, request_with_redirect};

/// Services of the nodes, in turn.
const SERVICES: [&str; 10] = [
    "lessons-desk",
    "lessons-desk",
    "lessons-desk",
    "tutor-roster",
    "lessons-desk",
    "lessons-desk",
    "tutor-roster",
    "lessons-desk",
    "lessons-desk",
    "tutor-roster",
];
/// Time within which an order must be confirmed.
const ORDER_LIMIT: Duration = Duration::from_secs(4);
/// Times at which targets leave, in seconds after the first calls, and how.
const DEPARTURES: [(f64, Departure); 3] =
    [(6.0, Departure::Report), (16.0, Departure::Delete), (28.0, Departure::Report)];
/// Zone that a second operator takes out of service.
const EVACUATED_ZONE: &str = "c";
/// Interval of the reads of the configuration during the day.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time after its confirmation from which every read must return a version or a newer one.
const STALENESS_LIMIT: Duration = Duration::from_secs(2);
/// Time for which the configuration is read back at the end of the day.
const READ_BACK_TIME: Duration = Duration::from_secs(3);
/// Time from the last order to the end of the day.
const LAST_CALM_TIME: Duration = Duration::from_secs(5);
/// Difference between the numbers of successive configurations.
const NUMBER_STEPS: [u64; 3] = [1, 3, 2];

/// Parameters of a platform day.
#[derive(Debug, Clone, Copy)]
pub struct PlatformDayOptions {
    /// Seed of the order of the starts and of all choices.
    pub seed: u64,
    /// Number of source members.
    pub members: usize,
    /// Number of callers; together they send the same number of calls per second, however many they are.
    pub callers: usize,
    /// Number of routes that get no calls.
    pub idle_routes: usize,
    /// Share of a processor that each member may use; 0 means no limit.
    pub member_share: f64,
    /// The same for each node.
    pub node_share: f64,
    /// Time from the start of the first process to the first order.
    pub first_order: Duration,
    /// Number of members in the operator's list that are gone and don't answer.
    pub gone_members: usize,
    /// Whether the logs go to pipes that are read slowly.
    pub slow_logs: bool,
    /// Whether a second operator takes a zone out of service or back in at the time of each configuration.
    pub zone_orders: bool,
}

/// Result of a platform day.
#[derive(Debug)]
pub struct PlatformDayReport {
    /// Configurations in their order, and then the orders on zones.
    pub orders: Vec<PlannedOrder>,
    /// Time until the node of each target that left has confirmed that; `None` if it has not.
    pub departures: Vec<Option<Duration>>,
    /// Number of calls, and of those that were served.
    pub calls: (u64, u64),
    /// Violated guarantees, with the orders and departures that were not confirmed in time.
    pub violations: Vec<String>,
    /// Logs of all processes.
    pub logs: String,
}

/// A configuration that was confirmed.
#[derive(Debug, Clone)]
struct Confirmed {
    number: u64,
    at: Instant,
}

/// What the operator and the readers share.
#[derive(Debug, Default)]
struct Progress {
    confirmed: Mutex<Vec<Confirmed>>,
    /// Address of the member that confirmed an order last.
    confirmer: Mutex<Option<String>>,
}

impl Progress {
    /// Returns the number of the newest configuration that every read must show by now.
    fn due_number(&self) -> u64 {
        let confirmed = lock(&self.confirmed);
        let due = confirmed.iter().rev().find(|known| known.at.elapsed() > STALENESS_LIMIT);
        due.map_or(0, |known| known.number)
    }

    fn newest_number(&self) -> u64 {
        lock(&self.confirmed).last().map_or(0, |known| known.number)
    }
}

/// Plays a platform day.
pub fn run_platform_day(options: PlatformDayOptions) -> PlatformDayReport {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut site = PlaintextSite::prepare_rendered(options.members, &SERVICES);
    if options.slow_logs {
        site.slow_down_logs();
    }
    let targets: Vec<DayTarget> =
        (1..=SERVICES.len()).map(|number| start_target(&site, number)).collect();
    let throttle = Throttle::default();
    let (observations, counts, progress) =
        (Observations::default(), CallCounts::default(), Progress::default());
    let started_at = Instant::now();
    let origin = started_at + LOAD_DELAY;
    let addresses: Vec<String> =
        (1..=options.members).map(|number| site.operator_address(number)).collect();
    let operator = Operator::new(addresses.clone(), options.seed).with_gone(options.gone_members);
    let callers: Vec<String> = (1..=SERVICES.len())
        .map(|number| site.addresses(&node_name(number)).callers.clone())
        .collect();
    let (orders, departures) = std::thread::scope(|scope| {
        scope.spawn(|| throttle.run(&is_over));
        let (progress, observations, counts) = (&progress, &observations, &counts);
        let over = &*is_over;
        let first_order = started_at + options.first_order;
        let orders =
            scope.spawn(move || send_orders(options, operator, progress, first_order, origin));
        start_shuffled(&mut site, (options.member_share, options.node_share), &throttle, &mut rng);
        for target in &targets {
            scope.spawn(|| target.report_until(over));
        }
        sleep_until(origin);
        for number in 0..options.callers {
            let callers = &callers;
            scope.spawn(move || {
                let (count, seed) = (options.callers, options.seed);
                callers::send_calls(callers, number, count, seed, observations, counts, over);
            });
        }
        let addresses = &addresses;
        scope.spawn(move || read_during_day(addresses, options.seed, progress, observations, over));
        let departures = scope.spawn(|| leave(&targets, origin));
        let zone_orders = options.zone_orders.then(|| {
            let operator = Operator::new(addresses.clone(), !options.seed);
            scope.spawn(move || send_zone_orders(operator, origin))
        });
        refuse_writes(&site, &progress.confirmer, origin);
        let mut orders = orders.join().expect("the operator does not panic");
        if let Some(zone_orders) = zone_orders {
            orders.extend(zone_orders.join().expect("the operator does not panic"));
        }
        std::thread::sleep(LAST_CALM_TIME);
        is_over.store(true, Ordering::Release);
        (orders, departures.join().expect("the targets do not panic"))
    });
    read_back(&addresses, progress.newest_number(), &observations);
    for name in site.names() {
        if site.has_exited(&name) {
            observations.record_violation(format!("{name} has ended by itself"));
        }
    }
    check_times(&orders, &departures, &observations);
    let calls = (counts.sent.load(Ordering::Relaxed), counts.served.load(Ordering::Relaxed));
    let violations = observations.violations();
    PlatformDayReport { orders, departures, calls, violations, logs: site.logs() }
}

fn node_name(number: usize) -> String {
    format!("node-{number}")
}

fn start_target(site: &PlaintextSite, number: usize) -> DayTarget {
    let node = node_name(number);
    let addresses = site.addresses(&node);
    let (service, address) = (SERVICES[number - 1], site.rendered_target(&node));
    DayTarget::start(
        number,
        service,
        &site.zone(&node),
        address,
        &addresses.callers,
        &addresses.admin,
    )
}

/// Lets one target after the other leave, at the planned times; returns how long the confirmations took.
fn leave(targets: &[DayTarget], origin: Instant) -> Vec<Option<Duration>> {
    let leaving = targets.iter().rev().zip(DEPARTURES);
    let departures = leaving.map(|(target, (time, way))| {
        sleep_until(origin + Duration::from_secs_f64(time));
        target.leave(way)
    });
    departures.collect()
}

/// Sends the first configuration, and another one at each planned time.
fn send_orders(
    options: PlatformDayOptions,
    mut operator: Operator,
    progress: &Progress,
    first_order: Instant,
    origin: Instant,
) -> Vec<PlannedOrder> {
    let times = std::iter::once(first_order)
        .chain(ORDER_TIMES.map(|time| origin + Duration::from_secs_f64(time)));
    let mut orders = Vec::new();
    let mut number = 0;
    for (time, step) in times.zip(NUMBER_STEPS.iter().cycle()) {
        sleep_until(time);
        let after = progress.newest_number();
        number += step;
        let order = Order {
            method: "PUT",
            path: "/v1/revision".to_owned(),
            headers: format!("if-match: {after}\r\ncontent-type: application/json\r\n"),
            body: document(number, options.idle_routes).to_string(),
        };
        let planned = send_planned(&mut operator, &order, origin);
        if planned.report.is_confirmed() {
            lock(&progress.confirmed).push(Confirmed { number, at: Instant::now() });
            *lock(&progress.confirmer) = planned.report.last_address().map(str::to_owned);
        }
        orders.push(planned);
    }
    orders
}

/// Takes a zone out of service and back in, in turn, at the times of the configurations.
fn send_zone_orders(mut operator: Operator, origin: Instant) -> Vec<PlannedOrder> {
    let orders = ORDER_TIMES.iter().zip(["out", "in"].iter().cycle()).map(|(time, state)| {
        sleep_until(origin + Duration::from_secs_f64(*time));
        let order = Order {
            method: "POST",
            path: format!("/v1/zones/{EVACUATED_ZONE}/{state}"),
            headers: String::new(),
            body: String::new(),
        };
        send_planned(&mut operator, &order, origin)
    });
    orders.collect()
}

fn send_planned(operator: &mut Operator, order: &Order, origin: Instant) -> PlannedOrder {
    let sent_at = Instant::now().saturating_duration_since(origin).as_secs_f64();
    PlannedOrder { sent_at, report: operator.send(order) }
}

/// Returns the configuration with a number; the timeouts change with it.
fn document(number: u64, idle_routes: usize) -> Value {
    let service = json!({ "health": "/health", "connections": 120, "protocol": "h1", "tls": false,
        "warmup_s": 3.0, "warmup_rate": 52.0 });
    let mut routes = serde_json::Map::new();
    for kind in KINDS.iter().chain([&INNER_KIND]) {
        routes.insert(format!("r-{}", kind.name), route(kind, number));
    }
    for index in 0..idle_routes {
        let mut idle = route(&KINDS[0], number);
        idle["prefix"] = json!(format!("/idle-{index}/"));
        routes.insert(format!("r-idle-{index}"), idle);
    }
    json!({
        "version": number,
        "routes": routes,
        "services": { "lessons-desk": service, "tutor-roster": service },
        "limits": { "header_bytes": 16_384, "body_bytes": 67_108_864, "header_ms": 3_000,
            "idle_ms": 15_000 },
    })
}

fn route(kind: &Kind, number: u64) -> Value {
    let semantics = if kind.is_idempotent { "idempotent" } else { "at_most_once" };
    let timeout = kind.timeout.as_millis() as u64 + number;
    json!({ "host": format!("{}.example", kind.name), "prefix": format!("/{}/", kind.name),
        "semantics": semantics, "timeout_ms": timeout,
        "objective_ms": kind.objective.as_millis() as u64, "rank": kind.rank, "attempts": 2,
        "service": kind.service })
}

/// Reads the configuration from any member, again and again until the day is over.
fn read_during_day(
    addresses: &[String],
    seed: u64,
    progress: &Progress,
    observations: &Observations,
    is_over: &AtomicBool,
) {
    let mut rng = SmallRng::seed_from_u64(!seed);
    while !is_over.load(Ordering::Acquire) {
        std::thread::sleep(READ_INTERVAL);
        let address = &addresses[rng.random_range(0..addresses.len())];
        let due = progress.due_number();
        let response = request_with_redirect(address, "GET", "/v1/revision", "", "");
        let number = response.json()["version"].as_u64().unwrap_or(0);
        if response.status == 200 && number < due {
            observations.record_violation(format!("{address} showed {number} in place of {due}"));
        }
    }
}

/// Reads the configuration back from every member until each has shown the newest one.
fn read_back(addresses: &[String], newest: u64, observations: &Observations) {
    for address in addresses {
        let until = Instant::now() + READ_BACK_TIME;
        let is_shown = || {
            let response = request_with_redirect(address, "GET", "/v1/revision", "", "");
            response.status == 200 && response.json()["version"] == newest
        };
        let mut shown = is_shown();
        while !shown && Instant::now() < until {
            std::thread::sleep(READ_INTERVAL / 5);
            shown = is_shown();
        }
        if !shown {
            observations.record_violation(format!("{address} did not show {newest} at the end"));
        }
    }
}

/// Records the orders and departures that were not confirmed in time.
fn check_times(
    orders: &[PlannedOrder],
    departures: &[Option<Duration>],
    observations: &Observations,
) {
    let is_late =
        |order: &&PlannedOrder| !order.report.is_confirmed() || order.report.duration > ORDER_LIMIT;
    for order in orders.iter().filter(is_late) {
        observations.record_violation(format!("late order {order}"));
    }
    for (number, _) in departures.iter().enumerate().filter(|(_, time)| time.is_none()) {
        observations.record_violation(format!("departure {} was not confirmed", number + 1));
    }
}

impl fmt::Display for PlatformDayReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for order in &self.orders {
            writeln!(f, "order {order}")?;
        }
        for time in &self.departures {
            match time {
                Some(time) => writeln!(f, "departure {time:.2?}")?,
                None => writeln!(f, "departure not confirmed")?,
            }
        }
        for violation in &self.violations {
            writeln!(f, "violation: {violation}")?;
        }
        let (sent, served) = self.calls;
        write!(f, "{sent} calls, {served} served")
    }
}
