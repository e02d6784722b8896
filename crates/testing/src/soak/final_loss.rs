//! The end of a soak in which members lose their disks while all other processes lose power.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use serde_json::{Value, json};

use super::faults::{CATCH_UP_TIME, DOWN_TIME, Fault, MIN_WIPE_INTERVAL, REPLACEMENT_TIME};
use super::load::{Observations, Submission, lock};
use super::{ACTION_POLL_INTERVAL, Soak};
use crate::plaintext_site::request_with_redirect;

/// Longest time between a disturbance and the loss that follows it.
const LONGEST_PRELUDE: Duration = Duration::from_millis(1_500);
/// Fraction of the losses that strike the member that confirmed the last version.
const CONFIRMER_FRACTION: f64 = 0.5;
/// Fraction of the lost members that are gone for good.
const GONE_FRACTION: f64 = 0.25;

/// What happens before the loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Prelude {
    /// All members have been undisturbed for a while.
    Quiet,
    /// The leader was killed a moment ago.
    LeaderKilled,
    /// The leader is paused.
    LeaderPaused,
    /// A member has just lost its disk; it is one of those that may be lost at once.
    Wiped,
    /// A member has just been replaced; the same.
    Replaced,
    /// A member has lost its disk, and its time to catch up has just passed.
    WipeRepaired,
    /// A member was replaced; the same.
    ReplacementRepaired,
}

impl Prelude {
    const ALL: [Self; 7] = [
        Self::Quiet,
        Self::LeaderKilled,
        Self::LeaderPaused,
        Self::Wiped,
        Self::Replaced,
        Self::WipeRepaired,
        Self::ReplacementRepaired,
    ];
}

impl Soak {
    /// Right after a confirmation, lets `disks` members lose their disks while all other processes lose power.
    ///
    /// Unsynced data survives, as the files belong to the operating system; `quorum: storage_damage` plays its loss.
    pub(super) fn lose_disks_after_confirmation(&mut self, disks: usize) {
        let settled_at = self.wiped_at.map(|at| at + MIN_WIPE_INTERVAL);
        self.wait_until(settled_at.unwrap_or_else(Instant::now));
        let prelude = *Prelude::ALL.choose(&mut self.rng).unwrap_or(&Prelude::Quiet);
        let lost_before = self.play(prelude);
        self.wait_for_confirmation();
        let lost = self.draw_lost_members(disks - usize::from(lost_before));
        let names = self.site.names();
        for name in &names {
            self.begin_disturbance(name, Fault::KillAllMembers);
            self.throttle.release(name);
        }
        self.site.kill_all();
        self.scheduled.clear();
        self.record_fault(format!("LoseDisks after {prelude:?}: {lost:?}"));
        for name in &lost {
            match self.rng.random_bool(GONE_FRACTION) {
                true => drop(self.replace_stopped(name)),
                false => self.site.wipe(name),
            }
        }
        std::thread::sleep(DOWN_TIME);
        let mut names = self.site.names();
        names.shuffle(&mut self.rng);
        names.iter().for_each(|name| self.start(name));
    }

    /// Plays what happens before the loss; returns whether a disk that was lost then still counts as lost.
    fn play(&mut self, prelude: Prelude) -> bool {
        let name = self.confirmer().unwrap_or_else(|| "core-1".to_owned());
        let pause = LONGEST_PRELUDE.mul_f64(self.rng.random());
        match prelude {
            Prelude::Quiet => return false,
            Prelude::LeaderKilled => self.kill(&name, Fault::Kill, pause / 2),
            Prelude::LeaderPaused => self.disturb(&name, Fault::Pause),
            Prelude::Wiped | Prelude::WipeRepaired => self.disturb(&name, Fault::Wipe),
            Prelude::Replaced | Prelude::ReplacementRepaired => self.disturb(&name, Fault::Replace),
        }
        let wait = match prelude {
            Prelude::WipeRepaired => self.options.longest_fault + CATCH_UP_TIME,
            Prelude::ReplacementRepaired => REPLACEMENT_TIME + CATCH_UP_TIME,
            _ => pause,
        };
        self.wait_until(Instant::now() + wait);
        matches!(prelude, Prelude::Wiped | Prelude::Replaced)
    }

    /// Performs actions that are due until a time.
    fn wait_until(&mut self, until: Instant) {
        while Instant::now() < until {
            std::thread::sleep(ACTION_POLL_INTERVAL);
            self.perform_due(false);
        }
    }

    fn draw_lost_members(&mut self, count: usize) -> Vec<String> {
        let mut members = self.site.names();
        // A member whose disk is lost already counts by itself.
        members.retain(|name| name.starts_with("core-") && self.site.has_data(name));
        members.shuffle(&mut self.rng);
        if self.rng.random_bool(CONFIRMER_FRACTION)
            && let Some(confirmer) = self.confirmer()
        {
            members.sort_by_key(|name| *name != confirmer);
        }
        members.truncate(count);
        members
    }
}

/// Checks that a document that a member shows is the one that was submitted under its number.
pub(super) fn check_document(shown: &Value, address: &str, observations: &Observations) {
    let number = shown["version"].as_u64().unwrap_or(0);
    let expected = lock(&observations.confirmed).get(&number).map(|known| known.document.clone());
    if expected.is_some_and(|document| document != *shown) {
        observations.record_violation(format!(
            "{address} shows another document than was confirmed as version {number}"
        ));
    }
}

/// Submits the newest confirmed version again at each member; none may refuse it while it is the version in force.
pub(super) fn check_resends(members: &[String], observations: &Observations) {
    for address in members {
        let Some((number, known)) =
            lock(&observations.confirmed).last_key_value().map(|(n, known)| (*n, known.clone()))
        else {
            return;
        };
        let base = known.chain.iter().rev().nth(1).copied().unwrap_or(0);
        let document = known.document;
        // Another writer spells the same document with spaces and line ends.
        let spellings = [document.to_string(), format!("{document:#}")];
        let submission = Submission { base, number, document, chain: known.chain };
        for body in spellings {
            let (_, response) = submission.put(address, &body);
            let is_refused =
                matches!(response.status, 400..500) && !matches!(response.status, 408 | 429);
            let shown = request_with_redirect(address, "GET", "/v1/revision", "", "").json();
            if is_refused && shown["version"] == json!(number) {
                observations.record_violation(format!(
                    "{address} refused version {number} with {}, which is in force: {}",
                    response.status,
                    String::from_utf8_lossy(&response.body)
                ));
            }
        }
    }
}
