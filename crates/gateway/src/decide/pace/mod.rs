//! Speed of targets, as all instances together measure it.
//!
//! An instance sees too few outcomes of one target to know how fast it is. Each reports what it has seen lately,
//! relays add the reports up, and every instance decides by the sums.

mod report;

pub use self::report::{PaceReport, PaceReports, Work};

use bluebellstage_core::Time;

use super::rendezvous::ShortHash;

/// Speed of targets, from this instance's outcomes and the reports of others.
#[derive(Debug, Default)]
pub struct Pace;

impl Pace {
    /// Returns what this instance reports in its next status: a bounded number of targets, in turn.
    pub fn take_reports(&mut self, _now: Time) -> PaceReports {
        Vec::new()
    }

    /// Records the reports in a peer's status.
    pub fn record_peer(&mut self, _peer: ShortHash, _reports: &PaceReports, _now: Time) {}

    /// Returns the sums that a relay sends to `subscriber`, without that instance's own part: a bounded number of
    /// targets, in turn.
    pub fn sums_for(&mut self, _subscriber: ShortHash, _now: Time) -> PaceReports {
        Vec::new()
    }

    /// Records the sums of all other instances in a relay's update.
    pub fn record_sums(&mut self, _sums: &PaceReports, _now: Time) {}
}
