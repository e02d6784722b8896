//! Callers and operators of a soak, and what they observe.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::plaintext_site::{RawResponse, follow_redirect, request_with_redirect};
use crate::soak::probes::Probe;
use crate::soak::route_changes::{ChangeCall, add_routes, own_service};
use crate::soak::{SoakOptions, invalid};

/// Interval between the calls of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(8);
/// Time between two attempts of one submission.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(150);
/// Number of operators that submit versions concurrently.
pub(super) const OPERATORS: u64 = 2;
/// Timeout of one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after its confirmation from which every read must return the version or a newer one.
pub(super) const STALENESS_LIMIT: Duration = Duration::from_secs(2);
/// Attempts of one submission; each goes to another member.
const SUBMIT_ATTEMPTS: usize = 12;
/// Time that an operator waits for a response before it turns to another member.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Fraction of the submissions that begin a series.
const SERIES_FRACTION: f64 = 0.06;
/// Submissions of a series, and their interval.
const SERIES_LENGTH: u32 = 20;
const SERIES_INTERVAL: Duration = Duration::from_millis(60);
/// Fraction of the confirmed versions that are submitted once more, as if the confirmation had been lost.
const REPEAT_FRACTION: f64 = 0.2;
/// Interval of the invalid configurations.
const INVALID_INTERVAL: Duration = Duration::from_millis(700);
/// Routes without calls that some versions have, in percent of the usual number.
const GROWN_PERCENT: usize = 250;
/// Difference of version numbers after which the number of these routes changes.
const GROWTH_PERIOD: u64 = 90;

/// A confirmed version.
#[derive(Debug, Clone)]
pub(super) struct Confirmed {
    pub(super) at: Instant,
    pub(super) document: Value,
    /// The version and those that it builds on, oldest first.
    pub(super) chain: Vec<u64>,
}

/// What callers and operators have observed.
#[derive(Debug, Default)]
pub(super) struct Observations {
    /// Violated guarantees.
    violations: Mutex<Vec<String>>,
    /// At-most-once calls, and whether their response says that they have not run.
    pub(super) at_most_once: Mutex<BTreeMap<String, bool>>,
    /// Confirmed versions by number.
    pub(super) confirmed: Mutex<BTreeMap<u64, Confirmed>>,
    /// Versions whose submission got no clear response.
    unclear: Mutex<BTreeMap<u64, (Value, Vec<u64>)>>,
    /// Address of the member that confirmed a version last.
    pub(super) confirmer: Mutex<Option<String>>,
    /// Versions whose submission was refused, with the time of the refusal.
    pub(super) refused: Mutex<BTreeMap<u64, Instant>>,
    /// Times at which versions were submitted first.
    pub(super) submitted: Mutex<BTreeMap<u64, Instant>>,
    /// Calls on routes that versions change.
    pub(super) change_calls: Mutex<Vec<ChangeCall>>,
    /// What nodes have shown of their configuration.
    pub(super) probes: Mutex<Vec<Probe>>,
    pub(super) calls: AtomicU64,
    pub(super) answered: AtomicU64,
}

impl Observations {
    pub(super) fn record_violation(&self, text: String) {
        lock(&self.violations).push(text);
    }

