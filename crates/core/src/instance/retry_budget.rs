//! A budget for retries, so that they can't multiply an outage's load.

use serde::Serialize;

use crate::Time;

/// Retries earned by each fresh request, in thousandths.
const EARNED_PER_REQUEST: u64 = 100;

/// Retries earned by each second, in thousandths; lets a quiet instance retry at all.
const EARNED_PER_SECOND: u64 = 3_000;

/// Most retries kept, in thousandths.
const KEPT: u64 = 50_000;

/// One retry, in thousandths.
const ONE: u64 = 1_000;

/// Retries of idempotent work that this instance may still make.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct RetryBudget {
    thousandths: u64,
    earned_until: Time,
}

impl RetryBudget {
    /// A full budget.
    pub(super) const fn new(now: Time) -> Self {
        Self {
            thousandths: KEPT,
            earned_until: now,
        }
    }

    /// A fresh request came.
    pub(super) fn earn(&mut self) {
        self.thousandths = (self.thousandths + EARNED_PER_REQUEST).min(KEPT);
    }

    /// Takes one retry; false if none is left.
    pub(super) fn take(&mut self, now: Time) -> bool {
        let micros = u64::try_from(now.since(self.earned_until).as_micros()).unwrap_or(u64::MAX);
        self.earned_until = now;
        self.thousandths =
            (self.thousandths + micros.saturating_mul(EARNED_PER_SECOND) / 1_000_000).min(KEPT);
        match self.thousandths.checked_sub(ONE) {
            Some(left) => {
                self.thousandths = left;
                true
            }
            None => false,
        }
    }
}
