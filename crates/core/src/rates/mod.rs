//! Rate limits: shares of each workspace's rate and burst, lent by the workspace's owner.
//!
//! Each instance spends from a local token bucket of (share x rate, share x burst) without
//! contacting other instances. The shares of a workspace never sum to more than one, so over all
//! instances every window of any length admits at most burst + rate x time. docs/design/rates.md
//! describes the protocol and the proof.

mod borrower;
mod bucket;
mod channel;
mod core;
mod demand;
mod lending;
mod message;
mod revision_state;
mod round_trip;
mod share;
mod workspace;

pub use self::core::{Limits, RateDecision, RateStep, Rates};
pub use self::message::{Holding, RatesBody, RatesMessage, ShareItem, WorkspaceShare};
pub use self::share::{MicroTokens, Share};
