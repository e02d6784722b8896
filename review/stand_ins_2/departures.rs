//! An endpoint withdraws itself (`DELETE`), and a status report from before arrives late. The endpoint must get no requests
//! later than `drain_s` after the confirmation. The second argument names the disruption:
//!
//! - `restart`: its node is killed, and has just been started again when the DELETE arrives;
//! - `cut`: the endpoint was cut off from its node for a while, and leaves as soon as the cut has healed;
//! - `herd`: all processes are killed and started again after the DELETE was confirmed.

#[path = "common.rs"]
mod common;

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{Endpoint, HEARTBEAT, Record, Seen, Site, give_up, has_trouble, request};

/// `drain_s` and `contact_s` of the site `lahha-lessons`.
const DRAIN: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);
/// Time between the kill of the node and its next start.
const DOWN: Duration = Duration::from_millis(500);
/// Time for which the last report is held up on its way.
const REPORT_DELAY: Duration = Duration::from_millis(3_000);
/// The same where all processes are killed a second after the confirmation.
const HERD_REPORT_DELAY: Duration = Duration::from_millis(4_500);
/// Length of the cut: the longest that a site in force has for `node_cut`.
const CUT: Duration = Duration::from_millis(5_500);
/// Time after the cut at which the report that it held up arrives.
const HELD_AFTER_CUT: Duration = Duration::from_millis(1_500);
/// Time for which the endpoint serves on after its confirmation: `drain_s` "and a little longer (at times many seconds)".
const SERVES_ON: Duration = Duration::from_secs(7);

/// Services of the endpoints beside the nodes.
const SERVICES: [&str; 4] = ["desk", "roster", "roster", "desk"];

