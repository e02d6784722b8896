//! BUDGET: a request that crashes its endpoints while they send a long answer is never recognised.

#[path = "site.rs"]
mod site;

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use site::{BROKEN, Endpoint, HELD, SERVICES, Site, caller_headers, has_trouble, success_head};

/// Bytes of the answer, and how many of them are sent before the crash.
const ANSWER_BYTES: usize = 400_000;
const SENT_BYTES: usize = 200_000;
/// `contact_s`.
const CONTACT: Duration = Duration::from_secs(3);
/// Time between two tries of the request.
const PAUSE: Duration = Duration::from_millis(800);
/// Time for which the request comes again and again.
const LASTS: Duration = Duration::from_secs(28);
const CALLER_TIME: Duration = Duration::from_secs(3);
/// Retries after the third crash that may reach an endpoint.
const ALLOWED: usize = 3;
const NODES: usize = 4;

const ROUTES: &str = r#"{"recordings":{"host":"lessons.example","prefix":"/recordings/","semantics":"idempotent",
    "timeout_ms":3000,"objective_ms":800,"rank":2,"attempts":2,"service":"lessons"}}"#;

fn main() {
    site::run(case);
}

fn case(folder: &Path) {
    let mut site = Site::new(folder, 3, &["lessons"; NODES]);
    site.start_all();
    site.configure(0, 1, SERVICES, ROUTES);
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    for sidecar in 1..=NODES {
        let (crashes, arrivals, record) =
            (Arc::clone(&crashes), Arc::clone(&arrivals), site.record.clone());
        let own: Arc<OnceLock<Endpoint>> = Arc::default();
        let this = Arc::clone(&own);
        let endpoint = Endpoint::start(
            &site,
            sidecar,
            &format!("i-{sidecar}"),
            "lessons",
            move |received, stream| {
                let Some(endpoint) = this.get() else { return false };
                let call = received.id();
                let framing = format!("content-length: {ANSWER_BYTES}\r\n");
                let head = success_head(received, &format!("{}.{call}", endpoint.id()), &framing);
                thread::sleep(Duration::from_millis(60));
                let is_bad = received.path == "/recordings/bad";
                if is_bad {
                    record.line(format!("{} runs {call}", endpoint.id()));
                    arrivals.lock().unwrap().push((Instant::now(), call));
                }
                if is_bad && has_trouble() {
                    let _sent = stream.write_all(head.as_bytes());
                    let _sent = stream.write_all(&vec![b'a'; SENT_BYTES]);
                    thread::sleep(Duration::from_millis(50));
                    crashes.lock().unwrap().push(Instant::now());
                    endpoint.crash();
                    return false;
                }
                let sent = stream.write_all(head.as_bytes());
                sent.and_then(|()| stream.write_all(&vec![b'a'; ANSWER_BYTES])).is_ok()
            },
        );
        endpoint.report_regularly();
        let _set = own.set(endpoint);
        site.wait_ready(sidecar);
    }
    thread::sleep(Duration::from_secs(4));

    let until = Instant::now() + LASTS;
    let mut number = 0;
    let mut sent: Vec<(Instant, String)> = Vec::new();
    let mut threads = Vec::new();
    while Instant::now() < until {
        let id = format!("{number:016x}");
        let (record, address) = (site.record.clone(), site.outbound(number % NODES + 1));
        sent.push((Instant::now(), id.clone()));
        threads.push(thread::spawn(move || {
            record.line(format!("caller sends {id} to {address}"));
            let headers = caller_headers(&id, CALLER_TIME);
            let response =
                site::request(&address, "GET", "/recordings/bad", &headers, b"", CALLER_TIME);
            let whole = if response.is_whole { "whole" } else { "cut off" };
            record.line(format!(
                "caller of {id} at {address} gets {}, {} bytes, {whole}",
                response.status,
                response.body.len()
            ));
        }));
        number += 1;
        thread::sleep(PAUSE);
    }
    for thread in threads {
        let _ended = thread.join();
    }
    let crashes = crashes.lock().unwrap().clone();
    site.record.line(format!("the request has crashed {} endpoints", crashes.len()));
    let Some(third) = crashes.get(2).copied() else {
        site.stop(HELD, "the request has not crashed three endpoints");
    };
    let is_late = |id: &str| sent.iter().any(|(at, sent)| sent == id && *at > third + CONTACT);
    let mut late: Vec<String> = arrivals.lock().unwrap().iter().map(|(_, id)| id.clone()).collect();
    late.retain(|id| is_late(id));
    late.dedup();
    site.record.line(format!(
        "retries that were sent later than {CONTACT:?} after the third crash and reached an endpoint: {}",
        late.len()
    ));
    match late.len() {
        ..=ALLOWED => site.stop(HELD, "the request reached no more endpoints"),
        count => site.stop(BROKEN, &format!("{count} retries reached endpoints")),
    }
}
