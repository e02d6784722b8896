//! Targets in trouble that send bytes without end, in a head or a body, until their caller closes the connection.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use kingcuplift_testing::{PlaintextSite, TargetBehavior, request, start_desk_site};
use rstest::rstest;

/// Time until the deadline of each call.
const TIME_LEFT: Duration = Duration::from_millis(1_500);
/// Time after the deadline by which the caller must have an answer and the target be rid of the call.
const SLACK: Duration = Duration::from_millis(500);
/// Memory that a node may use, in KiB; the smallest VMs have 88 MB.
const MAX_MEMORY: u64 = 64 * 1_024;
/// Head of a successful response whose body ends with the connection.
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\n\r\n";
/// Head of a successful response with a body in chunks.
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";

/// Sends a call that must run once, and checks that it ends in time as a failure that may have run.
fn check_call(site: &PlaintextSite) {
    let callers = site.addresses("node-1").callers.clone();
    let headers =
        format!("host: a.example\r\nx-call: c-1\r\nx-left: {}\r\n", TIME_LEFT.as_millis());
    let (sender, receiver) = mpsc::channel();
    // The caller would read an endless answer for ever, so it has a thread of its own.
    std::thread::spawn(move || sender.send(request(&callers, "POST", "/book/1", &headers, "")));
    let response = receiver.recv_timeout(TIME_LEFT + SLACK).expect("the call ends in time");
    match response.status {
        200 => assert!(!response.body.ends_with(b"0\r\n\r\n"), "the body must not look complete"),
        status => {
            assert!(matches!(status, 502 | 504), "status {status}");
            assert_eq!(response.json()["run"].as_str(), Some("unknown"));
        }
    }
}

#[rstest]
#[case::no_status("", "x")]
#[case::header_lines("HTTP/1.1 200 OK\r\n", "x-more: y\r\n")]
#[case::header_value("HTTP/1.1 200 OK\r\nx-more: ", "y")]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::chunk_size(CHUNKED, "0")]
#[case::chunk_extension(
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n1;",
    "e"
)]
#[case::trailers(
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "x-more: y\r\n"
)]
#[case::body_until_close(HEAD, "body")]
#[case::body_in_chunks(CHUNKED, "4\r\nbody\r\n")]
fn endless_answer_is_cut_off(
    #[case] start: &'static str,
    #[case] filler: &'static str,
    #[values(0, 20)] pause_ms: u64,
) {
    let pause = Duration::from_millis(pause_ms);
    let (site, target) = start_desk_site(TargetBehavior::Endless { start, filler, pause });
    check_call(&site);
    let closed_at =
        site.wait("the end of the call at the target", |_| target.requests()[0].closed_at);
    assert!(closed_at.elapsed() < Duration::from_secs(5), "the target was rid of the call");
    assert_eq!(target.requests().len(), 1, "the call is not retried");
    let memory = site.peak_memory("node-1");
    assert!(memory < MAX_MEMORY, "{memory} KiB");
    target.set_behavior(TargetBehavior::Respond(Duration::ZERO));
    let headers = "host: a.example\r\nx-call: c-2\r\nx-left: 1500\r\n";
    let next = site.wait("an answer to a later call", |site| {
        let next = request(&site.addresses("node-1").callers, "GET", "/read/1", headers, "");
        (next.status == 200).then_some(next)
    });
    assert_eq!(next.body, b"body");
}

/// One connection on which bytes arrived without a pause kept the thread of all calls busy, for over a second at a time.
#[rstest]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::chunk_size(CHUNKED, "0")]
#[case::body_in_chunks(CHUNKED, "4\r\nbody\r\n")]
fn endless_answer_delays_no_others(#[case] start: &'static str, #[case] filler: &'static str) {
    let pause = Duration::ZERO;
    let (site, target) = start_desk_site(TargetBehavior::Endless { start, filler, pause });
    let callers = site.addresses("node-1").callers.clone();
    let endless_call = std::thread::spawn({
        let callers = callers.clone();
        let headers =
            format!("host: a.example\r\nx-call: c-1\r\nx-left: {}\r\n", TIME_LEFT.as_millis());
        move || request(&callers, "POST", "/book/1", &headers, "")
    });
    site.wait("the call at the target", |_| (!target.requests().is_empty()).then_some(()));
    let mut longest = Duration::ZERO;
    while !endless_call.is_finished() {
        let sent_at = Instant::now();
        let other =
            request(&callers, "GET", "/unknown/", "host: none.example\r\nx-call: c-2\r\n", "");
        assert_eq!(other.status, 404);
        longest = longest.max(sent_at.elapsed());
    }
    assert!(longest < SLACK, "another call took {longest:.2?}");
}
