//! Shortage of room at the targets of a service.

use std::time::Duration;

use bluebellstage_core::Time;

/// Time over which requests wait or are refused before that is a shortage. A single one is none.
const MIN_DURATION: Duration = Duration::from_millis(200);
/// Time without a request that waits or is refused after which a shortage is over.
const HOLD_TIME: Duration = Duration::from_secs(1);

/// Evidence that the targets of a service are short of room. By itself it ends within a second.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Shortage {
    /// When the evidence began and was last seen.
    seen: Option<(Time, Time)>,
    waiting: u32,
    refused: u32,
}

impl Shortage {
    /// Records that a request was refused for want of room.
    pub fn record_refusal(&mut self, now: Time) {
        self.record(now);
        self.refused = self.refused.saturating_add(1);
    }

    /// Records that engines would begin a request too late.
    pub fn record_late(&mut self, now: Time) {
        self.record(now);
    }

    /// Records how many requests wait for a place.
    pub fn record_waiting(&mut self, waiting: u32, now: Time) {
        if waiting > 0 {
            self.record(now);
        }
        self.waiting = waiting;
    }

    /// Records that room is scarce. That makes a shortage last, but is none by itself.
    pub fn record_scarce(&mut self, now: Time) {
        if self.is_in_force(now) {
            self.record(now);
        }
    }

    fn record(&mut self, now: Time) {
        let known = self.seen.filter(|(_, last)| now.since(*last) < HOLD_TIME);
        if known.is_none() {
            self.refused = 0;
        }
        self.seen = known.map_or(Some((now, now)), |(since, last)| {
            Some((since, last.max(now)))
        });
    }

    /// Whether the shortage lasts.
    #[must_use]
    pub fn is_in_force(&self, now: Time) -> bool {
        self.seen.is_some_and(|(since, last)| {
            last.since(since) >= MIN_DURATION && now.since(last) < HOLD_TIME
        })
    }

    /// Requests that wait at all instances, as far as known.
    #[must_use]
    pub const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Requests that this instance refused since the evidence began.
    #[must_use]
    pub const fn refused(&self) -> u32 {
        self.refused
    }
}
