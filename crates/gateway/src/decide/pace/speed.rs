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

/// Ratio of the times for an event at slow and at fast targets from which their speeds count as uneven.
const MIN_UNEVEN_RATIO: f64 = 1.75;
/// One in this number of targets is left out of the comparison at each end.
const OUTLIERS_DIVISOR: usize = 6;

/// Returns whether the speeds of targets differ so much that the choice among them has to heed it.
#[must_use]
pub fn are_uneven(speeds: impl Iterator<Item = Speed>) -> bool {
    let mut times = speeds.map(|speed| speed.event_time()).collect::<Vec<_>>();
    times.sort_unstable();
    let outliers = times.len() / OUTLIERS_DIVISOR;
    let [Some(fast), Some(slow)] =
        [outliers, times.len().saturating_sub(outliers + 1)].map(|idx| times.get(idx).copied())
    else {
        return false;
    };
    !fast.is_zero() && slow >= fast.mul_f64(MIN_UNEVEN_RATIO)
}

fn duration(amount: f64, per_second: Option<f64>) -> Duration {
    per_second.map_or(Duration::ZERO, |rate| {
        Duration::try_from_secs_f64(amount / rate).unwrap_or(Duration::MAX)
    })
}
