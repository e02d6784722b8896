//! EXPOSURE: a new version whose slow requests miss the route's timeout gets all traffic.

#[path = "site.rs"]
mod site;

use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::{
    BROKEN, Endpoint, HELD, NOT_RUN, SERVICES, Site, caller_headers, has_trouble, success_head,
};

/// Work on a request, and how many times as long the slow ones of the bad version take.
const WORK: Duration = Duration::from_millis(150);
const SLOWER: u32 = 8;
/// Time after the time limit at which an endpoint has written its 504.
const WRITE_TIME: Duration = Duration::from_millis(3);
/// `ramp_s` of the order.
const RAMP: Duration = Duration::from_secs(16);
/// `expose_share` and `expose_slack`.
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;
/// Time that a caller waits, and time between two requests.
const CALLER_TIME: Duration = Duration::from_millis(2_500);
const INTERVAL: Duration = Duration::from_millis(8);
/// Endpoints of each version, each beside a node of its own.
const OLD: usize = 3;
const NEW: usize = 3;

const ROUTES: &str = r#"{"slots":{"host":"lessons.example","prefix":"/slots/","semantics":"idempotent",
    "timeout_ms":1000,"objective_ms":400,"rank":2,"attempts":2,"service":"lessons"}}"#;

fn main() {
    site::run(case);
}

/// A request that reached an endpoint: when, whether at the new version, and whether its answer was bad.
type Arrival = (Instant, bool, bool);

fn start_endpoint(site: &Site, sidecar: usize, arrivals: &Arc<Mutex<Vec<Arrival>>>) -> Endpoint {
    let is_new = sidecar > OLD;
    let (arrivals, number, record) = (Arc::clone(arrivals), AtomicU64::new(0), site.record.clone());
    let id = format!("i-{sidecar}");
    let endpoint =
        Endpoint::start(site, sidecar, &id.clone(), "lessons", move |received, stream| {
            let arrived_at = Instant::now();
            let call = received.id();
            // Half of the requests to a bad version are slow.
            let is_slow = is_new && has_trouble() && number.fetch_add(1, Ordering::SeqCst) % 2 == 1;
            arrivals.lock().unwrap().push((arrived_at, is_new, is_slow));
            let version = if is_new { "v2" } else { "v1" };
            record.line(format!(
                "{id} ({version}) runs {call}{}",
                if is_slow { ", slowly" } else { "" }
            ));
            let work = if is_slow { WORK * SLOWER } else { WORK };
            let stated =
                received.header("kingcuplift-deadline-ms").and_then(|text| text.parse().ok());
            let limit = Duration::from_millis(stated.unwrap_or(60_000));
            if work > limit {
                // It stops work at the time limit that it received, and says so.
                let until = arrived_at + limit + WRITE_TIME;
                thread::sleep(until.saturating_duration_since(Instant::now()));
                let text = format!(
                    "HTTP/1.1 504 Gateway Timeout\r\nkingcuplift-attempt-id: {call}\r\n\
                 kingcuplift-response-seal: {id}.{call}\r\ncontent-length: 0\r\n\r\n"
                );
                return stream.write_all(text.as_bytes()).is_ok();
            }
            thread::sleep(work);
            let head = success_head(received, &format!("{id}.{call}"), "content-length: 5\r\n");
            stream.write_all(format!("{head}hello").as_bytes()).is_ok()
        });
    if is_new {
        endpoint.set_version("v2");
    }
    endpoint
}

fn case(folder: &Path) {
    let mut site = Site::new(folder, 3, &["lessons"; OLD + NEW]);
    site.start_all();
    site.configure(0, 1, SERVICES, ROUTES);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let endpoints: Vec<Endpoint> =
        (1..=OLD + NEW).map(|sidecar| start_endpoint(&site, sidecar, &arrivals)).collect();
    for (i, endpoint) in endpoints.iter().enumerate().take(OLD) {
        endpoint.report_regularly();
        site.wait_ready(i + 1);
    }
    thread::sleep(Duration::from_secs(3));
    // The endpoints of the new version are started alongside the old ones.
    for (i, endpoint) in endpoints.iter().enumerate().skip(OLD) {
        endpoint.report_regularly();
        site.wait_ready(i + 1);
    }
    thread::sleep(Duration::from_secs(3));

    let answers: Arc<Mutex<Vec<(Instant, u16)>>> = Arc::default();
    let addresses: Vec<String> = (1..=OLD + NEW).map(|sidecar| site.outbound(sidecar)).collect();
    let record = site.record.clone();
    let send = |number: usize| {
        let (answers, address) =
            (Arc::clone(&answers), addresses[number % addresses.len()].clone());
        let record = record.clone();
        thread::spawn(move || {
            let id = format!("{number:016x}");
            record.line(format!("caller sends {id} to {address}"));
            let headers = caller_headers(&id, CALLER_TIME);
            let path = format!("/slots/{id}");
            let response = site::request(&address, "GET", &path, &headers, b"", CALLER_TIME);
            record.line(format!("caller of {id} gets {}", response.status));
            answers.lock().unwrap().push((Instant::now(), response.status));
        });
    };
    let mut number = 0;
    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        send(number);
        number += 1;
        thread::sleep(INTERVAL);
    }
    let order = format!(r#"{{"service":"lessons","to":"v2","within_s":{}}}"#, RAMP.as_secs());
    let headers = "content-type: application/json\r\n";
    let ordered_at = Instant::now();
    let response = site.order("POST", "/v1/moves", headers, &order, Duration::from_secs(1));
    site.record.line(format!("order {order}: {}", response.status));
    if response.status != 200 && response.status != 201 {
        site.stop(NOT_RUN, "the order is not accepted");
    }
    let mut looked_at = Instant::now();
    while ordered_at.elapsed() < RAMP {
        send(number);
        number += 1;
        thread::sleep(INTERVAL);
        if looked_at.elapsed() > Duration::from_secs(1) {
            looked_at = Instant::now();
            let response =
                site.order("GET", "/v1/moves/lessons", "", "", Duration::from_millis(500));
            site.record.line(response.text());
        }
    }
    thread::sleep(Duration::from_millis(500));
    let response = site.order("GET", "/v1/moves/lessons", "", "", Duration::from_secs(2));
    let is_completed = response.text().contains(r#""state":"done""#);
    site.record.line(format!("at the end: {}", response.text()));

    let arrivals = arrivals.lock().unwrap().clone();
    let in_time: Vec<&Arrival> =
        arrivals.iter().filter(|(at, ..)| *at >= ordered_at && *at < ordered_at + RAMP).collect();
    let exposed = in_time.iter().filter(|(_, is_new, _)| *is_new).count();
    let bad = in_time.iter().filter(|(.., is_bad)| *is_bad).count();
    let allowed = EXPOSE_SHARE * in_time.len() as f64 + EXPOSE_SLACK;
    let count = |status| answers.lock().unwrap().iter().filter(|(_, s)| *s == status).count();
    site.record.line(format!(
        "requests between the order and its time limit: {}, of them at the new version: {exposed} (allowed: {allowed:.0}), slow there: {bad}; callers got 200: {}, 504: {}",
        in_time.len(), count(200), count(504)
    ));
    match (has_trouble(), exposed as f64 > allowed) {
        (true, true) => site
            .stop(BROKEN, &format!("a bad version got {exposed} requests, {allowed:.0} allowed")),
        (true, false) => site.stop(HELD, "the bad version got few requests"),
        (false, _) if is_completed => site.stop(HELD, "the good version is in place"),
        (false, _) => site.stop(NOT_RUN, "the good version is not in place"),
    }
}
