//! Answers that break off halfway must not reach the caller as complete ones.

use kingcuplift_testing::{RawResponse, TargetBehavior, call_desk, start_desk_site};
use rstest::rstest;

/// Returns whether a response looks complete to its caller.
fn is_complete(response: &RawResponse) -> bool {
    let length = response.header("content-length").and_then(|text| text.parse::<usize>().ok());
    match length {
        Some(length) => response.body.len() >= length,
        None => response.body.ends_with(b"0\r\n\r\n"),
    }
}

#[rstest]
#[case::in_status_line("HTTP/1.1 20", "", 0)]
#[case::in_headers("HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\n", "", 0)]
#[case::before_body(
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ncontent-length: 8\r\n\r\n",
    "",
    0
)]
#[case::in_body("HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ncontent-length: 8\r\n\r\n", "b", 4)]
#[case::in_long_body(
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ncontent-length: 300000\r\n\r\n",
    "b",
    200_000
)]
#[case::in_chunk(
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n8\r\n",
    "b",
    4
)]
#[case::between_chunks(
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n",
    "4\r\nbody\r\n",
    3
)]
#[case::after_many_chunks(
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n",
    "4\r\nbody\r\n",
    60_000
)]
#[case::in_last_chunk(
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
    "",
    0
)]
fn cut_answer_never_looks_complete(
    #[case] start: &'static str,
    #[case] filler: &'static str,
    #[case] count: usize,
) {
    let (site, target) = start_desk_site(TargetBehavior::CutOff { start, filler, count });
    let response = call_desk(&site, "node-1", "POST", "/book/1", "c-1");
    match response.status {
        200 => assert!(!is_complete(&response), "{} bytes look complete", response.body.len()),
        status => assert_eq!((status, response.json()["run"].as_str()), (502, Some("unknown"))),
    }
    assert_eq!(target.requests().len(), 1, "a call that may have run is not sent again");
}

/// What follows a complete answer belongs to no call.
#[rstest]
#[case::length(
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\n",
    2
)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "rest",
    3
)]
fn bytes_beyond_the_answer_are_dropped(
    #[case] start: &'static str,
    #[case] filler: &'static str,
    #[case] count: usize,
) {
    let (site, _target) = start_desk_site(TargetBehavior::CutOff { start, filler, count });
    for id in ["c-1", "c-2", "c-3"] {
        let response = call_desk(&site, "node-1", "POST", "/book/1", id);
        let expected = (200, Some(id), b"body".as_slice());
        assert_eq!((response.status, response.header("x-call"), &response.body[..]), expected);
    }
}
