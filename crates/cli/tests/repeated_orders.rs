//! Orders that are sent again while their first entry is not committed yet, with real processes.

use std::time::Duration;

use kingcuplift_testing::{PlaintextSite, RawResponse, request};
use serde_json::json;

/// Time for which the other members stand still; a leader keeps its lease for longer.
const PAUSE: Duration = Duration::from_millis(200);
/// Time between the two requests of an order.
const REPEAT_DELAY: Duration = Duration::from_millis(50);
/// Number of orders; those during which a leader is lost show nothing.
const ORDERS: u64 = 8;

/// Returns the address of the leader, its term and the last index of its log.
fn position(site: &PlaintextSite) -> (String, u64, u64) {
    let leader = site.operator_address(site.wait("a leader", PlaintextSite::leader));
    let term = request(&leader, "GET", "/healthz", "", "").json()["term"].as_u64();
    let last = request(&leader, "GET", "/v1/members", "", "").json()["last"].as_u64();
    (leader, term.unwrap_or(0), last.unwrap_or(0))
}

/// A second entry was stored only after the first one, so that the operator gave up on the repetition as well.
#[test]
fn repetition_adds_no_entry() {
    let site = PlaintextSite::start(3, &[]);
    site.operator_request("GET", "/v1/revision", "", "");
    let mut shown = 0;
    let mut after = 0;
    for number in 1..=ORDERS {
        let (leader, term, last) = position(&site);
        let others: Vec<String> = (1..=3)
            .filter(|number| site.operator_address(*number) != leader)
            .map(|number| format!("core-{number}"))
            .collect();
        let body = json!({ "version": number, "services": {}, "routes": {} }).to_string();
        let headers = format!("if-match: {after}\r\n");
        let send = || request(&leader, "PUT", "/v1/revision", &headers, &body);
        others.iter().for_each(|name| site.signal(name, "-STOP"));
        let responses: Vec<RawResponse> = std::thread::scope(|scope| {
            let first = scope.spawn(send);
            std::thread::sleep(REPEAT_DELAY);
            let second = scope.spawn(send);
            std::thread::sleep(PAUSE);
            others.iter().for_each(|name| site.signal(name, "-CONT"));
            [first, second].map(|thread| thread.join().expect("a response")).into()
        });
        let (_, next_term, next_last) = position(&site);
        let all_accepted = responses.iter().all(|response| response.status == 200);
        if next_term == term && all_accepted {
            assert_eq!(next_last, last + 1, "order {number}");
            shown += 1;
        }
        let confirmed = site.operator_request("PUT", "/v1/revision", &headers, &body);
        assert!(matches!(confirmed.status, 200 | 201), "{confirmed:?}");
        after = number;
    }
    assert!(shown > 0, "the leader was lost during each order");
}
