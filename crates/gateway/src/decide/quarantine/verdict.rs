//! Whether a request is refused.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;

/// What was decided of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// It is refused: targets end under it.
    Refused,
    /// An operator lets it through again.
    Cleared,
}

/// A decision, as instances tell it and the store keeps it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Verdict {
    /// The request.
    pub request: Fingerprint,
    /// What was decided.
    pub decision: Decision,
    /// Count of the decisions on this request; a higher one is newer.
    pub revision: u32,
}

/// A verdict with its age, for peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AgedVerdict {
    /// The verdict.
    pub verdict: Verdict,
    /// Time since it was given.
    pub age: Duration,
}

impl Verdict {
    /// The first refusal, or the one that follows another decision.
    #[must_use]
    pub const fn next(request: Fingerprint, decision: Decision, before: Option<&Self>) -> Self {
        let revision = match before {
            Some(before) => before.revision.saturating_add(1),
            None => 1,
        };
        Self {
            request,
            decision,
            revision,
        }
    }

    /// Whether it is to be taken in place of `other`.
    #[must_use]
    pub const fn replaces(&self, other: &Self) -> bool {
        self.revision > other.revision
    }
}
