//! Planned stops of a node, in calm: no request that it has read is cut off, whenever it came.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use kingcuplift_testing::{
    PIECE_BYTES, PlaintextSite, ScriptedTarget, TargetBehavior, is_node_ready, put_revision,
    report_desk, request,
};
use rstest::rstest;
use serde_json::json;

/// Time between SIGTERM and the forced end.
const GRACE: Duration = Duration::from_secs(6);
/// Part of the grace time at whose end a target may still be at work.
const LAST_PART: f64 = 1.0 / 6.0;
/// Time after SIGTERM until which a request may be sent that is still at work then.
const LATEST_SENT: Duration = Duration::from_secs(3);
/// Time between the last byte of a request and the end of its connection in which it may not have been read yet.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time that a target takes for a call.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Time that it takes for a long one.
const LONG_TIME: Duration = Duration::from_millis(1_500);
/// Callers that send one call after the other.
const CALLERS: usize = 8;
/// Body of a booking.
const BODY: &[u8] = &[b'x'; 2_000];

/// What a caller saw of one request.
#[derive(Debug, Clone)]
struct Seen {
    id: String,
    /// When its last byte was sent.
    sent_at: Instant,
    ended_at: Instant,
    /// Status of the answer; `None` if the connection ended without a complete one.
    status: Option<u16>,
}

/// Records of all callers.
type Log = Arc<Mutex<Vec<Seen>>>;

fn connect(address: &str) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(9))).ok()?;
    Some(stream)
}

/// Reads one answer; returns its status, and whether the connection stays open.
fn read_answer(stream: &mut TcpStream) -> Option<(u16, bool)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                return Some((status, !head.contains("connection: close")));
            }
        }
        match stream.read(&mut buffer) {
            Ok(size) if size > 0 => bytes.extend_from_slice(&buffer[..size]),
            _ => return None,
        }
    }
}

/// Sends a request, the second half of its body after a pause; returns whether the connection stays open.
fn call(stream: &mut TcpStream, path: &str, id: &str, pause: Duration, log: &Log) -> bool {
    let (method, body) = if path.contains("book") { ("POST", BODY) } else { ("GET", &[][..]) };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-call: {id}\r\nx-left: 9000\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let (first, second) = body.split_at(body.len() / 2);
    let mut sent = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(first));
    if !pause.is_zero() {
        std::thread::sleep(pause);
    }
    sent = sent.and_then(|()| stream.write_all(second));
    let sent_at = Instant::now();
    let answer = sent.ok().and_then(|()| read_answer(stream));
    let status = answer.map(|(status, _)| status);
    let seen = Seen { id: id.to_owned(), sent_at, ended_at: Instant::now(), status };
    log.lock().expect("no caller panics").push(seen);
    answer.is_some_and(|(_, stays_open)| stays_open)
}

