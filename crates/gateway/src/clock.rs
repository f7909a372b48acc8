//! The clock that leases and silence are measured by.

use bluebellstage_core::Time;
use rustix::time::{ClockId, clock_gettime};

/// Reads the time since the machine booted, time spent suspended included.
///
/// A monotonic clock that stands still in suspension would let a machine that wakes up take an
/// expired lease for a valid one and give orders beside the new holder. This clock goes on, so the
/// lease is seen as expired at the first look.
#[must_use]
pub fn boot_time() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(at.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(at.tv_nsec).unwrap_or(0);
    Time(secs * 1_000_000 + nanos / 1_000)
}
