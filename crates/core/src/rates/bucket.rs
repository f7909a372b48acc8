//! The token bucket of one instance's share of a workspace.

use std::time::Duration;

use crate::{Time, Tokens};

use super::Limits;
use super::share::{MICROS, MicroTokens, Share};

/// Level units in a microtoken. A level counts share x rate x microseconds exactly, so that
/// refills never round and many small ones give what one long one gives.
const PER_MICRO: u128 = Share::WHOLE.0 as u128;

/// Level units in a token.
const PER_TOKEN: u128 = PER_MICRO * MICROS as u128;

/// A share taken out of a bucket with the tokens that go with it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Parcel {
    /// How much of the workspace.
    pub share: Share,
    /// What it holds; at most share x burst.
    pub tokens: MicroTokens,
}

/// A bucket that holds up to share x burst and refills by share x rate.
///
/// It goes by the clock readings of its own instance only.
#[derive(Clone, Debug)]
pub struct Bucket {
    share: Share,
    level: u128,
    filled_at: Time,
    limits: Option<Limits>,
}

impl Bucket {
    /// No share, no tokens.
    pub const fn new(now: Time) -> Self {
        Self {
            share: Share::NONE,
            level: 0,
            filled_at: now,
            limits: None,
        }
    }

    /// The share held.
    pub const fn share(&self) -> Share {
        self.share
    }

    /// The limits in force here.
    pub const fn limits(&self) -> Option<Limits> {
        self.limits
    }

    /// Tokens to spend now.
    pub fn level(&mut self, now: Time) -> MicroTokens {
        self.refill(now);
        MicroTokens(u64::try_from(self.level / PER_MICRO).unwrap_or(u64::MAX))
    }

    /// The most that this share can hold.
    pub fn capacity(&self) -> MicroTokens {
        MicroTokens(u64::try_from(self.cap() / PER_MICRO).unwrap_or(u64::MAX))
    }

    /// Adopts the catalogue's limits; without any, nothing is held and nothing accrues.
    ///
    /// Time up to now is credited at the old rate. A lower burst cuts the level at once; a higher
    /// one fills at the rate, because what it adds was never accrued.
    pub fn set_limits(&mut self, now: Time, limits: Option<Limits>) {
        self.refill(now);
        self.limits = limits;
        self.level = self.level.min(self.cap());
    }

    /// Spends `tokens` if they are there.
    pub fn take(&mut self, now: Time, tokens: Tokens) -> bool {
        self.refill(now);
        let cost = u128::from(tokens.0) * PER_TOKEN;
        if cost > self.level {
            return false;
        }
        self.level -= cost;
        true
    }

    /// Takes back unused tokens, never above share x burst.
    pub fn give_back(&mut self, now: Time, tokens: MicroTokens) {
        self.refill(now);
        self.level = self
            .cap()
            .min(self.level + u128::from(tokens.0) * PER_MICRO);
    }

    /// Adds a share with its tokens.
    pub fn put(&mut self, now: Time, parcel: Parcel) {
        self.refill(now);
        self.share += parcel.share;
        self.give_back(now, parcel.tokens);
    }

    /// Fills up; only for a share that nobody ever spent from.
    pub fn fill(&mut self, now: Time) {
        self.refill(now);
        self.level = self.cap();
    }

    /// Splits off up to `share` with `tokens`, as far as both parts can hold what they get.
    ///
    /// Tokens only move with a share that can hold them. Moved alone, they would let both ends
    /// refill to their capacities while they travel, and a window would see more than the burst.
    pub fn split(&mut self, now: Time, share: Share, tokens: MicroTokens) -> Parcel {
        self.refill(now);
        let share = share.min(self.share);
        if share == Share::NONE {
            return Parcel::default();
        }
        let kept = self.share.saturating_sub(share);
        let even = self.level * u128::from(share.0) / u128::from(self.share.0);
        let wanted = even.max(u128::from(tokens.0) * PER_MICRO);
        let moved = wanted.min(self.level).min(self.cap_of(share));
        let moved = MicroTokens(u64::try_from(moved / PER_MICRO).unwrap_or(u64::MAX));
        self.level -= u128::from(moved.0) * PER_MICRO;
        self.share = kept;
        self.level = self.level.min(self.cap());
        Parcel {
            share,
            tokens: moved,
        }
    }

    /// Lets go of everything.
    pub fn clear(&mut self) {
        self.share = Share::NONE;
        self.level = 0;
    }

    /// Time until `tokens` are there if nothing else is spent; none if they never are.
    pub fn wait_for(&mut self, now: Time, tokens: MicroTokens) -> Option<Duration> {
        self.refill(now);
        let cost = u128::from(tokens.0) * PER_MICRO;
        let missing = cost.saturating_sub(self.level);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        let speed = u128::from(self.share.0) * u128::from(self.limits?.rate.0);
        if speed == 0 || cost > self.cap() {
            return None;
        }
        let micros = u64::try_from(missing.div_ceil(speed)).unwrap_or(u64::MAX);
        Some(Duration::from_micros(micros))
    }

    fn cap(&self) -> u128 {
        self.cap_of(self.share)
    }

    fn cap_of(&self, share: Share) -> u128 {
        let burst = self.limits.map_or(0, |limits| limits.burst.0);
        u128::from(share.0)
            .saturating_mul(u128::from(burst))
            .saturating_mul(u128::from(MICROS))
    }

    fn refill(&mut self, now: Time) {
        let micros = now.since(self.filled_at).as_micros();
        if micros == 0 {
            return;
        }
        self.filled_at = now;
        let rate = self.limits.map_or(0, |limits| limits.rate.0);
        let accrued = micros
            .saturating_mul(u128::from(rate))
            .saturating_mul(u128::from(self.share.0));
        self.level = self.cap().min(self.level.saturating_add(accrued));
    }
}
