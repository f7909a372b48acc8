//! Refusals: what a caller gets instead of an answer.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether any of the request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Provably nothing ran.
    No,
    /// It may have run.
    Unknown,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// No key came with it.
    KeyMissing,
    /// The key is unknown or withdrawn.
    KeyRefused,
    /// The adapter or service belongs to another workspace, or does not exist: the two are not told
    /// apart, so that a caller can't probe for other workspaces' adapters.
    NotFound,
    /// The adapter exists, the version doesn't.
    VersionUnknown,
    /// A call that may not be repeated came without an idempotency key.
    IdempotencyKeyMissing,
    /// The request does not parse or lacks a field.
    Malformed,
    /// The body is over the limit.
    TooLarge,
    /// The sender was too slow.
    SenderTimeout,
    /// The request needs more tokens than the workspace's whole burst, or than its entry allows.
    NeverAdmissible,
    /// The workspace is over its rate.
    RateExceeded,
    /// Its queue is full, or it waited its whole time.
    Overloaded,
    /// No target can run it.
    NoTarget,
    /// This instance can't act now; another can.
    NoStanding,
    /// The platform can't record the call that may not be repeated.
    PlatformUnavailable,
    /// A call with this idempotency key is under way.
    InProgress,
    /// A call with this idempotency key started, and what became of it is not known.
    InDoubt,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The target broke off and the request can't be repeated.
    TargetFailed,
    /// The instance is stopping.
    Stopping,
}

/// A refusal as the caller gets it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// Whether anything ran.
    pub ran: Ran,
    /// When asking again may help; none when it can't.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of which nothing ran and which waiting can't mend.
    #[must_use]
    pub const fn not_run(kind: RefusalKind) -> Self {
        Self {
            kind,
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// A refusal of which nothing ran, with the time after which to ask again.
    #[must_use]
    pub const fn retry_after(kind: RefusalKind, span: Duration) -> Self {
        Self {
            kind,
            ran: Ran::No,
            retry_after: Some(span),
        }
    }

    /// A refusal of which it is not known whether anything ran.
    #[must_use]
    pub const fn unknown(kind: RefusalKind) -> Self {
        Self {
            kind,
            ran: Ran::Unknown,
            retry_after: None,
        }
    }
}

impl fmt::Display for RefusalKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::KeyMissing => "no key came with the request: send `Authorization: Bearer KEY`",
            Self::KeyRefused => "the key is unknown or withdrawn: ask your operator for a new one",
            Self::NotFound => "your workspace has no such adapter or service: check the name in `model` or the path",
            Self::VersionUnknown => "the adapter has no such version: leave `@version` out to get the current one",
            Self::IdempotencyKeyMissing => {
                "a call that may not be repeated needs a name: send `Idempotency-Key`, and the same one when you ask again"
            }
            Self::Malformed => "the request does not parse: compare it with docs/API.md",
            Self::TooLarge => "the body is over the limit: send less",
            Self::SenderTimeout => "the body came too slowly: send it again on a better connection",
            Self::NeverAdmissible => "the request needs more tokens than your workspace may ever use at once: lower `max_tokens`",
            Self::RateExceeded => "your workspace is over its rate: come back after `Retry-After`",
            Self::Overloaded => "the targets are busy: come back after `Retry-After`",
            Self::NoTarget => "no target can run this now: come back after `Retry-After`",
            Self::NoStanding => "this instance is cut off: ask `/v1/entry` of another one",
            Self::PlatformUnavailable => "the call can't be recorded now and was not sent: come back after `Retry-After`",
            Self::InProgress => "a call with this Idempotency-Key is under way: ask again after `Retry-After` for its answer",
            Self::InDoubt => "a call with this Idempotency-Key was started and its outcome is not known: ask the service before you file again",
            Self::KeyReused => "this Idempotency-Key was used with another body: choose a new one",
            Self::TargetFailed => "the target broke off: see `ran` before you repeat the request",
            Self::Stopping => "this instance is stopping: ask `/v1/entry` of another one",
        })
    }
}
