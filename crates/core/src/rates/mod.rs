//! Rates: shares of each workspace's rate and burst, lent by its home.
//!
//! An instance spends from its own token bucket of (share x rate, share x burst) without asking;
//! shares of one workspace never sum to more than one, so every window of any length obeys
//! burst + rate x time over all instances by construction. docs/design/rates.md has the protocol
//! and the argument.

mod borrower;
mod bucket;
mod channel;
mod core;
mod demand;
mod lending;
mod message;
mod round_trip;
mod share;
mod tenure;
mod workspace;

pub use self::core::{Limits, RateDecision, RateStep, Rates};
pub use self::message::{Holding, RatesBody, RatesMessage, ShareItem, WorkspaceShare};
pub use self::share::{MicroTokens, Share};
