//! Monotonic and wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

const US_PER_SECOND: u64 = 1_000_000;
const NS_PER_US: u64 = 1_000;
pub(crate) const US_PER_MS: u64 = 1_000;

/// Returns the milliseconds since the VM booted.
pub(crate) fn monotonic_ms() -> u64 {
    monotonic_us() / US_PER_MS
}

/// Returns the microseconds since the VM booted.
///
/// Unlike `Instant`, the clock runs on while the VM is suspended, so a suspension can't extend a lease.
pub(crate) fn monotonic_us() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * US_PER_SECOND + now.tv_nsec as u64 / NS_PER_US
}

/// Returns the time in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns the time in microseconds since the Unix epoch.
pub(crate) fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}
