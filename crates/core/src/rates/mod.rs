//! Rates: shares of each workspace's rate and burst, lent by its home.
//!
//! An instance spends from its own token bucket of (share x rate, share x burst) without asking;
//! shares of one workspace never sum to more than one, so every window of any length obeys
//! burst + rate x time over all instances by construction.

mod core;
mod message;

pub use self::core::{Limits, RateDecision, RateStep, Rates};
pub use self::message::RatesMessage;
