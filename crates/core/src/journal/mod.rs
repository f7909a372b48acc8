//! Journal of calls that may not be repeated: at most one run for each idempotency key.
//!
//! The home of a workspace records an intent in the platform before the instance that holds the
//! caller sends the call; that instance alone may send it, once. docs/design/journal.md has the
//! protocol and the argument.

mod batch;
mod book;
mod caller;
mod content;
mod core;
mod message;
mod page;

pub use self::core::{CallOutcome, InDoubt, Journal, JournalAsk, JournalDecision, JournalStep};
pub use self::message::{JournalMessage, Verdict};
