//! Shares of a workspace's rate and burst, and amounts of its tokens.

use std::fmt;
use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};

use crate::Tokens;

/// Microtokens per token.
pub const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// A fraction of a workspace's rate and burst, in units of 2^-20. Integer units make sums exact.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Share(pub u32);

impl Share {
    /// The empty share.
    pub const NONE: Self = Self(0);
    /// The full rate and burst.
    pub const WHOLE: Self = Self(1 << 20);

    /// Returns the share `numerator / denominator`, rounded down and capped at [`Share::WHOLE`].
    /// Returns [`Share::NONE`] if `denominator` is 0.
    #[must_use]
    pub fn fraction(numerator: u128, denominator: u128) -> Self {
        Self::WHOLE.scaled(numerator, denominator)
    }

    /// Returns the share `numerator / denominator`, rounded up and capped at [`Share::WHOLE`].
    /// Returns [`Share::NONE`] if `denominator` is 0.
    #[must_use]
    pub fn fraction_rounded_up(numerator: u128, denominator: u128) -> Self {
        if denominator == 0 {
            return Self::NONE;
        }
        let units = numerator
            .saturating_mul(u128::from(Self::WHOLE.0))
            .div_ceil(denominator);
        Self(u32::try_from(units).unwrap_or(u32::MAX).min(Self::WHOLE.0))
    }

    /// Returns this share times `numerator / denominator`, rounded down and capped at
    /// [`Share::WHOLE`]. Returns [`Share::NONE`] if `denominator` is 0.
    #[must_use]
    pub fn scaled(self, numerator: u128, denominator: u128) -> Self {
        if denominator == 0 {
            return Self::NONE;
        }
        let units = numerator.saturating_mul(u128::from(self.0)) / denominator;
        Self(u32::try_from(units).unwrap_or(u32::MAX).min(Self::WHOLE.0))
    }

    /// Returns the difference, or [`Share::NONE`] if it would be negative.
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

/// An amount of tokens in millionths, the unit in which instances transfer them.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct MicroTokens(pub u64);

impl From<Tokens> for MicroTokens {
    fn from(tokens: Tokens) -> Self {
        Self(tokens.0.saturating_mul(MICROTOKENS_PER_TOKEN))
    }
}
