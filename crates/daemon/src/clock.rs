//! Monotonic and wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;
/// Nanoseconds in a microsecond.
const MICRO_NS: u64 = 1_000;
/// Microseconds in a millisecond.
const MILLI_US: u64 = 1_000;

/// Returns the milliseconds since the VM started.
pub(crate) fn monotonic_ms() -> u64 {
    monotonic_us() / MILLI_US
}

/// Returns the microseconds since the VM started.
///
/// Unlike `Instant`, this counts the time for which the VM was suspended, so a lease can't outlive it.
pub(crate) fn monotonic_us() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * SECOND_US + now.tv_nsec as u64 / MICRO_NS
}

/// Returns the time in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns the time in microseconds since the Unix epoch.
pub(crate) fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}
