//! Calls whose bodies arrive slowly.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use kingcuplift_testing::{TargetBehavior, start_desk_site};
use rstest::rstest;

/// Timeout of the desk's routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after its route's timeout by which a call must be answered.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Interval and number of the parts of a body; the last one is sent later than the slack allows for an answer.
const PART_INTERVAL: Duration = Duration::from_millis(100);
const PARTS: u32 = 50;

/// Guards against calls that stay unanswered beyond their route's timeout because their body has not arrived.
#[rstest]
#[case::length("content-length: 50", "x")]
#[case::chunks("transfer-encoding: chunked", "1\r\nx\r\n")]
fn slow_body_ends_at_timeout(#[case] framing: &str, #[case] part: &str) {
    let (site, target) = start_desk_site(TargetBehavior::Respond(Duration::ZERO));
    let mut stream = TcpStream::connect(&site.addresses("node-1").callers).expect("a connection");
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: a.example\r\nx-call: c-1\r\nx-left: 20000\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the head is sent");
    let sent_at = Instant::now();
    let mut sender = stream.try_clone().expect("a second handle");
    let (body, part) = (PARTS, part.to_owned());
    let sending = std::thread::spawn(move || {
        for _ in 0..body {
            std::thread::sleep(PART_INTERVAL);
            if sender.write_all(part.as_bytes()).is_err() {
                return;
            }
        }
    });
    stream.set_read_timeout(Some(2 * ROUTE_TIMEOUT)).expect("the timeout is set");
    let mut buffer = [0; 1_024];
    let size = stream.read(&mut buffer).unwrap_or(0);
    let took = sent_at.elapsed();
    let answer = String::from_utf8_lossy(&buffer[..size]).into_owned();
    assert!(took < ROUTE_TIMEOUT + ANSWER_SLACK, "answered after {took:?}: {answer}");
    assert!(took > ROUTE_TIMEOUT - ANSWER_SLACK, "refused after {took:?}: {answer}");
    assert!(answer.starts_with("HTTP/1.1 503 "), "the call has not run: {answer}");
    assert!(answer.contains("not_run"), "{answer}");
    sending.join().expect("the sender ends");
    assert!(target.requests().is_empty(), "the call does not run later");
}

/// Guards against a limit that refuses bodies which arrive slowly, but in time.
#[test]
fn body_in_time_is_passed_on() {
    let (site, target) = start_desk_site(TargetBehavior::Respond(Duration::ZERO));
    let mut stream = TcpStream::connect(&site.addresses("node-1").callers).expect("a connection");
    let head = "POST /book/1 HTTP/1.1\r\nhost: a.example\r\nx-call: c-1\r\nx-left: 20000\r\n\
                content-length: 10\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("the head is sent");
    for _ in 0..10 {
        std::thread::sleep(PART_INTERVAL);
        stream.write_all(b"x").expect("the call is still open");
    }
    stream.set_read_timeout(Some(ROUTE_TIMEOUT)).expect("the timeout is set");
    let mut buffer = [0; 1_024];
    let size = stream.read(&mut buffer).expect("an answer");
    let answer = String::from_utf8_lossy(&buffer[..size]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert_eq!(target.requests().len(), 1);
}
