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

/// An answer with a length.
const WITH_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ncontent-length: 12\r\n\r\n";
/// An answer in chunks.
const IN_CHUNKS: &str =
    "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";
/// An answer that ends with its connection, after an interim answer.
const WITHOUT_LENGTH: &str =
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\n\r\n";

/// A target that stops anywhere in the head of its answer and closes the connection has not answered.
#[rstest]
fn cut_head_is_no_answer(
    #[values(WITH_LENGTH, IN_CHUNKS, WITHOUT_LENGTH)] head: &'static str,
    #[values(("GET", "/read/1"), ("POST", "/book/1"))] call: (&str, &str),
) {
    let (site, target) = start_desk_site(TargetBehavior::Disconnect);
    for end in 1..head.len() {
        let start = &head[..end];
        target.set_behavior(TargetBehavior::CutOff { start, filler: "", count: 0 });
        let response = call_desk(&site, "node-1", call.0, call.1, &format!("c-{end}"));
        let result = (response.status, response.json()["run"].as_str().map(str::to_owned));
        assert_eq!(result, (502, Some("unknown".to_owned())), "after {start:?}");
    }
}
