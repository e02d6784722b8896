//! Decides how far a move of traffic to a new target version goes.
//!
//! The new version gets a small share first. While calls show nothing against it, its share grows in steps, each held
//! long enough for evidence to come in. It is taken back as soon as one route fails clearly more often, or takes
//! clearly longer, than at the old version over the same time, so that trouble of the whole site is not held
//! against it.

use std::collections::HashMap;
use std::time::Duration;

use kingcuplift_schema::control::EvidenceCount;
use smol_str::SmolStr;

/// The whole, in thousandths.
const WHOLE: u16 = 1_000;
/// First share, in thousandths.
const FIRST: u16 = 40;
/// Part of the move's time for which the first share is held.
const TRIAL_PART: f64 = 0.35;
/// Later shares, in thousandths, each held for [`STEP_TIME`].
const STEPS: [u16; 4] = [100, 250, 500, WHOLE];
/// Time for which each later share is held.
const STEP_TIME: Duration = Duration::from_millis(1_200);
/// Time for which the whole share is held at least, so that calls at the old version end first.
const LAST_TIME: Duration = Duration::from_millis(2_000);
/// Part of the move's time after which it is done; until then the new version can be taken back.
const DONE_PART: f64 = 0.85;
/// Answers of the new version that the first step needs.
const LEAST_ANSWERS: f64 = 20.0;
/// Time in which evidence loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Bad calls beyond those that chance explains at which a version is bad.
const EXCESS: f64 = 3.0;
/// Standard deviations of the number of bad calls that chance explains.
const DEVIATIONS: f64 = 4.0;
/// Multiple of the old version's part of bad calls that the new one may have.
const PART_RATIO: f64 = 1.5;
/// Least part of bad calls that the new version may have.
const LEAST_PART: f64 = 0.01;
/// Classes of time by which a slow answer lies above the old version's middle: about five times as long.
const SLOW_CLASSES: usize = 4;
/// Part of failed calls at which a node alone stops using the new version.
const TRIP_PART: f64 = 0.25;

/// Counts of one route at one version; old evidence weighs less.
#[derive(Debug, Clone, Default)]
struct Counts {
    answered: f64,
    failed: f64,
    times: Vec<f64>,
}

impl Counts {
    fn add(&mut self, count: &EvidenceCount) {
        self.answered += count.answered as f64;
        self.failed += count.failed as f64;
        self.times.resize(self.times.len().max(count.times.len()), 0.0);
        for (sum, more) in self.times.iter_mut().zip(&count.times) {
            *sum += *more as f64;
        }
    }

    fn fade(&mut self, factor: f64) {
        self.answered *= factor;
        self.failed *= factor;
        self.times.iter_mut().for_each(|time| *time *= factor);
    }

    fn calls(&self) -> f64 {
        self.answered + self.failed
    }

    /// Returns the class in which the middle answer lies.
    fn median(&self) -> Option<usize> {
        let half = self.answered / 2.0;
        let mut sum = 0.0;
        self.times.iter().position(|count| {
            sum += count;
            sum > half
        })
    }

    /// Returns the answers in classes from `first` on.
    fn slower_than(&self, first: usize) -> f64 {
        self.times.iter().skip(first).sum()
    }
}

/// Reason why a version is bad.
#[derive(Debug, Clone, PartialEq)]
pub struct Regression {
    /// Route that shows it.
    pub route: SmolStr,
    /// Calls that failed or were slow there.
    pub bad_calls: f64,
    /// Calls of the route at the new version.
    pub calls: f64,
}

/// Evidence on the two versions of one move.
#[derive(Debug, Clone, Default)]
pub struct MoveEvidence {
    routes: HashMap<SmolStr, [Counts; 2]>,
    faded_ms: u64,
}

/// Which of the two versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version that had the traffic.
    Old,
    /// The version that is to get it.
    New,
}

impl MoveEvidence {
    /// Takes the counts of one route at one version.
    pub fn add(&mut self, side: Side, count: &EvidenceCount, now_ms: u64) {
        self.fade(now_ms);
        let sides = self.routes.entry(SmolStr::new(&count.route)).or_default();
        sides[side as usize].add(count);
    }

    /// Returns the answers and failures of the new version.
    pub fn new_version_calls(&self) -> f64 {
        self.routes.values().map(|sides| sides[Side::New as usize].calls()).sum()
    }

