//! Links between members that pass nothing any more, while new ones work.

use std::time::Duration;

use kingcuplift_testing::{PlaintextSite, Proxy, request};
use serde_json::json;

/// Source members.
const MEMBERS: usize = 3;
/// Time in which a member must notice that its links are silent, and have others.
const NOTICE: Duration = Duration::from_secs(5);

/// Returns whether a member answers a read, or knows who does.
fn knows_leader(site: &PlaintextSite, number: usize) -> bool {
    let answer = request(&site.operator_address(number), "GET", "/v1/revision", "", "");
    matches!(answer.status, 200 | 307)
}

/// Found by the soak, seed 105: a member whose links had gone silent heard of no leader for good.
#[test]
fn silenced_member_returns() {
    let site = PlaintextSite::start_proxied(MEMBERS, &[]);
    let fronts = site.proxied_addresses().to_vec();
    let proxies: Vec<(String, Proxy)> = fronts
        .iter()
        .map(|front| (front.process.clone(), Proxy::start(&front.advertised, &front.listen)))
        .collect();
    let document = json!({ "version": 1, "services": {}, "routes": {}, "limits": {} });
    let answer =
        site.operator_request("PUT", "/v1/revision", "if-match: 0\r\n", &document.to_string());
    assert!(matches!(answer.status, 200 | 201), "{answer:?}");
    for number in 1..=MEMBERS {
        let name = format!("core-{number}");
        proxies
            .iter()
            .filter(|(held, _)| *held == name)
            .for_each(|(_, proxy)| proxy.stall_connections());
        std::thread::sleep(NOTICE);
        assert!(knows_leader(&site, number), "{name} knows of a leader again: {}", site.logs());
    }
    proxies.iter().for_each(|(_, proxy)| proxy.stop());
}
