//! Plain services: selects a replica for each call.
//!
//! Services need no owner: the instances divide each replica's concurrency among themselves.

mod core;
mod replica;

pub use self::core::{Services, Slot, SlotDecision, SlotEnd};
