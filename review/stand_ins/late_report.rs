//! DRAIN: a node that was restarted takes an endpoint that has left into use again, because of a late status report.

#[path = "site.rs"]
mod site;

use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::{BROKEN, Endpoint, HELD, SERVICES, Site, caller_headers, has_trouble, success_head};

/// `drain_s`: from this time after the confirmation on, no request may reach an endpoint that has left.
const DRAIN: Duration = Duration::from_secs(2);
/// `contact_s`: time after its start from which on a machine is in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which the endpoint goes on serving after it has left ("at times many seconds").
const SERVED_ON: Duration = Duration::from_secs(9);
/// Time after the confirmation at which the delayed status report arrives.
const REPORT_DELAY: Duration = Duration::from_secs(2);
/// Time from the end of the node's process to its restart.
const RESTART: Duration = Duration::from_millis(300);
const CALLER_TIME: Duration = Duration::from_millis(1_200);
/// Callers beside each node.
const CALLERS: usize = 6;

const ROUTES: &str = r#"{"catalogue":{"host":"lessons.example","prefix":"/catalogue/","semantics":"idempotent",
    "timeout_ms":1200,"objective_ms":200,"rank":2,"attempts":2,"service":"lessons"}}"#;

fn main() {
    site::run(case);
}

/// Starts an endpoint that answers after the usual work, and notes when requests reach it.
fn start_endpoint(site: &Site, sidecar: usize, arrivals: &Arc<Mutex<Vec<Instant>>>) -> Endpoint {
    let id = format!("i-{sidecar}");
    let (arrivals, record) = (Arc::clone(arrivals), site.record.clone());
    Endpoint::start(site, sidecar, &id.clone(), "lessons", move |received, stream| {
        arrivals.lock().unwrap().push(Instant::now());
        let call = received.id();
        record.line(format!("{id} runs {call}"));
        thread::sleep(Duration::from_millis(60));
        let head = success_head(received, &format!("{id}.{call}"), "content-length: 5\r\n");
        stream.write_all(format!("{head}hello").as_bytes()).is_ok()
    })
}

fn case(folder: &Path) {
    let mut site = Site::new(folder, 3, &["lessons", "lessons", "lessons"]);
    site.start_all();
    site.configure(0, 1, SERVICES, ROUTES);
    let arrivals: Vec<Arc<Mutex<Vec<Instant>>>> = (0..3).map(|_| Arc::default()).collect();
    let endpoints: Vec<Endpoint> =
        (1..=3).map(|sidecar| start_endpoint(&site, sidecar, &arrivals[sidecar - 1])).collect();
    for (i, endpoint) in endpoints.iter().enumerate() {
        endpoint.report_regularly();
        site.wait_ready(i + 1);
    }

    let (ended, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    for caller in 0..CALLERS * 3 {
        let (ended, sent, record) = (Arc::clone(&ended), Arc::clone(&sent), site.record.clone());
        let address = site.outbound(caller % 3 + 1);
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                let number = sent.fetch_add(1, Ordering::SeqCst);
                let id = format!("{number:016x}");
                let headers = caller_headers(&id, CALLER_TIME);
                let path = format!("/catalogue/{number}");
                record.line(format!("caller sends {id} to {address}"));
                let response = site::request(&address, "GET", &path, &headers, b"", CALLER_TIME);
                record.line(format!("caller of {id} at {address} gets {}", response.status));
                if response.status != 200 {
                    thread::sleep(Duration::from_millis(300));
                }
                thread::sleep(Duration::from_millis(40));
            }
        });
    }
    thread::sleep(Duration::from_secs(4));

    // The report is made now and delayed on its way. The endpoint then leaves without a report that it drains.
    let late_report = endpoints[0].next_report();
    endpoints[0].end_reports();
    endpoints[0].set_state("draining");
    let status = endpoints[0].deregister();
    let confirmed_at = Instant::now();
    site.record.line(format!("i-1 says that it leaves: {status}"));
    if status != 200 {
        site.stop(site::NOT_RUN, "the departure is not confirmed");
    }
    thread::sleep(Duration::from_millis(300));
    if has_trouble() {
        site.kill("sidecar-1");
        thread::sleep(RESTART);
        site.start("sidecar-1");
    }
    let started_at = Instant::now();
    thread::sleep((confirmed_at + REPORT_DELAY).saturating_duration_since(Instant::now()));
    let status = endpoints[0].send_report(&late_report);
    site.record.line(format!("a report of i-1 from before its departure arrives: {status}"));
    thread::sleep((confirmed_at + SERVED_ON).saturating_duration_since(Instant::now()));
    ended.store(true, Ordering::SeqCst);

    // Only requests that the node sends on while it is in touch count.
    let from = (confirmed_at + DRAIN).max(started_at + CONTACT);
    let late = arrivals[0].lock().unwrap().iter().filter(|arrived| **arrived > from).count();
    let others: usize = arrivals[1..].iter().map(|arrivals| arrivals.lock().unwrap().len()).sum();
    site.record.line(format!(
        "requests that reached i-1 later than {:.1} s after its confirmed departure: {late}; {} others sent, {others} reached i-2 and i-3",
        (from - confirmed_at).as_secs_f64(),
        sent.load(Ordering::SeqCst),
    ));
    match late {
        0 => site.stop(HELD, "no request reached the endpoint after it had left"),
        late => site.stop(BROKEN, &format!("{late} requests reached an endpoint that had left")),
    }
}
