//! Orders of an operator while a site starts for the first time, or a member joins it.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use kingcuplift_testing::{PlaintextSite, request};

/// Time for which a member holds a request while it expects a leader; operators wait for a second.
const SHORTEST_WAIT: Duration = Duration::from_millis(700);
/// Time for which a new member is observed.
const OBSERVED_TIME: Duration = Duration::from_secs(3);

fn is_listening(address: &str) -> bool {
    TcpStream::connect(address).is_ok()
}

/// Members that had no group yet turned operators away at once, so that these missed the first leader by seconds: their
/// pauses grow with each attempt.
#[test]
fn forming_member_waits() {
    let mut site = PlaintextSite::start(3, &[]);
    site.operator_request("GET", "/v1/versions", "", "");
    site.kill_all();
    site.wipe_for_first_start("core-1");
    site.start_process("core-1");
    let address = site.operator_address(1);
    site.wait("the member listens", |_| is_listening(&address).then_some(()));
    let sent_at = Instant::now();
    let response = request(&address, "GET", "/v1/revision", "", "");
    assert_eq!(response.status, 503, "two members are missing");
    assert!(sent_at.elapsed() >= SHORTEST_WAIT, "the response came after {:?}", sent_at.elapsed());
}

/// A process that was not a member yet answered 503, though the other members had a leader.
#[test]
fn joining_member_redirects() {
    let mut site = PlaintextSite::start(3, &[]);
    site.operator_request("GET", "/v1/versions", "", "");
    let name = site.add_member();
    site.start_process(&name);
    let address = site.operator_address(4);
    site.wait("the member listens", |_| is_listening(&address).then_some(()));
    let started_at = Instant::now();
    let mut statuses = Vec::new();
    while started_at.elapsed() < OBSERVED_TIME {
        statuses.push(request(&address, "GET", "/v1/versions", "", "").status);
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(!statuses.contains(&503), "{statuses:?}");
}
