//! Streams of events: where they began, how they go on and how they end.

pub mod connection_end;
pub mod events;
pub mod origins;
pub(super) mod software_history;
pub mod times;