    pub(super) fn violations(&self) -> Vec<String> {
        lock(&self.violations).clone()
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Difference of version numbers after which the routes without calls change.
const IDLE_CHANGE_PERIOD: u64 = 20;
/// Number of the latest versions whose own route a version has.
pub(super) const KEPT_ROUTES: usize = 20;

/// Returns the path prefix of the route that a version adds.
pub(super) fn own_prefix(number: u64) -> String {
    format!("/v-{number}/")
}

/// Returns the configuration that an operator submits as a version.
///
/// `chain` lists the versions that it builds on, oldest first. Each version adds a route of its own and keeps those of the
/// versions before it, so that a node's answers show how new its configuration is.
pub(super) fn document(number: u64, author: u64, chain: &[u64], idle_routes: usize) -> Value {
    let mut document = base_document(number, author);
    add_routes(&mut document, number);
    let route = |prefix: String| {
        json!({ "host": "c.example", "prefix": prefix, "semantics": "idempotent",
            "timeout_ms": 2_000, "objective_ms": 500, "rank": 2, "attempts": 2, "service": "desk" })
    };
    let oldest = (chain.len() + 1).saturating_sub(KEPT_ROUTES);
    for version in chain.iter().skip(oldest).chain([&number]) {
        let mut own = route(own_prefix(*version));
        own["service"] = json!(own_service(*version));
        document["routes"][format!("own-{version}")] = own;
    }
    let percent = if (number / GROWTH_PERIOD) % 2 == 1 { GROWN_PERCENT } else { 100 };
    for index in 0..idle_routes * percent / 100 {
        let mut idle = route(format!("/idle-{index}/"));
        // Some versions change all of them.
        idle["timeout_ms"] = json!(2_000 + number / IDLE_CHANGE_PERIOD);
        document["routes"][format!("idle-{index}")] = idle;
    }
    document
}

fn base_document(number: u64, author: u64) -> Value {
    json!({
        "version": number,
        "services": { "desk": { "health": "/health", "connections": 50, "protocol": "h1", "tls": false } },
        "routes": {
            "reads": { "host": "a.example", "prefix": "/read/", "semantics": "idempotent",
                "timeout_ms": 2_000, "objective_ms": 500, "rank": 2, "attempts": 2, "service": "desk" },
            "books": { "host": "a.example", "prefix": "/book/", "semantics": "at_most_once",
                "timeout_ms": 2_000, "objective_ms": 500, "rank": 1, "attempts": 2, "service": "desk" },
            "author": { "host": "b.example", "prefix": format!("/by-{author}/"), "semantics": "idempotent",
                "timeout_ms": 2_000, "objective_ms": 500, "rank": 2, "attempts": 2, "service": "desk" },
        },
        "limits": { "header_bytes": 16_384, "body_bytes": 1_000_000, "idle_ms": 15_000 },
    })
}

/// Sends calls on persistent connections until `is_stopped` is set.
pub(super) fn send_calls(
    nodes: &[String],
    number: u64,
    seed: u64,
    observations: &Observations,
    is_stopped: &AtomicBool,
) {
    let mut rng = SmallRng::seed_from_u64(seed ^ number);
    let mut connections: BTreeMap<usize, TcpStream> = BTreeMap::new();
    let mut count = 0_u64;
    while !is_stopped.load(Ordering::Acquire) {
        std::thread::sleep(CALL_INTERVAL);
        count += 1;
        let node = rng.random_range(0..nodes.len());
        let is_at_most_once = rng.random_bool(0.5);
        let id = format!("c{number}-{count}");
        let (method, path) = if is_at_most_once { ("POST", "/book/1") } else { ("GET", "/read/1") };
        let stream = match connections.remove(&node) {
            Some(stream) => Some(stream),
            None => connect(&nodes[node]),
        };
        let Some(mut stream) = stream else { continue };
        observations.calls.fetch_add(1, Ordering::Relaxed);
        if is_at_most_once {
            lock(&observations.at_most_once).insert(id.clone(), false);
        }
        let response = exchange(&mut stream, method, path, &id);
        let Some(response) = response else { continue };
        check_response(observations, &id, is_at_most_once, &response);
        if response.header("connection") != Some("close") {
            connections.insert(node, stream);
        }
    }
}

fn connect(address: &str) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address.parse().ok()?, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    Some(stream)
}

fn exchange(stream: &mut TcpStream, method: &str, path: &str, id: &str) -> Option<RawResponse> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-call: {id}\r\nx-left: 2000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let response = RawResponse::parse(&bytes);
        let length = response.header("content-length").and_then(|text| text.parse::<usize>().ok());
        if response.status != 0 && response.body.len() >= length.unwrap_or(0) {
            return Some(response);
        }
        match stream.read(&mut buffer) {
            Ok(size) if size > 0 => bytes.extend_from_slice(&buffer[..size]),
            _ => return None,
        }
    }
}

