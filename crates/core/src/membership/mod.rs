//! Membership: the map, standing and activation.
//!
//! docs/design/ownership.md argues why two homes of one key never act at once.

mod beat_log;
mod calls;
mod change;
mod core;
mod heartbeats;
mod message;
mod peers;
mod place;
mod presence;
mod quorum;
mod rejoin;
mod retirement;
mod silence;
mod store;

pub use self::core::Membership;
pub use self::message::{Heartbeat, MembershipMessage};
pub use self::quorum::CatalogueQuorum;
