//! Request rates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Thousandths per unit.
const MILLI_PER_UNIT: u32 = 1_000;
/// Maximum number of digits on each side of the decimal point.
const MAX_DIGITS: usize = 9;

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

    /// Parses a decimal number with at most one point, which must have digits on both sides. Digits beyond
    /// thousandths are truncated; a value that is too large becomes the maximum rate.
    fn from_str(text: &str) -> Result<Self, BadRequestRate> {
        let (integer, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let is_decimal = |text: &str| {
            (1..=MAX_DIGITS).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_digit())
        };
        if !is_decimal(integer) || !is_decimal(fraction) {
            return Err(BadRequestRate);
        }
        let integer = integer
            .parse::<u32>()
            .map_err(|_malformed| BadRequestRate)?;
        let milli = format!("{fraction:0<3}");
        let milli = milli[..3]
            .parse::<u32>()
            .map_err(|_malformed| BadRequestRate)?;
        Ok(Self(
            integer.saturating_mul(MILLI_PER_UNIT).saturating_add(milli),
        ))
    }
}
