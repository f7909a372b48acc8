//! Engines: placement, queues, permits and loading.
//!
//! A group of engines (see [`crate::Grouping`]) has one home, which alone orders loads and unloads
//! on them and lets requests in. The instance that holds the caller asks the home for a permit and
//! then streams from the engine itself.

mod core;
mod message;

pub use self::core::{Engines, Permit, PermitAsk, PermitDecision, PermitEnd};
pub use self::message::EnginesMessage;
