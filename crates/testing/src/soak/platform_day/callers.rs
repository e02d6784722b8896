//! Callers of a platform day: a fixed rate from many callers, each with connections of its own, which repeat what fails.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::plaintext_site::RawResponse;
use crate::platform_settings::{HeaderNames, header_names};
use crate::soak::load::Observations;

/// Calls per second of all callers together.
const CALL_RATE: f64 = 901.0;
/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Fraction (1/n) of the time left for which callers wait at most before they repeat a refused call.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Kind of call.
#[derive(Debug)]
pub(super) struct Kind {
    /// Path prefix of its route, also the name of that route.
    pub(super) name: &'static str,
    pub(super) service: &'static str,
    pub(super) method: &'static str,
    pub(super) is_idempotent: bool,
    pub(super) rank: u8,
    pub(super) deadline: Duration,
    pub(super) objective: Duration,
    /// Longest time that the route allows.
    pub(super) timeout: Duration,
    /// Mean time of a run.
    work: Duration,
    /// Calls within a run, and the share of the runs that make them.
    inner: (u32, f64),
    /// Share of the calls.
    weight: f64,
    retries: u32,
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Kinds of the calls that callers send.
pub(super) static KINDS: [Kind; 3] = [
    Kind {
        name: "catalogue",
        service: "lessons-desk",
        method: "GET",
        is_idempotent: true,
        rank: 2,
        deadline: ms(1_200),
        objective: ms(200),
        timeout: ms(1_200),
        work: ms(60),
        inner: (2, 0.7),
        weight: 5.9,
        retries: 2,
    },
    Kind {
        name: "reserve",
        service: "lessons-desk",
        method: "POST",
        is_idempotent: false,
        rank: 1,
        deadline: ms(1_500),
        objective: ms(250),
        timeout: ms(800),
        work: ms(78),
        inner: (0, 0.0),
        weight: 2.2,
        retries: 2,
    },
    Kind {
        name: "slots",
        service: "tutor-roster",
        method: "GET",
        is_idempotent: true,
        rank: 2,
        deadline: ms(2_500),
        objective: ms(400),
        timeout: ms(1_200),
        work: ms(150),
        inner: (0, 0.0),
        weight: 1.6,
        retries: 2,
    },
];

/// Kind of the calls that targets make within a run.
pub(super) static INNER_KIND: Kind = Kind {
    name: "avail",
    service: "tutor-roster",
    method: "GET",
    is_idempotent: true,
    rank: 0,
    deadline: ms(200),
    objective: ms(60),
    timeout: ms(200),
    work: ms(15),
    inner: (0, 0.0),
    weight: 0.0,
    retries: 0,
};

/// Returns the kind of a request by its path.
pub(super) fn kind_of_path(path: &str) -> Option<&'static Kind> {
    let name = path.split('/').nth(1)?;
    KINDS.iter().chain([&INNER_KIND]).find(|kind| kind.name == name)
}

impl Kind {
    /// Returns the time of a run.
    pub(super) fn work_time(&self, rng: &mut SmallRng) -> Duration {
        self.work.mul_f64(rng.random_range(0.4..1.6))
    }

    /// Returns the number of calls within a run.
    pub(super) fn inner_calls(&self, rng: &mut SmallRng) -> u32 {
        let (count, share) = self.inner;
        if rng.random_bool(share) { count } else { 0 }
    }
}

/// Numbers of calls of a day.
#[derive(Debug, Default)]
pub(super) struct CallCounts {
    pub(super) sent: AtomicU64,
    pub(super) served: AtomicU64,
}

