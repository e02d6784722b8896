//! A site with one service, `desk`, for tests of single calls.

use std::time::{SystemTime, UNIX_EPOCH};

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

/// Returns whether a node is ready for calls.
pub fn is_node_ready(site: &PlaintextSite, node: &str) -> bool {
    request(&site.addresses(node).ready, "GET", "/readyz", "", "").status == 200
}

/// Starts a site with a node for each target, `node-1` and so on; `changes` replace fields of the targets' reports.
pub fn start_desk_nodes(targets: &[ScriptedTarget], changes: &Value) -> PlaintextSite {
    let addresses: Vec<_> = targets.iter().map(ScriptedTarget::address).collect();
    let site = PlaintextSite::start(3, &addresses);
    assert_eq!(put_revision(&site, 0, &desk_configuration(3)).status, 200);
    for (i, target) in targets.iter().enumerate() {
        let node = format!("node-{}", i + 1);
        assert_eq!(report_desk(&site, &node, target, changes).status, 200);
        site.wait("the first version", |site| is_node_ready(site, &node).then_some(()));
    }
    site
}

/// Starts a site with one target that serves calls.
pub fn start_desk_site(behavior: TargetBehavior) -> (PlaintextSite, ScriptedTarget) {
    let target = ScriptedTarget::start(behavior);
    let site = start_desk_nodes(std::slice::from_ref(&target), &json!({}));
    (site, target)
}

/// Returns the time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set");
    u64::try_from(elapsed.as_millis()).expect("the time fits")
}
