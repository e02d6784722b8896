//! Decides the steps of a move of traffic to a new target version (a canary rollout).
//!
//! The new version first gets a small share. As long as its calls show no regression, the share grows in steps, each
//! long enough for evidence to arrive. The move is rolled back as soon as one route has a significantly higher error
//! rate or latency than at the old version over the same period, so that a fault of the whole site is not attributed
//! to the new version.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use kingcuplift_schema::control::EvidenceCount;
use smol_str::SmolStr;

/// Share of all calls, in thousandths.
const WHOLE_SHARE: u16 = 1_000;
/// First share of the new version, in thousandths.
const FIRST_SHARE: u16 = 40;
/// Fraction of the move's duration for which the first share is kept.
const TRIAL_FRACTION: f64 = 0.35;
/// Later shares, in thousandths, each kept for [`STEP_TIME`] if the time suffices.
const LATER_SHARES: [u16; 4] = [100, 250, 500, WHOLE_SHARE];
/// Time for which each later share is kept.
const STEP_TIME: Duration = Duration::from_millis(1_200);
/// Minimum time for which each later share is kept: evidence on it must arrive.
const MIN_STEP_TIME: Duration = Duration::from_millis(600);
/// Time before the end of a move by which it should be done.
const END_MARGIN: Duration = Duration::from_millis(800);
/// Minimum time at the whole share, so that calls at the old version end before the move does.
const WHOLE_SHARE_TIME: Duration = Duration::from_millis(2_000);
/// Fraction of the move's duration after which it is done; until then it can be rolled back.
const DONE_FRACTION: f64 = 0.85;
/// Calls that the new version needs before its first share is raised, unless time runs short.
const MIN_TRIAL_CALLS: f64 = 20.0;
/// Half-life of the evidence.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Bad calls that are tolerated beyond the expected number and its deviation.
const BAD_CALL_MARGIN: f64 = 3.0;
/// Standard deviations above the expected number of bad calls that are attributed to chance.
const DEVIATIONS: f64 = 4.0;
/// Tolerated fraction of bad calls, as a multiple of the old version's.
const TOLERATED_RATIO: f64 = 1.5;
/// Fraction of bad calls that is always tolerated.
const TOLERATED_FRACTION: f64 = 0.01;
/// Histogram buckets between the old version's median and a slow answer: about five times the median.
const SLOW_BUCKETS: usize = 4;
/// Fraction of the calls that the first share brings the new version, below which reports on it are missing.
const REPORTED_FRACTION: f64 = 0.25;
/// Such calls from which on their absence from the reports is no chance.
const MIN_EXPECTED_CALLS: f64 = 12.0;
/// Calls without an answer that the other targets must have had, were they like the worst one, to tell them apart.
const MIN_COMPARED_CALLS: f64 = 6.0;
/// Calls without an answer that the other targets may have beyond the expected number and its deviation.
const SOUND_MARGIN: f64 = 1.0;
/// Standard deviations above the expected number of such calls at sound targets.
const SOUND_DEVIATIONS: f64 = 2.0;
/// Fraction of failed calls at which a node stops using the new version by itself.
const TRIP_FRACTION: f64 = 0.25;

/// Calls of one route that one target ran.
#[derive(Debug, Clone, Copy, Default)]
struct TargetCounts {
    ran: f64,
    unanswered: f64,
}

/// Counts of one route at one version, with exponential decay.
#[derive(Debug, Clone, Default)]
struct Counts {
    answered: f64,
    failed: f64,
    times: Vec<f64>,
    /// Calls that ran, by the node beside the target.
    targets: HashMap<SmolStr, TargetCounts>,
    /// Histogram of the times after which callers left calls that still ran.
    abandoned: Vec<f64>,
}

impl Counts {
    fn add(&mut self, count: &EvidenceCount) {
        self.answered += count.answered as f64;
        self.failed += count.failed as f64;
        add_histogram(&mut self.times, &count.times);
        add_histogram(&mut self.abandoned, &count.abandoned);
        if count.ran.max(count.unanswered) > 0 {
            let target = self.targets.entry(SmolStr::new(&count.node)).or_default();
            target.ran += count.ran.max(count.unanswered) as f64;
            target.unanswered += count.unanswered as f64;
        }
    }

