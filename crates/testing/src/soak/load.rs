//! Callers and operators of a soak, and what they have seen.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::plaintext_site::{RawResponse, follow};

/// Pause between the calls of one caller.
const CALL_PAUSE: Duration = Duration::from_millis(8);
/// Pause between an operator's orders.
const ORDER_PAUSE: Duration = Duration::from_millis(150);
/// Longest wait for one answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);
/// Time after its confirmation at which a version must be read by everybody.
pub(super) const READ_LIMIT: Duration = Duration::from_secs(2);
/// Tries of one order; each goes to another member.
const ORDER_TRIES: usize = 12;

/// A confirmed version.
#[derive(Debug, Clone)]
pub(super) struct Confirmed {
    pub(super) at: Instant,
    pub(super) document: Value,
}

/// What callers and operators have seen.
#[derive(Debug, Default)]
pub(super) struct Seen {
    /// Broken promises.
    faults: Mutex<Vec<String>>,
    /// Calls that may run once at most, with whether their answer says that they have not run.
    pub(super) once: Mutex<BTreeMap<String, bool>>,
    /// Confirmed versions.
    pub(super) confirmed: Mutex<BTreeMap<u64, Confirmed>>,
    pub(super) calls: AtomicU64,
    pub(super) answered: AtomicU64,
}

impl Seen {
    pub(super) fn fault(&self, text: String) {
        lock(&self.faults).push(text);
    }

    pub(super) fn faults(&self) -> Vec<String> {
        lock(&self.faults).clone()
    }
}

pub(super) fn lock<T>(held: &Mutex<T>) -> MutexGuard<'_, T> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the configuration that an operator sends under a number.
pub(super) fn document(number: u64, author: u64) -> Value {
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

/// Sends calls on kept connections until told to end.
pub(super) fn call_on(nodes: &[String], number: u64, seed: u64, seen: &Seen, is_over: &AtomicBool) {
    let mut rng = SmallRng::seed_from_u64(seed ^ number);
    let mut kept: BTreeMap<usize, TcpStream> = BTreeMap::new();
    let mut count = 0_u64;
    while !is_over.load(Ordering::Acquire) {
        std::thread::sleep(CALL_PAUSE);
        count += 1;
        let at = rng.random_range(0..nodes.len());
        let is_once = rng.random_bool(0.5);
        let id = format!("c{number}-{count}");
        let (method, path) = if is_once { ("POST", "/book/1") } else { ("GET", "/read/1") };
        let stream = match kept.remove(&at) {
            Some(stream) => Some(stream),
            None => open(&nodes[at]),
        };
        let Some(mut stream) = stream else { continue };
        seen.calls.fetch_add(1, Ordering::Relaxed);
        if is_once {
            lock(&seen.once).insert(id.clone(), false);
        }
        let answer = exchange(&mut stream, method, path, &id);
        let Some(answer) = answer else { continue };
        judge(seen, &id, is_once, &answer);
        if answer.header("connection") != Some("close") {
            kept.insert(at, stream);
        }
    }
}

fn open(address: &str) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address.parse().ok()?, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(ANSWER_LIMIT)).ok()?;
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
        let answer = RawResponse::parse(&bytes);
        let length = answer.header("content-length").and_then(|text| text.parse::<usize>().ok());
        if answer.status != 0 && answer.body.len() >= length.unwrap_or(0) {
            return Some(answer);
        }
        match stream.read(&mut buffer) {
            Ok(size) if size > 0 => bytes.extend_from_slice(&buffer[..size]),
            _ => return None,
        }
    }
}

fn judge(seen: &Seen, id: &str, is_once: bool, answer: &RawResponse) {
    match answer.status {
        200 if answer.body != id.as_bytes() => {
            seen.fault(format!("call {id} got {:?}", String::from_utf8_lossy(&answer.body)));
        }
        200 => drop(seen.answered.fetch_add(1, Ordering::Relaxed)),
        // These statuses promise that the call has not run.
        408 | 421 | 429 | 503 if is_once => {
            lock(&seen.once).insert(id.to_owned(), true);
        }
        404 => seen.fault(format!("call {id} got 404, its route is in every version")),
        _ => {}
    }
}

/// Sends one version after another until told to end; each author races the others.
pub(super) fn order_on(
    members: &[String],
    author: u64,
    seed: u64,
    seen: &Seen,
    is_over: &AtomicBool,
) {
    let mut rng = SmallRng::seed_from_u64(seed ^ (author << 32));
    while !is_over.load(Ordering::Acquire) {
        std::thread::sleep(ORDER_PAUSE.mul_f64(rng.random_range(0.5..1.5)));
        let base = lock(&seen.confirmed).keys().next_back().copied().unwrap_or(0);
        let number = base + rng.random_range(1..4);
        let document = document(number, author);
        let mut at = rng.random_range(0..members.len());
        for _ in 0..ORDER_TRIES {
            let member = &members[at % members.len()];
            let headers = format!("if-match: {base}\r\n");
            let answer = follow(member, "PUT", "/v1/revision", &headers, &document.to_string());
            match answer.status {
                200 | 201 => {
                    confirm(seen, number, document);
                    break;
                }
                400..500 if answer.status != 408 && answer.status != 429 => break,
                _ => at += 1,
            }
            std::thread::sleep(ORDER_PAUSE);
        }
    }
}

fn confirm(seen: &Seen, number: u64, document: Value) {
    let mut confirmed = lock(&seen.confirmed);
    let fresh = Confirmed { at: Instant::now(), document };
    let held = confirmed.entry(number).or_insert_with(|| fresh.clone());
    if held.document != fresh.document {
        seen.fault(format!("two different versions were confirmed under number {number}"));
    }
}

/// Reads the configuration from any member until told to end; nobody may show an old one.
pub(super) fn read_on(members: &[String], seed: u64, seen: &Seen, is_over: &AtomicBool) {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xF00D);
    while !is_over.load(Ordering::Acquire) {
        std::thread::sleep(CALL_PAUSE * 5);
        let member = &members[rng.random_range(0..members.len())];
        let sent = Instant::now();
        let answer = follow(member, "GET", "/v1/revision", "", "");
        if answer.status != 200 {
            continue;
        }
        let shown = answer.json()["version"].as_u64().unwrap_or(0);
        let due = {
            let confirmed = lock(&seen.confirmed);
            let old = confirmed.iter().filter(|(_, held)| held.at + READ_LIMIT < sent);
            old.map(|(number, _)| *number).max().unwrap_or(0)
        };
        if shown < due {
            seen.fault(format!("{member} showed version {shown}, {due} had been confirmed"));
        }
    }
}

/// Shared handles of the threads of one soak.
pub(super) type Shared = (Arc<Seen>, Arc<AtomicBool>);
