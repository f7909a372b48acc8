//! Decides how much of a refused request's body is still received.
//!
//! A connection that is closed while its caller sends is reset, and the caller may lose the response. So the rest of a
//! body is received and dropped, as far as it could have been sent to a request that is served.

use std::time::Duration;

use bluebellstage_core::Time;

use super::config::{Config, Limits};

/// What a connection buffers of a body while it is received, in bytes.
pub const RECEIVE_BUFFER: usize = 32 * 1_024;
/// Buffers of refused bodies at an instance without a memory limit, in bytes.
const BUFFERS: u64 = 16 * 1_024 * 1_024;
/// The share of a memory budget that these may take: the reciprocal.
const BUDGET_DIVISOR: u64 = 8;

/// Returns the number of refused bodies that an instance receives at once, given its memory budget in bytes.
#[must_use]
pub fn max_at_once(budget: Option<u64>) -> usize {
    let buffers = budget.map_or(BUFFERS, |budget| budget / BUDGET_DIVISOR);
    let buffers = usize::try_from(buffers).unwrap_or(usize::MAX);
    buffers / RECEIVE_BUFFER
}

/// What callers may send and how long they may take for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UploadBounds {
    /// Maximum size of a body, in bytes.
    pub bytes: usize,
    /// Time to receive it, from the arrival of its head.
    pub time: Duration,
    /// Longest wait for a next part, as for the rest of a head.
    pub silence: Duration,
}

impl UploadBounds {
    /// Returns the bounds for a caller of whom nothing else is known, and for one that is being left.
    #[must_use]
    pub const fn of_anyone(limits: &Limits) -> Self {
        Self {
            bytes: limits.body_bytes,
            time: limits.header_timeout,
            silence: limits.header_timeout,
        }
    }

    /// Returns the bounds for a caller that names a deadline or none. It may name any, so the longest route counts, too.
    #[must_use]
    pub fn of_caller(config: &Config, deadline: Option<Duration>) -> Self {
        let anyone = Self::of_anyone(&config.limits);
        let routes = config.routes.iter().map(|route| route.timeout);
        let longest = routes.max().unwrap_or_default().max(anyone.time);
        Self {
            time: deadline.map_or(longest, |deadline| deadline.min(longest)),
            ..anyone
        }
    }
}

/// What to do about the rest of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DiscardStep {
    /// Receive more, if it comes within this time.
    Receive(Duration),
    /// Leave the rest with its sender.
    Leave,
}

/// The rest of a refused request's body.
#[derive(Clone, Copy, Debug)]
pub struct Discard {
    /// Bytes that may still come; `None` after more than that.
    left: Option<usize>,
    until: Time,
    silence: Duration,
    /// When the last part came, or the request was refused.
    heard_at: Time,
}

impl Discard {
    /// Begins to receive what is left of a body whose head arrived at `arrived`.
    #[must_use]
    pub fn new(bounds: UploadBounds, arrived: Time, now: Time) -> Self {
        Self {
            left: Some(bounds.bytes),
            until: arrived + bounds.time,
            silence: bounds.silence,
            heard_at: now,
        }
    }

    /// Returns whether a rest of at least `bytes` may be received in full.
    #[must_use]
    pub fn fits(&self, bytes: u64) -> bool {
        let bytes = usize::try_from(bytes).ok();
        bytes.is_some_and(|bytes| self.left.is_some_and(|left| bytes <= left))
    }

    /// Records that bytes were received and dropped.
    pub fn record(&mut self, bytes: usize, now: Time) {
        self.heard_at = now;
        self.left = self.left.and_then(|left| left.checked_sub(bytes));
    }

    /// Decides whether more is received. The end of a body that is as long as it may be is still awaited.
    #[must_use]
    pub fn next_step(&self, now: Time) -> DiscardStep {
        let until = self.until.min(self.heard_at + self.silence);
        let span = until.since(now);
        if span.is_zero() || self.left.is_none() {
            return DiscardStep::Leave;
        }
        DiscardStep::Receive(span)
    }
}
