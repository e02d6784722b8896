//! Monotonic and wall-clock time.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the milliseconds since the process began to measure time.
pub(crate) fn monotonic_ms() -> u64 {
    START.elapsed().as_millis() as u64
}

/// Returns the microseconds since the process began to measure time.
pub(crate) fn monotonic_us() -> u64 {
    START.elapsed().as_micros() as u64
}

/// Returns the time in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns the time in microseconds since the Unix epoch.
pub(crate) fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}
