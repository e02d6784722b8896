//! End-to-end tests with real processes: configuration changes and calls, also while processes are killed or stopped.

use std::time::Duration;

use awc::http::Method;
use futures_util::future::{join, join_all};
use kingcuplift_testing::Site;
use serde_json::{Value, json};

/// Result code of a node whose configuration is not confirmed to be current.
const NODE_NOT_READY: u64 = 3010;

/// Patch with one service and a route to it.
fn first_patch() -> Value {
    json!({
        "services": { "lessons-desk": { "slots": 20, "idempotent_methods": ["GET"] } },
        "priorities": { "high": { "rank": 0 } },
        "routes": {
            "catalogue": {
                "host": "lessons.example", "prefix": "/", "service": "lessons-desk",
                "priority": "high", "timeout_ms": 5000,
            },
        },
    })
}

#[actix_rt::test]
async fn patch_reaches_nodes() {
    let site = Site::builder().start().await;
    let version = site.submit(0, &first_patch());
    assert_eq!(version, 1);
    for node in ["node-1", "node-2", "node-3"] {
        let reply = site.call(node, Method::GET, "/catalogue", node).await.expect("a response");
        assert_eq!(reply.status, 200, "{node}");
        assert_eq!(reply.body["call"], node);
    }
    let shown = site.command_json(&["show", "1", "--json"]);
    assert_eq!(shown["progress"]["in_force"], 3);
    assert_eq!(shown["progress"]["known"], 3);
}

#[actix_rt::test]
async fn config_changes_lose_no_calls() {
    let site = Site::builder().start().await;
    site.submit(0, &first_patch());
    for round in 0..5_u64 {
        let patch = json!({ "routes": { "catalogue": { "timeout_ms": 4000 + round } } });
        let path = site.write("round.json", &patch);
        let base = (round + 1).to_string();
        let calls = async {
            for number in 0..100 {
                let id = format!("{round}-{number}");
                let reply = site.call("node-1", Method::POST, "/bookings", &id).await;
                let reply = reply.expect("a response");
                assert_eq!((reply.status, reply.call_id), (200, id));
            }
        };
        let submitted = async { site.command(&["submit", &path, "--base", &base, "--wait"]) };
        let (_, output) = join(calls, submitted).await;
        assert!(output.status.success());
    }
}

#[actix_rt::test]
async fn leader_killed() {
    let mut site = Site::builder().start().await;
    site.submit(0, &first_patch());
    let leader = site.leader().await;
    site.kill(&leader);
    let patch = json!({ "zones": { "colombo-b": { "state": "in" } } });
    let path = site.write("zone.json", &patch);
    let arguments = ["submit", &path, "--base", "1", "--operation", "op-1", "--json", "--wait"];
    assert_eq!(site.command_json(&arguments)["version"], 2);
    site.start(&leader);
    let other = site.leader().await;
    site.wait_health(&leader, "catching up", |reply| reply.body["head"] == 2).await;
    site.kill(&other);
    assert_eq!(
        site.command_json(&arguments)["version"],
        2,
        "a resubmission gets the original outcome"
    );
    assert_eq!(site.command_json(&["versions", "--json"])["head"], 2);
}

#[actix_rt::test]
async fn second_submission_of_a_number_is_refused() {
    let site = Site::builder().relays(1).nodes(1).start().await;
    site.submit(0, &first_patch());
    let one = site.write("one.json", &json!({ "zones": { "colombo-a": { "state": "out" } } }));
    let two = site.write("two.json", &json!({ "zones": { "colombo-b": { "state": "out" } } }));
    let submit = |path: &str| site.command(&["submit", path, "--base", "1", "--number", "2"]);
    let codes = [submit(&one).status.code(), submit(&two).status.code()];
    assert_eq!(codes, [Some(0), Some(3)]);
    let zones = site.command_json(&["config"])["zones"].clone();
    assert_eq!(zones, json!({ "colombo-a": { "state": "out" } }));
}

#[actix_rt::test]
async fn restarted_node_waits_for_confirmed_config() {
    let mut site = Site::builder().relays(1).nodes(1).start().await;
    site.submit(0, &first_patch());
    for source in ["source-1", "source-2", "source-3"] {
        site.kill(source);
    }
    let reply = site.call("node-1", Method::GET, "/", "before").await.expect("a response");
    assert_eq!(reply.status, 200, "an outage of the source does not affect calls");
    site.kill("node-1");
    site.start("node-1");
    site.wait_health("node-1", "the link", |reply| reply.body["linked"] == true).await;
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let reply = site.call("node-1", Method::GET, "/", "during").await.expect("a response");
    assert_eq!(
        reply.body["code"], NODE_NOT_READY,
        "the relay can't confirm that its version is current"
    );
    for source in ["source-1", "source-2", "source-3"] {
        site.start(source);
    }
    site.wait_health("node-1", "a confirmed version", |reply| reply.body["version"] == 1).await;
}

#[actix_rt::test]
async fn zone_taken_out() {
    let mut site = Site::builder().start().await;
    site.submit(0, &first_patch());
    site.kill("relay-1");
    let output = site.command(&["zone", "out", "colombo-b", "--wait"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    for node in ["node-1", "node-2", "node-3"] {
        site.wait_health(node, "the new version", |reply| reply.body["version"] == 2).await;
    }
    let before = site.runs("target-2").await;
    for number in 0..50 {
        let node = ["node-1", "node-2", "node-3"][number % 3];
        let reply = site.call(node, Method::POST, "/", "zone").await.expect("a response");
        assert_eq!(reply.status, 200);
    }
    assert_eq!(site.runs("target-2").await, before, "no new calls in the zone");
}

#[actix_rt::test]
async fn stopped_target_loses_no_calls() {
    let mut site = Site::builder().target_flag("--service-ms").target_flag("20").start().await;
    site.submit(0, &first_patch());
    let callers = 4;
    let calls = (0..callers).map(|worker| {
        let site = &site;
        async move {
            let mut failed = 0;
            for number in 0..150 {
                let id = format!("{worker}-{number}");
                let reply = site.call("node-1", Method::POST, "/", &id).await;
                failed += u64::from(reply.is_none_or(|reply| reply.status != 200));
            }
            failed
        }
    });
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        site.terminate("target-2");
    };
    let (failed, _) = join(join_all(calls), stop).await;
    assert_eq!(failed.iter().sum::<u64>(), 0);
    site.wait_exited("target-2");
}
