//! How many repeats of calls this node may send, so that all nodes together stay within a budget.
//!
//! The budget of a service allows a part of its calls, plus some slack, over a sliding time. A node spends from its
//! own calls and an equal part of the slack, so the sum over any set of nodes stays within it without talk.

use std::collections::{HashMap, VecDeque};

use smol_str::SmolStr;

/// Steps in which the time of the budget slides.
const STEPS: u64 = 10;
/// Part of the budget that is spent: calls that repeats cause further on count there as repeats too.
const SPENT_PART: f64 = 0.42;

/// Repeats that all nodes together may send to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatLimits {
    /// Repeats for each call.
    pub ratio: f64,
    /// Time over which calls and repeats are counted, in milliseconds.
    pub window_ms: u64,
    /// Repeats on top of the ratio.
    pub slack: f64,
}

impl Default for RepeatLimits {
    /// One repeat for ten calls, and a slack for sites with little traffic.
    fn default() -> Self {
        Self { ratio: 0.1, window_ms: 10_000, slack: 20.0 }
    }
}

/// Counts of one step.
#[derive(Debug, Clone, Copy)]
struct Step {
    number: u64,
    calls: u32,
    repeats: u32,
}

/// Budget of one node.
#[derive(Debug)]
pub struct RepeatBudget {
    limits: RepeatLimits,
    services: HashMap<SmolStr, VecDeque<Step>>,
}

impl RepeatBudget {
    /// Makes a budget of which nothing is spent.
    pub fn new(limits: RepeatLimits) -> Self {
        Self { limits, services: HashMap::new() }
    }

    /// Counts a call.
    pub fn call(&mut self, service: &SmolStr, now_ms: u64) {
        self.step(service, now_ms).calls += 1;
    }

    /// Spends one repeat, or returns false when none is left; `nodes` is the number of nodes of the site.
    pub fn spend(&mut self, service: &SmolStr, nodes: usize, now_ms: u64) -> bool {
        let limits = self.limits;
        self.step(service, now_ms);
        let steps = &self.services[service];
        let calls: u32 = steps.iter().map(|step| step.calls).sum();
        let repeats: u32 = steps.iter().map(|step| step.repeats).sum();
        let slack = limits.slack / nodes.max(1) as f64;
        let allowed = (limits.ratio * f64::from(calls) + slack) * SPENT_PART;
        let is_left = f64::from(repeats) + 1.0 <= allowed;
        if is_left {
            self.step(service, now_ms).repeats += 1;
        }
        is_left
    }

    /// Returns the step of now, forgetting those out of the window.
    fn step(&mut self, service: &SmolStr, now_ms: u64) -> &mut Step {
        let length = (self.limits.window_ms / STEPS).max(1);
        let number = now_ms / length;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let steps = self.services.get_mut(service).expect("the service was inserted above");
        while steps.front().is_some_and(|step| step.number + STEPS < number) {
            steps.pop_front();
        }
        if steps.back().is_none_or(|step| step.number < number) {
            steps.push_back(Step { number, calls: 0, repeats: 0 });
        }
        let last = steps.len() - 1;
        &mut steps[last]
    }
}
