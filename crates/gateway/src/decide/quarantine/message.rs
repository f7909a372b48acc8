//! Messages between instances about requests under which targets crash.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::decision::QuarantineDecision;
use super::fingerprint::Fingerprint;
use crate::decide::rendezvous::ShortHash;

/// Upper bound of a message's encoded size without interrupted runs, in bytes.
const MESSAGE_BYTES: usize = 64;
/// Upper bound of an interrupted run's encoded size, in bytes.
const INTERRUPTED_RUN_BYTES: usize = 40;

/// A message about crashes or quarantined requests.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum QuarantineMessage {
    /// A target crashed while it ran requests.
    Crashed(Crash),
    /// A request that was interrupted before has now received a complete response.
    Served(Fingerprint),
    /// A request is refused from now on, or allowed again.
    Decided(QuarantineDecision),
}

impl QuarantineMessage {
    /// Returns the size of the message in a datagram in bytes, rounded up.
    #[must_use]
    pub const fn estimated_bytes(&self) -> usize {
        match self {
            Self::Crashed(crash) => MESSAGE_BYTES + crash.interrupted.len() * INTERRUPTED_RUN_BYTES,
            Self::Served(_) | Self::Decided(_) => MESSAGE_BYTES,
        }
    }

    pub(super) fn add_age(&mut self, by: Duration) {
        if let Self::Crashed(crash) = self {
            crash.age_ms = crash.age_ms.saturating_add(millis(by));
        }
    }
}

/// A crashed target and the runs that its crash interrupted.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Crash {
    /// Incarnation of the target. The crash is counted once, however many instances report it.
    pub incarnation: ShortHash,
    /// Number of live targets of the service before the crash, including this one.
    pub targets: u32,
    /// Milliseconds since the crash.
    pub age_ms: u32,
    /// Interrupted runs that the sender knows of.
    pub interrupted: Vec<InterruptedRun>,
}

/// A run that was interrupted by a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct InterruptedRun {
    /// The request that ran.
    pub request: Fingerprint,
    /// Milliseconds from the start of the run, or from sending if the run had not started, to the
    /// interruption.
    pub run_ms: u32,
}

impl Crash {
    /// Creates a report of a crash that happened `age` ago.
    #[must_use]
    pub fn new(
        incarnation: ShortHash,
        targets: u32,
        age: Duration,
        interrupted: Vec<InterruptedRun>,
    ) -> Self {
        Self {
            incarnation,
            targets,
            age_ms: millis(age),
            interrupted,
        }
    }
}

impl InterruptedRun {
    /// Creates a run that was interrupted after `run_time`.
    #[must_use]
    pub fn new(request: Fingerprint, run_time: Duration) -> Self {
        Self {
            request,
            run_ms: millis(run_time),
        }
    }

    /// Returns how long the run had lasted.
    #[must_use]
    pub const fn run_time(self) -> Duration {
        Duration::from_millis(self.run_ms as u64)
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
