//! Targets of a soak: they count the runs of each call and report to their nodes.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::addresses::AddressPool;
use crate::plaintext_site::{RawResponse, request};
use crate::soak::route_changes::HANGING_PATH;

/// Time that a run takes.
const RUN_TIME: Duration = Duration::from_millis(5);
/// Time for which a call on a hanging path gets no answer, and the interval of the bytes of one that drips.
const HANGING_TIME: Duration = Duration::from_secs(3);
const DRIP_INTERVAL: Duration = Duration::from_millis(100);
/// Length of an answer that drips, in bytes; longer than any call lasts.
const DRIP_LENGTH: usize = 100;
/// Time after which targets of the service `late` report first, and for which they are cold then.
const LATE_START: Duration = Duration::from_secs(5);
const LATE_WARMUP: Duration = Duration::from_secs(3);
/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Sequence number of the report in which a target leaves; the earlier reports stay below it.
const LEAVING_SEQUENCE: u64 = 1_000_000;

/// Number of runs by call id, over all targets.
pub(crate) type RunCounts = Arc<Mutex<HashMap<String, u32>>>;

/// A target with a thread for each connection.
#[derive(Debug, Clone)]
pub(crate) struct Backend {
    address: SocketAddr,
    name: String,
    service: &'static str,
    created_at: Instant,
    run_counts: RunCounts,
    is_stopped: Arc<AtomicBool>,
}

impl Backend {
    /// Starts a target; its reports end once `is_stopped` is set.
    pub(crate) fn start(
        number: usize,
        run_counts: &RunCounts,
        is_stopped: &Arc<AtomicBool>,
    ) -> Self {
        let listener = TcpListener::bind(AddressPool::new().next()).expect("an address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let backend = Self {
            address,
            name: format!("i-{number}"),
            service: "desk",
            created_at: Instant::now(),
            run_counts: Arc::clone(run_counts),
            is_stopped: Arc::clone(is_stopped),
        };
        let server = backend.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                // Serving ends with an error when the node closes the connection.
                std::thread::spawn(move || drop(server.serve(stream)));
            }
        });
        backend
    }

    /// Sets the service that the target reports.
    pub(crate) fn with_service(self, service: &'static str) -> Self {
        Self { service, ..self }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a thread that reports the target to its node periodically.
    pub(crate) fn start_reporting(&self, admin: String) {
        let backend = self.clone();
        let sequence = AtomicU64::new(1);
        std::thread::spawn(move || {
            if backend.service == "late" {
                std::thread::sleep(LATE_START);
            }
            while !backend.is_stopped.load(Ordering::Acquire) {
                // A lost report is made up for by the next one.
                drop(backend.report(&admin, "ready", sequence.fetch_add(1, Ordering::Relaxed)));
                std::thread::sleep(REPORT_INTERVAL);
            }
        });
    }

    /// Reports that the target leaves, until the node confirms it or `limit` is over; returns the time until then.
    pub(crate) fn report_leaving(&self, admin: &str, limit: Duration) -> Option<Duration> {
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            if self.report(admin, "leaving", LEAVING_SEQUENCE).status == 200 {
                return Some(started_at.elapsed());
            }
            std::thread::sleep(REPORT_INTERVAL);
        }
        None
    }

    /// Returns for how long the target will still be cold.
    fn warmup_left(&self) -> Duration {
        match self.service {
            "late" => (LATE_START + LATE_WARMUP).saturating_sub(self.created_at.elapsed()),
            _ => Duration::ZERO,
        }
    }

    fn report(&self, admin: &str, state: &str, sequence: u64) -> RawResponse {
        let body = json!({ "service": self.service, "address": self.address.to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": state, "warmup_ms": self.warmup_left().as_millis() as u64, "sequence": sequence,
            "born": 1_000 });
        let path = format!("/v1/instances/{}", self.name);
        request(admin, "PUT", &path, "", &body.to_string())
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        loop {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                if reader.read_line(&mut head)? == 0 {
                    return Ok(());
                }
            }
            let lower = head.to_ascii_lowercase();
            let id = lower.lines().find_map(|line| line.strip_prefix("x-call: "));
            let id = id.unwrap_or_default().to_owned();
            if let Some(instance) = lower.lines().find_map(|line| line.strip_prefix("x-instance: "))
                && instance != self.name
            {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
                )?;
                continue;
            }
            *self
                .run_counts
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .entry(id.clone())
                .or_default() += 1;
            std::thread::sleep(RUN_TIME);
            if lower.lines().next().is_some_and(|line| line.contains(HANGING_PATH)) {
                return hang(&mut stream, &id, lower.contains("drip "));
            }
            let own = &self.name;
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nx-call: {id}\r\nx-seal: s\r\nx-own: {own}\r\ncontent-length: {}\r\n\r\n{id}",
                id.len()
            )?;
        }
    }
}

/// Leaves a call without a complete answer; its connection ends with that.
fn hang(stream: &mut TcpStream, id: &str, drips: bool) -> std::io::Result<()> {
    if !drips {
        std::thread::sleep(HANGING_TIME);
        return Ok(());
    }
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nx-call: {id}\r\nx-seal: s\r\ncontent-length: {DRIP_LENGTH}\r\n\r\n"
    )?;
    for _ in 1..DRIP_LENGTH {
        std::thread::sleep(DRIP_INTERVAL);
        stream.write_all(b".")?;
    }
    Ok(())
}
