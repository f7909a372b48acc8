//! How fast a workspace's tokens are asked for at one instance.

use std::time::Duration;

use crate::Time;

use super::share::MicroTokens;

/// After this time a past charge counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Natural logarithm of two, in thousandths: turns a sum that halves each `HALF_LIFE` into a rate.
const LN_2_THOUSANDTHS: u64 = 693;

/// An estimate of tokens a second that fades with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    recent: u64,
    at: Time,
}

impl Demand {
    /// Counts a charge.
    pub fn add(&mut self, now: Time, tokens: MicroTokens) {
        self.fade(now);
        self.recent = self.recent.saturating_add(tokens.0);
    }

    /// Takes back a part of earlier charges.
    pub fn sub(&mut self, now: Time, tokens: MicroTokens) {
        self.fade(now);
        self.recent = self.recent.saturating_sub(tokens.0);
    }

    /// Microtokens a second.
    pub fn rate(&mut self, now: Time) -> u64 {
        self.fade(now);
        let per_half_life = u128::from(self.recent) * u128::from(LN_2_THOUSANDTHS);
        u64::try_from(per_half_life / HALF_LIFE.as_millis()).unwrap_or(u64::MAX)
    }

    // Halves for each whole half-life and goes straight between two halvings.
    fn fade(&mut self, now: Time) {
        let passed = now.since(self.at).as_micros();
        if passed == 0 {
            return;
        }
        self.at = now;
        let half_life = HALF_LIFE.as_micros();
        let halvings = u32::try_from(passed / half_life).unwrap_or(u32::MAX);
        self.recent = self.recent.checked_shr(halvings).unwrap_or(0);
        let rest = u128::from(self.recent) * (passed % half_life) / (2 * half_life);
        self.recent -= u64::try_from(rest).unwrap_or(0);
    }
}

/// A told demand counts half after this time: a borrower that has enough says nothing, so silence
/// is no sign that it asks for less.
const TOLD_HALF_LIFE: Duration = Duration::from_secs(8);

/// What another instance told of its demand.
#[derive(Clone, Copy, Debug, Default)]
pub struct ToldDemand {
    rate: u64,
    at: Time,
}

impl ToldDemand {
    /// As told now.
    pub const fn new(now: Time, rate: u64) -> Self {
        Self { rate, at: now }
    }

    /// Microtokens a second, as far as it is known.
    pub fn rate(&self, now: Time) -> u64 {
        let halvings = now.since(self.at).as_micros() / TOLD_HALF_LIFE.as_micros();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        self.rate.checked_shr(halvings).unwrap_or(0)
    }
}
