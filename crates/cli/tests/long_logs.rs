//! Restart of all source members with a log that takes long to apply, with real processes.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use kingcuplift_testing::{PlaintextSite, put_revision, request};
use serde_json::{Map, Value, json};

/// Members of the source.
const MEMBERS: usize = 3;
/// Versions in the log, each of which changes all routes.
const VERSIONS: u64 = 40;
/// Number of routes.
const ROUTES: usize = 400;
/// Restarts of all members; a relay may connect only after the leader has applied its log.
const RESTARTS: usize = 3;
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
        assert_eq!(put_revision(&site, version - 1, &configuration(version)).status, 200);
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

/// A leader sent its relays the versions that it came by while it applied its log; each may change all routes.
#[test]
fn relays_get_no_passed_versions() {
    let mut site = PlaintextSite::start(MEMBERS, &[]);
    for version in 1..=VERSIONS {
        assert_eq!(put_revision(&site, version - 1, &configuration(version)).status, 200);
    }
    let members: Vec<String> = (1..=MEMBERS).map(|number| format!("core-{number}")).collect();
    let mut heads = BTreeSet::new();
    for _ in 0..RESTARTS {
        members.iter().for_each(|name| site.kill(name));
        members.iter().for_each(|name| site.start_process(name));
        let started_at = Instant::now();
        let mut newest = 0;
        while newest < MEMBERS {
            assert!(
                started_at.elapsed() < RECOVERY_LIMIT,
                "heads {heads:?}; logs: {}",
                site.logs()
            );
            let answers = (1..=MEMBERS).map(|number| {
                request(&site.relay_address(number), "GET", "/healthz", "", "").json()
            });
            let known: Vec<u64> = answers.filter_map(|answer| answer["head"].as_u64()).collect();
            newest = known.iter().filter(|head| **head >= VERSIONS).count();
            heads.extend(known);
        }
    }
    let passed: Vec<u64> = heads.into_iter().filter(|head| (1..VERSIONS).contains(head)).collect();
    assert!(passed.is_empty(), "{passed:?}: versions that relays got before the newest");
}
