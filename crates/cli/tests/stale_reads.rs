//! Reads of the configuration at members that stood still while others led, with real processes.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use kingcuplift_testing::{PlaintextSite, request};
use rstest::rstest;
use serde_json::{Value, json};

/// Number of members.
const MEMBERS: usize = 5;
/// Time after its confirmation from which every read must return the version or a newer one.
const STALENESS_LIMIT: Duration = Duration::from_secs(2);
/// Time within which the other members confirm a version.
const CONFIRMATION_LIMIT: Duration = Duration::from_secs(10);
/// Longest wait for a response of a member that goes on.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Reads that wait in the sockets of a paused member.
const WAITING_READS: usize = 20;
/// Interval between attempts to submit a version.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(20);

fn document(number: u64) -> Value {
    json!({ "version": number, "services": { "desk": {} }, "routes": {} })
}

/// Submits a version at the members that are not paused until one confirms it.
fn submit(site: &PlaintextSite, paused: Option<usize>, number: u64) {
    let until = Instant::now() + CONFIRMATION_LIMIT;
    let headers = format!("if-match: {}\r\n", number - 1);
    while Instant::now() < until {
        for member in (1..=MEMBERS).filter(|member| Some(*member) != paused) {
            let address = site.operator_address(member);
            let body = document(number).to_string();
            let response = request(&address, "PUT", "/v1/revision", &headers, &body);
            if matches!(response.status, 200 | 201) {
                return;
            }
        }
        std::thread::sleep(SUBMIT_INTERVAL);
    }
    panic!("version {number} is not confirmed; logs: {}", site.logs());
}

fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the member accepts");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
    stream
}

fn send_read(stream: &mut TcpStream, address: &str) {
    let text = format!("GET /v1/revision HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).expect("the request is sent");
}

/// Returns the version that a response shows, if it shows one.
fn shown_version(mut stream: TcpStream) -> Option<u64> {
    let mut bytes = Vec::new();
    // A member may close the connection without an answer.
    let _result = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let body = text.starts_with("HTTP/1.1 200").then(|| text.split_once("\r\n\r\n"))??.1;
    serde_json::from_str::<Value>(body).ok()?["version"].as_u64()
}

/// A member that goes on, and believes for a moment that it still leads, must not answer from its old state.
#[rstest]
#[case::leader(true)]
#[case::follower(false)]
fn paused_member_shows_nothing_old(#[case] pause_leader: bool) {
    let site = PlaintextSite::start(MEMBERS, &[]);
    submit(&site, None, 1);
    for number in 2..5 {
        let leader = site.wait("a leader", PlaintextSite::leader);
        let paused = if pause_leader { leader } else { leader % MEMBERS + 1 };
        let (name, address) = (format!("core-{paused}"), site.operator_address(paused));
        let mut streams: Vec<TcpStream> = (0..WAITING_READS).map(|_| connect(&address)).collect();
        site.signal(&name, "-STOP");
        submit(&site, Some(paused), number);
        std::thread::sleep(STALENESS_LIMIT);
        streams.extend((0..WAITING_READS).map(|_| connect(&address)));
        streams.iter_mut().for_each(|stream| send_read(stream, &address));
        site.signal(&name, "-CONT");
        let shown: Vec<u64> = streams.into_iter().filter_map(shown_version).collect();
        assert!(shown.iter().all(|shown| *shown >= number), "{shown:?}, {number} was confirmed");
    }
}

/// A configuration whose body ends early is not taken, even if what came of it is complete JSON.
#[rstest]
#[case::short_body(|body: &str| format!("content-length: {}\r\n\r\n{body}", body.len() + 1))]
#[case::no_last_chunk(|body: &str| {
    format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n", body.len())
})]
#[case::cut_chunk(|body: &str| {
    format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}", body.len() + 1)
})]
#[case::odd_chunk_size(|body: &str| {
    format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\nzz\r\n\r\n", body.len())
})]
fn cut_submission_is_not_taken(#[case] frame: impl Fn(&str) -> String) {
    let site = PlaintextSite::start(1, &[]);
    submit_alone(&site);
    let address = site.operator_address(1);
    let body = document(2).to_string();
    let head = format!("PUT /v1/revision HTTP/1.1\r\nhost: {address}\r\nif-match: 1\r\n");
    let mut stream = connect(&address);
    stream.write_all((head + &frame(&body)).as_bytes()).expect("the request is sent");
    stream.shutdown(std::net::Shutdown::Write).expect("the connection is open");
    let mut bytes = Vec::new();
    // The member may close the connection without an answer.
    let _result = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes);
    assert!(!text.starts_with("HTTP/1.1 2"), "{text}");
    let shown = request(&address, "GET", "/v1/revision", "", "").json();
    assert_eq!(shown["version"], 1);
}

fn submit_alone(site: &PlaintextSite) {
    let body = document(1).to_string();
    let response = site.operator_request("PUT", "/v1/revision", "if-match: 0\r\n", &body);
    assert!(matches!(response.status, 200 | 201), "{response:?}");
}
