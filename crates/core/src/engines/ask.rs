//! What callers' requests ask of the engines, and what they get.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{AdapterRef, BaseModel, Refusal, RequestId, TargetId, Time, Tokens, WorkspaceId};

/// A request for a place in an engine.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PermitAsk {
    /// The caller's request.
    pub request: RequestId,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// What must run.
    pub adapter: AdapterRef,
    /// On which base model.
    pub base_model: BaseModel,
    /// Someone is waiting: goes before overnight work.
    pub urgent: bool,
    /// Estimated prompt length.
    pub prompt: Tokens,
    /// Longest answer.
    pub max_answer: Tokens,
    /// Hash of the prompt's start.
    pub prefix: u64,
}

impl PermitAsk {
    /// What the request weighs when workspaces share engines fairly.
    #[must_use]
    pub fn cost(&self) -> Tokens {
        self.prompt + self.max_answer
    }
}

/// A place in an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// Which engine.
    pub target: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What must run.
    pub adapter: AdapterRef,
    /// Not to be used at or after this time.
    pub send_before: Time,
}

/// The outcome of an ask.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitDecision {
    /// Which request.
    pub request: RequestId,
    /// A permit, or a refusal.
    pub outcome: Result<Permit, Refusal>,
}

/// How the use of a permit ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum PermitEnd {
    /// The request ran, or its caller went away.
    Used,
    /// Nothing was sent.
    NotUsed,
    /// The engine no longer holds the adapter at this version.
    WrongAdapter,
    /// The engine refused the connection or broke off.
    EngineFailed,
    /// The engine is on its way out.
    EngineLeaving,
}
