//! Journal of calls that may not be repeated: each idempotency key runs at most once.
//!
//! The owner of a workspace records an intent in the platform before the instance that holds the
//! caller sends the call. Only that instance may send the call, and only once.
//! docs/design/journal.md describes the protocol and why it is safe.

mod batch;
mod caller;
mod content;
mod core;
mod message;
mod owner;
mod page;

pub use self::core::{CallIntent, CallOutcome, InDoubt, Journal, JournalDecision, JournalStep};
pub use self::message::{IntentReply, JournalMessage};
