//! Requests that wait for a place at the targets of a service, and the order in which they get one.

mod report;
mod standing;

pub use self::report::{WaitingCount, WaitingCounts};
pub use self::standing::Standing;

/// Requests that wait for places, of this instance and as far as known of all others.
#[derive(Debug, Default)]
pub struct WaitQueue {}

impl WaitQueue {
    /// Returns the requests of this instance that wait, for its next status.
    #[must_use]
    pub fn local_counts(&self) -> WaitingCounts {
        WaitingCounts::default()
    }
}
