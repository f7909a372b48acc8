//! Plain services: which replica takes a call.
//!
//! Services need no home: the instances divide each replica's concurrency among themselves.

mod core;
mod replica;

pub use self::core::{Services, Slot, SlotDecision, SlotEnd};
