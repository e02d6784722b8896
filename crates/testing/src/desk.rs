//! A site with one service, `desk`, for tests of single calls.

use serde_json::{Value, json};

use crate::plaintext_site::{PlaintextSite, RawResponse, request};
use crate::scripted::{ScriptedTarget, TargetBehavior};

/// Returns a configuration with one service, `desk`, and routes for reads and for calls that must run once.
pub fn desk_configuration(number: u64) -> Value {
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

/// Submits a whole configuration on top of revision `after`.
pub fn put_revision(site: &PlaintextSite, after: u64, document: &Value) -> RawResponse {
    let headers = format!("if-match: {after}\r\n");
    site.operator_request("PUT", "/v1/revision", &headers, &document.to_string())
}

/// Reports a target of the desk to the node beside it; `changes` replace fields of the report.
pub fn report_desk(
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

/// Sends a call with 2.5 s until its deadline to a node.
pub fn call_desk(
    site: &PlaintextSite,
    node: &str,
    method: &str,
    path: &str,
    id: &str,
) -> RawResponse {
    let headers = format!("host: a.example\r\nx-call: {id}\r\nx-left: 2500\r\n");
    request(&site.addresses(node).callers, method, path, &headers, "")
}

/// Starts a site with one target that serves calls.
pub fn start_desk_site(behavior: TargetBehavior) -> (PlaintextSite, ScriptedTarget) {
    let target = ScriptedTarget::start(behavior);
    let site = PlaintextSite::start(3, &[target.address()]);
    assert_eq!(put_revision(&site, 0, &desk_configuration(3)).status, 201);
    assert_eq!(report_desk(&site, "node-1", &target, &json!({})).status, 200);
    site.wait("the first version", |site| {
        let ready = request(&site.addresses("node-1").ready, "GET", "/readyz", "", "");
        (ready.status == 200).then_some(())
    });
    (site, target)
}
