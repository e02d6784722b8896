//! Distribution of the service time of each route at one target, learnt from its responses.
//!
//! A log-normal fit takes two moving averages for each route and gives both the chance of a response within a given time
//! and the time within which a given fraction of the responses comes.

use std::collections::HashMap;

use smol_str::SmolStr;

/// Inverse weight of the newest response once enough responses are known.
const AVERAGE_DIVISOR: f32 = 64.0;
/// Smallest deviation of the logarithm, so that a route with even times is not taken for exact.
const MIN_DEVIATION: f32 = 0.1;
/// Deviation of the logarithm that the first response of a route is taken to have.
const INITIAL_DEVIATION: f32 = 0.5;
/// Steps of a bisection; 20 leave an error of one in 100,000 of the range.
const BISECTIONS: u32 = 20;
/// Maximum number of routes whose service time is kept.
const MAX_ROUTES: usize = 1_024;

/// Service time of a route, as a log-normal distribution.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceTime {
    /// Mean of the natural logarithm of the time in microseconds.
    log_mean: f32,
    /// Variance of that logarithm.
    log_variance: f32,
    /// Mean time in microseconds.
    mean_us: f32,
    /// Number of responses that the averages comprise, up to [`AVERAGE_DIVISOR`].
    responses: f32,
}

impl ServiceTime {
    /// Returns the service time after a first response.
    fn first(time_us: u64) -> Self {
        let mean_us = time_us.max(1) as f32;
        let log_variance = INITIAL_DEVIATION * INITIAL_DEVIATION;
        Self { log_mean: mean_us.ln(), log_variance, mean_us, responses: 1.0 }
    }

    /// Records the time of a response.
    fn record(&mut self, time_us: u64) {
        let time_us = time_us.max(1) as f32;
        self.responses = (self.responses + 1.0).min(AVERAGE_DIVISOR);
        let weight = 1.0 / self.responses;
        let difference = time_us.ln() - self.log_mean;
        self.log_mean += difference * weight;
        let square = difference * difference * (1.0 - weight);
        self.log_variance += (square - self.log_variance) * weight;
        self.mean_us += (time_us - self.mean_us) * weight;
    }

    /// Returns the mean, in microseconds.
    pub fn mean_us(&self) -> u64 {
        self.mean_us as u64
    }

    fn deviation(&self) -> f64 {
        f64::from(self.log_variance.sqrt().max(MIN_DEVIATION))
    }

    /// Returns the chance that a response comes within a time, in microseconds.
    pub fn chance_within(&self, time_us: u64) -> f64 {
        match time_us {
            0 => 0.0,
            _ => {
                let log = (time_us as f64).ln();
                normal_cdf((log - f64::from(self.log_mean)) / self.deviation())
            }
        }
    }

    /// Returns the time after which fewer responses come per microsecond than `density`, as a fraction of all.
    pub fn time_at_density(&self, density: f64) -> u64 {
        let deviation = self.deviation();
        let log_mean = f64::from(self.log_mean);
        let density_at = |log: f64| {
            let z = (log - log_mean) / deviation;
            (-z * z / 2.0 - log).exp() / (deviation * std::f64::consts::TAU.sqrt())
        };
        // Beyond the mode the density falls.
        let mode = log_mean - deviation * deviation;
        bisect(mode, log_mean + 4.0 * deviation, |log| density_at(log) > density).exp() as u64
    }

    /// Returns the time within which a fraction of the responses comes, in microseconds.
    pub fn quantile_us(&self, fraction: f64) -> u64 {
        (f64::from(self.log_mean) + normal_quantile(fraction) * self.deviation()).exp() as u64
    }
}

/// Service times of the routes at one target.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    routes: HashMap<SmolStr, ServiceTime>,
}

impl ServiceTimes {
    /// Records the time of a response, in microseconds.
    pub fn record(&mut self, route: &SmolStr, time_us: u64) {
        if let Some(known) = self.routes.get_mut(route) {
            return known.record(time_us);
        }
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        self.routes.insert(route.clone(), ServiceTime::first(time_us));
    }

    /// Returns the service time of a route; `None` if it has had no response.
    pub fn get(&self, route: &SmolStr) -> Option<ServiceTime> {
        self.routes.get(route).copied()
    }
}

/// Cumulative distribution of the standard normal distribution (logistic approximation, error below 0.0002).
fn normal_cdf(z: f64) -> f64 {
    1.0 / (1.0 + (-z * (1.597_6 + 0.070_565_992 * z * z)).exp())
}

/// Inverse of [`normal_cdf`], by bisection over the range in which it differs from 0 and 1.
fn normal_quantile(fraction: f64) -> f64 {
    bisect(-4.0, 4.0, |z| normal_cdf(z) < fraction)
}

/// Returns where a condition that holds from `low` on stops to hold, up to `high`.
fn bisect(mut low: f64, mut high: f64, holds: impl Fn(f64) -> bool) -> f64 {
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        match holds(middle) {
            true => low = middle,
            false => high = middle,
        }
    }
    (low + high) / 2.0
}
