//! A caller that is ended.

use std::time::Duration;

use super::ConnectionKey;

/// A caller that is ended because memory is short and it makes no progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedCaller {
    /// Its connection.
    pub key: ConnectionKey,
    /// Bytes that it holds.
    pub held: u64,
    /// Time without progress.
    pub stalled: Duration,
}

impl EndedCaller {
    /// Bytes times milliseconds.
    pub(super) fn weight(&self) -> u128 {
        u128::from(self.held) * self.stalled.as_millis()
    }
}
