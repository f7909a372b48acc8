//! Messages between instances about requests under which targets crash.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::decision::QuarantineDecision;
use super::fingerprint::Fingerprint;
use super::prompt_part::PromptPart;
use crate::decide::rendezvous::ShortHash;

/// Upper bound of a message's encoded size without interrupted runs and parts, in bytes.
const MESSAGE_BYTES: usize = 64;
/// Upper bound of an interrupted run's encoded size, in bytes.
const INTERRUPTED_RUN_BYTES: usize = 40;
/// Upper bound of an interrupted part's encoded size, in bytes.
const INTERRUPTED_PART_BYTES: usize = 24 + MAX_REQUESTS_PER_PART * 9 + MAX_RUNS_ELSEWHERE * 5;
/// Max number of requests that are named for a part.
const MAX_REQUESTS_PER_PART: usize = 4;
/// Max number of other targets whose runs with a part are reported.
pub(super) const MAX_RUNS_ELSEWHERE: usize = 8;

/// A message about crashes or quarantined requests.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum QuarantineMessage {
    /// A target crashed while it ran requests.
    Crashed(Crash),
    /// A request that was interrupted before has now received a complete response.
    Served(Fingerprint),
    /// A request or a prompt part is refused from now on, or allowed again.
    Decided(QuarantineDecision),
    /// A target outlived a run with a suspected part.
    Survived(PartSurvival),
}

/// A run with a prompt part that its target outlived.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PartSurvival {
    /// The part.
    pub part: PromptPart,
    /// Milliseconds since the run began.
    pub age_ms: u32,
}

impl QuarantineMessage {
    /// Returns the size of the message in a datagram in bytes, rounded up.
    #[must_use]
    pub const fn estimated_bytes(&self) -> usize {
        match self {
            Self::Crashed(crash) => {
                MESSAGE_BYTES
                    + crash.interrupted.len() * INTERRUPTED_RUN_BYTES
                    + crash.parts.len() * INTERRUPTED_PART_BYTES
            }
            Self::Served(_) | Self::Decided(_) | Self::Survived(_) => MESSAGE_BYTES,
        }
    }

    pub(super) fn add_age(&mut self, by: Duration) {
        let age_ms = match self {
            Self::Crashed(crash) => &mut crash.age_ms,
            Self::Survived(survival) => &mut survival.age_ms,
            Self::Served(_) | Self::Decided(_) => return,
        };
        *age_ms = age_ms.saturating_add(millis(by));
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
    /// Interrupted runs that the reporter knows of.
    pub interrupted: Vec<InterruptedRun>,
    /// Shared parts of the prompts of these runs.
    pub parts: Vec<InterruptedPart>,
    /// Number of other targets at which the reporter had runs with shared parts.
    pub sampled_targets: u16,
    /// The instance whose runs these are.
    pub reporter: ShortHash,
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

/// A part of the prompts of runs that were interrupted by a crash.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct InterruptedPart {
    /// The part.
    pub part: PromptPart,
    /// Milliseconds that the longest of its runs had lasted, as in [`InterruptedRun::run_ms`].
    pub run_ms: u32,
    /// Milliseconds that all of its runs together had lasted.
    pub total_ms: u32,
    /// Whether the target had begun to respond to a request with the part.
    pub has_begun: bool,
    /// First bits of the fingerprints of its requests; the same number is the same request.
    pub requests: Vec<u64>,
    /// Milliseconds for which other targets had been running the part; the longest come first.
    pub elsewhere_ms: Vec<u32>,
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
            parts: Vec::new(),
            sampled_targets: 0,
            reporter: ShortHash::default(),
        }
    }
}

impl InterruptedPart {
    /// Creates a part of a request that was interrupted after `run_time`.
    #[must_use]
    pub fn new(
        part: PromptPart,
        request: Fingerprint,
        run_time: Duration,
        has_begun: bool,
    ) -> Self {
        Self {
            part,
            run_ms: millis(run_time),
            total_ms: millis(run_time),
            has_begun,
            requests: vec![request.bits()],
            elsewhere_ms: Vec::new(),
        }
    }

    /// Returns how long the longest run with the part had lasted.
    #[must_use]
    pub const fn run_time(&self) -> Duration {
        Duration::from_millis(self.run_ms as u64)
    }

    /// Adds what other runs at the crashed target show of the part. Runs that have not begun count only if none has.
    pub fn merge(&mut self, other: &Self) {
        if other.has_begun && !self.has_begun {
            self.run_ms = 0;
            self.total_ms = 0;
            self.requests.clear();
            self.has_begun = true;
        }
        if other.has_begun != self.has_begun {
            return;
        }
        self.run_ms = self.run_ms.max(other.run_ms);
        self.total_ms = self.total_ms.saturating_add(other.total_ms);
        for request in &other.requests {
            if self.requests.len() < MAX_REQUESTS_PER_PART && !self.requests.contains(request) {
                self.requests.push(*request);
            }
        }
    }
}

impl PartSurvival {
    /// Creates a run that began `age` ago.
    #[must_use]
    pub fn new(part: PromptPart, age: Duration) -> Self {
        Self {
            part,
            age_ms: millis(age),
        }
    }

    /// Returns the time since the run began.
    #[must_use]
    pub const fn age(self) -> Duration {
        Duration::from_millis(self.age_ms as u64)
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

pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