    fn decay(&mut self, factor: f64) {
        self.answered *= factor;
        self.failed *= factor;
        self.times.iter_mut().for_each(|time| *time *= factor);
        self.abandoned.iter_mut().for_each(|time| *time *= factor);
        for target in self.targets.values_mut() {
            target.ran *= factor;
            target.unanswered *= factor;
        }
    }

    fn calls(&self) -> f64 {
        self.answered + self.failed + self.unanswered()
    }

    fn unanswered(&self) -> f64 {
        self.targets.values().map(|target| target.unanswered).sum()
    }

    /// Returns the calls that failed or have no answer.
    fn failures(&self) -> f64 {
        self.failed + self.unanswered()
    }

    /// Returns the counts of the target that has most calls without an answer, and the sum of the others.
    fn worst_and_others(&self) -> (TargetCounts, TargetCounts) {
        let by_unanswered = |a: &&TargetCounts, b: &&TargetCounts| {
            a.unanswered.total_cmp(&b.unanswered).then(b.ran.total_cmp(&a.ran))
        };
        let worst = self.targets.values().max_by(by_unanswered).copied().unwrap_or_default();
        let ran: f64 = self.targets.values().map(|target| target.ran).sum();
        let others =
            TargetCounts { ran: ran - worst.ran, unanswered: self.unanswered() - worst.unanswered };
        (worst, others)
    }

    /// Returns the histogram bucket of the median answer.
    fn median(&self) -> Option<usize> {
        let half = self.answered / 2.0;
        let mut sum = 0.0;
        self.times.iter().position(|count| {
            sum += count;
            sum > half
        })
    }

    /// Returns the calls that took until bucket `first` or longer, whether their callers waited for the end or left.
    fn count_from(&self, first: usize) -> f64 {
        self.times.iter().skip(first).sum::<f64>() + self.abandoned_from(first)
    }

    fn abandoned_from(&self, first: usize) -> f64 {
        self.abandoned.iter().skip(first).sum()
    }
}

fn add_histogram(sums: &mut Vec<f64>, counts: &[u64]) {
    sums.resize(sums.len().max(counts.len()), 0.0);
    for (sum, more) in sums.iter_mut().zip(counts) {
        *sum += *more as f64;
    }
}

/// A route on which the new version is significantly worse than the old one.
#[derive(Debug, Clone, PartialEq)]
pub struct Regression {
    /// Name of the route.
    pub route: SmolStr,
    /// Calls of the route at the new version that failed, or that were slow.
    pub bad_calls: f64,
    /// Calls of the route at the new version.
    pub calls: f64,
}

/// Call statistics of the two versions of one move.
#[derive(Debug, Clone, Default)]
pub struct MoveEvidence {
    routes: HashMap<SmolStr, [Counts; 2]>,
    decayed_ms: u64,
}

/// One of the two versions of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version that the traffic moves away from.
    Old,
    /// The version that the traffic moves to.
    New,
}

impl MoveEvidence {
    /// Adds the counts of one route at one version.
    pub fn add(&mut self, side: Side, count: &EvidenceCount, now_ms: u64) {
        self.decay(now_ms);
        let sides = self.routes.entry(SmolStr::new(&count.route)).or_default();
        sides[side as usize].add(count);
    }

    /// Returns the number of calls at the new version.
    pub fn new_version_calls(&self) -> f64 {
        self.routes.values().map(|sides| sides[Side::New as usize].calls()).sum()
    }

    /// Returns whether the reports have far fewer calls of the new version than even its first share brings it.
    fn lacks_reports(&self) -> bool {
        let old_calls: f64 = self.routes.values().map(|[old, _]| old.calls()).sum();
        let expected = old_calls * f64::from(FIRST_SHARE) / f64::from(WHOLE_SHARE - FIRST_SHARE);
        expected >= MIN_EXPECTED_CALLS && self.new_version_calls() < expected * REPORTED_FRACTION
    }

