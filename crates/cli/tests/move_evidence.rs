//! Evidence on the new version of a move, with real processes.

use std::io::Read;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use kingcuplift_testing::{
    PlaintextSite, ScriptedTarget, TargetBehavior, is_node_ready, put_revision, report_desk,
    send_request,
};
use rstest::rstest;
use serde_json::json;

/// Time of the whole move.
const WITHIN: Duration = Duration::from_secs(8);
/// Time of an answer that is not slow.
const ANSWER_TIME: Duration = Duration::from_millis(15);
/// Targets of each version.
const TARGETS: usize = 2;
/// Concurrent callers, and the time between two calls of each.
const CALLERS: usize = 24;
const CALL_INTERVAL: Duration = Duration::from_millis(80);
/// Time until the deadline of a call, in milliseconds.
const CALL_TIME_MS: u64 = 700;
/// Part of all calls that a bad version may get, and calls beyond that.
const EXPOSED_FRACTION: f64 = 0.1;
const EXPOSED_SLACK: usize = 50;

/// Sends a call and waits for its answer, or leaves after a while.
fn call(site: &PlaintextSite, number: usize, leaves_after: Option<Duration>) {
    let node = format!("node-{}", number % (2 * TARGETS) + 1);
    let path = if number.is_multiple_of(2) { "/read/fast" } else { "/read/slow" };
    let headers = format!("host: a.example\r\nx-call: c-{number}\r\nx-left: {CALL_TIME_MS}\r\n");
    let Some(mut stream) = send_request(&site.addresses(&node).callers, "GET", path, &headers, "")
    else {
        return;
    };
    if let Some(time) = leaves_after {
        stream.set_read_timeout(Some(time)).expect("the time is not zero");
    }
    // A caller that leaves gets no answer.
    let _answer = stream.read_to_end(&mut Vec::new());
}

fn report(site: &PlaintextSite, targets: &[ScriptedTarget], sequence: u64) {
    for (i, target) in targets.iter().enumerate() {
        let version = if i < TARGETS { "v1" } else { "v2" };
        let changes = json!({ "version": version, "sequence": sequence, "slots": 50 });
        assert_eq!(report_desk(site, &format!("node-{}", i + 1), target, &changes).status, 200);
    }
}

fn state(site: &PlaintextSite) -> String {
    let state = site.operator_request("GET", "/v1/moves/desk", "", "").json();
    state["state"].as_str().unwrap_or_default().to_owned()
}

/// Calls that ran without an answer counted as no evidence: a version that hangs on every second got all traffic.
#[rstest]
#[case::deadline_passes(None)]
#[case::caller_leaves(Some(Duration::from_millis(400)))]
fn hanging_version_is_taken_back(#[case] leaves_after: Option<Duration>) {
    let behavior = |is_new| match is_new {
        true => TargetBehavior::HangOn { text: "/read/slow", delay: ANSWER_TIME },
        false => TargetBehavior::Respond(ANSWER_TIME),
    };
    let targets: Vec<_> =
        (0..2 * TARGETS).map(|i| ScriptedTarget::start(behavior(i >= TARGETS))).collect();
    let addresses: Vec<_> = targets.iter().map(ScriptedTarget::address).collect();
    let site = PlaintextSite::start(3, &addresses);
    let configuration = json!({
        "version": 3,
        "services": { "desk": { "health": "/health", "connections": 100 } },
        "routes": { "reads": { "host": "a.example", "prefix": "/read/", "semantics": "idempotent",
            "timeout_ms": 2_000, "objective_ms": 500, "rank": 2, "attempts": 2, "service": "desk" } },
        "limits": { "header_bytes": 16_384, "body_bytes": 1_000_000, "idle_ms": 15_000 },
    });
    assert_eq!(put_revision(&site, 0, &configuration).status, 200);
    for i in 0..targets.len() {
        let node = format!("node-{}", i + 1);
        site.wait("the configuration", |site| is_node_ready(site, &node).then_some(()));
    }
    report(&site, &targets[..TARGETS], 1);
    let order = json!({ "service": "desk", "to": "v2", "within_s": WITHIN.as_secs() }).to_string();
    let ordered = site.operator_request("POST", "/v1/moves", "", &order);
    assert!(matches!(ordered.status, 200 | 201), "{ordered:?}");
    report(&site, &targets, 2);
    let (number, is_over) = (AtomicUsize::new(0), AtomicBool::new(false));
    let outcome = std::thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    call(&site, number.fetch_add(1, Ordering::Relaxed), leaves_after);
                    std::thread::sleep(CALL_INTERVAL);
                }
            });
        }
        let (began_at, mut sequence) = (Instant::now(), 2);
        while began_at.elapsed() < WITHIN {
            std::thread::sleep(Duration::from_millis(500));
            sequence += 1;
            report(&site, &targets, sequence);
        }
        is_over.store(true, Ordering::Relaxed);
        state(&site)
    });
    let arrived = |targets: &[ScriptedTarget]| -> usize {
        targets.iter().map(|target| target.requests().len()).sum()
    };
    let (all, exposed) = (arrived(&targets), arrived(&targets[TARGETS..]));
    let allowed = (all as f64 * EXPOSED_FRACTION) as usize + EXPOSED_SLACK;
    assert_eq!(outcome, "taken_back", "{exposed} of {all} calls at the new version");
    assert!(exposed <= allowed, "{exposed} of {all} calls at the new version, {allowed} allowed");
}
