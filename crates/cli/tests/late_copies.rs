//! Targets that send a second copy of an answer, late, on a connection that is idle or in use again.

use std::time::Duration;

use kingcuplift_testing::{PlaintextSite, TargetBehavior, call_desk, start_desk_site};
use rstest::rstest;

/// Calls of each test, one after the other, so that they share connections to the target.
const CALLS: usize = 30;

/// Sends calls and returns how many were answered; an answer must be the call's own.
fn count_answered(site: &PlaintextSite, method: &str, path: &str, pause: Duration) -> usize {
    let mut answered = 0;
    for number in 0..CALLS {
        let id = format!("c-{number}");
        let response = call_desk(site, "node-1", method, path, &id);
        match response.status {
            200 => {
                assert_eq!(response.header("x-call"), Some(id.as_str()), "another call's answer");
                answered += 1;
            }
            status => assert!(matches!(status, 502 | 503), "status {status} for {id}"),
        }
        std::thread::sleep(pause);
    }
    answered
}

#[rstest]
#[case::while_idle(5, 20)]
#[case::between_calls(1, 0)]
#[case::at_once(0, 0)]
fn second_copy_reaches_no_caller(
    #[case] delay_ms: u64,
    #[case] pause_ms: u64,
    #[values(("GET", "/read/1"), ("POST", "/book/1"))] call: (&str, &str),
) {
    let behavior = TargetBehavior::LateCopy(Duration::from_millis(delay_ms));
    let (site, _target) = start_desk_site(behavior);
    let answered = count_answered(&site, call.0, call.1, Duration::from_millis(pause_ms));
    assert!(answered >= CALLS / 3, "{answered} of {CALLS} calls were answered");
}

/// The copy arrives where the answer to the next call is due.
#[rstest]
fn stale_copy_reaches_no_caller(
    #[values(("GET", "/read/1"), ("POST", "/book/1"))] call: (&str, &str),
) {
    let (site, target) = start_desk_site(TargetBehavior::StaleCopy);
    let answered = count_answered(&site, call.0, call.1, Duration::ZERO);
    assert!(answered >= CALLS / 3, "{answered} of {CALLS} calls were answered");
    let booked: Vec<String> = target.requests().into_iter().map(|request| request.head).collect();
    for number in 0..CALLS {
        let line = format!("x-call: c-{number}\n");
        let runs = booked.iter().filter(|head| head.contains(&line)).count();
        assert!(runs <= 1 || call.0 == "GET", "call {number} ran {runs} times");
    }
}

/// A refusal that is sent once more, where the answer to the next call is due, says nothing of that call.
#[rstest]
#[case::with_id("503 Service Unavailable", "x-call: ID\r\nx-not-run: 1\r\n")]
#[case::without_id("503 Service Unavailable", "x-not-run: 1\r\n")]
#[case::too_many("429 Too Many Requests", "x-not-run: 1\r\n")]
#[case::misdirected("421 Misdirected Request", "")]
#[case::misdirected_with_id("421 Misdirected Request", "x-call: ID\r\n")]
fn stale_refusal_reaches_no_caller(
    #[case] status: &'static str,
    #[case] headers: &'static str,
    #[values(("GET", "/read/1"), ("POST", "/book/1"))] call: (&str, &str),
) {
    let (site, target) = start_desk_site(TargetBehavior::StaleRefusal { status, headers });
    for number in 0..CALLS {
        let id = format!("c-{number}");
        let response = call_desk(&site, "node-1", call.0, call.1, &id);
        let line = format!("x-call: {id}\n");
        let requests = target.requests();
        let runs = requests.iter().filter(|request| request.head.contains(&line));
        let runs = runs.filter(|request| !request.is_refused).count();
        assert!(runs <= 1 || call.0 == "GET", "call {number} ran {runs} times");
        let is_refused = response.json()["run"].as_str() == Some("not_run");
        assert!(!is_refused || runs == 0, "call {number} ran, and was called not run");
    }
}
