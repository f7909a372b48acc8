//! Token bucket for retries, which keeps them from multiplying the load during an outage.

use serde::Serialize;

use crate::Time;

/// Retries earned by each new request, in thousandths.
const EARNED_THOUSANDTHS_PER_REQUEST: u64 = 100;

/// Retries earned each second, in thousandths; permits retries on an instance with little traffic.
const EARNED_THOUSANDTHS_PER_SECOND: u64 = 3_000;

/// Capacity of the budget, in thousandths of a retry.
const MAX_THOUSANDTHS: u64 = 50_000;

/// Cost of one retry, in thousandths.
const THOUSANDTHS_PER_RETRY: u64 = 1_000;

/// Number of retries of idempotent requests that this instance may still make.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct RetryBudget {
    thousandths: u64,
    earned_until: Time,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(super) const fn new(now: Time) -> Self {
        Self {
            thousandths: MAX_THOUSANDTHS,
            earned_until: now,
        }
    }

    /// Credits the budget for a new request.
    pub(super) fn earn(&mut self) {
        self.thousandths = (self.thousandths + EARNED_THOUSANDTHS_PER_REQUEST).min(MAX_THOUSANDTHS);
    }

    /// Consumes one retry; returns false if the budget is exhausted.
    pub(super) fn try_take(&mut self, now: Time) -> bool {
        let micros = u64::try_from(now.since(self.earned_until).as_micros()).unwrap_or(u64::MAX);
        self.earned_until = now;
        self.thousandths = (self.thousandths
            + micros.saturating_mul(EARNED_THOUSANDTHS_PER_SECOND) / 1_000_000)
            .min(MAX_THOUSANDTHS);
        match self.thousandths.checked_sub(THOUSANDTHS_PER_RETRY) {
            Some(remaining) => {
                self.thousandths = remaining;
                true
            }
            None => false,
        }
    }
}
