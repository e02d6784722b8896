//! Targets of a platform day: a number of slots, a queue, and calls to another service within a run.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

use super::callers::{INNER_KIND, Kind, kind_of_path, send_inner};
use crate::plaintext_site::{RawResponse, request_within};
use crate::platform_settings::header_names;
use crate::soak::load::lock;

/// Requests that a target runs at once, and those that it queues.
const SLOTS: usize = 17;
const QUEUE: usize = 68;
/// Connections that a target accepts.
const CONNECTIONS: usize = 120;
/// Speeds of the targets of one service, in turn; each multiplies the time of a run.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// Interval between reports, and the time within which one must be confirmed.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a target that leaves asks for a confirmation.
const DEPARTURE_LIMIT: Duration = Duration::from_secs(4);
/// Length of the body of a response, in bytes.
const BODY_LENGTH: usize = 5_000;

/// Requests that a target runs and queues.
#[derive(Debug, Default)]
struct Occupancy {
    running: usize,
    queued: usize,
}

#[derive(Debug)]
struct Inner {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    /// Address of the node next to the target, for calls within a run.
    outbound: String,
    /// Address of the node next to the target, for reports.
    admin: String,
    speed: f64,
    born_ms: u64,
    sequence: AtomicU64,
    is_leaving: AtomicBool,
    connections: AtomicU64,
    occupancy: Mutex<Occupancy>,
    released: Condvar,
}

/// Way in which a target leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Departure {
    /// It reports that it leaves.
    Report,
    /// It deletes itself, without a report before.
    Delete,
}

/// A target; clones share it.
#[derive(Debug, Clone)]
pub(super) struct DayTarget(Arc<Inner>);

