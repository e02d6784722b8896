//! FAILBACK: a status report of another writer, with a field missing, ends the care for a cold endpoint.

#[path = "site.rs"]
mod site;

use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::{BROKEN, Endpoint, HELD, Site, caller_headers, has_trouble, success_head};

/// `warmup_s`, `warmup_per_s`, `warmup_factor` and `warmup_slack` of the site.
const WARMUP: Duration = Duration::from_secs(3);
const WARMUP_PER_S: usize = 52;
const WARMUP_FACTOR: f64 = 1.5;
const WARMUP_SLACK: usize = 5;
/// Slots of an endpoint; it keeps further requests waiting.
const SLOTS: usize = 17;
/// Work on a request, warm and cold.
const WARM_WORK: Duration = Duration::from_millis(60);
const COLD_WORK: Duration = Duration::from_millis(120);
const CALLER_TIME: Duration = Duration::from_millis(1_200);
/// Callers beside each node; each has one request at a time.
const CALLERS: usize = 25;

const SERVICES: &str = r#"{"lessons":{"health":"/health","connections":120,"protocol":"h1","tls":false,
    "warmup_s":3.0,"warmup_rate":52.0}}"#;
const ROUTES: &str = r#"{"catalogue":{"host":"lessons.example","prefix":"/catalogue/","semantics":"idempotent",
    "timeout_ms":1200,"objective_ms":200,"rank":2,"attempts":2,"service":"lessons"}}"#;

fn main() {
    site::run(case);
}

fn start_endpoint(
    site: &Site,
    sidecar: usize,
    arrivals: &Arc<Mutex<Vec<Instant>>>,
    warm_at: Instant,
) -> Endpoint {
    let id = format!("i-{sidecar}");
    let arrivals = Arc::clone(arrivals);
    let running = Arc::new(AtomicU64::new(0));
    let endpoint =
        Endpoint::start(site, sidecar, &id.clone(), "lessons", move |received, stream| {
            arrivals.lock().unwrap().push(Instant::now());
            while running.fetch_add(1, Ordering::SeqCst) >= SLOTS as u64 {
                running.fetch_sub(1, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(2));
            }
            thread::sleep(if Instant::now() < warm_at { COLD_WORK } else { WARM_WORK });
            running.fetch_sub(1, Ordering::SeqCst);
            let call = received.id();
            let head = success_head(received, &format!("{id}.{call}"), "content-length: 5\r\n");
            stream.write_all(format!("{head}hello").as_bytes()).is_ok()
        });
    endpoint.set_warm_at(warm_at);
    endpoint
}

fn case(folder: &Path) {
    let mut site = Site::new(folder, 3, &["lessons", "lessons"]);
    site.start_all();
    site.configure(0, 1, SERVICES, ROUTES);
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let warm = start_endpoint(&site, 2, &Arc::default(), Instant::now());
    warm.report_regularly();
    site.wait_ready(1);
    site.wait_ready(2);

    let (ended, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    for caller in 0..CALLERS * 2 {
        let (ended, answered) = (Arc::clone(&ended), Arc::clone(&answered));
        let address = site.outbound(caller % 2 + 1);
        thread::spawn(move || {
            let mut number = 0;
            while !ended.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("{caller:08x}{number:08x}");
                let headers = caller_headers(&id, CALLER_TIME);
                let path = format!("/catalogue/{id}");
                let response = site::request(&address, "GET", &path, &headers, b"", CALLER_TIME);
                match response.status {
                    200 => drop(answered.fetch_add(1, Ordering::SeqCst)),
                    _ => thread::sleep(Duration::from_millis(250)),
                }
            }
        });
    }
    thread::sleep(Duration::from_secs(4));

    // An endpoint starts during traffic, and is cold for some seconds.
    let started_at = Instant::now();
    let warm_at = started_at + WARMUP;
    let cold = start_endpoint(&site, 1, &arrivals, warm_at);
    let status = cold.send_report(&cold.next_report());
    site.record.line(format!("i-1 starts and says that it is cold: {status}"));
    thread::sleep(Duration::from_millis(300));
    if has_trouble() {
        let odd = cold.next_report_without_warmup();
        let status = cold.send_report(&odd);
        site.record
            .line(format!("a report of another writer without a field arrives, {status}: {odd}"));
    }
    thread::sleep(Duration::from_millis(900));
    cold.report_regularly();
    thread::sleep(warm_at.saturating_duration_since(Instant::now()));
    ended.store(true, Ordering::SeqCst);

    let arrivals = arrivals.lock().unwrap().clone();
    let in_second = |from: &Instant| {
        let to = *from + Duration::from_secs(1);
        arrivals.iter().filter(|at| **at >= *from && **at < to && **at < warm_at).count()
    };
    let most = arrivals.iter().map(in_second).max().unwrap_or(0);
    let bound = (WARMUP_PER_S as f64 * WARMUP_FACTOR) as usize + WARMUP_SLACK;
    site.record.line(format!(
        "requests that reached i-1 while it was cold: {}, at most {most} in one second (allowed: {bound}); answered in all: {}",
        arrivals.iter().filter(|at| **at < warm_at).count(),
        answered.load(Ordering::SeqCst),
    ));
    match most > bound {
        false => site.stop(HELD, "the cold endpoint got no more than it bears"),
        true => site.stop(BROKEN, &format!("{most} requests in one second, {bound} allowed")),
    }
}