/// Sends one call after the other on kept connections until `until`.
fn send_calls(address: &str, caller: usize, until: Instant, log: &Log) {
    let mut kept: Option<TcpStream> = None;
    for number in 0.. {
        if Instant::now() > until {
            return;
        }
        let Some(mut stream) = kept.take().or_else(|| connect(address)) else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        let path = if number % 3 == 0 { "/book/1" } else { "/read/1" };
        let id = format!("c-{caller}-{number}");
        if call(&mut stream, path, &id, Duration::ZERO, log) {
            kept = Some(stream);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn start_site(targets: &[ScriptedTarget]) -> PlaintextSite {
    let addresses: Vec<_> = targets.iter().map(ScriptedTarget::address).collect();
    let mut site = PlaintextSite::start(3, &addresses);
    site.set_grace("node-1", GRACE.as_secs_f64());
    let route = |prefix: &str, semantics: &str| {
        json!({ "host": "a.example", "prefix": prefix, "semantics": semantics, "timeout_ms": 9_000,
            "objective_ms": 1_600, "rank": 2, "attempts": 2, "service": "desk" })
    };
    let configuration = json!({
        "version": 3,
        "services": { "desk": { "health": "/health", "connections": 100 } },
        "routes": { "reads": route("/read/", "idempotent"), "books": route("/book/", "at_most_once") },
        "limits": { "header_bytes": 16_384, "body_bytes": 1_000_000, "idle_ms": 15_000 },
    });
    assert_eq!(put_revision(&site, 0, &configuration).status, 200);
    for (i, target) in targets.iter().enumerate() {
        let node = format!("node-{}", i + 1);
        site.wait("the configuration", |site| is_node_ready(site, &node).then_some(()));
        assert_eq!(report_desk(&site, &node, target, &json!({ "slots": 20 })).status, 200);
    }
    std::thread::sleep(Duration::from_millis(500));
    site
}

/// Requests that were not yet passed on kept their deadlines beyond the end of the process, and were cut there.
#[rstest]
#[case::short_calls(&[])]
#[case::long_calls(&["/read/long"; 12])]
#[case::slow_bodies(&["/book/slow"; 8])]
#[case::slow_bodies_of_long_calls(&["/book/long/slow"; 8])]
fn no_request_is_cut(#[case] others: &[&'static str]) {
    let behavior = TargetBehavior::SlowOn { text: "/long", slow: LONG_TIME, delay: ANSWER_TIME };
    let targets: [_; 2] = std::array::from_fn(|_| ScriptedTarget::start(behavior.clone()));
    let mut site = start_site(&targets);
    let address = site.addresses("node-1").callers.clone();
    let log = Log::default();
    let until = Instant::now() + GRACE + Duration::from_secs(1);
    let mut workers = Vec::new();
    for caller in 0..CALLERS {
        let (address, log) = (address.clone(), Arc::clone(&log));
        workers.push(std::thread::spawn(move || send_calls(&address, caller, until, &log)));
    }
    for (number, path) in others.iter().copied().enumerate() {
        let (address, log) = (address.clone(), Arc::clone(&log));
        workers.push(std::thread::spawn(move || {
            // Some begin before the signal and some after it; the bodies end late in the grace time.
            std::thread::sleep(Duration::from_millis(200 * number as u64));
            let pause =
                if path.contains("slow") { Duration::from_millis(4_700) } else { Duration::ZERO };
            let Some(mut stream) = connect(&address) else { return };
            call(&mut stream, path, &format!("o-{number}"), pause, &log);
        }));
    }
    std::thread::sleep(Duration::from_millis(700));
    let signalled_at = Instant::now();
    site.signal("node-1", "-TERM");
    assert!(site.wait_exited("node-1"), "the node ends by itself");
    let stopped_after = signalled_at.elapsed();
    for worker in workers {
        worker.join().expect("no caller panics");
    }
    assert!(stopped_after < GRACE, "the node ended after {stopped_after:?}");
    let arrivals: Vec<_> = targets.iter().flat_map(ScriptedTarget::requests).collect();
    let arrived_at = |id: &str| {
        let line = format!("x-call: {id}\n");
        arrivals.iter().find(|received| received.head.contains(&line)).map(|r| r.arrived_at)
    };
    let mut cut = Vec::new();
    // An answer of the node's own in place of the target's counts as none.
    let is_lost = |seen: &&Seen| matches!(seen.status, None | Some(502 | 504));
    for seen in log.lock().expect("no caller panics").iter().filter(is_lost) {
        let last_part = signalled_at + GRACE.mul_f64(1.0 - LAST_PART);
        let is_excused = seen.sent_at <= signalled_at + LATEST_SENT && seen.ended_at >= last_part;
        let after = |at: Instant| at.saturating_duration_since(signalled_at).as_secs_f64();
        match arrived_at(&seen.id) {
            Some(_) if is_excused => {}
            Some(at) => cut.push(format!("{seen:?}, passed on after {:.2} s", after(at))),
            None if seen.ended_at > seen.sent_at + LOSS_SLACK => {
                cut.push(format!(
                    "{seen:?}, sent after {:.2} s, not passed on",
                    after(seen.sent_at)
                ));
            }
            None => {}
        }
    }
    assert!(cut.is_empty(), "{} requests cut:\n{}", cut.len(), cut.join("\n"));
}

/// What follows after the first 128 KiB of an answer was not counted as in progress: the node ended in the middle.
#[rstest]
#[case::at_own_target(0)]
#[case::at_other_target(1)]
fn long_answer_is_whole(#[case] target: usize) {
    let pieces = TargetBehavior::InPieces { count: 10, pause: Duration::from_millis(420) };
    let targets: [_; 2] = std::array::from_fn(|_| ScriptedTarget::start(pieces.clone()));
    let mut site = start_site(&targets);
    // The other target leaves, so that the calls go to this one.
    let leaving = json!({ "state": "leaving", "sequence": 9 });
    let other = 1 - target;
    report_desk(&site, &format!("node-{}", other + 1), &targets[other], &leaving);
    std::thread::sleep(Duration::from_millis(500));
    let headers = "host: a.example\r\nx-call: c-1\r\nx-left: 9000\r\n";
    let address = site.addresses("node-1").callers.clone();
    let caller = std::thread::spawn(move || request(&address, "GET", "/read/1", headers, ""));
    std::thread::sleep(Duration::from_millis(600));
    site.signal("node-1", "-TERM");
    assert!(site.wait_exited("node-1"), "the node ends by itself");
    let response = caller.join().expect("the caller ends");
    assert_eq!((response.status, response.body.len()), (200, 10 * PIECE_BYTES));
}
