//! Shares of a workspace's rate and burst, and amounts of its tokens.

use std::fmt;
use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};

use crate::Tokens;

/// Microtokens in a token.
pub const MICROS: u64 = 1_000_000;

/// A part of a workspace's rate and burst, in 2^20ths: whole numbers, so that sums are exact.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Share(pub u32);

impl Share {
    /// Nothing.
    pub const NONE: Self = Self(0);
    /// The whole rate and burst.
    pub const WHOLE: Self = Self(1 << 20);

    /// The part `numerator / denominator`, rounded down, at most the whole; none of nothing.
    #[must_use]
    pub fn part(numerator: u128, denominator: u128) -> Self {
        Self::WHOLE.scaled(numerator, denominator)
    }

    /// The part `numerator / denominator`, rounded up, at most the whole.
    #[must_use]
    pub fn part_up(numerator: u128, denominator: u128) -> Self {
        if denominator == 0 {
            return Self::NONE;
        }
        let units = numerator
            .saturating_mul(u128::from(Self::WHOLE.0))
            .div_ceil(denominator);
        Self(u32::try_from(units).unwrap_or(u32::MAX).min(Self::WHOLE.0))
    }

    /// This share times `numerator / denominator`, rounded down, at most the whole.
    #[must_use]
    pub fn scaled(self, numerator: u128, denominator: u128) -> Self {
        if denominator == 0 {
            return Self::NONE;
        }
        let units = numerator.saturating_mul(u128::from(self.0)) / denominator;
        Self(u32::try_from(units).unwrap_or(u32::MAX).min(Self::WHOLE.0))
    }

    /// Difference, never below none.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Share {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Share {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = f64::from(self.0) * 100.0 / f64::from(Self::WHOLE.0);
        write!(f, "{percent:.2}%")
    }
}

/// An amount of tokens in millionths, as it moves between instances.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct MicroTokens(pub u64);

impl From<Tokens> for MicroTokens {
    fn from(tokens: Tokens) -> Self {
        Self(tokens.0.saturating_mul(MICROS))
    }
}
