//! What an instance and the peer to which it forwards a request tell each other.

use bluebellstage_core::{InstanceId, TargetId, WorkspaceId};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

use crate::decide::streams::origins::StreamOrigin;

use super::open_attempts::AttemptCounts;

/// Header of a request that an instance forwards to a peer; contains a [`ForwardedRequest`].
pub(super) const REQUEST_HEADER: HeaderName = HeaderName::from_static("peer-forwarded-request");
/// Header of the peer's response; contains a [`ForwardReport`].
const REPORT_HEADER: HeaderName = HeaderName::from_static("peer-forward-report");

/// What a peer must know of a request that is forwarded to it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ForwardedRequest {
    /// The instance that received it from the caller.
    pub(super) origin: InstanceId,
    /// The workspace that is charged.
    pub(super) workspace: Option<WorkspaceId>,
    /// Attempts that ran or may have run.
    pub(super) runs: u32,
    /// Attempts that reached targets or may have.
    #[serde(default)]
    pub(super) sends: u32,
    /// Whether the peer counts it among the requests on which the budget of retries is based.
    #[serde(default)]
    pub(super) counts: bool,
    /// Where the stream began that the request continues.
    #[serde(default)]
    pub(super) stream: Option<StreamOrigin>,
    /// The brittle target as whose owner the peer gets it.
    #[serde(default)]
    pub(super) owned: Option<TargetId>,
    /// Whether the request may wait for a short time at the peer for that target, as it asks no other owner before it waits.
    #[serde(default)]
    pub(super) waits_for_owned: bool,
}

/// What became of a request that was forwarded to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ForwardOutcome {
    /// The response is from a target.
    Answered,
    /// The peer refused it; it has not run.
    NotRun,
    /// The peer can't reach the targets either, or accepts no requests; it has not run.
    NoPath,
    /// It may have run and has no response.
    Failed,
}

impl ForwardOutcome {
    /// Short name for metrics and the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::NoPath => "no_path",
            Self::Failed => "failed",
        }
    }
}

/// A peer's report on a forwarded request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ForwardReport {
    pub(super) outcome: ForwardOutcome,
    /// Attempts that ran or may have run, including earlier ones.
    pub(super) runs: u32,
    /// Attempts that reached targets or may have, including earlier ones.
    #[serde(default)]
    pub(super) sends: u32,
    /// Why the peer refused it; empty if it did not.
    pub(super) reason: Box<str>,
    /// Service and software version of the target that answered.
    #[serde(default)]
    pub(super) stream: Option<StreamOrigin>,
    /// Milliseconds for which the target gets no requests as whose owner the peer got the request.
    #[serde(default)]
    pub(super) rest_ms: u32,
}

pub(super) fn header_value(value: &impl Serialize) -> Option<HeaderValue> {
    let text = serde_json::to_vec(value).ok()?;
    HeaderValue::from_bytes(&text).ok()
}

impl ForwardedRequest {
    /// Reads the header of a request; `None` if it is absent or malformed.
    pub(super) fn of(headers: &HeaderMap) -> Option<Self> {
        serde_json::from_slice(headers.get(REQUEST_HEADER)?.as_bytes()).ok()
    }
}

impl ForwardReport {
    /// Returns the report on a request that was refused before it was read, and so not sent by this instance.
    pub(super) fn not_read(forwarded: Option<&ForwardedRequest>) -> Self {
        Self {
            outcome: ForwardOutcome::NoPath,
            runs: forwarded.map_or(0, |forwarded| forwarded.runs),
            sends: forwarded.map_or(0, |forwarded| forwarded.sends),
            reason: "refused before it was read".into(),
            stream: None,
            rest_ms: 0,
        }
    }

    /// Returns the attempts since the request was forwarded with these counts. A refusal with the status of a failure is
    /// doubtful: the request may have run.
    pub(super) fn attempts_since(
        &self,
        before: AttemptCounts,
        status: StatusCode,
    ) -> AttemptCounts {
        let runs = self.runs.saturating_sub(before.runs);
        let sends = self.sends.saturating_sub(before.sends);
        let is_failure = status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE;
        match self.outcome {
            ForwardOutcome::NotRun | ForwardOutcome::NoPath if is_failure => AttemptCounts {
                runs: runs.max(1),
                sends: sends.max(1),
            },
            _ => AttemptCounts { runs, sends },
        }
    }

    /// Adds the report to a response.
    pub(super) fn add_to(&self, headers: &mut HeaderMap) {
        if let Some(value) = header_value(self) {
            headers.insert(REPORT_HEADER, value);
        }
    }

    /// Takes the report out of a response; `None` if the peer reports nothing.
    pub(super) fn take_from(headers: &mut HeaderMap) -> Option<Result<Self, serde_json::Error>> {
        let value = headers.remove(REPORT_HEADER)?;
        Some(serde_json::from_slice(value.as_bytes()))
    }
}
