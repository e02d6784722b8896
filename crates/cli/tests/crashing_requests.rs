//! Requests that end each target that begins to run them, and that callers send again and again.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use kingcuplift_testing::{
    PlaintextSite, ScriptedTarget, TargetBehavior, is_node_ready, report_desk, request,
    start_desk_nodes, wall_ms,
};
use rstest::rstest;
use serde_json::json;

/// Targets of the site, each with its node.
const TARGETS: usize = 8;
/// Number of targets that a request may end before it must be known.
const KNOWN_AFTER: usize = 3;
/// Time within which all nodes must know the request.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Times that the request may be tried again later.
const LATER_TRIES: usize = 3;
/// Time for which callers send the request.
const LOAD_TIME: Duration = Duration::from_secs(9);
/// Size of a body that a node does not keep, in bytes.
const LONG_BODY: usize = 400_000;
/// Time that a target takes for a call.
const RESPONSE_DELAY: Duration = Duration::from_millis(20);
/// Interval between the reports of a target.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a target is down.
const DOWN_TIME: Duration = Duration::from_millis(300);

fn start_site() -> (PlaintextSite, Vec<ScriptedTarget>) {
    start_site_with(TargetBehavior::CrashOn { text: "/crash ", delay: RESPONSE_DELAY })
}

fn start_site_with(behavior: TargetBehavior) -> (PlaintextSite, Vec<ScriptedTarget>) {
    let targets: Vec<_> = (0..TARGETS).map(|_| ScriptedTarget::start(behavior.clone())).collect();
    let site = start_desk_nodes(&targets, &json!({}));
    (site, targets)
}

fn node(index: usize) -> String {
    format!("node-{}", index % TARGETS + 1)
}

/// Sends a call and returns its status.
fn call(site: &PlaintextSite, from: usize, method: &str, path: &str, id: &str, body: &str) -> u16 {
    let headers = format!("host: a.example\r\nx-call: {id}\r\nx-left: 1500\r\n");
    request(&site.addresses(&node(from)).callers, method, path, &headers, body).status
}

