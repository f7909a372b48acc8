//! Refusals: the errors that callers receive instead of a response.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether any part of the request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It is certain that nothing ran.
    No,
    /// The request may have run, in part or completely.
    Unknown,
}

/// The reason for a refusal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request has no key.
    KeyMissing,
    /// The key is unknown or withdrawn.
    KeyRefused,
    /// The adapter or service does not exist or belongs to another workspace. The two cases are not
    /// distinguished, so that a caller can't probe for other workspaces' adapters.
    NotFound,
    /// The adapter exists, but not in this version.
    VersionUnknown,
    /// A call that may not be repeated has no idempotency key.
    IdempotencyKeyMissing,
    /// The request could not be parsed or lacks a field.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The caller sent the body too slowly.
    SenderTimeout,
    /// The request needs more tokens than the workspace's full burst or its catalogue entry allows.
    NeverAdmissible,
    /// The workspace exceeds its rate.
    RateExceeded,
    /// The queue is full, or the request reached its maximum wait.
    Overloaded,
    /// No target can run the request.
    NoTarget,
    /// This instance has no valid lease or catalogue; another instance may serve the request.
    NoStanding,
    /// The platform can't record the call that may not be repeated.
    PlatformUnavailable,
    /// A call with this idempotency key is in progress.
    InProgress,
    /// A call with this idempotency key was started, and its outcome is unknown.
    InDoubt,
    /// The idempotency key was already used with another body.
    KeyReused,
    /// The target failed, and the request can't be retried.
    TargetFailed,
    /// The instance is stopping.
    Stopping,
}

/// A refusal as sent to the caller.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Refusal {
    /// The reason.
    pub kind: RefusalKind,
    /// Whether any part of the request ran.
    pub ran: Ran,
    /// Delay after which a retry may succeed; `None` if waiting does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run, where waiting does not help.
    #[must_use]
    pub const fn not_run(kind: RefusalKind) -> Self {
        Self {
            kind,
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that did not run, with a retry delay.
    #[must_use]
    pub const fn retry_after(kind: RefusalKind, span: Duration) -> Self {
        Self {
            kind,
            ran: Ran::No,
            retry_after: Some(span),
        }
    }

    /// Creates a refusal of a request that may have run.
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
