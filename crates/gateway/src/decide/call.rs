//! A caller's request as the decisions see it.

use std::time::Duration;

use bluebellstage_core::{Tokens, WorkspaceId};

use super::adapter::RequestedModel;
use super::limits::Said;

/// A caller's request, decoded once at the edge.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// The caller's name for this attempt; targets echo it.
    pub id: Box<str>,
    /// Host that the caller asked for, without a port.
    pub host: Box<str>,
    /// Path without the query.
    pub path: Box<str>,
    /// How long the caller waits, counted from arrival; none: it didn't say.
    pub patience: Option<Duration>,
    /// The caller's key, if it sent one; never logged.
    pub key: Option<Box<str>>,
    /// What an engine is to run; none for plain services.
    pub wanted: Option<RequestedModel>,
    /// Prompt tokens plus the longest answer; none: the workspace's plain charge applies.
    pub tokens: Option<Tokens>,
    /// Prompt tokens that an engine reads before the first event.
    pub prompt: Tokens,
    /// Hash of the shared start of the prompt; requests with the same one reuse an engine's cache.
    pub prompt_start: Option<u64>,
    /// Number of the last event that the caller already has.
    pub resume_after: Option<u64>,
}

/// What goes to a target beside the caller's own request.
#[derive(Clone, Debug)]
pub struct Forward<'a> {
    /// How long the target may take.
    pub time_left: Duration,
    /// The target's registered name, so that another process at its address refuses.
    pub target: &'a str,
    /// The workspace that the caller's key belongs to.
    pub workspace: Option<&'a WorkspaceId>,
    /// The adapter's version that the target must run.
    pub adapter_version: Option<u64>,
    /// Admission rank at the engine, 0 first; none: the engine's default.
    pub urgency: Option<u8>,
    /// Number of the last event that the caller has.
    pub resume_after: Option<u64>,
}

/// What a target's answer says before its body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// The id that the target echoed.
    pub id: Option<Box<str>>,
    /// The target signed the answer as its own.
    pub signed: bool,
    /// The target says that it did not run the request.
    pub not_run: bool,
    /// The target closes the connection after this answer.
    pub closes: bool,
    /// How long the target keeps an idle connection.
    pub idle_limit: Option<Duration>,
    /// What it takes from all instances together.
    pub limit: Said,
}
