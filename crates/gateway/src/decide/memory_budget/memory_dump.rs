//! The memory budget for operators.

use serde::{Deserialize, Serialize};

use super::mark::Mark;

/// What an instance holds for callers, in bytes.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemoryDump {
    /// What it may hold.
    pub budget: u64,
    /// Beyond this, memory is divided.
    pub first_mark: u64,
    /// From this on, new requests are refused.
    pub last_mark: u64,
    /// The mark that is reached.
    pub mark: Mark,
    /// Connections by themselves.
    pub connections: u64,
    /// Bodies of requests.
    pub request_bodies: u64,
    /// Buffered responses.
    pub responses: u64,
    /// Parts of responses that callers have not taken.
    pub untaken: u64,
    /// Number of callers that wait for memory.
    pub waiting: usize,
    /// Number of callers that make no progress.
    pub stalled: usize,
}

impl MemoryDump {
    /// Returns all bytes that are held.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.connections + self.request_bodies + self.responses + self.untaken
    }
}