impl DayTarget {
    /// Starts a target that listens on `address`, next to the node with these addresses.
    pub(super) fn start(
        number: usize,
        service: &str,
        zone: &str,
        address: SocketAddr,
        outbound: &str,
        admin: &str,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let target = Self(Arc::new(Inner {
            id: format!("i-{number}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            outbound: outbound.to_owned(),
            admin: admin.to_owned(),
            speed: SPEEDS[number % SPEEDS.len()],
            born_ms: crate::desk::wall_ms(),
            sequence: AtomicU64::new(1),
            is_leaving: AtomicBool::new(false),
            connections: AtomicU64::new(0),
            occupancy: Mutex::default(),
            released: Condvar::new(),
        }));
        let server = target.clone();
        std::thread::spawn(move || server.accept(&listener));
        target
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.0.connections.load(Ordering::Relaxed) >= CONNECTIONS as u64 {
                continue;
            }
            self.0.connections.fetch_add(1, Ordering::Relaxed);
            let server = self.clone();
            std::thread::spawn(move || {
                // Serving ends with an error when the node closes the connection.
                let _ended = server.serve(stream);
                server.0.connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// Reports the target to its node until it leaves or `is_over` is set.
    pub(super) fn report_until(&self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Acquire) && !self.0.is_leaving.load(Ordering::Acquire) {
            // A lost report is made up for by the next one.
            let _response = self.report("ready");
            std::thread::sleep(REPORT_INTERVAL);
        }
    }

    /// Leaves; returns the time until the node has confirmed that.
    pub(super) fn leave(&self, way: Departure) -> Option<Duration> {
        self.0.is_leaving.store(true, Ordering::Release);
        let started_at = Instant::now();
        while started_at.elapsed() < DEPARTURE_LIMIT {
            let response = match way {
                Departure::Report => self.report("leaving"),
                Departure::Delete => self.call_node("DELETE", ""),
            };
            if matches!(response.status, 200..300) {
                return Some(started_at.elapsed());
            }
            std::thread::sleep(REPORT_INTERVAL / 10);
        }
        None
    }

    fn report(&self, state: &str) -> RawResponse {
        let Inner { service, zone, address, sequence, born_ms, .. } = &*self.0;
        let body = json!({ "service": service, "address": address.to_string(), "zone": zone,
            "version": "v1", "slots": SLOTS, "state": state, "warmup_ms": 0,
            "sequence": sequence.fetch_add(1, Ordering::Relaxed), "born": born_ms });
        self.call_node("PUT", &body.to_string())
    }

    fn call_node(&self, method: &str, body: &str) -> RawResponse {
        let path = format!("/v1/instances/{}", self.0.id);
        let headers = "content-type: application/json\r\n";
        request_within(&self.0.admin, method, &path, headers, body, REPORT_TIMEOUT)
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        let mut rng = SmallRng::seed_from_u64(self.0.born_ms ^ stream.peer_addr()?.port() as u64);
        while let Some(request) = read_request(&mut reader)? {
            self.answer(&mut stream, &request, &mut rng)?;
        }
        Ok(())
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        rng: &mut SmallRng,
    ) -> std::io::Result<()> {
        let names = header_names();
        let id = request.header(&names.call).unwrap_or_default();
        let wanted = request.header(&names.instance);
        let own = &self.0.id;
        if request.path == "/health" {
            let status = if self.0.is_leaving.load(Ordering::Acquire) { 503 } else { 200 };
            let headers = format!("{}: {own}\r\n", names.own_instance);
            return respond(stream, status, &headers, "");
        }
        if wanted.is_some_and(|wanted| wanted != own) {
            return respond(stream, 421, &format!("{}: 1\r\n", names.not_run), "");
        }
        let left = request.header(&names.time_left).and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(left.unwrap_or(5_000));
        if !self.take_slot(deadline) {
            return respond(stream, 503, &format!("{}: 1\r\n", names.not_run), "");
        }
        let status = match kind_of_path(&request.path) {
            Some(kind) => self.run(kind, deadline, rng),
            None => 404,
        };
        self.release_slot();
        let headers = format!("{}: {id}\r\n{}: {own}.{id}\r\n", names.call, names.seal);
        respond(stream, status, &headers, &format!("{id:<BODY_LENGTH$}"))
    }

    /// Waits for a slot; returns false if the queue is full or the deadline passes.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut occupancy = lock(&self.0.occupancy);
        if occupancy.running >= SLOTS && occupancy.queued >= QUEUE {
            return false;
        }
        occupancy.queued += 1;
        while occupancy.running >= SLOTS && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            let waited = self.0.released.wait_timeout(occupancy, left);
            occupancy = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        occupancy.queued -= 1;
        let is_free = occupancy.running < SLOTS;
        occupancy.running += usize::from(is_free);
        is_free
    }

    fn release_slot(&self) {
        lock(&self.0.occupancy).running -= 1;
        self.0.released.notify_one();
    }

    /// Runs a request and returns the status of its response.
    fn run(&self, kind: &Kind, deadline: Instant, rng: &mut SmallRng) -> u16 {
        let inner_calls = kind.inner_calls(rng);
        let work = kind.work_time(rng).mul_f64(self.0.speed);
        let left = deadline.saturating_duration_since(Instant::now());
        std::thread::sleep(work.min(left));
        for _ in 0..inner_calls {
            let left = deadline.saturating_duration_since(Instant::now()).min(INNER_KIND.deadline);
            if !send_inner(&self.0.outbound, left, rng) {
                return if Instant::now() >= deadline { 504 } else { 500 };
            }
        }
        if Instant::now() >= deadline { 504 } else { 200 }
    }
}

/// A request as a target receives it.
#[derive(Debug)]
struct Request {
    path: String,
    /// Head in lower case.
    head: String,
}

impl Request {
    fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// Reads a request with its body; returns `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head)? == 0 {
            return Ok(None);
        }
    }
    let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let request = Request { path, head: head.to_ascii_lowercase() };
    let length = request.header("content-length").and_then(|text| text.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some(request))
}

fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> std::io::Result<()> {
    let length = body.len();
    let text =
        format!("HTTP/1.1 {status} Status\r\n{headers}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}
