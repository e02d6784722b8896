//! Retry budget of a node, chosen so that all nodes together stay within the budget of each service.
//!
//! The budget of a service is a fraction of its calls plus some slack, over a sliding window. A node may retry a
//! fraction of its own calls plus an equal share of the slack, so the sum over any set of nodes stays within the
//! budget without coordination.
//!
//! Calls made by a retried request count as retries at the services that it calls, where they look like any other call.
//! Therefore the fractions that are spent of the budgets of all services must stay below [`TOTAL_FRACTION`] in sum. The
//! rest is headroom, because the requests that fail and are retried are often those that make the most calls.

use std::collections::{HashMap, VecDeque};

use smol_str::SmolStr;

/// Buckets of the sliding window.
const BUCKETS: u64 = 10;
/// Fraction of one budget that all services may spend in sum; the rest covers retries that a node can't see.
const TOTAL_FRACTION: f64 = 0.7;
/// Fraction of its budget that a service may spend on calls that may have run; each costs the target work again.
const FAILED_FRACTION: f64 = 0.3;
/// Fraction of its budget that a service may spend regardless of the others.
const RESERVED_FRACTION: f64 = 0.05;

/// Limits on the retries that all nodes together send to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries per call.
    pub ratio: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
    /// Retries allowed per window on top of the ratio.
    pub slack: f64,
}

impl Default for RetryLimits {
    /// One retry per ten calls, and slack for sites with little traffic.
    fn default() -> Self {
        Self { ratio: 0.1, window_ms: 10_000, slack: 20.0 }
    }
}

/// Why a call is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The target has not run the call.
    NotRun,
    /// The target failed, or its answer was lost; the call may have run.
    Failed,
}

/// Counts of one bucket of the window.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    number: u64,
    calls: u32,
    retries: u32,
}

/// Retry budget of one node.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    services: HashMap<SmolStr, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// Creates an unspent budget.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, services: HashMap::new() }
    }

    /// Counts a call.
    pub fn record_call(&mut self, service: &SmolStr, now_ms: u64) {
        self.bucket(service, now_ms).calls += 1;
    }

    /// Spends one retry, or returns false if the budget is used up; `nodes` is the number of nodes of the site.
    pub fn try_spend(
        &mut self,
        service: &SmolStr,
        nodes: usize,
        reason: RetryReason,
        now_ms: u64,
    ) -> bool {
        self.bucket(service, now_ms);
        let slack = self.limits.slack / nodes.max(1) as f64;
        let spent = |name: &SmolStr, more: f64| self.spent_fraction(name, slack, more, now_ms);
        let others = self.services.keys().filter(|name| *name != service);
        let others: f64 = others.map(|name| spent(name, 0.0)).sum();
        let allowed = (TOTAL_FRACTION - others).max(RESERVED_FRACTION);
        let allowed = match reason {
            RetryReason::NotRun => allowed,
            RetryReason::Failed => allowed.min(FAILED_FRACTION),
        };
        let is_allowed = spent(service, 1.0) <= allowed;
        if is_allowed {
            self.bucket(service, now_ms).retries += 1;
        }
        is_allowed
    }

    /// Returns the fraction of a service's budget that is spent, including `more` further retries.
    fn spent_fraction(&self, service: &SmolStr, slack: f64, more: f64, now_ms: u64) -> f64 {
        let oldest = self.bucket_number(now_ms).saturating_sub(BUCKETS);
        let buckets = self.services.get(service).into_iter().flatten();
        let (calls, retries) = buckets
            .filter(|bucket| bucket.number >= oldest)
            .fold((0, 0), |(calls, retries), bucket| {
                (calls + bucket.calls, retries + bucket.retries)
            });
        let budget = self.limits.ratio * f64::from(calls) + slack;
        let retries = f64::from(retries) + more;
        if retries == 0.0 { 0.0 } else { retries / budget.max(f64::MIN_POSITIVE) }
    }

    /// Returns the number of the bucket that a time falls into.
    fn bucket_number(&self, now_ms: u64) -> u64 {
        now_ms / (self.limits.window_ms / BUCKETS).max(1)
    }

    /// Returns the bucket of the current time; drops those that have left the window.
    fn bucket(&mut self, service: &SmolStr, now_ms: u64) -> &mut Bucket {
        let number = self.bucket_number(now_ms);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let buckets = self.services.get_mut(service).expect("the service was inserted above");
        while buckets.front().is_some_and(|bucket| bucket.number + BUCKETS < number) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|bucket| bucket.number < number) {
            buckets.push_back(Bucket { number, calls: 0, retries: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
