//! Requests a second.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Thousandths in one.
const MILLI: u32 = 1_000;
/// Digits of a number that is read, before and after the point.
const MOST_DIGITS: usize = 9;

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// So many thousandths of a request a second.
    #[must_use]
    pub const fn from_milli(milli: u32) -> Self {
        Self(milli)
    }

    /// Thousandths of a request a second.
    #[must_use]
    pub const fn milli(self) -> u32 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / MILLI, self.0 % MILLI)
    }
}

/// A text that names no rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a rate: name a decimal number of requests a second, such as 1.9")]
pub struct BadRequestRate;

impl FromStr for RequestRate {
    type Err = BadRequestRate;

    /// Reads digits with one point between them, or none. What is beyond thousandths is cut off, and what is
    /// too large to count counts as the largest rate.
    fn from_str(text: &str) -> Result<Self, BadRequestRate> {
        let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
        let digits = |text: &str| {
            (1..=MOST_DIGITS).contains(&text.len())
                && text.bytes().all(|byte| byte.is_ascii_digit())
        };
        if !digits(whole) || !digits(part) {
            return Err(BadRequestRate);
        }
        let whole = whole.parse::<u32>().map_err(|_malformed| BadRequestRate)?;
        let milli = format!("{part:0<3}");
        let milli = milli[..3]
            .parse::<u32>()
            .map_err(|_malformed| BadRequestRate)?;
        Ok(Self(whole.saturating_mul(MILLI).saturating_add(milli)))
    }
}