fn check_response(
    observations: &Observations,
    id: &str,
    is_at_most_once: bool,
    response: &RawResponse,
) {
    match response.status {
        200 if response.body != id.as_bytes() => {
            observations.record_violation(format!(
                "call {id} got the body {:?}",
                String::from_utf8_lossy(&response.body)
            ));
        }
        200 => drop(observations.answered.fetch_add(1, Ordering::Relaxed)),
        // These status codes guarantee that the call has not run.
        408 | 421 | 429 | 503 if is_at_most_once => {
            lock(&observations.at_most_once).insert(id.to_owned(), true);
        }
        404 => observations
            .record_violation(format!("call {id} got 404, although every version has its route")),
        _ => {}
    }
}

/// Addresses of the operator API of all members, which change when one is replaced.
pub(super) type Members = Arc<Mutex<Vec<String>>>;

/// Returns the address of a member, whatever the number.
fn member(members: &Members, number: usize) -> String {
    let addresses = lock(members);
    addresses[number % addresses.len()].clone()
}

/// Submits versions until `is_stopped` is set, in competition with the other authors.
pub(super) fn submit_versions(
    members: &Members,
    author: u64,
    options: SoakOptions,
    observations: &Observations,
    is_stopped: &AtomicBool,
) {
    let mut rng = SmallRng::seed_from_u64(options.seed ^ (author << 32));
    let (mut series, mut last_number) = (0, 0);
    while !is_stopped.load(Ordering::Acquire) {
        series = match series {
            0 if rng.random_bool(SERIES_FRACTION) => SERIES_LENGTH,
            0 => 0,
            left => left - 1,
        };
        std::thread::sleep(match series {
            0 => options.submit_interval.mul_f64(rng.random_range(0.5..1.5)),
            _ => SERIES_INTERVAL,
        });
        let chain = {
            let confirmed = lock(&observations.confirmed);
            confirmed.last_key_value().map(|(_, last)| last.chain.clone()).unwrap_or_default()
        };
        let base = chain.last().copied().unwrap_or(0);
        // No number is chosen twice: a refused one is in force nowhere, and an unclear one stands for one document.
        let number = (base / OPERATORS + rng.random_range(1..3)) * OPERATORS + author - 1;
        let number = number.max(last_number + OPERATORS);
        last_number = number;
        let document = document(number, author, &chain, options.idle_routes);
        let first_member = rng.random_range(0..64);
        lock(&observations.submitted).insert(number, Instant::now());
        let chain = chain.into_iter().chain([number]).collect();
        let submission = Submission { base, number, document, chain };
        match submission.send(members, first_member, observations) {
            Outcome::Confirmed if rng.random_bool(REPEAT_FRACTION) => {
                submission.repeat(members, first_member + 1, observations);
            }
            Outcome::Confirmed => {}
            Outcome::Refused => {
                lock(&observations.refused).insert(number, Instant::now());
                learn_version(members, first_member, observations);
            }
            Outcome::Unclear => {
                let unclear = (submission.document, submission.chain);
                lock(&observations.unclear).insert(number, unclear);
                learn_version(members, first_member, observations);
            }
        }
    }
}

/// A version that an operator submits.
#[derive(Debug)]
pub(super) struct Submission {
    pub(super) base: u64,
    pub(super) number: u64,
    pub(super) document: Value,
    /// The version and those that it builds on, oldest first.
    pub(super) chain: Vec<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Confirmed,
    Refused,
    Unclear,
}

impl Submission {
    /// Submits the version to one member after the other until a response is clear.
    fn send(&self, members: &Members, first: usize, observations: &Observations) -> Outcome {
        let body = self.document.to_string();
        let mut is_unclear = false;
        for attempt in 0..SUBMIT_ATTEMPTS {
            let (confirmer, response) = self.put(&member(members, first + attempt), &body);
            match response.status {
                200 | 201 => {
                    *lock(&observations.confirmer) = Some(confirmer);
                    let (document, chain) = (self.document.clone(), self.chain.clone());
                    record_confirmation(observations, self.number, document, chain);
                    return Outcome::Confirmed;
                }
                400..500 if response.status != 408 && response.status != 429 => {
                    return if is_unclear { Outcome::Unclear } else { Outcome::Refused };
                }
                _ => is_unclear = true,
            }
            std::thread::sleep(SUBMIT_INTERVAL);
        }
        Outcome::Unclear
    }

