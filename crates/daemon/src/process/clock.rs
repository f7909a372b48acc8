//! The process's monotonic clock.

use std::time::Instant;

use bluebellstage_core::Time;

/// Reads the monotonic clock as microseconds since the clock was made.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time passed since the start.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
