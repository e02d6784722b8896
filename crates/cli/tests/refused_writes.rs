//! Source members whose disks refuse writes for a while, with real processes.

use std::time::Duration;

use kingcuplift_testing::{
    LeaderFault, LeaderFaultOptions, Operator, Order, OrderKind, PlaintextSite, RawResponse,
    request, run_leader_faults,
};
use rstest::rstest;
use serde_json::{Value, json};

/// Time for which a disk refuses writes.
const REFUSAL_TIME: Duration = Duration::from_secs(3);
/// Time within which each order must be confirmed while most members run.
const ORDER_LIMIT: Duration = Duration::from_secs(4);
/// Number of submissions without an id that are interrupted.
const INTERRUPTED_SUBMISSIONS: usize = 6;
/// Time until such a submission has been appended to the leader's log.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(60);
/// Seed of the operators' choices.
const SEED: u64 = 37;

/// Submits a version, sending the same operation again until it is accepted, and returns its number.
fn submit(site: &PlaintextSite, base: u64) -> Value {
    let patch = json!({ "services": { "desk": { "slots": base + 1 } } });
    let body = json!({ "base": base, "patch": patch }).to_string();
    let operation = format!("idempotency-key: slots-{base}\r\n");
    let response = site.operator_request("POST", "/v1/versions", &operation, &body);
    response.json()["version"].clone()
}

/// Each member that failed a write stayed out of the group for good, so that the third one took the majority along.
#[test]
fn full_disks_in_turn() {
    let site = PlaintextSite::start(3, &[]);
    for base in [0, 2, 4] {
        assert_eq!(submit(&site, base), base + 1);
        let leader = site.wait("a leader", PlaintextSite::leader);
        let name = format!("core-{leader}");
        site.refuse_writes(&name, true);
        assert_eq!(submit(&site, base + 1), base + 2, "the other members accept the version");
        std::thread::sleep(REFUSAL_TIME);
        site.refuse_writes(&name, false);
        site.wait("the recovery of the folder", |site| {
            site.log(&name).contains("StorageRecovered").then_some(())
        });
    }
    assert_eq!(submit(&site, 6), 7);
    let stored = site.operator_request("GET", "/v1/config", "", "").json();
    assert_eq!(stored["services"]["desk"]["slots"], 7);
}

/// A member whose disk refuses writes turned operators away although the others had a leader.
#[test]
fn failed_leader_redirects() {
    let site = PlaintextSite::start(3, &[]);
    assert_eq!(submit(&site, 0), 1);
    let leader = site.wait("a leader", PlaintextSite::leader);
    site.refuse_writes(&format!("core-{leader}"), true);
    let mut operator = Operator::new(vec![site.operator_address(leader)], SEED);
    for base in 1..4 {
        let patch = json!({ "services": { "desk": { "slots": base + 1 } } });
        let report = operator.send(&Order {
            method: "POST",
            path: "/v1/versions".to_owned(),
            headers: format!("idempotency-key: redirected-{base}\r\n"),
            body: json!({ "base": base, "patch": patch }).to_string(),
        });
        assert!(report.is_confirmed() && report.duration < ORDER_LIMIT, "{report}");
    }
}

/// Submits a version without an operation id to a member.
fn submit_without_id(address: &str, base: u64) -> RawResponse {
    let patch = json!({ "services": { "desk": { "slots": base + 9 } } });
    let body = json!({ "base": base, "patch": patch }).to_string();
    request(address, "POST", "/v1/versions", "", &body)
}

/// A leader whose disk fails interrupted the submission, although the other members could store it.
#[test]
fn submission_without_id_is_confirmed() {
    let site = PlaintextSite::start(3, &[]);
    assert_eq!(submit(&site, 0), 1);
    let leader = site.wait("a leader", PlaintextSite::leader);
    site.refuse_writes(&format!("core-{leader}"), true);
    let response = submit_without_id(&site.operator_address(leader), 1);
    assert_eq!((response.status, response.json()["version"].clone()), (201, json!(2)));
}

/// Without an id of its own, a submission that is sent again is another one; a redirect would lead to a conflict with itself.
///
/// The leader loses the lead while the submission is in flight, and knows the next leader soon after. Whether that is in time for a
/// redirect depends on the election, so there are several tries.
#[test]
fn submission_without_id_is_not_redirected() {
    let mut site = PlaintextSite::start(3, &[]);
    assert_eq!(submit(&site, 0), 1);
    for _ in 0..INTERRUPTED_SUBMISSIONS {
        let leader = site.wait("a leader", PlaintextSite::leader);
        let others: Vec<usize> = (1..=3).filter(|number| *number != leader).collect();
        let head = site.operator_request("GET", "/v1/versions", "", "").json()["head"].as_u64();
        // Members that only stand still would read, and store, the submission before they elect another leader.
        others.iter().for_each(|number| site.kill(&format!("core-{number}")));
        let address = site.operator_address(leader);
        let response = std::thread::scope(|scope| {
            let response = scope.spawn(|| submit_without_id(&address, head.unwrap_or(0)));
            std::thread::sleep(IN_FLIGHT_TIME);
            site.signal(&format!("core-{leader}"), "-STOP");
            others.iter().for_each(|number| site.start_process(&format!("core-{number}")));
            site.wait("another leader", |site| {
                let role = |number: &usize| {
                    let address = site.operator_address(*number);
                    request(&address, "GET", "/healthz", "", "").json()["role"].clone()
                };
                others.iter().any(|number| role(number) == "leader").then_some(())
            });
            site.signal(&format!("core-{leader}"), "-CONT");
            response.join().expect("a response")
        });
        let run = response.json()["run"].clone();
        assert_eq!((response.status, run), (503, json!("unknown")), "{response:?}");
    }
}

/// Each fault cost an election timeout and a growing pause of the operator, in sum more than 4 s.
#[rstest]
#[case::revisions(LeaderFault::RefuseWrites, OrderKind::Revision)]
#[case::zones(LeaderFault::RefuseWrites, OrderKind::Zone)]
#[case::moves(LeaderFault::RefuseWrites, OrderKind::Move)]
#[case::little_room(LeaderFault::FillDisk(30), OrderKind::Revision)]
fn orders_are_confirmed(#[case] fault: LeaderFault, #[case] order: OrderKind) {
    for report in run_leader_faults(LeaderFaultOptions::new(SEED, fault, order)) {
        assert!(report.is_confirmed() && report.duration < ORDER_LIMIT, "{report}");
    }
}
