//! Measures the time of replacing a full configuration of which one route has changed.

use std::time::{Duration, Instant};

use kingcuplift_config::{CanonicalCache, Catalog, Patch, RevisionBody};
use serde_json::{Map, json};

/// Numbers of routes to measure with.
const ROUTES: [usize; 2] = [800, 2_200];
/// Configurations that are submitted, each with another timeout of one route.
const REVISIONS: u64 = 41;

fn document(number: u64, routes: usize) -> String {
    let route = |i: usize| {
        let timeout = if i == 3 { 1_000 + number } else { 2_000 };
        json!({ "host": format!("h{}.example", i % 7), "prefix": format!("/p-{i}/"),
            "semantics": "idempotent", "timeout_ms": timeout, "objective_ms": 500, "rank": 2,
            "attempts": 2, "service": "desk" })
    };
    let routes: Map<_, _> = (0..routes).map(|i| (format!("r-{i}"), route(i))).collect();
    json!({ "version": number, "services": { "desk": { "health": "/health", "connections": 50 } },
        "routes": routes, "limits": { "header_bytes": 16_384, "idle_ms": 15_000 } })
    .to_string()
}

fn main() {
    for routes in ROUTES {
        let (mut catalog, mut cache) = (Catalog::default(), CanonicalCache::default());
        let mut times = Vec::new();
        for number in 1..=REVISIONS {
            let text = document(number, routes);
            let started_at = Instant::now();
            let body = RevisionBody::parse(text.as_bytes()).expect("a readable configuration");
            let (document, revision) = (catalog.current().document(), catalog.revision());
            let submission =
                body.submission(number - 1, text.as_bytes(), revision, document, &mut cache);
            let submission = submission.expect("a readable configuration");
            let patch = Patch::parse(&submission.patch).expect("a valid patch");
            let staged = patch.stage(document, catalog.head().next()).expect("a valid patch");
            drop((body, staged));
            catalog.apply(&submission);
            times.push(started_at.elapsed());
        }
        let rest: Duration = times[1..].iter().sum();
        println!(
            "{routes} routes: the first configuration {:.1?}, each later one {:.2?} on average",
            times[0],
            rest / (times.len() - 1) as u32
        );
    }
}
