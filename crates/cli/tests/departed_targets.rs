//! Targets that have left stay out of use when the node beside them restarts, with real processes.

use std::time::{Duration, Instant};

use kingcuplift_testing::{
    PlaintextSite, ScriptedTarget, TargetBehavior, call_desk, is_node_ready, report_desk, request,
    start_desk_nodes,
};
use rstest::rstest;
use serde_json::json;

/// Start time of the first life of each target.
const BORN: u64 = 1_000;
/// Time for which calls are sent after the restart.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Lease of a target after a report.
const LEASE: Duration = Duration::from_secs(6);

/// Time in which a departure is confirmed, also while a member ends.
const CONFIRMATION_LIMIT: Duration = Duration::from_secs(4);

/// Time after SIGTERM from which a node with a grace time of 6 s takes no target into use.
const CLOSING_AFTER: Duration = Duration::from_millis(2_400);

/// How a target says that it leaves.
#[derive(Debug, Clone, Copy)]
enum Departure {
    /// It deregisters.
    Deregistered,
    /// It reports that it leaves.
    Reported,
}

/// When the report arrives that the target had made before it left.
#[derive(Debug, Clone, Copy)]
enum Arrival {
    /// As soon as the restarted node takes reports, before it has a link to a relay.
    AtOnce,
    /// Once the restarted node is ready.
    Later,
}

fn depart(site: &PlaintextSite, target: &ScriptedTarget, departure: Departure) {
    let left = match departure {
        Departure::Deregistered => {
            let body = json!({ "born": BORN }).to_string();
            request(&site.addresses("node-1").admin, "DELETE", "/v1/instances/i-1", "", &body)
        }
        Departure::Reported => {
            report_desk(site, "node-1", target, &json!({ "state": "leaving", "sequence": 9 }))
        }
    };
    assert_eq!(left.status, 200);
    // The other node learns of it before the restart.
    std::thread::sleep(Duration::from_millis(500));
}

/// A restarted node had forgotten which targets had left, and took one into use again by a report from before.
#[rstest]
fn late_report_after_restart(
    #[values(Departure::Deregistered, Departure::Reported)] departure: Departure,
    #[values(Arrival::AtOnce, Arrival::Later)] arrival: Arrival,
) {
    let targets: [_; 2] =
        std::array::from_fn(|_| ScriptedTarget::start(TargetBehavior::Respond(Duration::ZERO)));
    let mut site = start_desk_nodes(&targets, &json!({}));
    depart(&site, &targets[0], departure);
    site.kill("node-1");
    site.start_process("node-1");
    if matches!(arrival, Arrival::Later) {
        site.wait("the restarted node", |site| is_node_ready(site, "node-1").then_some(()));
    }
    let late = json!({ "sequence": 8 });
    site.wait("an answer to the late report", |site| {
        (report_desk(site, "node-1", &targets[0], &late).status == 200).then_some(())
    });
    site.wait("the restarted node", |site| is_node_ready(site, "node-1").then_some(()));
    expect_no_calls(&site, &targets[0]);
    expect_next_life(&site, &targets[0]);
}

/// Calls both nodes for a while and checks that none of the calls reaches the target beside `node-1`.
fn expect_no_calls(site: &PlaintextSite, departed: &ScriptedTarget) {
    std::thread::sleep(Duration::from_millis(500));
    let before = departed.requests().len();
    let began_at = Instant::now();
    let mut number = 0;
    while began_at.elapsed() < LOAD_TIME {
        let node = format!("node-{}", number % 2 + 1);
        let response = call_desk(site, &node, "GET", "/read/1", &format!("c-{number}"));
        assert_eq!(response.status, 200, "the other target answers");
        number += 1;
    }
    let late_calls = departed.requests().len() - before;
    assert_eq!(late_calls, 0, "of {number} calls, some reached a target that had left");
}

/// Checks that the next life of the target beside `node-1` gets calls.
fn expect_next_life(site: &PlaintextSite, target: &ScriptedTarget) {
    let before = target.requests().len();
    let next_life = json!({ "born": BORN + 1, "sequence": 1 });
    assert_eq!(report_desk(site, "node-1", target, &next_life).status, 200);
    site.wait("calls at the next life of the target", |site| {
        call_desk(site, "node-1", "GET", "/read/1", "c-next");
        (target.requests().len() > before).then_some(())
    });
}