const CONFIG: &str = r#"{"version":3,
"services":{"desk":{"health":"/health","connections":120,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_rate":52.0},
"roster":{"health":"/health","connections":120,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_rate":52.0}},
"routes":{
"r-read":{"host":"lessons.example","prefix":"/read/","semantics":"idempotent","timeout_ms":1200,"objective_ms":200,"rank":2,"service":"desk","attempts":2},
"r-book":{"host":"lessons.example","prefix":"/book/","semantics":"at_most_once","timeout_ms":1500,"objective_ms":250,"rank":1,"service":"desk","attempts":2}},
"limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}}"#;

/// The endpoint's machine is cut off from it for a while: the cut holds up its reports and the requests to it.
fn leave_after_cut(leaving: &Endpoint, record: &Record) -> (Instant, Instant) {
    leaving.state.is_quiet.store(true, Ordering::SeqCst);
    std::thread::sleep(HEARTBEAT);
    record.say(format!("i-1 reports ready -> {}", leaving.send_report(&leaving.report("ready"))));
    std::thread::sleep(HEARTBEAT - Duration::from_millis(100));
    let begun = Instant::now();
    let is_cut = has_trouble();
    leaving.state.is_cut.store(is_cut, Ordering::SeqCst);
    record.say(format!("i-1 is cut off: {is_cut}"));
    let mut late = None;
    while begun.elapsed() < CUT {
        let report = leaving.report("ready");
        match (is_cut, &late) {
            (false, _) => record.say(format!("i-1 reports ready -> {}", leaving.send_report(&report))),
            (true, None) => {
                record.say("i-1 sends a report (state ready); the cut holds it up");
                late = Some(report);
            }
            (true, Some(_)) => record.say("i-1 sends a report; it gives up after a second, so the report is lost"),
        }
        std::thread::sleep(HEARTBEAT.min((begun + CUT).saturating_duration_since(Instant::now())));
    }
    leaving.state.is_leaving.store(true, Ordering::SeqCst);
    leaving.state.is_cut.store(false, Ordering::SeqCst);
    let healed = Instant::now();
    record.say("the cut has healed");
    let confirmed = withdraw(leaving, record);
    if let Some(late) = late {
        std::thread::sleep((healed + HELD_AFTER_CUT).saturating_duration_since(Instant::now()));
        record.say(format!("the report that was held up arrives -> {}", leaving.send_report(&late)));
    }
    (confirmed, healed)
}

/// The endpoint's node, or all processes (`is_herd`), are killed around the endpoint's departure, and a report is late.
fn leave_around_kill(
    site: &mut Site,
    leaving: &Endpoint,
    record: &Record,
    is_herd: bool,
) -> (Instant, Instant) {
    // The last report of the endpoint is held up on its way; the endpoint gets no answer within a second.
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let (is_killed, is_late) = (has_trouble() && trouble != "late", has_trouble() && trouble != "kill");
    leaving.state.is_leaving.store(true, Ordering::SeqCst);
    let late = leaving.report("ready");
    let late_at = Instant::now() + if is_herd { HERD_REPORT_DELAY } else { REPORT_DELAY };
    if is_late {
        record.say("i-1 sends a report (state ready); it is held up on its way");
    } else {
        record.say(format!("i-1 sends a report (state ready) -> {}", leaving.send_report(&late)));
    }
    // In a herd, the endpoint leaves first, and all processes of the site are killed a second later.
    let mut confirmed = Instant::now();
    if is_herd {
        confirmed = withdraw(leaving, record);
        std::thread::sleep(Duration::from_secs(1));
    }
    let names: Vec<String> = match is_herd {
        true => site.names(),
        false => vec!["node-1".to_owned()],
    };
    let mut restarted = Instant::now();
    if is_killed {
        names.iter().for_each(|name| site.kill(name));
        std::thread::sleep(DOWN);
        names.iter().for_each(|name| site.start_process(name));
        restarted = Instant::now();
    } else {
        std::thread::sleep(DOWN);
    }
    if !is_herd {
        confirmed = withdraw(leaving, record);
    }
    std::thread::sleep(late_at.saturating_duration_since(Instant::now()));
    if is_late {
        record.say(format!("the late report of i-1 arrives -> {}", leaving.send_report(&late)));
    }
    (confirmed, restarted)
}

/// Sends DELETE until it is confirmed: this endpoint leaves without having reported `draining`.
fn withdraw(leaving: &Endpoint, record: &Record) -> Instant {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(5) {
        let status = leaving.send_delete();
        if status != 0 {
            record.say(format!("i-1 sends DELETE -> {status}"));
        }
        if (200..300).contains(&status) {
            return Instant::now();
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    give_up("no confirmation of the DELETE")
}

fn main() {
    let record = Record::new();
    let folder = std::env::args().nth(1).unwrap_or_else(|| give_up("name the folder of the case"));
    let mode = std::env::args().nth(2).unwrap_or_else(|| give_up("name the mode"));
    let mut site = Site::start(&record, &SERVICES, 1000.0);
    site.order("PUT", "/v1/revision", "If-Match: 0\r\nContent-Type: application/json\r\n", CONFIG.as_bytes());
    let endpoints: Vec<Endpoint> = (1..=4)
        .map(|n| Endpoint::start(&record, &format!("i-{n}"), SERVICES[n - 1], &site.app(n), &site.admin(n)))
        .collect();
    for n in 1..=4 {
        site.wait(&format!("node-{n} ready"), Duration::from_secs(15), |site| site.is_ready(n));
    }
    endpoints.iter().for_each(Endpoint::begin_reports);
    std::thread::sleep(Duration::from_secs(3));

    // Requesters at node-2 and node-3, whose processes run all the while.
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let threads: Vec<_> = (0..28)
        .map(|caller| {
            let (seen, stop, record) = (Arc::clone(&seen), Arc::clone(&stop), record.clone());
            let address = site.outbound(2 + caller % 2);
            std::thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let (method, path) = if number % 3 == 0 { ("POST", "/book/1") } else { ("GET", "/read/1") };
                    let id = format!("c{caller}-{number}");
                    let headers = format!(
                        "Host: lessons.example\r\nKingcuplift-Attempt-Id: {id}\r\nKingcuplift-Deadline-Ms: 1500\r\n"
                    );
                    let sent = Instant::now();
                    let answer = request(&address, method, path, &headers, b"", Duration::from_millis(1_500));
                    record.add(format!("requester {id} {method} at {address} -> {} complete {}", answer.status, answer.is_complete));
                    let has_seal = answer.headers.contains_key("kingcuplift-response-seal");
                    let is_complete = answer.is_complete;
                    seen.lock().unwrap().push(Seen { id, sent, status: answer.status, is_complete, has_seal });
                    std::thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let leaving = &endpoints[0];
    if leaving.runs().is_empty() {
        record.write(&Path::new(&folder).join("record.txt"));
        give_up("endpoint i-1 got no requests before the disruption");
    }

    // The times at which the endpoint's departure was confirmed, and at which the disruption ended.
    let (confirmed, calm) = match mode.as_str() {
        "cut" => leave_after_cut(leaving, &record),
        _ => leave_around_kill(&mut site, leaving, &record, mode == "herd"),
    };
    std::thread::sleep((confirmed + SERVES_ON).saturating_duration_since(Instant::now()));
    leaving.exit();
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| drop(thread.join()));

    // Counted: requests sent and arrived later than `drain_s` after the confirmation, and later than `contact_s` after
    // the end of the disruption, when all machines are in touch again.
    let from = (confirmed + DRAIN).max(calm + CONTACT);
    let seen = seen.lock().unwrap().clone();
    let late_runs: Vec<_> = leaving
        .runs()
        .into_iter()
        .filter(|run| run.at > from)
        .filter(|run| seen.iter().any(|seen| seen.id == run.id && seen.sent > from))
        .collect();
    let lost = late_runs.iter().filter(|run| {
        run.line.starts_with("POST") && seen.iter().any(|seen| seen.id == run.id && !seen.has_seal)
    });
    let (late_count, lost_count) = (late_runs.len(), lost.count());
    let others = seen.iter().filter(|seen| seen.sent > from).count();
    record.say(format!(
        "{late_count} of {others} requests sent later than drain_s after the confirmation ran at i-1; \
         {lost_count} of them, not idempotent, have run and got no answer of the endpoint"
    ));
    record.write(&Path::new(&folder).join("record.txt"));
    drop(site);
    std::process::exit(i32::from(late_count > 0));
}
