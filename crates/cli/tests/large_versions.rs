//! Versions that change thousands of routes at once, with real processes.

use std::time::{Duration, Instant};

use kingcuplift_testing::{PlaintextSite, put_revision, request};
use serde_json::{Map, Value, json};

/// Members of the source.
const MEMBERS: usize = 3;
/// Versions that change all routes.
const VERSIONS: u64 = 4;
/// Number of routes.
const ROUTES: usize = 4_000;
/// Longest time until the configuration can be read after a restart of all members.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Elections that a restart of all members may take: the first, and another if its votes are split.
const RESTART_ELECTIONS: usize = 2;

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

fn elections(site: &PlaintextSite) -> usize {
    let count = |number| site.log(&format!("core-{number}")).matches("\"LeaderElected\"").count();
    (1..=MEMBERS).map(count).sum()
}

/// A leader that checked or applied one version sent no heartbeats for longer than the election timeout, so that the others
/// elected the next one, during the day and again and again after a restart.
#[test]
fn leader_stays_during_large_versions() {
    let mut site = PlaintextSite::start(MEMBERS, &[]);
    assert_eq!(
        put_revision(&site, 0, &json!({ "version": 1, "services": {}, "routes": {} })).status,
        200
    );
    let before = elections(&site);
    for version in 2..2 + VERSIONS {
        assert_eq!(put_revision(&site, version - 1, &configuration(version)).status, 200);
    }
    assert_eq!(elections(&site), before, "elections without a fault; logs: {}", site.logs());
    (1..=MEMBERS).for_each(|number| site.kill(&format!("core-{number}")));
    (1..=MEMBERS).for_each(|number| site.start_process(&format!("core-{number}")));
    let started_at = Instant::now();
    let is_read = |site: &PlaintextSite| {
        (1..=MEMBERS).any(|number| {
            let read = request(&site.operator_address(number), "GET", "/v1/revision", "", "");
            read.status == 200 && read.json()["version"] == 1 + VERSIONS
        })
    };
    while !is_read(&site) {
        assert!(started_at.elapsed() < RECOVERY_LIMIT, "no read; logs: {}", site.logs());
        std::thread::sleep(Duration::from_millis(20));
    }
    let restart_elections = elections(&site) - before;
    assert!(restart_elections <= RESTART_ELECTIONS, "{restart_elections} elections");
}
