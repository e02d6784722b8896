//! Calls through a site whose source group forms from seeds, to targets with scripted responses.

use std::time::{Duration, Instant};

use kingcuplift_testing::{
    PlaintextSite, ScriptedTarget, TargetBehavior, call_desk, desk_configuration, put_revision,
    report_desk, request, send_request, start_desk_site,
};
use serde_json::json;

/// Time within which a call must be cancelled at the target after its caller has disconnected.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);

/// Time within which a queued call must be answered after its only target has begun to drain.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

#[test]
fn site_forms_from_seeds_and_serves() {
    let target = ScriptedTarget::start(TargetBehavior::Respond(Duration::ZERO));
    let site = PlaintextSite::start(3, &[target.address()]);
    site.wait("a response without configuration", |site| {
        let response = call_desk(site, "node-1", "GET", "/read/1", "early");
        (response.status == 503).then_some(())
    });
    assert_eq!(put_revision(&site, 0, &desk_configuration(3)).status, 200);
    report_desk(&site, "node-1", &target, &json!({}));
    let response = site.wait("a response", |site| {
        let response = call_desk(site, "node-1", "GET", "/read/1?x=y", "c-1");
        (response.status == 200).then_some(response)
    });
    assert_eq!((response.header("x-call"), response.header("x-seal")), (Some("c-1"), Some("s")));
    assert_eq!(response.body, b"body");
    let seen = target.requests();
    let head = &seen[seen.len() - 1].head;
    assert!(head.starts_with("get /read/1?x=y http/1.1"), "{head}");
    assert!(head.contains("x-caller: desk\n") && head.contains("x-instance: i-1\n"), "{head}");
    assert_eq!(call_desk(&site, "node-1", "GET", "/nowhere/", "c-2").status, 404);
    let read = site.operator_request("GET", "/v1/revision", "", "");
    assert_eq!(read.json(), desk_configuration(3));
}

#[test]
fn caller_leaves() {
    let (site, target) = start_desk_site(TargetBehavior::Hang);
    let headers = "host: a.example\r\nx-call: gone\r\nx-left: 2500\r\n";
    let stream = send_request(&site.addresses("node-1").callers, "GET", "/read/1", headers, "");
    site.wait("the call at the target", |_| (!target.requests().is_empty()).then_some(()));
    drop(stream);
    let disconnected_at = Instant::now();
    let closed_at = site.wait("the end of the call", |_| target.requests()[0].closed_at);
    let elapsed = closed_at.saturating_duration_since(disconnected_at);
    assert!(elapsed < CANCEL_LIMIT, "cancelled {elapsed:?} after the caller had disconnected");
}

#[test]
fn invalid_responses_are_not_forwarded() {
    let (site, target) = start_desk_site(TargetBehavior::WrongCallId);
    assert_eq!(
        call_desk(&site, "node-1", "POST", "/book/1", "c-1").status,
        502,
        "the response of another call"
    );
    target.set_behavior(TargetBehavior::NoSeal);
    assert_eq!(call_desk(&site, "node-1", "POST", "/book/1", "c-2").status, 502, "no seal");
    assert_eq!(target.requests().len(), 2, "neither call is retried");
}

#[test]
fn interrupted_call_is_not_retried() {
    let (site, target) = start_desk_site(TargetBehavior::Disconnect);
    let response = call_desk(&site, "node-1", "POST", "/book/1", "c-1");
    assert_eq!((response.status, response.json()["run"].as_str()), (502, Some("unknown")));
    assert_eq!(target.requests().len(), 1);
}

#[test]
fn shed_call_is_reported_as_not_run() {
    let (site, _target) = start_desk_site(TargetBehavior::Shed);
    let response = call_desk(&site, "node-1", "POST", "/book/1", "c-1");
    assert_eq!((response.status, response.json()["run"].as_str()), (503, Some("not_run")));
    assert!(response.header("retry-after").is_some());
}

#[test]
fn draining_target_gets_no_calls() {
    let (site, target) = start_desk_site(TargetBehavior::Respond(Duration::ZERO));
    assert_eq!(call_desk(&site, "node-1", "GET", "/read/1", "c-1").status, 200);
    report_desk(&site, "node-1", &target, &json!({ "state": "leaving", "sequence": 2 }));
    assert_eq!(call_desk(&site, "node-1", "GET", "/read/1", "c-2").status, 503);
    report_desk(&site, "node-1", &target, &json!({ "sequence": 1 }));
    assert_eq!(
        call_desk(&site, "node-1", "GET", "/read/1", "c-3").status,
        503,
        "an outdated report is ignored"
    );
    let earlier = json!({ "sequence": 9, "born": 900 });
    report_desk(&site, "node-1", &target, &earlier);
    assert_eq!(
        call_desk(&site, "node-1", "GET", "/read/1", "c-4").status,
        503,
        "a report from before a restart is ignored"
    );
    assert_eq!(target.requests().len(), 1);
    report_desk(&site, "node-1", &target, &json!({ "sequence": 0, "born": 2_000 }));
    assert_eq!(
        call_desk(&site, "node-1", "GET", "/read/1", "c-5").status,
        200,
        "a restarted target gets calls"
    );
}

