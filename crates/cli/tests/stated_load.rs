//! Targets that state in their answers how many calls they take, or that they leave.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use kingcuplift_testing::{
    PlaintextSite, ScriptedTarget, TargetBehavior, is_node_ready, report_desk, request,
    start_desk_nodes, wall_ms,
};
use rstest::rstest;
use serde_json::json;

/// Targets of the site, each with its node.
const TARGETS: usize = 3;
/// Time after its first answer with a limit from which the limit binds.
const LIMIT_DELAY: Duration = Duration::from_secs(3);
/// Any span of this length counts.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time after its first answer that says so from which a leaving target gets no calls.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which callers send calls.
const LOAD_TIME: Duration = Duration::from_secs(9);
/// Concurrent callers; each sends its next call once the one before is answered.
const CALLERS: usize = 24;
/// Slots that each target reports.
const SLOTS: u32 = 17;

fn start_site() -> (PlaintextSite, Vec<ScriptedTarget>) {
    let behavior = TargetBehavior::Respond(Duration::from_millis(20));
    let targets: Vec<_> = (0..TARGETS).map(|_| ScriptedTarget::start(behavior.clone())).collect();
    let site = start_desk_nodes(&targets, &json!({ "slots": SLOTS }));
    (site, targets)
}

fn node(index: usize) -> String {
    format!("node-{}", index % TARGETS + 1)
}

/// Sends calls from all nodes for a while, with a report of each target each second; returns how many were answered.
fn run_load(site: &PlaintextSite, targets: &[ScriptedTarget]) -> (usize, usize) {
    let (sent, answered) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (sent, answered, is_over) = (&sent, &answered, &is_over);
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    let callers = &site.addresses(&node(caller)).callers;
                    let headers =
                        format!("host: a.example\r\nx-call: c-{number}\r\nx-left: 1500\r\n");
                    let path = format!("/read/{number}");
                    let response = request(callers, "GET", &path, &headers, "");
                    answered.fetch_add(usize::from(response.status == 200), Ordering::Relaxed);
                }
            });
        }
        let started_at = Instant::now();
        // Reports of an earlier load count as older.
        let mut sequence = wall_ms();
        while started_at.elapsed() < LOAD_TIME {
            sequence += 1;
            for (i, target) in targets.iter().enumerate() {
                report_desk(
                    site,
                    &node(i),
                    target,
                    &json!({ "sequence": sequence, "slots": SLOTS }),
                );
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    (answered.into_inner(), sent.into_inner())
}

/// Returns the largest number of calls in any four seconds, once the limit binds, and the number allowed.
fn most_calls(target: &ScriptedTarget, stated_at: Instant, limit: f64) -> (usize, f64) {
    let arrivals: Vec<_> = target.requests().iter().map(|request| request.arrived_at).collect();
    let counted = arrivals.iter().filter(|at| **at > stated_at + LIMIT_DELAY);
    let most = counted.map(|from| {
        arrivals.iter().filter(|at| *at >= from && **at < *from + LIMIT_WINDOW).count()
    });
    (most.max().unwrap_or(0), 1.5 * limit * LIMIT_WINDOW.as_secs_f64() + 5.0)
}

/// Without regard to the limit, a target gets as many calls as its slots allow.
#[rstest]
fn stated_limit_holds(#[values(1.0, 20.0)] limit: f64) {
    let (site, targets) = start_site();
    targets[0].set_headers(&format!("x-limit: {limit}\r\n"));
    let stated_at = Instant::now();
    let (answered, sent) = run_load(&site, &targets);
    let (most, allowed) = most_calls(&targets[0], stated_at, limit);
    assert!(most as f64 <= allowed, "{most} calls in four seconds, {allowed} allowed");
    assert!(most as f64 >= limit, "the target is still used: {most} calls in four seconds");
    assert!(answered * 100 >= sent * 99, "{answered} of {sent} calls were answered");
}

/// A node that restarts forgets the limit of the target beside it, which runs on, and must not send it a burst.
#[rstest]
fn stated_limit_outlives_a_restart(#[values(1.0, 20.0)] limit: f64) {
    let (mut site, targets) = start_site();
    targets[0].set_headers(&format!("x-limit: {limit}\r\n"));
    let stated_at = Instant::now();
    run_load(&site, &targets);
    site.kill("node-1");
    site.start_process("node-1");
    site.wait("the restarted node", |site| is_node_ready(site, "node-1").then_some(()));
    let restarted_at = Instant::now();
    run_load(&site, &targets);
    let (most, allowed) = most_calls(&targets[0], stated_at, limit);
    assert!(most as f64 <= allowed, "{most} calls in four seconds, {allowed} allowed");
    let is_used = targets[0].requests().iter().any(|request| request.arrived_at > restarted_at);
    assert!(is_used, "the target is used again after the restart");
}

/// Once its answers have no limit any more, a target gets calls as before.
#[test]
fn limit_ends_with_its_statement() {
    let (site, targets) = start_site();
    targets[0].set_headers("x-limit: 1\r\n");
    run_load(&site, &targets);
    targets[0].set_headers("");
    let before = targets[0].requests().len();
    run_load(&site, &targets);
    let after = targets[0].requests().len() - before;
    assert!(after > 300, "{after} calls in nine seconds");
}

/// A leaving target that only says so in its answers, or reports itself as ready once more, late, gets no more calls.
#[test]
fn leaving_target_gets_no_calls() {
    let (site, targets) = start_site();
    targets[0].set_headers("x-leaving: 1\r\n");
    let (answered, sent) = run_load(&site, &targets);
    let requests = targets[0].requests();
    let first = requests.first().expect("the target was used before").arrived_at;
    let late = requests.iter().filter(|request| request.arrived_at > first + DRAIN_TIME).count();
    assert_eq!(late, 0, "calls after the target had said that it leaves");
    assert!(answered * 100 >= sent * 99, "{answered} of {sent} calls were answered");
}
