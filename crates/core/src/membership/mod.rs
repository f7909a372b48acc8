//! Membership: the map, standing and activation.

mod core;
mod message;

pub use self::core::{CatalogueQuorum, Membership};
pub use self::message::MembershipMessage;
