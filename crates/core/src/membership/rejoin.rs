//! Coming back after having been dropped.

use std::time::Duration;

use crate::Time;

/// First pause before an instance that was dropped again takes its place again; doubles each time.
const FIRST_PAUSE: Duration = Duration::from_secs(2);

/// Longest pause; also how long a place must last for the next drop to count as the first.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Guards against an instance that its peers don't hear, but that reaches the platform: it would
/// come back after each drop, and its keys would move to and fro every other second.
#[derive(Debug)]
pub(super) struct Rejoin {
    dropped_at: Option<Time>,
    not_before: Time,
    pause: Duration,
}

impl Rejoin {
    pub(super) const fn new() -> Self {
        Self {
            dropped_at: None,
            not_before: Time(0),
            pause: FIRST_PAUSE,
        }
    }

    /// Takes note that the map no longer lists this life.
    pub(super) fn note_drop(&mut self, now: Time) {
        let again = self
            .dropped_at
            .is_some_and(|at| now.since(at) < LONGEST_PAUSE * 2);
        if again {
            self.not_before = now + self.pause;
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        } else {
            self.pause = FIRST_PAUSE;
        }
        self.dropped_at = Some(now);
    }

    pub(super) fn may_join(&self, now: Time) -> bool {
        now >= self.not_before
    }
}
