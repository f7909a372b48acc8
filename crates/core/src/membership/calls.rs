//! Pacing of calls to the platform.

use std::time::Duration;

use crate::{CallId, Time};

/// A call without an answer for this long counts as lost, so that a shell that loses one can't
/// silence the instance for good.
const PATIENCE: Duration = Duration::from_secs(3);

/// First pause after a call that failed; doubles up to the bound given with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(125);

/// At most one call of a kind in flight, and pauses between failed ones.
#[derive(Debug)]
pub(super) struct Slot {
    in_flight: Option<Flight>,
    sent_at: Option<Time>,
    not_before: Time,
    pause: Duration,
}

#[derive(Debug)]
struct Flight {
    id: CallId,
    sent_at: Time,
}

impl Slot {
    pub(super) const fn new() -> Self {
        Self {
            in_flight: None,
            sent_at: None,
            not_before: Time(0),
            pause: FIRST_PAUSE,
        }
    }

    /// Whether a call may go out, `spacing` after the one before.
    pub(super) fn is_free(&self, now: Time, spacing: Duration) -> bool {
        let waiting = self
            .in_flight
            .as_ref()
            .is_some_and(|flight| now.since(flight.sent_at) < PATIENCE);
        let spaced = self.sent_at.is_none_or(|at| now >= at + spacing);
        !waiting && spaced && now >= self.not_before
    }

    pub(super) fn send(&mut self, now: Time, id: CallId) {
        self.in_flight = Some(Flight { id, sent_at: now });
        self.sent_at = Some(now);
    }

    /// Whether an answer belongs to the call in flight, which it ends.
    pub(super) fn take(&mut self, id: CallId) -> bool {
        let ours = self
            .in_flight
            .as_ref()
            .is_some_and(|flight| flight.id == id);
        if ours {
            self.in_flight = None;
        }
        ours
    }

    pub(super) const fn succeed(&mut self) {
        self.pause = FIRST_PAUSE;
    }

    pub(super) fn fail(&mut self, now: Time, longest_pause: Duration) {
        self.not_before = now + self.pause;
        self.pause = (self.pause * 2).min(longest_pause);
    }
}