    /// Judges the new version, which has this number of targets.
    fn judge(&self, targets: usize) -> Verdict {
        let mut verdict = Verdict::Sound;
        for (route, [old, new]) in &self.routes {
            let failures = match judge_failures(old, new, targets) {
                FailureVerdict::Excessive(failures) => Some(failures),
                FailureVerdict::Unclear => {
                    verdict = Verdict::Unclear;
                    None
                }
                FailureVerdict::Tolerable => None,
            };
            if let Some(bad_calls) = failures.or_else(|| excess_slow_answers(old, new)) {
                let (route, calls) = (route.clone(), new.calls());
                return Verdict::Regression(Regression { route, bad_calls, calls });
            }
        }
        verdict
    }

    /// Returns whether the calls of this node alone justify that it stops using the new version.
    pub fn is_tripped(&self) -> bool {
        self.routes.values().any(|[old, new]| {
            new.failed >= TRIP_FRACTION * new.calls() && has_excess_failures(old, new, new.failed)
        })
    }

    fn decay(&mut self, now_ms: u64) {
        let age = now_ms.saturating_sub(self.decayed_ms) as f64 / HALF_LIFE.as_millis() as f64;
        if age < 0.05 {
            return;
        }
        self.decayed_ms = now_ms;
        let factor = 0.5_f64.powf(age);
        for sides in self.routes.values_mut() {
            sides.iter_mut().for_each(|counts| counts.decay(factor));
        }
    }
}

impl fmt::Display for MoveEvidence {
    /// Sums the calls of all routes by version: runs, failed answers, runs without an answer and those at one target.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (side, name) in [(Side::New, "new"), (Side::Old, ", old")] {
            let counts = || self.routes.values().map(|sides| &sides[side as usize]);
            let calls: f64 = counts().map(Counts::calls).sum();
            let failed: f64 = counts().map(|counts| counts.failed).sum();
            let unanswered: f64 = counts().map(Counts::unanswered).sum();
            let worst: f64 = counts().map(|counts| counts.worst_and_others().0.unanswered).sum();
            write!(f, "{name} {calls:.0} calls, {failed:.0} failed, ")?;
            write!(f, "{unanswered:.0} without an answer ({worst:.0} at the worst targets)")?;
        }
        Ok(())
    }
}

/// Judgement of a new version.
#[derive(Debug, Clone, PartialEq)]
enum Verdict {
    Sound,
    /// Calls without an answer are due to one target or to the version; the other targets ran too few calls to tell.
    Unclear,
    Regression(Regression),
}

/// Judgement of the failures of one route at the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FailureVerdict {
    Tolerable,
    Unclear,
    /// This number of calls failed or have no answer.
    Excessive(f64),
}

/// Returns the fraction of bad calls that is tolerated, given those at the old version.
fn tolerated_fraction(old_bad: f64, old_calls: f64) -> f64 {
    // One bad call is added: with few calls, a fraction of zero proves little.
    let fraction = (old_bad + 1.0) / (old_calls + 20.0);
    (fraction * TOLERATED_RATIO).max(TOLERATED_FRACTION)
}

/// Returns whether `bad` of `calls` calls are significantly more than at the old version.
fn is_excessive(bad: f64, calls: f64, old_bad: f64, old_calls: f64) -> bool {
    let expected = calls * tolerated_fraction(old_bad, old_calls);
    bad > expected + DEVIATIONS * expected.sqrt() + BAD_CALL_MARGIN
}

/// Returns whether this number of failures of the new version is significantly too high.
fn has_excess_failures(old: &Counts, new: &Counts, failures: f64) -> bool {
    is_excessive(failures, new.calls(), old.failures(), old.calls())
}

/// Judges the failures at a new version with this number of targets.
///
/// Calls without an answer may be due to a single target. Those of the worst one are left out where the others are sound.
fn judge_failures(old: &Counts, new: &Counts, targets: usize) -> FailureVerdict {
    let failures = new.failures();
    let (worst, others) = new.worst_and_others();
    let expected = others.ran * tolerated_fraction(old.failures(), old.calls());
    let sound = expected + SOUND_DEVIATIONS * expected.sqrt() + SOUND_MARGIN;
    // Calls without an answer that the others would have, were they like the worst target.
    let compared = worst.unanswered * others.ran / worst.ran.max(1.0);
    match () {
        () if !has_excess_failures(old, new, failures) => FailureVerdict::Tolerable,
        () if targets <= 1 => FailureVerdict::Excessive(failures),
        () if has_excess_failures(old, new, failures - worst.unanswered) => {
            FailureVerdict::Excessive(failures)
        }
        () if compared < MIN_COMPARED_CALLS => FailureVerdict::Unclear,
        () if others.unanswered > sound => FailureVerdict::Excessive(failures),
        () => FailureVerdict::Tolerable,
    }
}