/// Why a node does not know a target that deregisters.
#[derive(Debug, Clone, Copy)]
enum Unknown {
    /// The target's lease has ended: its reports were lost.
    LeaseEnded,
    /// The node has just started.
    Restarted,
}

/// A node confirmed the departure of a target that it didn't know, and took it into use again by a report from before.
#[rstest]
fn unknown_target_deregisters(
    #[values(Unknown::LeaseEnded, Unknown::Restarted)] reason: Unknown,
    #[values(json!({ "born": BORN }).to_string(), String::new())] deregistration: String,
) {
    let targets: [_; 2] =
        std::array::from_fn(|_| ScriptedTarget::start(TargetBehavior::Respond(Duration::ZERO)));
    let mut site = start_desk_nodes(&targets, &json!({}));
    // The other target keeps its lease meanwhile.
    let renew = |site: &PlaintextSite, sequence: u64| {
        report_desk(site, "node-2", &targets[1], &json!({ "sequence": sequence }));
    };
    match reason {
        Unknown::LeaseEnded => {
            for sequence in 2..LEASE.as_secs() + 3 {
                std::thread::sleep(Duration::from_secs(1));
                renew(&site, sequence);
            }
        }
        Unknown::Restarted => {
            site.kill("node-1");
            site.start_process("node-1");
        }
    }
    site.wait("the confirmation", |site| {
        let admin = &site.addresses("node-1").admin;
        let left = request(admin, "DELETE", "/v1/instances/i-1", "", &deregistration);
        (left.status == 200).then_some(())
    });
    let late = report_desk(&site, "node-1", &targets[0], &json!({ "sequence": 8 }));
    assert_eq!(late.status, 200);
    site.wait("the node", |site| is_node_ready(site, "node-1").then_some(()));
    renew(&site, 20);
    expect_no_calls(&site, &targets[0]);
}

/// Kills all processes and starts them again; the node beside the target that has left gets a report from before.
fn expect_gone_after_power_loss(site: &mut PlaintextSite, targets: &[ScriptedTarget; 2]) {
    site.kill_all();
    for name in site.names() {
        site.start_process(&name);
    }
    for node in ["node-1", "node-2"] {
        site.wait("the restarted node", |site| is_node_ready(site, node).then_some(()));
    }
    assert_eq!(report_desk(site, "node-2", &targets[1], &json!({ "sequence": 20 })).status, 200);
    assert_eq!(report_desk(site, "node-1", &targets[0], &json!({ "sequence": 8 })).status, 200);
    expect_no_calls(site, &targets[0]);
    expect_next_life(site, &targets[0]);
}

/// A departure was kept in the memory of processes only: after a loss of all power, a report from before undid it.
#[rstest]
fn late_report_after_power_loss(
    #[values(Departure::Deregistered, Departure::Reported)] departure: Departure,
) {
    let targets: [_; 2] =
        std::array::from_fn(|_| ScriptedTarget::start(TargetBehavior::Respond(Duration::ZERO)));
    let mut site = start_desk_nodes(&targets, &json!({}));
    depart(&site, &targets[0], departure);
    expect_gone_after_power_loss(&mut site, &targets);
}

/// A departure must not be confirmed before it is stored: a member ends meanwhile, and then all processes.
#[rstest]
fn confirmed_departure_survives(
    #[values(1, 2, 3)] member: usize,
    #[values(0, 15, 40)] delay_ms: u64,
) {
    let targets: [_; 2] =
        std::array::from_fn(|_| ScriptedTarget::start(TargetBehavior::Respond(Duration::ZERO)));
    let mut site = start_desk_nodes(&targets, &json!({}));
    let admin = site.addresses("node-1").admin.clone();
    std::thread::scope(|scope| {
        let departing = scope.spawn(move || {
            let body = json!({ "born": BORN }).to_string();
            let began_at = Instant::now();
            let deregister = || request(&admin, "DELETE", "/v1/instances/i-1", "", &body).status;
            while deregister() != 200 {
                assert!(began_at.elapsed() < CONFIRMATION_LIMIT, "no confirmation");
                std::thread::sleep(Duration::from_millis(50));
            }
        });
        std::thread::sleep(Duration::from_millis(delay_ms));
        site.kill(&format!("core-{member}"));
        departing.join().expect("a confirmation");
    });
    expect_gone_after_power_loss(&mut site, &targets);
}

