//! Slots of a target that long calls leave free for calls of better ranks that have been arriving.
//!
//! A freed slot goes to the best rank that waits. Without a reserve, long calls that arrive between urgent ones take all
//! slots, and an urgent call then waits for a part of a long call's work.

use std::collections::BTreeMap;

use kingcuplift_core::Rank;

/// Time constant of the average load of a rank, in microseconds.
const LOAD_TIME_US: f64 = 2_000_000.0;
/// Inverse weight of the newest call in the average service time of a rank.
const SERVICE_DIVISOR: f64 = 32.0;
/// A call is long if it takes at least this multiple of the time of the urgent calls.
const LONG_FACTOR: f64 = 2.0;
/// A call is short if the usual call that holds a slot takes at least this multiple of its time.
const SHORT_FACTOR: f64 = 1.5;
/// The reserve is at most one in this many slots, so that long calls always progress.
const RESERVE_DIVISOR: u32 = 2;

/// Recent load of the calls of one rank.
#[derive(Debug, Default)]
struct RankLoad {
    /// Slots that the arriving calls have needed of late: arrival rate times service time.
    slots: f64,
    updated_us: u64,
    /// Average service time, in microseconds.
    service_us: f64,
    running: u32,
}

impl RankLoad {
    /// Returns the slots needed of late, by the time that has passed since the last arrival.
    fn slots_at(&self, now_us: u64) -> f64 {
        let passed = now_us.saturating_sub(self.updated_us) as f64;
        self.slots * (-passed / LOAD_TIME_US).exp()
    }
}

/// Slots that long calls leave to urgent ones.
#[derive(Debug, Default)]
pub(crate) struct SlotReserve {
    ranks: BTreeMap<Rank, RankLoad>,
    /// Moving averages of the expected service time of the arriving calls and of its square.
    service_us: f64,
    service_square: f64,
}

impl SlotReserve {
    /// Records the arrival of a call, with its expected service time.
    pub(crate) fn record_arrival(&mut self, rank: Rank, service_us: u64, now_us: u64) {
        let sample = service_us as f64;
        self.service_us += (sample - self.service_us) / SERVICE_DIVISOR;
        self.service_square += (sample * sample - self.service_square) / SERVICE_DIVISOR;
        let load = self.ranks.entry(rank).or_default();
        load.slots = load.slots_at(now_us) + sample / LOAD_TIME_US;
        load.updated_us = now_us;
        load.service_us = match load.service_us {
            0.0 => sample,
            average => average + (sample - average) / SERVICE_DIVISOR,
        };
    }

    /// Records that a call runs.
    pub(crate) fn record_start(&mut self, rank: Rank) {
        self.ranks.entry(rank).or_default().running += 1;
    }

    /// Records that a running call has ended.
    pub(crate) fn record_end(&mut self, rank: Rank) {
        if let Some(load) = self.ranks.get_mut(&rank) {
            load.running = load.running.saturating_sub(1);
        }
    }

    /// Returns whether a call is short beside the calls that hold the slots: each counts by the time for which it holds one.
    pub(crate) fn is_short(&self, service_us: u64) -> bool {
        service_us as f64 * SHORT_FACTOR * self.service_us < self.service_square
    }

    /// Returns the slots that a call must leave free for urgent calls that are not running yet.
    pub(crate) fn held_from(&self, rank: Rank, service_us: u64, slots: u32, now_us: u64) -> u32 {
        let longest = service_us as f64 / LONG_FACTOR;
        let urgent = self.ranks.range(..rank).map(|(_, load)| load);
        let missing: f64 = urgent
            .filter(|load| load.service_us <= longest)
            .map(|load| (load.slots_at(now_us) - f64::from(load.running)).max(0.0))
            .sum();
        (missing as u32).min(slots / RESERVE_DIVISOR)
    }
}
