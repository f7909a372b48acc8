//! The clock for leases and for timeouts of unresponsive peers.

use bluebellstage_core::Time;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted, including time spent suspended.
///
/// With a monotonic clock that stops during suspension, a machine that resumes would consider an expired
/// lease valid and send orders concurrently with the new holder. This clock continues, so the first check
/// finds the lease expired.
#[must_use]
pub fn boot_time() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(at.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(at.tv_nsec).unwrap_or(0);
    Time(secs * 1_000_000 + nanos / 1_000)
}
