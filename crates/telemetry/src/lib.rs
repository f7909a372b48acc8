//! What the logs and metrics of all processes share.

pub mod instruments;

mod log_events;

#[doc(hidden)]
pub use log::Level;

/// Where numbered events go; nothing else of a process or its libraries logs there.
pub const LOG_TARGET: &str = "bluebellstage::event";
