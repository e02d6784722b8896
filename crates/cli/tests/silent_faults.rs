//! Frozen processes whose connections stay open, and control-plane processes that fail together.

use awc::http::Method;
use kingcuplift_testing::Site;
use serde_json::{Value, json};

/// Patch with one service and a route to it.
fn first_patch() -> Value {
    json!({
        "services": { "lessons-desk": { "slots": 20 } },
        "routes": {
            "catalogue": { "host": "lessons.example", "prefix": "/", "service": "lessons-desk" },
        },
    })
}

fn zone_patch(state: &str) -> Value {
    json!({ "zones": { "colombo-z": { "state": state } } })
}

/// Submits a patch without waiting until it is in force.
fn submit(site: &Site, base: u64, patch: &Value) -> Value {
    let path = site.write("patch.json", patch);
    site.command_json(&["submit", &path, "--base", &base.to_string(), "--json"])["version"].clone()
}

async fn wait_version(site: &Site, nodes: &[&str], version: u64) {
    for node in nodes {
        site.wait_health(node, "the version", |reply| reply.body["version"] == version).await;
    }
}

#[actix_rt::test]
async fn relay_frozen() {
    let site = Site::builder().nodes(2).start().await;
    site.submit(0, &first_patch());
    site.pause("relay-1");
    assert_eq!(submit(&site, 1, &zone_patch("out")), 2);
    wait_version(&site, &["node-1", "node-2"], 2).await;
    assert_eq!(submit(&site, 2, &zone_patch("in")), 3);
    wait_version(&site, &["node-1", "node-2"], 3).await;
    site.resume("relay-1");
    site.wait_health("relay-1", "catching up", |reply| reply.body["head"] == 3).await;
    for node in ["node-1", "node-2"] {
        let health = site.health(node).await.expect("the node answers");
        assert_eq!(
            health.body["version"], 3,
            "a resumed relay reverts no node to an older version"
        );
    }
}

#[actix_rt::test]
async fn all_relays_killed() {
    let mut site = Site::builder().nodes(2).start().await;
    site.submit(0, &first_patch());
    for relay in ["relay-1", "relay-2"] {
        site.kill(relay);
    }
    assert_eq!(submit(&site, 1, &zone_patch("out")), 2);
    for number in 0..20 {
        let id = number.to_string();
        let reply = site.call("node-1", Method::POST, "/", &id).await.expect("a response");
        assert_eq!(reply.status, 200, "calls continue without relays");
    }
    for relay in ["relay-1", "relay-2"] {
        site.start(relay);
    }
    wait_version(&site, &["node-1", "node-2"], 2).await;
    for node in ["node-1", "node-2"] {
        let health = site.health(node).await.expect("the node answers");
        assert_eq!(health.body["targets"], 2, "no target is lost");
    }
}

#[actix_rt::test]
async fn leader_frozen() {
    let site = Site::builder().relays(1).nodes(1).start().await;
    site.submit(0, &first_patch());
    let leader = site.leader().await;
    site.pause(&leader);
    let others: Vec<String> = ["source-1", "source-2", "source-3"]
        .into_iter()
        .filter(|name| *name != leader)
        .map(|name| site.http(name).to_owned())
        .collect();
    let path = site.write("patch.json", &zone_patch("out"));
    let output = site.command_at(&others, &["submit", &path, "--base", "1", "--wait"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    site.resume(&leader);
    let old = [site.http(&leader).to_owned()];
    for _ in 0..20 {
        let output = site.command_at(&old, &["--patience", "0", "versions", "--json"]);
        let document: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        let head = document["head"].as_u64();
        assert!(matches!(head, None | Some(2)), "the deposed leader reads {head:?}");
    }
    site.wait_health(&leader, "catching up", |reply| reply.body["head"] == 2).await;
}

#[actix_rt::test]
async fn leader_stopped_gracefully() {
    let mut site = Site::builder().relays(1).nodes(1).start().await;
    site.submit(0, &first_patch());
    let leader = site.leader().await;
    site.terminate(&leader);
    assert_eq!(submit(&site, 1, &zone_patch("out")), 2);
    site.wait_exited(&leader);
    assert_ne!(site.leader().await, leader);
    assert_eq!(site.submit(2, &zone_patch("in")), 3);
}

#[actix_rt::test]
async fn node_frozen() {
    let site = Site::builder().nodes(2).start().await;
    site.submit(0, &first_patch());
    site.pause("node-2");
    assert_eq!(submit(&site, 1, &zone_patch("out")), 2);
    wait_version(&site, &["node-1"], 2).await;
    site.resume("node-2");
    wait_version(&site, &["node-2"], 2).await;
    let reply = site.call("node-2", Method::POST, "/", "x").await.expect("a response");
    assert_eq!(reply.status, 200);
}
