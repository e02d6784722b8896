//! Connections between members that stop passing data without being closed, while new connections work.

use std::time::Duration;

use kingcuplift_testing::{PlaintextSite, Proxy, request};
use serde_json::json;

/// Number of source members.
const MEMBERS: usize = 3;
/// Time within which a member must detect silent links and replace them.
const RECONNECT_LIMIT: Duration = Duration::from_secs(5);

/// Returns whether a member answers a read or redirects it to the leader.
fn knows_leader(site: &PlaintextSite, number: usize) -> bool {
    let response = request(&site.operator_address(number), "GET", "/v1/revision", "", "");
    matches!(response.status, 200 | 307)
}

/// Guards against a fault that the soak test found with seed 105: a member whose links had gone silent never learned of
/// a leader again.
#[test]
fn member_recovers_from_silent_links() {
    let site = PlaintextSite::start_proxied(MEMBERS, &[]);
    let addresses = site.proxied_addresses().to_vec();
    let proxies: Vec<(String, Proxy)> = addresses
        .iter()
        .map(|address| {
            (address.process.clone(), Proxy::start(&address.advertised, &address.listen))
        })
        .collect();
    let document = json!({ "version": 1, "services": {}, "routes": {}, "limits": {} });
    let response =
        site.operator_request("PUT", "/v1/revision", "if-match: 0\r\n", &document.to_string());
    assert!(matches!(response.status, 200 | 201), "{response:?}");
    for number in 1..=MEMBERS {
        let name = format!("core-{number}");
        proxies
            .iter()
            .filter(|(process, _)| *process == name)
            .for_each(|(_, proxy)| proxy.stall_connections());
        std::thread::sleep(RECONNECT_LIMIT);
        assert!(knows_leader(&site, number), "{name} knows the leader again: {}", site.logs());
    }
    proxies.iter().for_each(|(_, proxy)| proxy.stop());
}
