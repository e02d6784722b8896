//! A site starts for the first time. The process of the seed that starts first is killed before the others have started, and
//! started again with `bootstrap` false. The operator's first configuration must be confirmed.

#[path = "common.rs"]
mod common;

use std::path::Path;
use std::time::{Duration, Instant};

use common::{Record, Site, give_up, has_trouble};

/// Machines start "within 0.3 s of each other in any order".
const SPREAD: Duration = Duration::from_millis(300);
/// When the process is killed, and how long it is down.
const KILLED_AT: Duration = Duration::from_millis(200);
const DOWN: Duration = Duration::from_millis(500);
/// Time from the start of the machines to the start of the traffic.
const LEAD: Duration = Duration::from_secs(8);
/// `ack_s`; the operator tries for much longer.
const ACK: Duration = Duration::from_secs(4);
const TRIED: Duration = Duration::from_secs(30);

const CONFIG: &str = r#"{"version":3,
"services":{"desk":{"health":"/health","connections":120,"protocol":"h1","tls":false}},
"routes":{
"r-read":{"host":"lessons.example","prefix":"/read/","semantics":"idempotent","timeout_ms":1200,"objective_ms":200,"rank":2,"service":"desk","attempts":2}},
"limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}}"#;

fn main() {
    let record = Record::new();
    let folder = std::env::args().nth(1).unwrap_or_else(|| give_up("name the folder of the case"));
    let mut site = Site::prepare(&record, &["desk"], 1000.0);
    let begun = Instant::now();
    let sleep_until = |after: Duration| {
        std::thread::sleep((begun + after).saturating_duration_since(Instant::now()));
    };
    site.start_process("core-1");
    sleep_until(KILLED_AT);
    if has_trouble() {
        site.kill("core-1");
    }
    sleep_until(SPREAD);
    for name in ["core-2", "core-3", "node-1"] {
        site.start_process(name);
    }
    if has_trouble() {
        sleep_until(KILLED_AT + DOWN);
        site.start_process("core-1");
    }
    sleep_until(LEAD);
    let sent = Instant::now();
    let headers = "If-Match: 0\r\nContent-Type: application/json\r\n";
    let status = site.order_within("PUT", "/v1/revision", headers, CONFIG.as_bytes(), TRIED);
    let took = sent.elapsed();
    let is_ready = site.is_ready(1);
    record.say(match status {
        Some(status) => format!("the first configuration is answered with {status} after {took:.2?}; node-1 ready {is_ready}"),
        None => format!("the first configuration has no confirmation after {took:.2?}; node-1 ready {is_ready}"),
    });
    for number in 1..=3 {
        let health = common::request(&site.core(number), "GET", "/healthz", "Host: core\r\n", b"", ACK);
        record.say(format!("core-{number}: {} {}", health.status, String::from_utf8_lossy(&health.body)));
    }
    let is_broken = status.is_none() || took > ACK;
    record.write(&Path::new(&folder).join("record.txt"));
    drop(site);
    std::process::exit(i32::from(is_broken));
}
