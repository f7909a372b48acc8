//! Requests and responses as the admission and routing decisions see them.

use std::time::Duration;

use bluebellstage_core::{Tokens, WorkspaceId};

use super::adapters::adapter::RequestedModel;
use super::brittle::ReportedBrittleness;
use super::departures::ReportedDeparture;
use super::limits::ReportedLimit;
use super::quarantine::PromptPart;
use super::rests::ReportedRest;

/// A caller's request, decoded once at the edge.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// The caller's id for this attempt; targets echo it.
    pub id: Box<str>,
    /// Requested host without the port.
    pub host: Box<str>,
    /// Path without the query.
    pub path: Box<str>,
    /// How long the caller waits, counted from arrival; `None` if the request doesn't say.
    pub timeout: Option<Duration>,
    /// The caller's key, if it sent one; never logged.
    pub key: Option<Box<str>>,
    /// What an engine is to run; `None` for plain services.
    pub wanted: Option<RequestedModel>,
    /// Prompt tokens plus the maximum response length; `None` if the workspace's plain charge applies.
    pub tokens: Option<Tokens>,
    /// Prompt tokens that an engine reads before the first event.
    pub prompt_tokens: Tokens,
    /// Hash of the shared prefix of the prompt; requests with the same prefix reuse an engine's cache.
    pub prompt_prefix: Option<u64>,
    /// The parts of the prompt that requests share, in order and each once.
    pub prompt_parts: Vec<PromptPart>,
    /// Number of the last event that the caller already has.
    pub resume_after: Option<u64>,
    /// The attempt whose stream the request continues.
    pub resumes: ResumedAttempt,
}

impl Call {
    /// Returns the most tokens that the response may have, if the request says so.
    #[must_use]
    pub fn max_output_tokens(&self) -> Option<u64> {
        let most = self.tokens?.0.checked_sub(self.prompt_tokens.0)?;
        Some(most).filter(|most| *most > 0)
    }
}

/// The attempt whose stream a request continues, as the caller names it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum ResumedAttempt {
    /// The caller names none.
    #[default]
    Unnamed,
    /// The id of the attempt that got the stream's first event.
    Id(Box<str>),
    /// The name can't be read.
    Malformed,
}

/// Data sent to a target in addition to the caller's own request.
#[derive(Clone, Debug)]
pub struct Forward<'a> {
    /// How long the target may take.
    pub time_left: Duration,
    /// The target's registered name, so that a different process at its address refuses the request.
    pub target: &'a str,
    /// The workspace that the caller's key belongs to.
    pub workspace: Option<&'a WorkspaceId>,
    /// The adapter version that the target must run.
    pub adapter_version: Option<u64>,
    /// Admission rank at the engine, 0 first; `None` for the engine's default.
    pub priority: Option<u8>,
    /// Number of the last event that the caller has.
    pub resume_after: Option<u64>,
}

/// Contents of a target's response head.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// The id that the target echoed.
    pub id: Option<Box<str>>,
    /// Whether the target signed the response as its own.
    pub signed: bool,
    /// Whether the target reports that it did not run the request.
    pub not_run: bool,
    /// Whether the target closes the connection after this response.
    pub closes_connection: bool,
    /// How long the target keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// The target's rate limit for all instances together.
    pub limit: ReportedLimit,
    /// Whether the target leaves.
    pub departure: ReportedDeparture,
    /// The rest that the target wants from this instance.
    pub rest: ReportedRest,
    /// Whether the target is brittle.
    pub brittleness: ReportedBrittleness,
}
