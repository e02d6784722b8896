//! Restart of all source members with a log that takes long to apply, with real processes.

use std::time::{Duration, Instant};

use kingcuplift_testing::{PlaintextSite, put_revision, request};
use serde_json::{Map, Value, json};

/// Members of the source.
const MEMBERS: usize = 3;
/// Versions in the log, each of which changes all routes.
const VERSIONS: u64 = 40;
/// Number of routes.
const ROUTES: usize = 400;
/// Longest time until the configuration can be read after the restart.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

fn configuration(version: u64) -> Value {
    let route = |number: usize| {
        json!({ "host": "a.example", "prefix": format!("/{number}/"), "semantics": "idempotent",
            "timeout_ms": 1_000 + version, "objective_ms": 500, "rank": 2, "attempts": 2,
            "service": "desk" })
    };
    let routes: Map<_, _> = (0..ROUTES).map(|i| (format!("r-{i}"), route(i))).collect();
    json!({ "version": version, "services": { "desk": { "health": "/health", "connections": 50 } },
        "routes": routes, "limits": { "header_bytes": 16_384, "idle_ms": 15_000 } })
}

/// A new leader applied its log without sending heartbeats meanwhile, so that the others elected the next one, which did the
/// same.
#[test]
fn leader_stays_while_it_applies() {
    let mut site = PlaintextSite::start(MEMBERS, &[]);
    for version in 1..=VERSIONS {
        assert_eq!(put_revision(&site, version - 1, &configuration(version)).status, 201);
    }
    let members: Vec<String> = (1..=MEMBERS).map(|number| format!("core-{number}")).collect();
    let elections = |site: &PlaintextSite| -> usize {
        members.iter().map(|name| site.log(name).matches("\"LeaderElected\"").count()).sum()
    };
    let before = elections(&site);
    members.iter().for_each(|name| site.kill(name));
    members.iter().for_each(|name| site.start_process(name));
    let started_at = Instant::now();
    let is_read = |site: &PlaintextSite| {
        (1..=MEMBERS).any(|number| {
            let read = request(&site.operator_address(number), "GET", "/v1/revision", "", "");
            read.status == 200 && read.json()["version"] == VERSIONS
        })
    };
    while !is_read(&site) {
        assert!(started_at.elapsed() < RECOVERY_LIMIT, "no read; logs: {}", site.logs());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(elections(&site) - before, 1, "elections in {:.1?}", started_at.elapsed());
}
