//! LOST: a node that is stopped as planned cuts off a long answer that its endpoint is still sending.

#[path = "site.rs"]
mod site;

use std::io::Write;
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use site::{BROKEN, Endpoint, HELD, SERVICES, Site, caller_headers, has_trouble, success_head};

/// Size of an answer, in bytes.
const ANSWER_BYTES: usize = 400_000;
/// Pieces of an answer, and the pause before each.
const PIECES: usize = 10;
const PIECE_PAUSE: Duration = Duration::from_millis(420);
/// Time that a caller waits, the same as the timeout of the route.
const CALLER_TIME: Duration = Duration::from_secs(12);
/// Number of calls.
const CALLS: usize = 4;
/// `grace_s`: time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

const ROUTES: &str = r#"{"recordings":{"host":"lessons.example","prefix":"/recordings/","semantics":"idempotent",
    "timeout_ms":12000,"objective_ms":6000,"rank":2,"attempts":2,"service":"lessons"}}"#;

fn main() {
    site::run(case);
}

fn case(folder: &Path) {
    let mut site = Site::new(folder, 3, &["lessons", "lessons"]);
    site.start_all();
    site.configure(0, 1, SERVICES, ROUTES);
    for sidecar in 1..=2 {
        let record = site.record.clone();
        let id = format!("i-{sidecar}");
        let endpoint =
            Endpoint::start(&site, sidecar, &id.clone(), "lessons", move |received, stream| {
                let call = received.id();
                record.line(format!("{id} runs {call}"));
                let framing = format!("content-length: {ANSWER_BYTES}\r\n");
                let head = success_head(received, &format!("{id}.{call}"), &framing);
                let piece = vec![b'a'; ANSWER_BYTES / PIECES];
                let mut result = stream.write_all(head.as_bytes());
                for _ in 0..PIECES {
                    thread::sleep(PIECE_PAUSE);
                    result = result.and_then(|()| stream.write_all(&piece));
                }
                match &result {
                    Ok(()) => record.line(format!("{id} has sent the whole answer to {call}")),
                    Err(error) => {
                        record.line(format!("{id} can't send the answer to {call}: {error}"))
                    }
                }
                result.is_ok()
            });
        endpoint.report_regularly();
        site.wait_ready(sidecar);
    }
    thread::sleep(Duration::from_secs(4));

    let (sender, results) = mpsc::channel();
    let sent_at = Instant::now();
    for call in 0..CALLS {
        let (sender, record, address) = (sender.clone(), site.record.clone(), site.outbound(1));
        thread::spawn(move || {
            let id = format!("{call:016x}");
            let path = format!("/recordings/{call}");
            record.line(format!("caller sends {id} to sidecar-1"));
            let headers = caller_headers(&id, CALLER_TIME);
            let response = site::request(&address, "GET", &path, &headers, b"", CALLER_TIME);
            record.line(format!(
                "caller of {id} gets status {}, {} of {ANSWER_BYTES} bytes, {}",
                response.status,
                response.body.len(),
                if response.is_whole { "whole" } else { "cut off" },
            ));
            let _sent = sender.send(response);
        });
    }
    drop(sender);
    thread::sleep(Duration::from_millis(600));
    let stopped_at = Instant::now();
    if has_trouble() {
        site.signal("sidecar-1", "TERM");
        if !site.wait_ended("sidecar-1", GRACE) {
            site.kill("sidecar-1");
        }
    }
    let responses: Vec<_> = results.iter().collect();
    let usual = PIECE_PAUSE * PIECES as u32;
    site.record.line(format!(
        "an answer takes {usual:?}; it would end {:?} after SIGTERM, before the last sixth of grace_s",
        usual.saturating_sub(stopped_at - sent_at)
    ));
    let whole = responses
        .iter()
        .filter(|response| {
            response.status == 200 && response.is_whole && response.body.len() == ANSWER_BYTES
        })
        .count();
    match whole {
        CALLS => site.stop(HELD, "every caller got its whole answer"),
        whole => site.stop(BROKEN, &format!("{} of {CALLS} answers were lost", CALLS - whole)),
    }
}
