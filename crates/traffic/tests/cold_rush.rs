//! Calls that rush at cold targets after a loss of power.

use kingcuplift_core::{PerSecond, Rank};
use kingcuplift_traffic::{Admission, AdmissionLimits, Decision, Release, WarmupTolerance};
use proptest::prelude::*;

const SECOND: u64 = 1_000_000;
/// Time that a target takes for a call while it is cold.
const SERVICE_TIME: u64 = 100_000;

/// Returns the admission control of a cold target, as a node creates it at its start.
fn cold_target(tolerance: WarmupTolerance, rate: f64, now: u64) -> Admission {
    let mut admission = Admission::new(AdmissionLimits { slots: 50, queue: 1_000 });
    admission.set_rate_limit(tolerance.pace(PerSecond::new(rate)), u64::MAX / 4, now);
    admission
}

/// Offers more calls than the target bears from `from` to `to`, and returns when calls began to run.
fn rush(admission: &mut Admission, from: u64, to: u64) -> Vec<u64> {
    let (mut started, mut ends) = (Vec::new(), Vec::new());
    for (id, now) in (from..to).step_by(10_000).enumerate() {
        let mut count = 0;
        if admission.arrive(id as u64, Rank::FIRST, u64::MAX / 2, now) == Decision::Run {
            count += 1;
        }
        let mut released = admission.release(now);
        let ended = ends.iter().filter(|end| **end <= now).count();
        ends.retain(|end| *end > now);
        for _ in 0..ended {
            released.extend(admission.finish(SERVICE_TIME, now));
        }
        count += released.iter().filter(|release| matches!(release, Release::Run(_))).count();
        started.extend(std::iter::repeat_n(now, count));
        ends.extend(std::iter::repeat_n(now + SERVICE_TIME, count));
    }
    started
}

/// 281 targets that bear 8.2 calls a second, half as many again and 10 on top got 8.2 each, a third of what was asked.
#[test]
fn headroom_is_used() {
    let tolerance = WarmupTolerance { factor: 1.5, slack: 10.0 };
    let started = rush(&mut cold_target(tolerance, 8.2, SECOND), SECOND, 4 * SECOND);
    assert!(started.len() >= 36, "{} calls in 3 s", started.len());
    let plain = rush(&mut cold_target(WarmupTolerance::default(), 8.2, SECOND), SECOND, 4 * SECOND);
    assert!(plain.len() <= 28, "{} calls in 3 s, but the target bears its rate only", plain.len());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// In no second does a target get more than it bears, also if its node restarts and knows of no earlier call.
    #[test]
    fn tolerance_holds(
        rate in 5.0..60.0_f64,
        factor in 1.0..2.0_f64,
        slack in 8.0..20.0_f64,
        restart_ms in 200..2_500_u64,
        down_ms in 300..900_u64,
    ) {
        let tolerance = WarmupTolerance { factor, slack };
        let killed = SECOND + restart_ms * 1_000;
        let back = killed + down_ms * 1_000;
        let mut started = rush(&mut cold_target(tolerance, rate, SECOND), SECOND, killed);
        started.extend(rush(&mut cold_target(tolerance, rate, back), back, back + 3 * SECOND));
        for (i, start) in started.iter().enumerate() {
            let count = started[i..].iter().take_while(|at| **at < start + SECOND).count();
            let bound = (rate * factor + slack).floor() as usize;
            prop_assert!(count <= bound, "{count} calls in a second, {bound} are borne");
        }
    }
}