/// Reports all targets, and restarts each some time after it has ended, as a new life.
fn run_targets(site: &PlaintextSite, targets: &[ScriptedTarget], is_over: &AtomicBool) {
    let mut born = [wall_ms(); TARGETS];
    let (mut sequence, mut reported_at) = (1, Instant::now());
    while !is_over.load(Ordering::Relaxed) {
        let is_due = reported_at.elapsed() >= REPORT_INTERVAL;
        if is_due {
            (sequence, reported_at) = (sequence + 1, Instant::now());
        }
        for (i, target) in targets.iter().enumerate() {
            let crashed_at = target.crashes().last().copied();
            let is_back = target.is_down() && crashed_at.is_some_and(|at| at.elapsed() > DOWN_TIME);
            if is_back {
                born[i] = wall_ms();
                target.restart();
            }
            if is_back || (is_due && !target.is_down()) {
                let report = json!({ "born": born[i], "sequence": sequence });
                report_desk(site, &node(i), target, &report);
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Kills and restarts all nodes, one after the other; the targets run on and report to the restarted nodes.
fn restart_nodes(site: &mut PlaintextSite, targets: &[ScriptedTarget]) {
    for (i, target) in targets.iter().enumerate() {
        site.kill(&node(i));
        site.start_process(&node(i));
        site.wait("the restarted node", |site| is_node_ready(site, &node(i)).then_some(()));
        let report = json!({ "born": wall_ms() });
        assert_eq!(report_desk(site, &node(i), target, &report).status, 200);
        std::thread::sleep(REPORT_INTERVAL / 2);
    }
}

/// Nodes keep what they know in memory only; after all were restarted, in turn, the request must still be known.
#[test]
fn quarantine_outlives_restarts() {
    let (mut site, targets) = start_site();
    let is_over = AtomicBool::new(false);
    let send = |site: &PlaintextSite, count: usize, name: &str| {
        for number in 0..count {
            let id = format!("{name}-{number}");
            call(site, number, "GET", "/read/crash", &id, "");
            std::thread::sleep(Duration::from_millis(100));
        }
    };
    std::thread::scope(|scope| {
        scope.spawn(|| run_targets(&site, &targets, &is_over));
        send(&site, 30, "before");
        is_over.store(true, Ordering::Relaxed);
    });
    restart_nodes(&mut site, &targets);
    let before: usize = targets.iter().map(|target| target.crashes().len()).sum();
    assert!(before >= KNOWN_AFTER, "{before} targets ended");
    is_over.store(false, Ordering::Relaxed);
    std::thread::scope(|scope| {
        scope.spawn(|| run_targets(&site, &targets, &is_over));
        std::thread::sleep(SPREAD_TIME);
        send(&site, 30, "after");
        is_over.store(true, Ordering::Relaxed);
    });
    let after: usize = targets.iter().map(|target| target.crashes().len()).sum();
    assert_eq!(after, before, "targets ended after the restarts");
    let answered = call(&site, 0, "GET", "/read/1", "other", "");
    assert_eq!(answered, 200, "other calls are answered");
}

/// Sends a booking with a long body in chunks, whose sizes depend on `number`, without waiting for its response.
fn send_chunks(site: &PlaintextSite, number: usize) {
    let Ok(mut stream) = TcpStream::connect(&site.addresses(&node(number)).callers) else { return };
    let head = format!(
        "POST /book/crash HTTP/1.1\r\nhost: a.example\r\nx-call: chunks-{number}\r\nx-left: 1500\r\n\
         connection: close\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let body = vec![b'h'; LONG_BODY];
    let mut sent = stream.write_all(head.as_bytes());
    for chunk in body.chunks(10_000 + 997 * number) {
        let size = format!("{:x}\r\n", chunk.len());
        sent = sent.and_then(|()| stream.write_all(size.as_bytes()));
        sent = sent.and_then(|()| stream.write_all(chunk)).and_then(|()| stream.write_all(b"\r\n"));
    }
    sent = sent.and_then(|()| stream.write_all(b"0\r\n\r\n"));
    // The node may close the connection before it has read the whole body.
    drop(sent.and_then(|()| stream.read_to_end(&mut Vec::new())));
}

/// Without memory, a request that ends its targets is tried at two of them for each time that it is sent, for good.
#[rstest]
#[case::read("GET", "/read/crash", "")]
#[case::booking("POST", "/book/crash", "hall=7")]
fn crashing_request_is_quarantined(#[case] method: &str, #[case] path: &str, #[case] body: &str) {
    check_quarantine(start_site(), |site, number| {
        call(site, number, method, path, &format!("crash-{number}"), body);
    });
}

/// The loss of the rest of a long response was not recorded, and its first part cleared the request of earlier crashes.
#[test]
fn crash_midway_is_quarantined() {
    let behavior =
        TargetBehavior::CrashMidway { text: "/crash ", delay: RESPONSE_DELAY, length: LONG_BODY };
    check_quarantine(start_site_with(behavior), |site, number| {
        call(site, number, "GET", "/read/crash", &format!("crash-{number}"), "");
    });
}

/// A long body is passed on before it is read to its end, in pieces that differ from one time to the next.
#[test]
fn crashing_stream_is_quarantined() {
    check_quarantine(start_site(), send_chunks);
}

/// Checks that a request is known soon after it has ended three targets, and that other calls are answered.
fn check_quarantine(
    (site, targets): (PlaintextSite, Vec<ScriptedTarget>),
    send: impl Fn(&PlaintextSite, usize),
) {
    let is_over = AtomicBool::new(false);
    let (sent, answered) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        scope.spawn(|| run_targets(&site, &targets, &is_over));
        for client in 0..4 {
            let (sent, answered, site, is_over) = (&sent, &answered, &site, &is_over);
            scope.spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let (id, path) = (format!("o-{client}-{number}"), format!("/read/{number}"));
                    let status = call(site, client + number, "GET", &path, &id, "");
                    if started_at.elapsed() > LOAD_TIME / 2 {
                        sent.fetch_add(1, Ordering::Relaxed);
                        answered.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                    }
                    number += 1;
                }
            });
        }
        let mut number = 0;
        while started_at.elapsed() < LOAD_TIME {
            send(&site, number);
            std::thread::sleep(Duration::from_millis(100));
            number += 1;
        }
        is_over.store(true, Ordering::Relaxed);
    });
    let mut crashes: Vec<Instant> = targets.iter().flat_map(ScriptedTarget::crashes).collect();
    crashes.sort();
    let known_at = crashes[KNOWN_AFTER - 1] + SPREAD_TIME;
    let later = crashes.iter().filter(|at| **at > known_at).count();
    let total = crashes.len();
    assert!(later <= LATER_TRIES, "{later} targets ended later, {total} in all");
    let (sent, answered) = (sent.load(Ordering::Relaxed), answered.load(Ordering::Relaxed));
    assert!(answered * 100 >= sent * 99, "{answered} of {sent} other calls were answered");
}
