//! Usual size of the responses of each route, for decisions that count bytes.

use std::collections::HashMap;

use kingcuplift_core::ByteSize;
use smol_str::SmolStr;

/// Inverse weight of the newest response in a route's average.
const AVERAGE_DIVISOR: f64 = 32.0;
/// Maximum number of routes whose average is kept.
const MAX_ROUTES: usize = 4_096;

/// Average sizes of the responses of routes, learnt from the responses themselves.
#[derive(Debug, Default)]
pub struct RouteSizes {
    averages: HashMap<SmolStr, f64>,
}

impl RouteSizes {
    /// Records the size of a response.
    pub fn record(&mut self, route: &SmolStr, size: ByteSize) {
        if self.averages.len() >= MAX_ROUTES {
            self.averages.clear();
        }
        let sample = size.get() as f64;
        let average = self.averages.entry(route.clone()).or_insert(sample);
        *average += (sample - *average) / AVERAGE_DIVISOR;
    }

    /// Returns the average size of a route's responses; `None` if none was recorded.
    pub fn expected(&self, route: &SmolStr) -> Option<ByteSize> {
        self.averages.get(route).map(|average| ByteSize::bytes(*average as u64))
    }
}
