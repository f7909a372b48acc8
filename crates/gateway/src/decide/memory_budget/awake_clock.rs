//! Time in which the instance ran.

use std::time::Duration;

use bluebellstage_core::Time;

/// Longest time between two readings that counts in full. A longer one is a suspension, or a lack of processor time.
const MAX_STEP: Duration = Duration::from_millis(500);

/// Counts the time in which the instance ran.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AwakeClock {
    awake: Duration,
    read_at: Option<Time>,
}

impl AwakeClock {
    pub(super) fn advance(&mut self, now: Time) {
        let since = self.read_at.unwrap_or(now);
        self.awake += now.since(since).min(MAX_STEP);
        self.read_at = Some(now);
    }

    /// Time awake as of the last reading.
    pub(super) const fn awake(&self) -> Duration {
        self.awake
    }
}
