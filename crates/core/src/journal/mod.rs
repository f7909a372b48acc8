//! Journal of calls that may not be repeated: at most one run for each idempotency key.

mod core;
mod message;

pub use self::core::{CallOutcome, InDoubt, Journal, JournalAsk, JournalDecision, JournalStep};
pub use self::message::JournalMessage;
