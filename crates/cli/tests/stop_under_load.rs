//! A planned stop while callers keep sending: each call that reached the target has its answer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use kingcuplift_testing::{TargetBehavior, request, start_desk_site};

/// Concurrent callers.
const CALLERS: usize = 6;
/// Time that the target takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(400);
/// Time of load before the stop.
const LEAD: Duration = Duration::from_millis(300);
/// Time for which callers go on at most; the stop takes two seconds.
const LOAD: Duration = Duration::from_secs(4);

#[test]
fn accepted_calls_are_answered() {
    let (mut site, target) = start_desk_site(TargetBehavior::Respond(SERVICE_TIME));
    let callers = site.addresses("node-1").callers.clone();
    let started_at = Instant::now();
    let workers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let callers = callers.clone();
            std::thread::spawn(move || {
                let mut statuses = BTreeMap::new();
                for number in 0.. {
                    let id = format!("w-{caller}-{number}");
                    let headers = format!("host: a.example\r\nx-call: {id}\r\nx-left: 1500\r\n");
                    let status = request(&callers, "POST", "/book/1", &headers, "").status;
                    statuses.insert(id, status);
                    if started_at.elapsed() > LOAD {
                        break;
                    }
                }
                statuses
            })
        })
        .collect();
    std::thread::sleep(LEAD);
    site.signal("node-1", "-TERM");
    assert!(site.wait_exited("node-1"), "the node ends by itself");
    let statuses: BTreeMap<String, u16> =
        workers.into_iter().flat_map(|worker| worker.join().expect("the caller ends")).collect();
    let requests = target.requests();
    assert!(requests.len() > CALLERS, "{} calls reached the target", requests.len());
    for received in requests {
        let id = received.head.lines().find_map(|line| line.strip_prefix("x-call: "));
        let Some(id) = id else { continue };
        assert_eq!(statuses.get(id), Some(&200), "call {id} reached the target");
    }
}
