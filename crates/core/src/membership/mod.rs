//! Membership: the map, the lease and the activation of owned keys.
//!
//! docs/design/ownership.md explains why two owners of one key never act at the same time.

mod call_pacer;
mod change;
mod core;
mod failure_detector;
mod heartbeat_log;
mod heartbeats;
mod lifecycle;
mod map_store;
mod message;
mod peers;
mod presence;
mod quorum;
mod rejoin;
mod retirement;

pub use self::core::Membership;
pub use self::message::{Heartbeat, MembershipMessage};
pub use self::quorum::CatalogueQuorum;
