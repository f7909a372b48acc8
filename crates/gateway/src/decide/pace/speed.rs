//! What is predicted of a target from its speed.

use std::time::Duration;

/// Speed of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    /// Prompt tokens that it processes per second; `None` while nothing is known of its service.
    pub(super) tokens_per_second: Option<f64>,
    /// Events of a stream per second; `None` while nothing is known of its service.
    pub(super) events_per_second: Option<f64>,
}

impl Speed {
    /// Returns the time to process a prompt; zero while nothing is known.
    #[must_use]
    pub fn reading_time(&self, tokens: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "tokens stay far below 2^52")]
        let tokens = tokens as f64;
        duration(tokens, self.tokens_per_second)
    }

    /// Returns the mean time between two events of a stream; zero while nothing is known.
    #[must_use]
    pub fn event_time(&self) -> Duration {
        duration(1.0, self.events_per_second)
    }
}

fn duration(amount: f64, per_second: Option<f64>) -> Duration {
    per_second.map_or(Duration::ZERO, |rate| {
        Duration::try_from_secs_f64(amount / rate).unwrap_or(Duration::MAX)
    })
}
