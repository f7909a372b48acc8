//! A few whole instances in memory and virtual time, with small fakes around them.
//!
//! One seed decides every delay and fault, so a run repeats exactly.

mod builder;
mod callers;
mod dispatch;
mod drive;
mod engine;
mod faults;
mod network;
mod node;
mod oracle;
mod platform;

pub use self::builder::FleetBuilder;
pub use self::callers::Answer;
pub use self::drive::Fleet;
pub use self::platform::Health;

/// Microseconds in a millisecond.
pub const MILLIS: u64 = 1_000;
