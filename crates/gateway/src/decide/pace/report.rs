//! What instances report to each other about the speed of targets.

use serde::{Deserialize, Serialize};

use crate::decide::rendezvous::ShortHash;

/// An amount of work and the time that it took. Those of several instances add up.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Work {
    /// Amount, in the unit of the kind of work.
    pub amount: u32,
    /// Time in milliseconds.
    pub millis: u32,
}

impl Work {
    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.amount = self.amount.saturating_add(other.amount);
        self.millis = self.millis.saturating_add(other.millis);
    }

    /// Subtracts other work.
    pub fn subtract(&mut self, other: Self) {
        self.amount = self.amount.saturating_sub(other.amount);
        self.millis = self.millis.saturating_sub(other.millis);
    }
}

/// Recent work of a target, as one or several instances have seen it. Older work weighs less.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct PaceReport {
    /// Prompt tokens that were queued before an event stream began, and the time until its first event.
    pub prompts: Work,
    /// Events after the first one of each stream, and the time between them.
    pub events: Work,
    /// Gaps between events that were longer than the route's target gap.
    pub long_gaps: u32,
    /// Complete responses of a plain target, and the time that they took.
    pub responses: Work,
}

impl PaceReport {
    /// Adds what other instances have seen.
    pub fn add(&mut self, other: &Self) {
        self.prompts.add(other.prompts);
        self.events.add(other.events);
        self.long_gaps = self.long_gaps.saturating_add(other.long_gaps);
        self.responses.add(other.responses);
    }

    /// Subtracts what another instance has seen.
    pub fn subtract(&mut self, other: &Self) {
        self.prompts.subtract(other.prompts);
        self.events.subtract(other.events);
        self.long_gaps = self.long_gaps.saturating_sub(other.long_gaps);
        self.responses.subtract(other.responses);
    }
}

/// Reports on targets, by the hash of their incarnation.
pub type PaceReports = Vec<(ShortHash, PaceReport)>;
