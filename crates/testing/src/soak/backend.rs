//! Targets of a soak: they count their runs and report themselves.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::json;

use crate::addresses::AddressPool;
use crate::plaintext_site::request;

/// Time that a run takes.
const WORK: Duration = Duration::from_millis(5);
/// Time between reports.
const BEAT: Duration = Duration::from_millis(1_000);

/// Runs of each call, over all targets.
pub(crate) type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// A target.
#[derive(Debug, Clone)]
pub(crate) struct Backend {
    address: SocketAddr,
    name: String,
    runs: Runs,
    is_over: Arc<AtomicBool>,
}

impl Backend {
    /// Starts a target whose threads end soon after `is_over` is set.
    pub(crate) fn start(number: usize, runs: &Runs, is_over: &Arc<AtomicBool>) -> Self {
        let listener = TcpListener::bind(AddressPool::new().next()).expect("an address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let backend = Self {
            address,
            name: format!("i-{number}"),
            runs: Arc::clone(runs),
            is_over: Arc::clone(is_over),
        };
        let server = backend.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                // The connection ends with an error when the node breaks it off.
                std::thread::spawn(move || drop(server.serve(stream)));
            }
        });
        backend
    }

    /// Returns the address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reports the target to its node again and again.
    pub(crate) fn report_to(&self, admin: String) {
        let backend = self.clone();
        let sequence = AtomicU64::new(1);
        std::thread::spawn(move || {
            while !backend.is_over.load(Ordering::Acquire) {
                let body = json!({ "service": "desk", "address": backend.address.to_string(),
                    "zone": "a", "version": "v1", "slots": 8, "state": "ready", "warmup_ms": 0,
                    "sequence": sequence.fetch_add(1, Ordering::Relaxed), "born": 1_000 });
                let path = format!("/v1/instances/{}", backend.name);
                // The next report follows soon.
                drop(request(&admin, "PUT", &path, "", &body.to_string()));
                std::thread::sleep(BEAT);
            }
        });
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
            if let Some(meant) = lower.lines().find_map(|line| line.strip_prefix("x-instance: "))
                && meant != self.name
            {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
                )?;
                continue;
            }
            *self
                .runs
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .entry(id.clone())
                .or_default() += 1;
            std::thread::sleep(WORK);
            let own = &self.name;
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nx-call: {id}\r\nx-seal: s\r\nx-own: {own}\r\ncontent-length: {}\r\n\r\n{id}",
                id.len()
            )?;
        }
    }
}
