//! Moves that are ordered before the leader knows any target of the service, with real processes.

use std::time::Duration;

use kingcuplift_testing::{
    PlaintextSite, ScriptedTarget, TargetBehavior, desk_configuration, is_node_ready, put_revision,
    report_desk, request,
};
use serde_json::json;

/// Time of an answer of the target.
const ANSWER_TIME: Duration = Duration::from_millis(15);

// A leader that had no reports yet refused a proper move with 404, which an operator may take as final.
#[test]
fn move_waits_for_reports() {
    let target = ScriptedTarget::start(TargetBehavior::Respond(ANSWER_TIME));
    let site = PlaintextSite::start(3, &[target.address()]);
    assert_eq!(put_revision(&site, 0, &desk_configuration(1)).status, 200);
    site.wait("the configuration", |site| is_node_ready(site, "node-1").then_some(()));
    let order = |service: &str| {
        let leader = site.operator_address(site.wait("a leader", PlaintextSite::leader));
        let body = json!({ "service": service, "to": "v2", "within_s": 8 }).to_string();
        request(&leader, "POST", "/v1/moves", "", &body)
    };
    let early = order("desk");
    assert_eq!(early.status, 503, "{early:?}");
    // A member without a leader answers 503 as well.
    assert!(String::from_utf8_lossy(&early.body).contains("no target"), "{early:?}");
    let unknown = order("other");
    assert_eq!(unknown.status, 404, "{unknown:?}");
    assert_eq!(report_desk(&site, "node-1", &target, &json!({})).status, 200);
    let later =
        site.wait("the report of the target", |_| Some(order("desk")).filter(|r| r.status != 503));
    assert_eq!(later.status, 200, "{later:?}");
}