/// Returns the slow answers of the new version if they are significantly too many.
fn excess_slow_answers(old: &Counts, new: &Counts) -> Option<f64> {
    let first = old.median()? + SLOW_BUCKETS;
    let (slow, old_slow) = (new.count_from(first), old.count_from(first));
    let calls = |counts: &Counts| counts.answered + counts.abandoned_from(first);
    is_excessive(slow, calls(new), old_slow, calls(old)).then_some(slow)
}

/// Progress of a move, as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MoveStage {
    /// Share of the new version, in thousandths.
    pub new_share: u16,
    /// Time since the share was last changed.
    pub since_change: Duration,
    /// Time since the move was requested.
    pub elapsed: Duration,
    /// Duration of the whole move.
    pub within: Duration,
    /// Targets of the new version that take calls.
    pub targets: usize,
}

/// Next step of a move.
#[derive(Debug, Clone, PartialEq)]
pub enum MoveStep {
    /// The share stays as it is.
    Wait,
    /// The new version gets this share, in thousandths.
    Share(u16),
    /// The move is complete.
    Done,
    /// All traffic goes back to the old version, because of this regression, or because until the deadline no target was
    /// ready or the evidence did not suffice.
    RollBack(Option<Regression>),
}

/// Returns how long the current share is kept: less than usual if the move began late, so that it still ends in time.
fn step_time(stage: MoveStage) -> Duration {
    let steps = LATER_SHARES.iter().filter(|share| **share > stage.new_share).count().max(1);
    let changed_at = stage.elapsed.saturating_sub(stage.since_change);
    let left = stage.within.saturating_sub(changed_at + WHOLE_SHARE_TIME + END_MARGIN);
    (left / steps as u32).clamp(MIN_STEP_TIME, STEP_TIME)
}

/// Decides the next step of a move.
pub fn next_step(stage: MoveStage, evidence: &MoveEvidence) -> MoveStep {
    let is_unclear = match evidence.judge(stage.targets) {
        Verdict::Regression(regression) => return MoveStep::RollBack(Some(regression)),
        verdict => verdict == Verdict::Unclear,
    };
    let trial = stage.within.mul_f64(TRIAL_FRACTION);
    let done = stage.within.mul_f64(DONE_FRACTION);
    let left = stage.within.saturating_sub(stage.elapsed);
    let is_held = is_unclear || evidence.lacks_reports();
    match stage.new_share {
        WHOLE_SHARE if is_unclear && left.is_zero() => MoveStep::RollBack(None),
        WHOLE_SHARE if is_unclear => MoveStep::Wait,
        WHOLE_SHARE if stage.since_change >= WHOLE_SHARE_TIME && stage.elapsed >= done => {
            MoveStep::Done
        }
        WHOLE_SHARE => MoveStep::Wait,
        _ if stage.targets == 0 && left.is_zero() => MoveStep::RollBack(None),
        _ if stage.targets == 0 => MoveStep::Wait,
        0 => MoveStep::Share(FIRST_SHARE),
        FIRST_SHARE if stage.elapsed < trial => MoveStep::Wait,
        FIRST_SHARE
            if evidence.new_version_calls() < MIN_TRIAL_CALLS
                && left > stage.within.mul_f64(0.4) =>
        {
            MoveStep::Wait
        }
        _ if is_held && left.is_zero() => MoveStep::RollBack(None),
        _ if is_held => MoveStep::Wait,
        _ if stage.new_share > FIRST_SHARE && stage.since_change < step_time(stage) => {
            MoveStep::Wait
        }
        share => match LATER_SHARES.into_iter().find(|later| *later > share) {
            Some(later) => MoveStep::Share(later),
            None => MoveStep::Wait,
        },
    }
}