#[test]
fn draining_target_releases_queued_calls() {
    let (site, target) = start_desk_site(TargetBehavior::Hang);
    let callers = site.addresses("node-1").callers.clone();
    let headers = "host: a.example\r\nx-call: held\r\nx-left: 10000\r\n";
    let in_flight: Vec<_> =
        (0..4).map(|_| send_request(&callers, "GET", "/read/1", headers, "")).collect();
    site.wait("all slots in use", |_| (target.requests().len() == in_flight.len()).then_some(()));
    let queued = std::thread::spawn(move || request(&callers, "GET", "/read/2", headers, ""));
    std::thread::sleep(Duration::from_millis(200));
    let draining_since = Instant::now();
    report_desk(&site, "node-1", &target, &json!({ "state": "leaving", "sequence": 2 }));
    let response = queued.join().expect("the call ends");
    let elapsed = draining_since.elapsed();
    assert_eq!((response.status, response.json()["run"].as_str()), (503, Some("not_run")));
    assert!(elapsed < DRAIN_LIMIT, "answered {elapsed:?} after the target began to drain");
    assert_eq!(target.requests().len(), in_flight.len(), "no other call reached the target");
}

#[test]
fn malformed_reports_are_rejected() {
    let (site, target) = start_desk_site(TargetBehavior::Respond(Duration::ZERO));
    for changes in [
        json!({ "state": "odd", "sequence": 5 }),
        json!({ "slots": "many", "sequence": 5 }),
        json!({ "address": null, "sequence": 5 }),
    ] {
        assert_eq!(report_desk(&site, "node-1", &target, &changes).status, 400, "{changes}");
    }
    assert_eq!(
        call_desk(&site, "node-1", "GET", "/read/1", "c-1").status,
        200,
        "the earlier report stays valid"
    );
}

#[test]
fn stopping_node_completes_calls() {
    let (mut site, target) = start_desk_site(TargetBehavior::Respond(Duration::from_millis(400)));
    let callers = site.addresses("node-1").callers.clone();
    let headers = "host: a.example\r\nx-call: slow\r\nx-left: 1500\r\n";
    let worker = std::thread::spawn(move || request(&callers, "GET", "/read/1", headers, ""));
    site.wait("the call at the target", |_| (!target.requests().is_empty()).then_some(()));
    site.signal("node-1", "-TERM");
    site.wait("a failing readiness check", |site| {
        let ready = request(&site.addresses("node-1").ready, "GET", "/readyz", "", "");
        (ready.status == 503).then_some(())
    });
    assert_eq!(worker.join().expect("the call ends").status, 200);
    assert!(site.wait_exited("node-1"));
}

#[test]
fn reload_keeps_processes_running() {
    let (site, _target) = start_desk_site(TargetBehavior::Respond(Duration::ZERO));
    for name in ["node-1", "core-1"] {
        site.signal(name, "-HUP");
    }
    assert_eq!(call_desk(&site, "node-1", "GET", "/read/1", "c-1").status, 200);
}

/// Returns the ids and operator API addresses of all voters.
fn voters(site: &PlaintextSite) -> Vec<(u64, String)> {
    let response = site.operator_request("GET", "/v1/members", "", "");
    let members = response.json()["members"].as_array().cloned().unwrap_or_default();
    let voters = members.iter().filter(|member| member["vote"] == true);
    voters.filter_map(|m| Some((m["id"].as_u64()?, m["http"].as_str()?.to_owned()))).collect()
}

/// Returns the id of the voter at an address, or `None` if there is not exactly one.
fn voter_at(site: &PlaintextSite, http: &str) -> Option<u64> {
    let found: Vec<u64> =
        voters(site).into_iter().filter(|(_, at)| at == http).map(|(id, _)| id).collect();
    match found.as_slice() {
        [id] => Some(*id),
        _ => None,
    }
}

#[test]
fn emptied_member_is_replaced() {
    let mut site = PlaintextSite::start(3, &[]);
    assert_eq!(put_revision(&site, 0, &desk_configuration(3)).status, 200);
    let before = voter_at(&site, &site.operator_address(1)).expect("the member has a vote");
    site.kill("core-1");
    site.wipe("core-1");
    site.start_process("core-1");
    site.wait("the new member's vote", |site| {
        let now = voter_at(site, &site.operator_address(1));
        (now.is_some() && now != Some(before) && voters(site).len() == 3).then_some(())
    });
    site.kill("core-2");
    assert_eq!(
        put_revision(&site, 3, &desk_configuration(4)).status,
        200,
        "the new member's vote counts"
    );
    assert_eq!(site.operator_request("GET", "/v1/revision", "", "").json(), desk_configuration(4));
}
