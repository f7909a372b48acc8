//! What instances tell each other of requests under which targets end.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::verdict::Verdict;
use crate::decide::rendezvous::ShortHash;

/// Encoded bytes of a word without runs.
const WORD_BYTES: usize = 64;
/// Encoded bytes of a run.
const CUT_BYTES: usize = 40;

/// One piece of news.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Word {
    /// A target ended while it ran requests.
    Ended(Ended),
    /// A request that was cut was answered whole since.
    Served(Fingerprint),
    /// A request is refused from now on, or no longer.
    Decided(Verdict),
}

impl Word {
    /// Bytes that it takes in a datagram, or a little more.
    #[must_use]
    pub const fn estimated_bytes(&self) -> usize {
        match self {
            Self::Ended(ended) => WORD_BYTES + ended.cuts.len() * CUT_BYTES,
            Self::Served(_) | Self::Decided(_) => WORD_BYTES,
        }
    }

    pub(super) fn grow_older(&mut self, by: Duration) {
        if let Self::Ended(ended) = self {
            ended.age_ms = ended.age_ms.saturating_add(millis(by));
        }
    }
}

/// A target that ended, and runs that it took with it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Ended {
    /// The target's life: it is counted once, whoever tells of it.
    pub life: ShortHash,
    /// Targets of its service that lived, this one included.
    pub targets: u32,
    /// Milliseconds since then.
    pub age_ms: u32,
    /// Runs that were cut, as far as the sender knows.
    pub cuts: Vec<CutRun>,
}

/// A run that was cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CutRun {
    /// The request.
    pub request: Fingerprint,
    /// Milliseconds since it began, or since it was sent if it had not begun.
    pub ran_ms: u32,
}

impl Ended {
    /// A target that ended so long ago.
    #[must_use]
    pub fn new(life: ShortHash, targets: u32, age: Duration, cuts: Vec<CutRun>) -> Self {
        Self {
            life,
            targets,
            age_ms: millis(age),
            cuts,
        }
    }
}

impl CutRun {
    /// A run that was cut after so long.
    #[must_use]
    pub fn new(request: Fingerprint, ran: Duration) -> Self {
        Self {
            request,
            ran_ms: millis(ran),
        }
    }

    /// How long it had run.
    #[must_use]
    pub const fn ran(self) -> Duration {
        Duration::from_millis(self.ran_ms as u64)
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
