//! Sizes, rates, times and revisions.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::CoreError;

macro_rules! number {
    ($($(#[$doc:meta])* $name:ident, $kind:literal;)+) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = CoreError;

            fn from_str(s: &str) -> Result<Self, CoreError> {
                s.parse().map(Self).map_err(|_not_a_number| CoreError::MalformedNumber {
                    kind: $kind,
                    raw: s.chars().take(32).collect(),
                })
            }
        }
    )+};
}

number! {
    /// Version of an adapter's weights.
    AdapterVersion, "adapter version";
    /// Number that increases with each change of an order's issuer; targets refuse older ones.
    Fencing, "fencing number";
    /// Distinguishes the restarts of one instance: each start chooses a new number.
    Incarnation, "incarnation";
    /// Version of a platform object, as assigned by the platform.
    ObjectVersion, "object version";
    /// Tokens per second.
    Rate, "rate";
    /// Revision of the map or of the catalogue; never decreases.
    Revision, "revision";
    /// A count of tokens.
    Tokens, "tokens";
}

impl Revision {
    /// Reported in place of a catalogue revision by an instance that can't determine whether its
    /// own is the newest.
    ///
    /// Such an instance must not count towards a majority that confirms a catalogue as current.
    pub const UNCERTAIN: Self = Self(u64::MAX);

    /// Returns the next revision.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Tokens {
    /// Returns the difference, or zero if `other` is greater.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

/// A reading of a process's monotonic clock, in microseconds since an arbitrary start.
///
/// Readings of different processes must not be compared.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the reading `millis` milliseconds after the start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
