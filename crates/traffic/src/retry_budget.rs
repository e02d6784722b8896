//! Retry budget of a node, chosen so that all nodes together stay within the budget of each service.
//!
//! The budget of a service is a fraction of its calls plus some slack, over a sliding window. A node may retry a
//! fraction of its own calls plus an equal share of the slack, so the sum over any set of nodes stays within the
//! budget without coordination.
//!
//! Calls made by a retried request count as retries at the services that it calls, where they look like any other call.
//! A request that has run and failed has often made all its calls; one that has not run makes them once. Therefore the
//! fractions of the budgets that are spent on all services, the failed ones counted [`FAILED_WEIGHT`] times, stay below
//! [`TOTAL_FRACTION`] in sum.
//!
//! While the targets of one service shed calls, the requests that need them fail, and a retry of such a request costs
//! several calls to the service that is short. Retries of calls that have not run go first then: they cost one.

use std::collections::{HashMap, VecDeque};

use smol_str::SmolStr;

/// Buckets of the sliding window.
const BUCKETS: u64 = 10;
/// Weighted fraction of one budget that all services may spend in sum; the rest is for retries that a node can't see.
const TOTAL_FRACTION: f64 = 0.9;
/// Retries at other services that one retry of a request that has run may cause.
const FAILED_WEIGHT: f64 = 2.0;
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
    counts: Counts,
}

/// Calls and retries of one service.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    calls: u32,
    /// Retries of calls that have not run.
    not_run: u32,
    /// Retries of calls that may have run.
    failed: u32,
    /// Retries of calls that have not run, granted or not.
    wanted: u32,
}

/// Fractions of a service's budget.
#[derive(Debug, Clone, Copy)]
struct Usage {
    not_run: f64,
    failed: f64,
    /// Fraction that calls that have not run would use if all of them were retried.
    wanted: f64,
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
        self.bucket(service, now_ms).counts.calls += 1;
    }

    /// Spends one retry, or returns false if the budget is used up; `nodes` is the number of nodes of the site.
    pub fn try_spend(
        &mut self,
        service: &SmolStr,
        nodes: usize,
        reason: RetryReason,
        now_ms: u64,
    ) -> bool {
        if reason == RetryReason::NotRun {
            self.bucket(service, now_ms).counts.wanted += 1;
        }
        let slack = self.limits.slack / nodes.max(1) as f64;
        let others = self.services.keys().filter(|name| *name != service);
        let others: Vec<Usage> = others.map(|name| self.usage(name, slack, now_ms)).collect();
        let failed: f64 = others.iter().map(|usage| usage.failed).sum();
        let not_run: f64 = others.iter().map(|usage| usage.not_run).sum();
        let wanted: f64 = others.iter().map(|usage| usage.wanted.min(TOTAL_FRACTION)).sum();
        let own = self.usage(service, slack, now_ms);
        let one = self.fraction(service, 1, slack, now_ms);
        let is_allowed = match reason {
            RetryReason::NotRun => {
                let allowed = TOTAL_FRACTION - FAILED_WEIGHT * failed - not_run;
                own.not_run + own.failed + one <= allowed.max(RESERVED_FRACTION)
            }
            RetryReason::Failed => {
                let allowed = TOTAL_FRACTION / FAILED_WEIGHT - failed - wanted / FAILED_WEIGHT;
                let allowed = allowed.clamp(RESERVED_FRACTION, FAILED_FRACTION);
                own.failed + one <= allowed && own.not_run + own.failed + one <= TOTAL_FRACTION
            }
        };
        if is_allowed {
            let counts = &mut self.bucket(service, now_ms).counts;
            match reason {
                RetryReason::NotRun => counts.not_run += 1,
                RetryReason::Failed => counts.failed += 1,
            }
        }
        is_allowed
    }

    /// Returns the fractions of a service's budget that are spent.
    fn usage(&self, service: &SmolStr, slack: f64, now_ms: u64) -> Usage {
        let counts = self.counts(service, now_ms);
        let fraction = |retries| self.fraction(service, retries, slack, now_ms);
        Usage {
            not_run: fraction(counts.not_run),
            failed: fraction(counts.failed),
            wanted: fraction(counts.wanted),
        }
    }

    /// Returns a number of retries as a fraction of a service's budget.
    fn fraction(&self, service: &SmolStr, retries: u32, slack: f64, now_ms: u64) -> f64 {
        let budget = self.limits.ratio * f64::from(self.counts(service, now_ms).calls) + slack;
        match retries {
            0 => 0.0,
            retries => f64::from(retries) / budget.max(f64::MIN_POSITIVE),
        }
    }

    /// Returns the counts of a service in the window.
    fn counts(&self, service: &SmolStr, now_ms: u64) -> Counts {
        let oldest = self.bucket_number(now_ms).saturating_sub(BUCKETS);
        let buckets = self.services.get(service).into_iter().flatten();
        let recent = buckets.filter(|bucket| bucket.number >= oldest).map(|bucket| bucket.counts);
        recent.fold(Counts::default(), |sum, counts| Counts {
            calls: sum.calls + counts.calls,
            not_run: sum.not_run + counts.not_run,
            failed: sum.failed + counts.failed,
            wanted: sum.wanted + counts.wanted,
        })
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
            buckets.push_back(Bucket { number, counts: Counts::default() });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
