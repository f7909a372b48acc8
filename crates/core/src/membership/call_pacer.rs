//! Pacing of calls to the platform.

use std::time::Duration;

use crate::{CallId, Time};

/// A call without a response for this long counts as lost. Without the timeout, a driver of this
/// crate that loses one call would block all further calls of its kind.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Backoff after the first failed call; doubles with each further failure up to a given maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(125);

/// Allows at most one call of a kind in flight and delays calls after a failure.
#[derive(Debug)]
pub(super) struct CallPacer {
    in_flight: Option<InFlightCall>,
    sent_at: Option<Time>,
    not_before: Time,
    backoff: Duration,
}

#[derive(Debug)]
struct InFlightCall {
    id: CallId,
    sent_at: Time,
}

impl CallPacer {
    pub(super) const fn new() -> Self {
        Self {
            in_flight: None,
            sent_at: None,
            not_before: Time(0),
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Whether a call may be sent now, at least `min_interval` after the previous one.
    pub(super) fn can_send(&self, now: Time, min_interval: Duration) -> bool {
        let is_waiting = self
            .in_flight
            .as_ref()
            .is_some_and(|call| now.since(call.sent_at) < CALL_TIMEOUT);
        let is_interval_over = self.sent_at.is_none_or(|at| now >= at + min_interval);
        !is_waiting && is_interval_over && now >= self.not_before
    }

    pub(super) fn record_sent(&mut self, now: Time, id: CallId) {
        self.in_flight = Some(InFlightCall { id, sent_at: now });
        self.sent_at = Some(now);
    }

    /// Completes the call in flight if it has this id; returns whether it has.
    pub(super) fn complete(&mut self, id: CallId) -> bool {
        let is_in_flight = self.in_flight.as_ref().is_some_and(|call| call.id == id);
        if is_in_flight {
            self.in_flight = None;
        }
        is_in_flight
    }

    pub(super) const fn record_success(&mut self) {
        self.backoff = INITIAL_BACKOFF;
    }

    pub(super) fn record_failure(&mut self, now: Time, max_backoff: Duration) {
        self.not_before = now + self.backoff;
        self.backoff = (self.backoff * 2).min(max_backoff);
    }
}
