//! Calls through a site that formed itself from seeds, against targets whose answers are scripted.

use std::time::{Duration, Instant};

use kingcuplift_testing::{
    PlaintextSite, RawResponse, ScriptedTarget, TargetBehavior, request, send_request,
};
use serde_json::{Value, json};

/// Time within which a target must be rid of a call whose caller has left.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);

/// Time after which nothing may reach a target that has said that it leaves.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

fn whole(number: u64) -> Value {
    json!({
        "version": number,
        "services": { "desk": { "health": "/health", "connections": 20, "protocol": "h1", "tls": false } },
        "routes": {
            "reads": { "host": "a.example", "prefix": "/read/", "semantics": "idempotent",
                "timeout_ms": 3_000, "objective_ms": 500, "rank": 2, "attempts": 2, "service": "desk" },
            "books": { "host": "a.example", "prefix": "/book/", "semantics": "at_most_once",
                "timeout_ms": 3_000, "objective_ms": 500, "rank": 1, "attempts": 2, "service": "desk" },
        },
        "limits": { "header_bytes": 16_384, "body_bytes": 1_000_000, "idle_ms": 15_000 },
    })
}

fn put(site: &PlaintextSite, after: u64, document: &Value) -> RawResponse {
    let headers = format!("if-match: {after}\r\n");
    site.operator_request("PUT", "/v1/revision", &headers, &document.to_string())
}

fn report(
    site: &PlaintextSite,
    node: &str,
    target: &ScriptedTarget,
    changes: &Value,
) -> RawResponse {
    let mut body = json!({ "service": "desk", "address": target.address().to_string(), "zone": "a",
        "version": "v1", "slots": 4, "state": "ready", "warmup_ms": 0, "sequence": 1, "born": 1_000 });
    for (name, value) in changes.as_object().expect("an object") {
        body[name] = value.clone();
    }
    request(&site.addresses(node).admin, "PUT", "/v1/instances/i-1", "", &body.to_string())
}

fn call(site: &PlaintextSite, node: &str, method: &str, path: &str, id: &str) -> RawResponse {
    let headers = format!("host: a.example\r\nx-call: {id}\r\nx-left: 2500\r\n");
    request(&site.addresses(node).callers, method, path, &headers, "")
}

/// Starts a site in which one target takes calls.
fn serving(script: TargetBehavior) -> (PlaintextSite, ScriptedTarget) {
    let target = ScriptedTarget::start(script);
    let site = PlaintextSite::start(3, &[target.address()]);
    assert_eq!(put(&site, 0, &whole(3)).status, 201);
    assert_eq!(report(&site, "node-1", &target, &json!({})).status, 200);
    site.wait("the first version", |site| {
        let ready = request(&site.addresses("node-1").ready, "GET", "/readyz", "", "");
        (ready.status == 200).then_some(())
    });
    (site, target)
}

#[test]
fn seeds_form_and_serve() {
    let target = ScriptedTarget::start(TargetBehavior::Respond(Duration::ZERO));
    let site = PlaintextSite::start(3, &[target.address()]);
    site.wait("an answer without configuration", |site| {
        let answer = call(site, "node-1", "GET", "/read/1", "early");
        (answer.status == 503).then_some(())
    });
    assert_eq!(put(&site, 0, &whole(3)).status, 201);
    report(&site, "node-1", &target, &json!({}));
    let answer = site.wait("an answer", |site| {
        let answer = call(site, "node-1", "GET", "/read/1?x=y", "c-1");
        (answer.status == 200).then_some(answer)
    });
    assert_eq!((answer.header("x-call"), answer.header("x-seal")), (Some("c-1"), Some("s")));
    assert_eq!(answer.body, b"body");
    let seen = target.requests();
    let head = &seen[seen.len() - 1].head;
    assert!(head.starts_with("get /read/1?x=y http/1.1"), "{head}");
    assert!(head.contains("x-caller: desk\n") && head.contains("x-instance: i-1\n"), "{head}");
    assert_eq!(call(&site, "node-1", "GET", "/nowhere/", "c-2").status, 404);
    let read = site.operator_request("GET", "/v1/revision", "", "");
    assert_eq!(read.json(), whole(3));
}

#[test]
fn caller_leaves() {
    let (site, target) = serving(TargetBehavior::Hang);
    let headers = "host: a.example\r\nx-call: gone\r\nx-left: 2500\r\n";
    let stream = send_request(&site.addresses("node-1").callers, "GET", "/read/1", headers, "");
    site.wait("the call at the target", |_| (!target.requests().is_empty()).then_some(()));
    drop(stream);
    let left_at = Instant::now();
    let closed_at = site.wait("the end of the call", |_| target.requests()[0].closed_at);
    let after = closed_at.saturating_duration_since(left_at);
    assert!(after < CANCEL_LIMIT, "{after:?} after the caller had left");
}

#[test]
fn damaged_answers_are_not_passed_on() {
    let (site, target) = serving(TargetBehavior::WrongCallId);
    assert_eq!(
        call(&site, "node-1", "POST", "/book/1", "c-1").status,
        502,
        "another call's answer"
    );
    target.set_behavior(TargetBehavior::NoSeal);
    assert_eq!(call(&site, "node-1", "POST", "/book/1", "c-2").status, 502, "no seal");
    assert_eq!(target.requests().len(), 2, "neither is sent again");
}

#[test]
fn broken_call_runs_once() {
    let (site, target) = serving(TargetBehavior::Disconnect);
    let answer = call(&site, "node-1", "POST", "/book/1", "c-1");
    assert_eq!((answer.status, answer.json()["run"].as_str()), (502, Some("unknown")));
    assert_eq!(target.requests().len(), 1);
}

