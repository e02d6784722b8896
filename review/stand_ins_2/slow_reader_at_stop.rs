//! A node is stopped with SIGTERM while requesters beside it read their answers slowly. Each answer could be read whole
//! well before the end of `grace_s`; none may be cut off.

#[path = "common.rs"]
mod common;

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{Endpoint, Record, SIGTERM, Site, connect_with_buffer, give_up, has_trouble, read_response, request};

/// `grace_s` of the site, and the time after it until which a SIGTERM counts as planned work.
const GRACE: Duration = Duration::from_secs(6);
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// When the requests are sent, after the SIGTERM: requesters learn of the stop by two readiness questions, one a second.
const SENT_AFTER: [u64; 4] = [400, 800, 1_200, 1_600];
/// Time limit of the requesters.
const LIMIT: Duration = Duration::from_millis(6_000);
/// Bytes that a requester takes at once, and the pause after each: 36 KB/s, so 3.7 s for the whole answer.
const PIECE: usize = 3_600;
const PAUSE: Duration = Duration::from_millis(100);
/// Size of the answers.
const SIZE: usize = 120_000;
/// Receive buffer of the requesters, in bytes.
const BUFFER: i32 = 16_384;

/// Services of the endpoints beside the nodes.
const SERVICES: [&str; 3] = ["roster", "desk", "desk"];

const CONFIG: &str = r#"{"version":3,
"services":{"desk":{"health":"/health","connections":120,"protocol":"h1","tls":false},
"roster":{"health":"/health","connections":120,"protocol":"h1","tls":false}},
"routes":{
"r-read":{"host":"lessons.example","prefix":"/read/","semantics":"idempotent","timeout_ms":6000,"objective_ms":1000,"rank":2,"service":"desk","attempts":2},
"r-book":{"host":"lessons.example","prefix":"/book/","semantics":"at_most_once","timeout_ms":6000,"objective_ms":1000,"rank":1,"service":"desk","attempts":2},
"r-archive":{"host":"lessons.example","prefix":"/archive/","semantics":"download","timeout_ms":6000,"objective_ms":1000,"rank":2,"service":"desk","attempts":2}},
"limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}}"#;

struct Answer {
    id: String,
    path: String,
    sent: Instant,
    ended: Instant,
    status: u16,
    is_complete: bool,
    size: usize,
}

fn main() {
    let record = Record::new();
    let folder = std::env::args().nth(1).unwrap_or_else(|| give_up("name the folder of the case"));
    // Downloads are a pass of their own: while one is in progress, the process stays longer.
    let kinds: &[(&str, &str)] = match std::env::args().nth(2).as_deref() {
        Some("downloads") => &[("archive", "GET")],
        _ => &[("book", "POST"), ("read", "GET")],
    };
    let mut site = Site::start(&record, &SERVICES, 12.0);
    site.order("PUT", "/v1/revision", "If-Match: 0\r\nContent-Type: application/json\r\n", CONFIG.as_bytes());
    let endpoints: Vec<Endpoint> = (1..=3)
        .map(|n| Endpoint::start(&record, &format!("i-{n}"), SERVICES[n - 1], &site.app(n), &site.admin(n)))
        .collect();
    for n in 1..=3 {
        site.wait(&format!("node-{n} ready"), Duration::from_secs(15), |site| site.is_ready(n));
    }
    endpoints.iter().for_each(Endpoint::begin_reports);
    std::thread::sleep(Duration::from_secs(3));
    let address = site.outbound(1);
    let headers = "Host: lessons.example\r\nKingcuplift-Attempt-Id: first\r\nKingcuplift-Deadline-Ms: 2000\r\n";
    let first = request(&address, "GET", "/read/1", headers, b"", Duration::from_secs(2));
    if first.status != 200 {
        give_up(&format!("the first request is answered with {}", first.status));
    }

    let begun = Instant::now();
    if has_trouble() {
        site.signal("node-1", SIGTERM);
    }
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let mut threads = Vec::new();
    for after in SENT_AFTER {
        for &(kind, method) in kinds {
            let (answers, record, address) = (Arc::clone(&answers), record.clone(), address.clone());
            threads.push(std::thread::spawn(move || {
                std::thread::sleep((begun + Duration::from_millis(after)).saturating_duration_since(Instant::now()));
                let id = format!("{kind}-{after}");
                let path = format!("/{kind}/size-{SIZE}");
                let Some(mut stream) = connect_with_buffer(&address, BUFFER) else {
                    return record.say(format!("requester {id}: no connection"));
                };
                let head = format!(
                    "{method} {path} HTTP/1.1\r\nHost: lessons.example\r\nKingcuplift-Attempt-Id: {id}\r\n\
                     Kingcuplift-Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                    LIMIT.as_millis()
                );
                let sent = Instant::now();
                if stream.write_all(head.as_bytes()).is_err() {
                    return record.say(format!("requester {id}: can't send"));
                }
                let response = read_response(&mut stream, sent + LIMIT, Some((PIECE, PAUSE)));
                let ended = Instant::now();
                record.say(format!(
                    "requester {id} -> {} {} of {SIZE} bytes, complete {}, {:.2} s after it was sent",
                    response.status,
                    response.body.len(),
                    response.is_complete,
                    (ended - sent).as_secs_f64()
                ));
                let (status, is_complete, size) = (response.status, response.is_complete, response.body.len());
                answers.lock().unwrap().push(Answer { id, path, sent, ended, status, is_complete, size });
            }));
        }
    }
    let mut ended_at = None;
    while begun.elapsed() < GRACE + AFTER_GRACE {
        if ended_at.is_none() && has_trouble() && site.has_ended("node-1") {
            ended_at = Some(begun.elapsed());
            record.say("the process of node-1 has ended");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));

    // Counted: requests that an endpoint has run, and whose connection ended without a complete answer before their time
    // limit and before the end of the planned work.
    let answers = answers.lock().unwrap();
    let has_run = |id: &str| endpoints.iter().any(|e| e.runs().iter().any(|run| run.id == id));
    let cut: Vec<&Answer> = answers
        .iter()
        .filter(|a| has_run(&a.id) && !a.is_complete)
        .filter(|a| a.ended < a.sent + LIMIT && a.ended < begun + GRACE + AFTER_GRACE)
        .collect();
    for answer in &cut {
        record.say(format!(
            "cut off: {} {} status {} with {} of {SIZE} bytes",
            answer.id, answer.path, answer.status, answer.size
        ));
    }
    let run = answers.iter().filter(|answer| has_run(&answer.id)).count();
    record.say(format!(
        "{} of {run} requests that have run ended without a complete answer; node-1 ended {:?} after the SIGTERM",
        cut.len(),
        ended_at
    ));
    let is_broken = !cut.is_empty();
    let name = std::env::args().nth(2).unwrap_or_else(|| "answers".to_owned());
    record.write(&Path::new(&folder).join(format!("record-{name}.txt")));
    drop(site);
    std::process::exit(i32::from(is_broken));
}