    /// Returns why the new version is bad, if it is.
    pub fn regression(&self) -> Option<Regression> {
        self.routes.iter().find_map(|(route, [old, new])| {
            let bad_calls =
                [failures(old, new), slow_answers(old, new)].into_iter().flatten().next()?;
            Some(Regression { route: route.clone(), bad_calls, calls: new.calls() })
        })
    }

    /// Returns whether this node alone has seen enough to stop using the new version.
    pub fn is_tripped(&self) -> bool {
        self.routes
            .values()
            .any(|[old, new]| new.failed >= TRIP_PART * new.calls() && failures(old, new).is_some())
    }

    fn fade(&mut self, now_ms: u64) {
        let age = now_ms.saturating_sub(self.faded_ms) as f64 / HALF_LIFE.as_millis() as f64;
        if age < 0.05 {
            return;
        }
        self.faded_ms = now_ms;
        let factor = 0.5_f64.powf(age);
        for sides in self.routes.values_mut() {
            sides.iter_mut().for_each(|counts| counts.fade(factor));
        }
    }
}

/// Returns whether `bad` of `calls` calls are clearly more than the old version's part explains.
fn is_excessive(bad: f64, calls: f64, bad_before: f64, calls_before: f64) -> bool {
    // One bad call more than were seen: a part of nothing proves little while calls are few.
    let part = (bad_before + 1.0) / (calls_before + 20.0);
    let expected = calls * (part * PART_RATIO).max(LEAST_PART);
    bad > expected + DEVIATIONS * expected.sqrt() + EXCESS
}

/// Returns the failures of the new version if they are clearly too many.
fn failures(old: &Counts, new: &Counts) -> Option<f64> {
    let is_bad = is_excessive(new.failed, new.calls(), old.failed, old.calls());
    is_bad.then_some(new.failed)
}

/// Returns the slow answers of the new version if they are clearly too many.
fn slow_answers(old: &Counts, new: &Counts) -> Option<f64> {
    let first = old.median()? + SLOW_CLASSES;
    let (slow, slow_before) = (new.slower_than(first), old.slower_than(first));
    is_excessive(slow, new.answered, slow_before, old.answered).then_some(slow)
}

/// How far a move has come, as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MoveStage {
    /// Share of the new version, in thousandths.
    pub new_share: u16,
    /// Time since the share was last changed.
    pub since_change: Duration,
    /// Time since the move was ordered.
    pub elapsed: Duration,
    /// Time for the whole move.
    pub within: Duration,
    /// Targets of the new version that take calls.
    pub targets: usize,
}

/// What is to be done with a move.
#[derive(Debug, Clone, PartialEq)]
pub enum MoveStep {
    /// Nothing now.
    Wait,
    /// The new version gets this share, in thousandths.
    Share(u16),
    /// The move is done.
    Done,
    /// The old version gets all traffic again, for this reason if it is a regression of the new one.
    RollBack(Option<Regression>),
}

/// Decides on the next step of a move.
pub fn next_step(stage: MoveStage, evidence: &MoveEvidence) -> MoveStep {
    if let Some(regression) = evidence.regression() {
        return MoveStep::RollBack(Some(regression));
    }
    let trial = stage.within.mul_f64(TRIAL_PART);
    let done = stage.within.mul_f64(DONE_PART);
    let left = stage.within.saturating_sub(stage.elapsed);
    match stage.new_share {
        WHOLE if stage.since_change >= LAST_TIME && stage.elapsed >= done => MoveStep::Done,
        WHOLE => MoveStep::Wait,
        _ if stage.targets == 0 && left.is_zero() => MoveStep::RollBack(None),
        _ if stage.targets == 0 => MoveStep::Wait,
        0 => MoveStep::Share(FIRST),
        FIRST if stage.elapsed < trial => MoveStep::Wait,
        FIRST
            if evidence.new_version_calls() < LEAST_ANSWERS && left > stage.within.mul_f64(0.4) =>
        {
            MoveStep::Wait
        }
        _ if stage.new_share > FIRST && stage.since_change < STEP_TIME => MoveStep::Wait,
        moved => match STEPS.into_iter().find(|step| *step > moved) {
            Some(step) => MoveStep::Share(step),
            None => MoveStep::Wait,
        },
    }
}
