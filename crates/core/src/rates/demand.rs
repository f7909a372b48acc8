//! Estimates of a workspace's token demand at one instance.

use std::time::Duration;

use crate::Time;

use super::share::MicroTokens;

/// Half-life of a charge in the demand estimate.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Natural logarithm of two, in thousandths. Converts a sum that halves every `HALF_LIFE` into a
/// rate.
const LN_2_THOUSANDTHS: u64 = 693;

/// Estimated token demand of the local requests: an exponentially decaying sum of charges.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    decayed_sum: u64,
    updated_at: Time,
}

impl Demand {
    /// Adds a charge.
    pub fn add(&mut self, now: Time, tokens: MicroTokens) {
        self.decay(now);
        self.decayed_sum = self.decayed_sum.saturating_add(tokens.0);
    }

    /// Subtracts the refunded part of earlier charges.
    pub fn sub(&mut self, now: Time, tokens: MicroTokens) {
        self.decay(now);
        self.decayed_sum = self.decayed_sum.saturating_sub(tokens.0);
    }

    /// Returns the demand in microtokens per second.
    pub fn rate(&mut self, now: Time) -> u64 {
        self.decay(now);
        let per_half_life = u128::from(self.decayed_sum) * u128::from(LN_2_THOUSANDTHS);
        u64::try_from(per_half_life / HALF_LIFE.as_millis()).unwrap_or(u64::MAX)
    }

    // Halves the sum for each full half-life and interpolates linearly within the last one.
    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_micros();
        if elapsed == 0 {
            return;
        }
        self.updated_at = now;
        let half_life = HALF_LIFE.as_micros();
        let halvings = u32::try_from(elapsed / half_life).unwrap_or(u32::MAX);
        self.decayed_sum = self.decayed_sum.checked_shr(halvings).unwrap_or(0);
        let partial = u128::from(self.decayed_sum) * (elapsed % half_life) / (2 * half_life);
        self.decayed_sum -= u64::try_from(partial).unwrap_or(0);
    }
}

/// Half-life of a demand reported by a peer. A borrower that has enough tokens sends no messages,
/// so the absence of reports doesn't mean that its demand fell.
const REPORTED_HALF_LIFE: Duration = Duration::from_secs(8);

/// Demand reported by another instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedDemand {
    rate: u64,
    updated_at: Time,
}

impl ReportedDemand {
    /// Creates a report of `rate` microtokens per second, received at `now`.
    pub const fn new(now: Time, rate: u64) -> Self {
        Self {
            rate,
            updated_at: now,
        }
    }

    /// Returns the reported demand in microtokens per second, reduced by the age of the report.
    pub fn rate(&self, now: Time) -> u64 {
        let halvings = now.since(self.updated_at).as_micros() / REPORTED_HALF_LIFE.as_micros();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        self.rate.checked_shr(halvings).unwrap_or(0)
    }
}