/// A node that was about to end confirmed that a target leaves and recorded nothing: its next life took the target back.
#[test]
fn departure_during_stop_is_kept() {
    let targets: [_; 2] =
        std::array::from_fn(|_| ScriptedTarget::start(TargetBehavior::Respond(Duration::ZERO)));
    let mut site = start_desk_nodes(&targets, &json!({}));
    site.set_grace("node-1", 6.0);
    site.wait("the node", |site| is_node_ready(site, "node-1").then_some(()));
    assert_eq!(report_desk(&site, "node-1", &targets[0], &json!({ "sequence": 2 })).status, 200);
    // A long call holds up the end of the process until the target has reported.
    targets[0].set_behavior(TargetBehavior::Respond(Duration::from_millis(2_000)));
    let callers = site.addresses("node-1").callers.clone();
    site.signal("node-1", "-TERM");
    std::thread::sleep(CLOSING_AFTER - Duration::from_millis(800));
    let long_call = std::thread::spawn(move || {
        let headers = "host: a.example\r\nx-call: c-long\r\nx-left: 2900\r\n";
        request(&callers, "GET", "/read/1", headers, "").status
    });
    std::thread::sleep(Duration::from_millis(1_000));
    let leaving = json!({ "state": "leaving", "sequence": 9 });
    assert_eq!(report_desk(&site, "node-1", &targets[0], &leaving).status, 200);
    assert!(site.wait_exited("node-1"), "the node ends by itself");
    println!("the long call is answered with {}", long_call.join().expect("the call ends"));
    targets[0].set_behavior(TargetBehavior::Respond(Duration::ZERO));
    site.start_process("node-1");
    site.wait("the restarted node", |site| is_node_ready(site, "node-1").then_some(()));
    assert_eq!(report_desk(&site, "node-1", &targets[0], &json!({ "sequence": 8 })).status, 200);
    assert_eq!(report_desk(&site, "node-2", &targets[1], &json!({ "sequence": 20 })).status, 200);
    expect_no_calls(&site, &targets[0]);
}

/// A deregistration with a start time in the future would keep out every later target of the VM.
#[test]
fn implausible_deregistration_is_refused() {
    let target = ScriptedTarget::start(TargetBehavior::Respond(Duration::ZERO));
    let site = start_desk_nodes(std::slice::from_ref(&target), &json!({}));
    let body = json!({ "born": u64::MAX }).to_string();
    let admin = &site.addresses("node-1").admin;
    let deregistered = request(admin, "DELETE", "/v1/instances/i-9", "", &body);
    assert_eq!(deregistered.status, 400);
    expect_next_life(&site, &target);
}

/// Reports without a start time are ordered by their sequence within one life only.
#[test]
fn target_without_start_time_returns() {
    let target = ScriptedTarget::start(TargetBehavior::Respond(Duration::ZERO));
    let site =
        start_desk_nodes(std::slice::from_ref(&target), &json!({ "born": 0, "sequence": 0 }));
    let serves = |site: &PlaintextSite| {
        (call_desk(site, "node-1", "GET", "/read/1", "c-1").status == 200).then_some(())
    };
    site.wait("calls at the target", serves);
    let leaving = json!({ "born": 0, "sequence": 5, "state": "leaving" });
    assert_eq!(report_desk(&site, "node-1", &target, &leaving).status, 200);
    request(&site.addresses("node-1").admin, "DELETE", "/v1/instances/i-1", "", "");
    // The relay's record of the departure comes back to the node.
    std::thread::sleep(Duration::from_millis(500));
    let next_life = json!({ "born": 0, "sequence": 1 });
    assert_eq!(report_desk(&site, "node-1", &target, &next_life).status, 200);
    site.wait("calls at the next life of the target", serves);
}
