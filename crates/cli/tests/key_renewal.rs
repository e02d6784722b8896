//! Renewal of certificates without a restart, and refusal of peers whose certificate lacks the role.

use kingcuplift_testing::Site;
use serde_json::json;

/// Number of the event `KeysRenewed`.
const KEYS_RENEWED: u16 = 205;
/// Number of the event `LinkRefused`.
const LINK_REFUSED: u16 = 203;
/// Number of the event `KeysRefused`.
const KEYS_REFUSED: u16 = 206;

#[actix_rt::test]
async fn renewed_certificate_is_used() {
    let mut site = Site::builder().relays(1).nodes(1).start().await;
    site.submit(0, &json!({ "services": { "lessons-desk": {} } }));
    site.reissue("node-1", "relay");
    site.wait_event("node-1", KEYS_RENEWED).await;
    let health = site.health("node-1").await.expect("the node answers");
    assert_eq!(health.body["linked"], true, "the open link is kept");
    site.kill("relay-1");
    site.start("relay-1");
    site.wait_event("relay-1", LINK_REFUSED).await;
    let health = site.health("node-1").await.expect("the node answers");
    assert_eq!(health.body["linked"], false, "the relay refuses a peer without the role");
    site.reissue("node-1", "node");
    site.wait_health("node-1", "a link with the right role", |reply| reply.body["linked"] == true)
        .await;
    site.wait_health("relay-1", "the node", |reply| reply.body["nodes"] == 1).await;
}

#[actix_rt::test]
async fn invalid_certificate_is_ignored() {
    let site = Site::builder().relays(1).nodes(1).start().await;
    site.submit(0, &json!({ "services": { "lessons-desk": {} } }));
    site.write("keys/node-1.pem", &json!("no certificate"));
    site.wait_event("node-1", KEYS_REFUSED).await;
    let health = site.health("node-1").await.expect("the node answers");
    assert_eq!(health.body["linked"], true);
}
