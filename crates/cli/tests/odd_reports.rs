//! Reports of targets that another writer has spoiled: they name no target to use, and the others stay.

use std::time::Duration;

use kingcuplift_testing::{
    PlaintextSite, ScriptedTarget, TargetBehavior, call_desk, report_desk, request, start_desk_site,
};
use rstest::rstest;
use serde_json::json;

/// Levels of nesting, far beyond any real report.
const NESTING: usize = 100_000;

/// Sends a report as it is, under another name than that of the real target.
fn report(site: &PlaintextSite, body: &str) -> u16 {
    request(&site.addresses("node-1").admin, "PUT", "/v1/instances/i-odd", "", body).status
}

/// A report without a warm-up time ended the care for a cold target.
#[test]
fn incomplete_report_is_refused() {
    let (site, target) = start_desk_site(TargetBehavior::Respond(Duration::ZERO));
    let complete = json!({ "service": "desk", "address": target.address().to_string(), "zone": "a",
        "version": "v1", "slots": 4, "state": "ready", "warmup_ms": 0, "sequence": 2, "born": 1_000 });
    for field in ["service", "address", "version", "slots", "state", "warmup_ms", "sequence"] {
        let mut body = complete.clone();
        body.as_object_mut().expect("an object").remove(field);
        let admin = &site.addresses("node-1").admin;
        let response = request(admin, "PUT", "/v1/instances/i-1", "", &body.to_string());
        assert_eq!(response.status, 400, "without {field}");
    }
    check_target(&site, &target);
}

/// Checks that the node has not ended and that the real target is used and can still report.
fn check_target(site: &PlaintextSite, target: &ScriptedTarget) {
    for sequence in 10..13 {
        let changes = json!({ "sequence": sequence });
        assert_eq!(report_desk(site, "node-1", target, &changes).status, 200);
        let id = format!("c-{sequence}");
        assert_eq!(call_desk(site, "node-1", "GET", "/read/1", &id).status, 200, "call {id}");
    }
    let last = target.requests().pop().expect("the target was called");
    assert!(last.head.contains("x-instance: i-1\n"), "calls are meant for another: {}", last.head);
    let starts = site.log("node-1").matches("ProcessStarted").count();
    assert_eq!(starts, 1, "{}", site.log("node-1"));
    let log = site.log("node-1");
    assert!(!log.contains("panicked"), "{log}");
}

#[rstest]
#[case::warmup(json!({ "warmup_ms": 1e16 }))]
#[case::endless_warmup(json!({ "warmup_ms": 1.8e22 }))]
#[case::infinite_warmup(json!({ "warmup_ms": 1e300 }))]
#[case::sequence(json!({ "sequence": u64::MAX }))]
#[case::large_sequence(json!({ "sequence": 1e30 }))]
#[case::born(json!({ "born": u64::MAX }))]
#[case::born_in_time_to_come(json!({ "born": 9_000_000_000_000_000_u64 }))]
#[case::large_born(json!({ "born": 1e30 }))]
#[case::slots(json!({ "slots": u32::MAX }))]
#[case::large_slots(json!({ "slots": 1e12 }))]
#[case::port(json!({ "address": "127.0.0.1:99999" }))]
#[case::address(json!({ "address": "x".repeat(10_000) }))]
#[case::service(json!({ "service": "nobody" }))]
#[case::nested_field(json!({ "service": { "service": [{}] } }))]
fn odd_report_changes_nothing(#[case] changes: serde_json::Value) {
    let (site, target) = start_desk_site(TargetBehavior::Respond(Duration::ZERO));
    let mut body = json!({ "service": "desk", "address": target.address().to_string(), "zone": "a",
        "version": "v1", "slots": 4, "state": "ready", "warmup_ms": 0, "sequence": 1, "born": 2_000 });
    for (name, value) in changes.as_object().expect("an object") {
        body[name] = value.clone();
    }
    report(&site, &body.to_string());
    check_target(&site, &target);
}

#[rstest]
#[case::whole("", "")]
#[case::unknown_field(r#"{"service":"desk","info":"#, "}")]
#[case::service(r#"{"service":"#, r#","slots":4}"#)]
fn nested_report_changes_nothing(#[case] before: &str, #[case] after: &str) {
    let (site, target) = start_desk_site(TargetBehavior::Respond(Duration::ZERO));
    for (open, close) in [("[", "]"), (r#"{"a":"#, "}")] {
        let (open, close) = (open.repeat(NESTING), close.repeat(NESTING));
        let status = report(&site, &format!("{before}{open}1{close}{after}"));
        assert!((400..500).contains(&status), "status {status}");
    }
    check_target(&site, &target);
}
