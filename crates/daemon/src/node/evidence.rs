//! What calls show of target versions while a move goes on, and the usual times of routes.

use std::collections::HashMap;
use std::time::Duration;

use kingcuplift_schema::control::{Evidence, EvidenceCount};
use kingcuplift_traffic::{MoveEvidence, Side, TargetKey};
use smol_str::SmolStr;

use crate::clock::monotonic_ms;

/// Classes of answer times.
const CLASSES: usize = 24;
/// Weight of the newest answer in a route's usual time: one in this many.
const USUAL_DIVISOR: f32 = 64.0;
/// Routes whose usual time is remembered.
const MAX_ROUTES: usize = 4_096;

/// Counts of one route at one target version.
type Key = (SmolStr, SmolStr, SmolStr);

/// Evidence since the last report, and usual times.
#[derive(Debug, Default)]
pub(crate) struct EvidenceTable {
    counts: HashMap<Key, EvidenceCount>,
    /// What this node alone has seen of moves, by service and new version.
    moves: HashMap<(SmolStr, SmolStr), MoveEvidence>,
    usual_ms: HashMap<SmolStr, f32>,
}

impl EvidenceTable {
    /// Learns how long a target took for a call, and returns it as a multiple of what is usual.
    pub(crate) fn time(&mut self, route: &SmolStr, service: Duration) -> f32 {
        let ms = service.as_secs_f32() * 1_000.0;
        if self.usual_ms.len() >= MAX_ROUTES {
            self.usual_ms.clear();
        }
        let usual = self.usual_ms.entry(route.clone()).or_insert(ms);
        *usual += (ms - *usual) / USUAL_DIVISOR;
        ms / usual.max(0.1)
    }

    /// Returns how long calls of a route usually take at their targets, if any was seen.
    pub(crate) fn usual(&self, route: &SmolStr) -> Option<Duration> {
        self.usual_ms.get(route).map(|ms| Duration::from_secs_f32(ms / 1_000.0))
    }

    /// Returns whether this node has seen enough to stop using the new version of a move.
    pub(crate) fn is_tripped(&self, service: &SmolStr, to: &SmolStr) -> bool {
        let seen = self.moves.get(&(service.clone(), to.clone()));
        seen.is_some_and(MoveEvidence::is_tripped)
    }

    /// Counts one call of a move to the version `to`.
    pub(crate) fn count(
        &mut self,
        target: &TargetKey,
        to: &SmolStr,
        route: &SmolStr,
        failed: bool,
        time: Duration,
    ) {
        let side = match target.version == *to {
            true => Side::New,
            false => Side::Old,
        };
        let mut single = EvidenceCount { route: route.to_string(), ..EvidenceCount::default() };
        match failed {
            true => single.failed = 1,
            false => single.answered = 1,
        }
        let seen = self.moves.entry((target.service.clone(), to.clone())).or_default();
        seen.add(side, &single, monotonic_ms());
        let key = (target.service.clone(), target.version.clone(), route.clone());
        let count = self.counts.entry(key).or_insert_with(|| EvidenceCount {
            service: target.service.to_string(),
            version: target.version.to_string(),
            route: route.to_string(),
            times: vec![0; CLASSES],
            ..EvidenceCount::default()
        });
        match failed {
            true => count.failed += 1,
            false => {
                count.answered += 1;
                count.times[class(time)] += 1;
            }
        }
    }

    /// Returns and forgets the evidence since the last report.
    pub(crate) fn take(&mut self) -> Option<Evidence> {
        let counts: Vec<_> = self.counts.drain().map(|(_, count)| count).collect();
        (!counts.is_empty()).then_some(Evidence { counts })
    }
}

/// Returns the class of an answer time; each class is half as long again as the one before.
fn class(time: Duration) -> usize {
    let ms = time.as_secs_f64() * 1_000.0;
    (ms.max(1.0).ln() / 1.5_f64.ln()).floor().clamp(0.0, (CLASSES - 1) as f64) as usize
}
