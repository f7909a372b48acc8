//! Token bucket of one instance's share of a workspace.

use std::time::Duration;

use crate::{Time, Tokens};

use super::Limits;
use super::share::{MICROTOKENS_PER_TOKEN, MicroTokens, Share};

/// Level units per microtoken. The level counts share x rate x microseconds exactly, so refills
/// never round and many short ones add up to the same as one long one.
const LEVEL_PER_MICROTOKEN: u128 = Share::WHOLE.0 as u128;

/// Level units per token.
const LEVEL_PER_TOKEN: u128 = LEVEL_PER_MICROTOKEN * MICROTOKENS_PER_TOKEN as u128;

/// A share and the tokens that move with it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Portion {
    /// Share of the workspace.
    pub share: Share,
    /// Tokens in the share; at most share x burst.
    pub tokens: MicroTokens,
}

/// Token bucket with capacity share x burst and refill rate share x rate.
///
/// Uses only clock readings of the local instance.
#[derive(Clone, Debug)]
pub struct Bucket {
    share: Share,
    level: u128,
    refilled_at: Time,
    limits: Option<Limits>,
}

impl Bucket {
    /// Creates a bucket without share and tokens.
    pub const fn new(now: Time) -> Self {
        Self {
            share: Share::NONE,
            level: 0,
            refilled_at: now,
            limits: None,
        }
    }

    /// Returns the share held.
    pub const fn share(&self) -> Share {
        self.share
    }

    /// Returns the limits in force.
    pub const fn limits(&self) -> Option<Limits> {
        self.limits
    }

    /// Returns the tokens available now.
    pub fn level(&mut self, now: Time) -> MicroTokens {
        self.refill(now);
        MicroTokens(u64::try_from(self.level / LEVEL_PER_MICROTOKEN).unwrap_or(u64::MAX))
    }

    /// Returns the capacity of the bucket.
    pub fn capacity(&self) -> MicroTokens {
        MicroTokens(u64::try_from(self.capacity_units() / LEVEL_PER_MICROTOKEN).unwrap_or(u64::MAX))
    }

    /// Sets the catalogue's limits. Without limits, the capacity is 0 and no tokens accrue.
    ///
    /// Time up to now is credited at the old rate. A lower burst cuts the level immediately. A
    /// higher burst doesn't raise it, because the added tokens were never accrued; the bucket fills
    /// at the rate.
    pub fn set_limits(&mut self, now: Time, limits: Option<Limits>) {
        self.refill(now);
        self.limits = limits;
        self.level = self.level.min(self.capacity_units());
    }

    /// Spends `tokens` if they are available and returns whether it did.
    pub fn try_spend(&mut self, now: Time, tokens: Tokens) -> bool {
        self.refill(now);
        let cost = u128::from(tokens.0) * LEVEL_PER_TOKEN;
        if cost > self.level {
            return false;
        }
        self.level -= cost;
        true
    }

    /// Adds unused tokens back, up to the capacity share x burst.
    pub fn refund(&mut self, now: Time, tokens: MicroTokens) {
        self.refill(now);
        self.level = self
            .capacity_units()
            .min(self.level + u128::from(tokens.0) * LEVEL_PER_MICROTOKEN);
    }

    /// Adds a share and its tokens.
    pub fn add(&mut self, now: Time, portion: Portion) {
        self.refill(now);
        self.share += portion.share;
        self.refund(now, portion.tokens);
    }

    /// Fills the bucket. Allowed only for a share that no instance has ever spent from.
    pub fn fill(&mut self, now: Time) {
        self.refill(now);
        self.level = self.capacity_units();
    }

    /// Splits off up to `share` with `tokens`, as far as each of the two parts can hold its tokens.
    ///
    /// Tokens move only with a share that can hold them. If they moved alone, both ends could
    /// refill to their capacities during the transfer, and a window would see more than the burst.
    pub fn split(&mut self, now: Time, share: Share, tokens: MicroTokens) -> Portion {
        self.refill(now);
        let share = share.min(self.share);
        if share == Share::NONE {
            return Portion::default();
        }
        let remaining = self.share.saturating_sub(share);
        let proportional = self.level * u128::from(share.0) / u128::from(self.share.0);
        let requested = proportional.max(u128::from(tokens.0) * LEVEL_PER_MICROTOKEN);
        let moved = requested.min(self.level).min(self.capacity_units_of(share));
        let moved = MicroTokens(u64::try_from(moved / LEVEL_PER_MICROTOKEN).unwrap_or(u64::MAX));
        self.level -= u128::from(moved.0) * LEVEL_PER_MICROTOKEN;
        self.share = remaining;
        self.level = self.level.min(self.capacity_units());
        Portion {
            share,
            tokens: moved,
        }
    }

    /// Removes the share and all tokens.
    pub fn clear(&mut self) {
        self.share = Share::NONE;
        self.level = 0;
    }

    /// Returns the time until `tokens` are available if nothing else is spent, or `None` if they
    /// never will be.
    pub fn time_until(&mut self, now: Time, tokens: MicroTokens) -> Option<Duration> {
        self.refill(now);
        let cost = u128::from(tokens.0) * LEVEL_PER_MICROTOKEN;
        let missing = cost.saturating_sub(self.level);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        let refill_speed = u128::from(self.share.0) * u128::from(self.limits?.rate.0);
        if refill_speed == 0 || cost > self.capacity_units() {
            return None;
        }
        let micros = u64::try_from(missing.div_ceil(refill_speed)).unwrap_or(u64::MAX);
        Some(Duration::from_micros(micros))
    }

    fn capacity_units(&self) -> u128 {
        self.capacity_units_of(self.share)
    }

    fn capacity_units_of(&self, share: Share) -> u128 {
        let burst = self.limits.map_or(0, |limits| limits.burst.0);
        u128::from(share.0)
            .saturating_mul(u128::from(burst))
            .saturating_mul(u128::from(MICROTOKENS_PER_TOKEN))
    }

    fn refill(&mut self, now: Time) {
        let micros = now.since(self.refilled_at).as_micros();
        if micros == 0 {
            return;
        }
        self.refilled_at = now;
        let rate = self.limits.map_or(0, |limits| limits.rate.0);
        let accrued = micros
            .saturating_mul(u128::from(rate))
            .saturating_mul(u128::from(self.share.0));
        self.level = self
            .capacity_units()
            .min(self.level.saturating_add(accrued));
    }
}