    pub(super) fn put(&self, address: &str, body: &str) -> (String, RawResponse) {
        let headers = format!("if-match: {}\r\n", self.base);
        follow_redirect(address, "PUT", "/v1/revision", &headers, body, OPERATOR_TIMEOUT)
    }

    /// Submits a confirmed version again; it must be confirmed again unless there is a newer one.
    fn repeat(&self, members: &Members, first: usize, observations: &Observations) {
        let (address, response) = self.put(&member(members, first), &self.document.to_string());
        let newest = lock(&observations.confirmed).keys().next_back().copied();
        let is_refused = matches!(response.status, 400..500)
            && !matches!(response.status, 408 | 429)
            && newest == Some(self.number);
        let shown = request_with_redirect(&address, "GET", "/v1/revision", "", "").json();
        if is_refused && shown["version"] == json!(self.number) {
            observations.record_violation(format!(
                "{address} refused version {} with {}, which it had confirmed and which is in force",
                self.number, response.status
            ));
        }
    }
}

/// Records the version in force as confirmed if its submission got no clear response.
fn learn_version(members: &Members, number: usize, observations: &Observations) {
    let address = member(members, number);
    let (_, response) = follow_redirect(&address, "GET", "/v1/revision", "", "", OPERATOR_TIMEOUT);
    let shown = response.json()["version"].as_u64().unwrap_or(0);
    let unclear = lock(&observations.unclear).remove(&shown);
    if let Some((document, chain)) = unclear {
        record_confirmation(observations, shown, document, chain);
    }
}

/// Submits configurations that are invalid until `is_stopped` is set; none may be confirmed.
pub(super) fn submit_invalid(
    members: &Members,
    seed: u64,
    observations: &Observations,
    is_stopped: &AtomicBool,
) {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xBAD);
    while !is_stopped.load(Ordering::Acquire) {
        std::thread::sleep(INVALID_INTERVAL.mul_f64(rng.random_range(0.2..1.8)));
        let newest = lock(&observations.confirmed).keys().next_back().copied().unwrap_or(0);
        let document = base_document(newest + OPERATORS * 3, 0);
        let body = invalid::spoil(document.clone(), newest, &mut rng);
        let submission = Submission { base: newest, number: 0, document, chain: Vec::new() };
        let address = member(members, rng.random_range(0..64));
        let (_, response) = submission.put(&address, &body);
        if matches!(response.status, 200 | 201) {
            observations
                .record_violation(format!("{address} confirmed an invalid version: {body}"));
        }
    }
}

fn record_confirmation(observations: &Observations, number: u64, document: Value, chain: Vec<u64>) {
    let mut confirmed = lock(&observations.confirmed);
    let new = Confirmed { at: Instant::now(), document, chain };
    let first = confirmed.entry(number).or_insert_with(|| new.clone());
    if first.document != new.document {
        observations.record_violation(format!(
            "two different documents were confirmed as version {number}"
        ));
    }
}

/// Reads the configuration from random members until `is_stopped` is set; none may return a stale version.
pub(super) fn read_versions(
    members: &Members,
    seed: u64,
    observations: &Observations,
    is_stopped: &AtomicBool,
) {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xF00D);
    while !is_stopped.load(Ordering::Acquire) {
        std::thread::sleep(CALL_INTERVAL * 5);
        let member = member(members, rng.random_range(0..64));
        let sent_at = Instant::now();
        let (_, response) =
            follow_redirect(&member, "GET", "/v1/revision", "", "", RESPONSE_TIMEOUT);
        if response.status != 200 {
            continue;
        }
        let shown = response.json()["version"].as_u64().unwrap_or(0);
        let expected = {
            let confirmed = lock(&observations.confirmed);
            let old =
                confirmed.iter().filter(|(_, version)| version.at + STALENESS_LIMIT < sent_at);
            old.map(|(number, _)| *number).max().unwrap_or(0)
        };
        if shown < expected {
            observations.record_violation(format!(
                "{member} returned version {shown} after {expected} had been confirmed"
            ));
        }
    }
}

/// State that all threads of a soak share: the observations and the stop flag.
pub(super) type Shared = (Arc<Observations>, Arc<AtomicBool>);