#[test]
fn shed_call_has_not_run() {
    let (site, _target) = serving(TargetBehavior::Shed);
    let answer = call(&site, "node-1", "POST", "/book/1", "c-1");
    assert_eq!((answer.status, answer.json()["run"].as_str()), (503, Some("not_run")));
    assert!(answer.header("retry-after").is_some());
}

#[test]
fn leaving_target_gets_nothing() {
    let (site, target) = serving(TargetBehavior::Respond(Duration::ZERO));
    assert_eq!(call(&site, "node-1", "GET", "/read/1", "c-1").status, 200);
    report(&site, "node-1", &target, &json!({ "state": "leaving", "sequence": 2 }));
    assert_eq!(call(&site, "node-1", "GET", "/read/1", "c-2").status, 503);
    report(&site, "node-1", &target, &json!({ "sequence": 1 }));
    assert_eq!(call(&site, "node-1", "GET", "/read/1", "c-3").status, 503, "a late report");
    let earlier = json!({ "sequence": 9, "born": 900 });
    report(&site, "node-1", &target, &earlier);
    assert_eq!(call(&site, "node-1", "GET", "/read/1", "c-4").status, 503, "an earlier life");
    assert_eq!(target.requests().len(), 1);
    report(&site, "node-1", &target, &json!({ "sequence": 0, "born": 2_000 }));
    assert_eq!(call(&site, "node-1", "GET", "/read/1", "c-5").status, 200, "a new life");
}

#[test]
fn leaving_target_keeps_nobody_waiting() {
    let (site, target) = serving(TargetBehavior::Hang);
    let callers = site.addresses("node-1").callers.clone();
    let headers = "host: a.example\r\nx-call: held\r\nx-left: 10000\r\n";
    let held: Vec<_> =
        (0..4).map(|_| send_request(&callers, "GET", "/read/1", headers, "")).collect();
    site.wait("all slots in use", |_| (target.requests().len() == held.len()).then_some(()));
    let waiting = std::thread::spawn(move || request(&callers, "GET", "/read/2", headers, ""));
    std::thread::sleep(Duration::from_millis(200));
    let began = Instant::now();
    report(&site, "node-1", &target, &json!({ "state": "leaving", "sequence": 2 }));
    let answer = waiting.join().expect("the call ends");
    let after = began.elapsed();
    assert_eq!((answer.status, answer.json()["run"].as_str()), (503, Some("not_run")));
    assert!(after < DRAIN_LIMIT, "{after:?} after the word that the target leaves");
    assert_eq!(target.requests().len(), held.len(), "the target saw only what it had before");
}

#[test]
fn odd_reports_name_no_target() {
    let (site, target) = serving(TargetBehavior::Respond(Duration::ZERO));
    for changes in [
        json!({ "state": "odd", "sequence": 5 }),
        json!({ "slots": "many", "sequence": 5 }),
        json!({ "address": null, "sequence": 5 }),
    ] {
        assert_eq!(report(&site, "node-1", &target, &changes).status, 400, "{changes}");
    }
    assert_eq!(call(&site, "node-1", "GET", "/read/1", "c-1").status, 200, "the others hold");
}

#[test]
fn stop_cuts_nothing() {
    let (mut site, target) = serving(TargetBehavior::Respond(Duration::from_millis(400)));
    let callers = site.addresses("node-1").callers.clone();
    let headers = "host: a.example\r\nx-call: slow\r\nx-left: 1500\r\n";
    let worker = std::thread::spawn(move || request(&callers, "GET", "/read/1", headers, ""));
    site.wait("the call at the target", |_| (!target.requests().is_empty()).then_some(()));
    site.signal("node-1", "-TERM");
    site.wait("the word that it stops", |site| {
        let ready = request(&site.addresses("node-1").ready, "GET", "/readyz", "", "");
        (ready.status == 503).then_some(())
    });
    assert_eq!(worker.join().expect("the call ends").status, 200);
    assert!(site.wait_exited("node-1"));
}

#[test]
fn reload_ends_nothing() {
    let (site, _target) = serving(TargetBehavior::Respond(Duration::ZERO));
    for name in ["node-1", "core-1"] {
        site.signal(name, "-HUP");
    }
    assert_eq!(call(&site, "node-1", "GET", "/read/1", "c-1").status, 200);
}

/// Returns the members with a vote, by number and operators' interface.
fn voters(site: &PlaintextSite) -> Vec<(u64, String)> {
    let answer = site.operator_request("GET", "/v1/members", "", "");
    let members = answer.json()["members"].as_array().cloned().unwrap_or_default();
    let voters = members.iter().filter(|member| member["vote"] == true);
    voters.filter_map(|m| Some((m["id"].as_u64()?, m["http"].as_str()?.to_owned()))).collect()
}

/// Returns the number of the member with a vote at an address; none if two have one.
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
    assert_eq!(put(&site, 0, &whole(3)).status, 201);
    let before = voter_at(&site, &site.operator_address(1)).expect("the member has a vote");
    site.kill("core-1");
    site.wipe(1);
    site.start_process("core-1");
    site.wait("the new member's vote", |site| {
        let now = voter_at(site, &site.operator_address(1));
        (now.is_some() && now != Some(before) && voters(site).len() == 3).then_some(())
    });
    site.kill("core-2");
    assert_eq!(put(&site, 3, &whole(4)).status, 201, "the new member's vote counts");
    assert_eq!(site.operator_request("GET", "/v1/revision", "", "").json(), whole(4));
}
