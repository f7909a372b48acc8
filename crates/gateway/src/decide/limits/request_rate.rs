//! Request rates.

use std::fmt;
use std::str::FromStr;

use bluebellstage_core::{MILLI_PER_UNIT, parse_milli};
use serde::{Deserialize, Serialize};

/// Requests per second, stored in thousandths.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Creates a rate from thousandths of a request per second.
    #[must_use]
    pub const fn from_milli(milli: u32) -> Self {
        Self(milli)
    }

    /// Returns the rate in thousandths of a request per second.
    #[must_use]
    pub const fn milli(self) -> u32 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:03}",
            self.0 / MILLI_PER_UNIT,
            self.0 % MILLI_PER_UNIT
        )
    }
}

/// Error for a text that is not a rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a rate: name a decimal number of requests a second, such as 1.9")]
pub struct BadRequestRate;

impl FromStr for RequestRate {
    type Err = BadRequestRate;

    /// Parses a decimal number of requests per second, see [`parse_milli`].
    fn from_str(text: &str) -> Result<Self, BadRequestRate> {
        parse_milli(text).map(Self).ok_or(BadRequestRate)
    }
}
