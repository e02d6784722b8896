//! How many repeats of calls this node may send, so that all nodes together stay within a budget.
//!
//! The budget of a service allows a part of its calls, plus some slack, over a sliding time. A node spends from its
//! own calls and an equal part of the slack, so the sum over any set of nodes stays within it without talk.
//!
//! The calls that a repeated run makes count as repeats at the services that it calls, and nothing tells them from
//! others. So the parts that are spent of all services' budgets stay below a part of one budget in sum. What is left
//! covers that the runs which fail, and are repeated, are often those that make most calls.

use std::collections::{HashMap, VecDeque};

use smol_str::SmolStr;

/// Steps in which the time of the budget slides.
const STEPS: u64 = 10;
/// Part of one budget that all services may spend in sum; the rest is for what a node can't see.
const SUM_PART: f64 = 0.7;
/// Part of its budget that a service may spend after calls that have run; their repeats cost the target work again.
const RAN_PART: f64 = 0.3;
/// Part of its budget that a service may spend whatever the others do.
const OWN_PART: f64 = 0.05;

/// Repeats that all nodes together may send to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each call.
    pub ratio: f64,
    /// Time over which calls and repeats are counted, in milliseconds.
    pub window_ms: u64,
    /// Repeats on top of the ratio.
    pub slack: f64,
}

impl Default for RetryLimits {
    /// One repeat for ten calls, and a slack for sites with little traffic.
    fn default() -> Self {
        Self { ratio: 0.1, window_ms: 10_000, slack: 20.0 }
    }
}

/// Why a call is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The target has not run it.
    NotRun,
    /// The target has failed, or its answer is lost.
    Failed,
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
pub struct RetryBudget {
    limits: RetryLimits,
    services: HashMap<SmolStr, VecDeque<Step>>,
}

impl RetryBudget {
    /// Makes a budget of which nothing is spent.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, services: HashMap::new() }
    }

    /// Counts a call.
    pub fn record_call(&mut self, service: &SmolStr, now_ms: u64) {
        self.step(service, now_ms).calls += 1;
    }

    /// Spends one repeat, or returns false when none is left; `nodes` is the number of nodes of the site.
    pub fn try_spend(
        &mut self,
        service: &SmolStr,
        nodes: usize,
        reason: RetryReason,
        now_ms: u64,
    ) -> bool {
        self.step(service, now_ms);
        let slack = self.limits.slack / nodes.max(1) as f64;
        let spent = |name: &SmolStr, more: f64| self.spent_part(name, slack, more, now_ms);
        let others = self.services.keys().filter(|name| *name != service);
        let others: f64 = others.map(|name| spent(name, 0.0)).sum();
        let allowed = (SUM_PART - others).max(OWN_PART);
        let allowed = match reason {
            RetryReason::NotRun => allowed,
            RetryReason::Failed => allowed.min(RAN_PART),
        };
        let is_left = spent(service, 1.0) <= allowed;
        if is_left {
            self.step(service, now_ms).repeats += 1;
        }
        is_left
    }

    /// Returns the part of a service's budget that is spent, with `more` repeats on top.
    fn spent_part(&self, service: &SmolStr, slack: f64, more: f64, now_ms: u64) -> f64 {
        let oldest = self.number(now_ms).saturating_sub(STEPS);
        let steps = self.services.get(service).into_iter().flatten();
        let (calls, repeats) = steps
            .filter(|step| step.number >= oldest)
            .fold((0, 0), |(calls, repeats), step| (calls + step.calls, repeats + step.repeats));
        let budget = self.limits.ratio * f64::from(calls) + slack;
        let repeats = f64::from(repeats) + more;
        if repeats == 0.0 { 0.0 } else { repeats / budget.max(f64::MIN_POSITIVE) }
    }

    /// Returns the number of the step of a time.
    fn number(&self, now_ms: u64) -> u64 {
        now_ms / (self.limits.window_ms / STEPS).max(1)
    }

    /// Returns the step of now, forgetting those out of the window.
    fn step(&mut self, service: &SmolStr, now_ms: u64) -> &mut Step {
        let number = self.number(now_ms);
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
