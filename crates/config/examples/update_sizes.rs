//! Measures updates of a configuration at the target size: an incremental update after many changes, and a full update.

use std::time::Instant;

use kingcuplift_config::{Catalog, Submission, Subscription, VersionedDocument, encode_update};
use kingcuplift_core::{ServiceName, Version};
use kingcuplift_schema::Message;
use kingcuplift_schema::control::Update;
use serde_json::{Value, json};

/// Services of the configuration at the target size.
const SERVICES: u64 = 2_300;
/// Routes of the configuration at the target size.
const ROUTES: u64 = 10_000;
/// Changes that a receiver misses while it is disconnected.
const CHANGES: u64 = 500;
/// Step through the routes and services; coprime to their numbers, so that the changes are scattered over them.
const STRIDE: u64 = 7_919;

fn main() {
    let mut catalog = Catalog::default();
    submit(&mut catalog, 0, &full_configuration());
    for number in 1..=CHANGES {
        let route = number * STRIDE % ROUTES;
        let patch =
            json!({ "routes": { format!("route-{route}"): { "timeout_ms": 1_000 + number } } });
        submit(&mut catalog, number, &patch);
    }
    let services = (0..8).map(|n| format!("service-{}", n * STRIDE % SERVICES));
    let services: Vec<ServiceName> = services.filter_map(|name| name.parse().ok()).collect();
    report("8 services", catalog.current(), &Subscription::new(services));
    report("all services", catalog.current(), &Subscription::All);
}

fn report(name: &str, document: &VersionedDocument, subscription: &Subscription) {
    let start = Instant::now();
    let incremental = encoded_size(&document.update_since(Version::new(1), subscription, None));
    let incremental_us = start.elapsed().as_micros();
    let start = Instant::now();
    let full = encoded_size(&document.full_update(subscription));
    let full_us = start.elapsed().as_micros();
    println!(
        "{name}: update after {CHANGES} changes {incremental} B in {incremental_us} us, \
         full update {full} B in {full_us} us"
    );
}

fn encoded_size(update: &Update) -> usize {
    encode_update(update).encoded_len()
}

fn submit(catalog: &mut Catalog, number: u64, patch: &Value) {
    catalog.apply(&Submission {
        operation: number.to_string(),
        at_head: true,
        patch: patch.to_string(),
        ..Submission::default()
    });
}

fn full_configuration() -> Value {
    let service = json!({ "slots": 20, "connections": 120, "idempotent_methods": ["GET", "HEAD"] });
    let services: Value =
        (0..SERVICES).map(|n| (format!("service-{n}"), service.clone())).collect();
    let routes: Value = (0..ROUTES)
        .map(|n| {
            let route = json!({
                "host": format!("host-{}.example", n % SERVICES),
                "prefix": format!("/part-{}", n / SERVICES),
                "service": format!("service-{}", n % SERVICES),
                "priority": if n % 5 == 0 { "high" } else { "normal" },
                "timeout_ms": 2_000,
            });
            (format!("route-{n}"), route)
        })
        .collect();
    json!({
        "priorities": { "high": { "rank": 0 }, "normal": { "rank": 1 } },
        "services": services,
        "routes": routes,
    })
}