/// Sends calls to one node after the other until `is_over` is set, as one of `count` callers.
pub(super) fn send_calls(
    nodes: &[String],
    number: usize,
    count: usize,
    seed: u64,
    observations: &Observations,
    counts: &CallCounts,
    is_over: &AtomicBool,
) {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000) + number as u64);
    let mean_pause = count as f64 / CALL_RATE;
    let total: f64 = KINDS.iter().map(|kind| kind.weight).sum();
    let mut pooled = None;
    let mut call_number = 0_u64;
    let mut next_at = Instant::now();
    while !is_over.load(Ordering::Acquire) {
        let pause = -mean_pause * rng.random_range(f64::EPSILON..1.0).ln();
        next_at += Duration::from_secs_f64(pause);
        std::thread::sleep(next_at.saturating_duration_since(Instant::now()));
        let mut pick = rng.random_range(0.0..total);
        let kind = KINDS.iter().find(|kind| {
            pick -= kind.weight;
            pick <= 0.0
        });
        let kind = kind.unwrap_or(&KINDS[0]);
        call_number += 1;
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let call = Call {
            kind,
            id: format!("{number:x}-{call_number:x}"),
            node: &nodes[number % nodes.len()],
        };
        if call.send(&mut pooled, observations) {
            counts.served.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Sends a call within a run; returns whether it was served.
pub(super) fn send_inner(node: &str, time_left: Duration, rng: &mut SmallRng) -> bool {
    let id = format!("{:x}", rng.random::<u64>());
    let call = Call { kind: &INNER_KIND, id, node };
    let stream = connect(node);
    let response = stream.and_then(|mut stream| call.exchange(&mut stream, 0, time_left));
    response.is_some_and(|response| response.status == 200)
}

/// A call with all its attempts.
#[derive(Debug)]
struct Call<'a> {
    kind: &'a Kind,
    id: String,
    node: &'a str,
}

impl Call<'_> {
    /// Sends the call, again after failures that allow it; returns whether it was served.
    fn send(&self, pooled: &mut Option<TcpStream>, observations: &Observations) -> bool {
        let started_at = Instant::now();
        for attempt in 0..=self.kind.retries {
            let left = self.kind.deadline.saturating_sub(started_at.elapsed());
            if left.is_zero() {
                return false;
            }
            let Some(mut stream) = pooled.take().or_else(|| connect(self.node)) else { continue };
            let Some(response) = self.exchange(&mut stream, attempt, left) else {
                if self.kind.is_idempotent {
                    continue;
                }
                return false;
            };
            match response.status {
                200 => {
                    self.check(attempt, &response, observations);
                    let stays_open = response.header("connection") != Some("close");
                    *pooled = stays_open.then_some(stream);
                    return true;
                }
                408 | 421 | 429 | 503 => {
                    let left = self.kind.deadline.saturating_sub(started_at.elapsed());
                    let after = response.header("retry-after").and_then(|text| text.parse().ok());
                    let after = Duration::from_secs_f64(after.unwrap_or(0.0));
                    std::thread::sleep(after.min(left / RETRY_AFTER_DIVISOR));
                }
                404 => {
                    observations.record_violation(format!("call {} got 404", self.id));
                    return false;
                }
                _ if self.kind.is_idempotent => {}
                _ => return false,
            }
        }
        false
    }

    /// Sends one attempt and reads its response; returns `None` if it has none in time.
    fn exchange(
        &self,
        stream: &mut TcpStream,
        attempt: u32,
        time_left: Duration,
    ) -> Option<RawResponse> {
        let Kind { method, name, is_idempotent, .. } = self.kind;
        let HeaderNames { call, time_left: time_header, .. } = header_names();
        let length = if *is_idempotent { 0 } else { 1_200 };
        let head = format!(
            "{method} /{name}/1 HTTP/1.1\r\nhost: {name}.example\r\n{call}: {}.{attempt}\r\n\
             {time_header}: {}\r\ncontent-length: {length}\r\n\r\n",
            self.id,
            time_left.as_millis()
        );
        let until = Instant::now() + time_left;
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(&vec![b'.'; length]).ok()?;
        let mut bytes = Vec::new();
        let mut buffer = [0; 8_192];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            stream.set_read_timeout(Some(left).filter(|left| !left.is_zero())).ok()?;
            match stream.read(&mut buffer) {
                Ok(size @ 1..) if !left.is_zero() => bytes.extend_from_slice(&buffer[..size]),
                _ => return None,
            }
            let response = RawResponse::parse(&bytes);
            let length = response.header("content-length").and_then(|text| text.parse().ok());
            if response.status != 0 && response.body.len() >= length.unwrap_or(0) {
                return Some(response);
            }
        }
    }

    fn check(&self, attempt: u32, response: &RawResponse, observations: &Observations) {
        let id = format!("{}.{attempt}", self.id);
        let is_sealed = response.header(&header_names().seal).is_some();
        if !is_sealed || !response.body.starts_with(id.as_bytes()) {
            observations.record_violation(format!("call {id} got another response"));
        }
    }
}

fn connect(address: &str) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address.parse().ok()?, CONNECT_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}
