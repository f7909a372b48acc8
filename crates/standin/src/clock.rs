//! Times in logs.

use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch; comparable between the processes of one machine.
pub type Micros = u64;

/// The time now.
#[must_use]
pub fn now() -> Micros {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
