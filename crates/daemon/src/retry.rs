//! Waiting before another try.

use std::time::Duration;

use rand::Rng;

const FIRST: Duration = Duration::from_millis(50);
// Well below the time after which a silent peer is suspected.
const LONGEST: Duration = Duration::from_millis(500);

/// Exponential backoff with full jitter: instances that lost the same peer don't come back at once.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    ceiling: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { ceiling: FIRST }
    }
}

impl Backoff {
    /// How long to wait before the next try.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let ceiling = self.ceiling;
        self.ceiling = (ceiling * 2).min(LONGEST);
        let shortest = FIRST.min(ceiling) / 2;
        rand::rng().random_range(shortest..=ceiling)
    }

    /// Begins anew after a success.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
