//! How much a workspace spent lately.

use std::time::Duration;

use bluebellstage_core::Time;

use crate::decide::config::Quota;

/// Time in which spending loses most of its weight. Reports of a large fleet are a fraction of a second old, and a
/// share must not be lost for long by one large request.
pub(super) const SPENDING_WINDOW: Duration = Duration::from_secs(3);

/// Spending of a workspace, where older spending weighs less.
#[derive(Clone, Copy, Debug)]
pub struct RecentSpending {
    total: i64,
    /// Units a second.
    rate: f64,
    at: Time,
}

#[expect(clippy::cast_precision_loss, reason = "clamped to what a quota allows")]
fn to_f64(units: i64) -> f64 {
    units as f64
}

#[expect(clippy::cast_precision_loss, reason = "quotas stay far below 2^52")]
fn quota_to_f64(units: u64) -> f64 {
    units as f64
}

impl RecentSpending {
    /// Begins with the total of a workspace; what was spent before is not known.
    #[must_use]
    pub const fn new(total: i64, now: Time) -> Self {
        Self {
            total,
            rate: 0.0,
            at: now,
        }
    }

    /// Records the total that was spent until `now`; it falls when charges are refunded. No more is believed than the
    /// quota allows.
    pub fn record(&mut self, total: i64, quota: Quota, now: Time) {
        let window = SPENDING_WINDOW.as_secs_f64();
        let increase = to_f64(total.saturating_sub(self.total));
        let most = quota_to_f64(quota.rate.0) + quota_to_f64(quota.burst.0) / window;
        self.rate = (self.rate(now) + increase / window).clamp(0.0, most);
        self.total = total;
        self.at = self.at.max(now);
    }

    /// Returns the recent rate in units a second.
    #[must_use]
    pub fn rate(&self, now: Time) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.rate * (-elapsed / SPENDING_WINDOW.as_secs_f64()).exp()
    }
}
