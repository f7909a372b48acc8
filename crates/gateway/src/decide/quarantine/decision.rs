//! Decisions to refuse a request, or all with a prompt part, or to allow them again.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::suspect::Suspect;

/// Kind of a quarantine decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// Requests are refused because targets crash while running them.
    Refused,
    /// An operator allows them again.
    Cleared,
}

/// A quarantine decision, as sent between instances and kept in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QuarantineDecision {
    /// The request or prompt part that the decision is about.
    #[serde(rename = "request")]
    pub suspect: Suspect,
    /// Whether it is refused or cleared.
    #[serde(rename = "decision")]
    pub kind: DecisionKind,
    /// Number of decisions on it so far; a higher revision is newer.
    pub revision: u32,
}

/// A decision with its age, for peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AgedDecision {
    /// The decision.
    pub decision: QuarantineDecision,
    /// Time since the decision was made.
    pub age: Duration,
}

impl QuarantineDecision {
    /// Returns the decision that follows `previous`, or the first one on this suspect.
    #[must_use]
    pub const fn next(suspect: Suspect, kind: DecisionKind, previous: Option<&Self>) -> Self {
        let revision = match previous {
            Some(previous) => previous.revision.saturating_add(1),
            None => 1,
        };
        Self {
            suspect,
            kind,
            revision,
        }
    }

    /// Returns whether this decision is newer than `other`.
    #[must_use]
    pub const fn replaces(&self, other: &Self) -> bool {
        self.revision > other.revision
    }
}
