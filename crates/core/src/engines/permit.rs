//! Permit requests for engines and their outcomes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterRef, BaseModel, Refusal, RequestId, SoftwareVersion, TargetId, Time, Tokens, WorkspaceId,
};

/// A request for a permit to use an engine.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PermitRequest {
    /// Id of the caller's request.
    pub request: RequestId,
    /// The workspace of the request.
    pub workspace: WorkspaceId,
    /// The adapter to run.
    pub adapter: AdapterRef,
    /// The adapter's base model.
    pub base_model: BaseModel,
    /// Whether a user waits for the response; urgent requests are served before batch requests.
    pub urgent: bool,
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Maximum length of the response.
    pub max_answer: Tokens,
    /// Hash of the start of the prompt.
    pub prefix: u64,
    /// Software version that began the response; only its engines may continue it. `None` if it has not begun.
    pub software: Option<SoftwareVersion>,
}

impl PermitRequest {
    /// Whether an engine with this software version may run the request.
    #[must_use]
    pub fn allows(&self, software: &SoftwareVersion) -> bool {
        self.software.as_ref().is_none_or(|held| held == software)
    }

    /// Returns the cost of the request in the fair queueing between workspaces.
    #[must_use]
    pub fn cost(&self) -> Tokens {
        self.prompt + self.max_answer
    }
}

/// A permit to run one request on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// The engine.
    pub target: TargetId,
    /// The engine's address.
    pub address: SocketAddr,
    /// The adapter to run.
    pub adapter: AdapterRef,
    /// Version of the engine's software.
    pub software: SoftwareVersion,
    /// The request must be sent before this time.
    pub send_before: Time,
}

/// The outcome of a permit request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitDecision {
    /// Id of the caller's request.
    pub request: RequestId,
    /// The permit, or the refusal.
    pub outcome: Result<Permit, Refusal>,
}

/// How the use of a permit ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum PermitEnd {
    /// The request ran, or its caller disconnected.
    Used,
    /// The request was not sent.
    NotUsed,
    /// The engine no longer holds the adapter at this version.
    WrongAdapter,
    /// The engine refused the connection or interrupted the request.
    EngineFailed,
    /// The engine is leaving.
    EngineLeaving,
}
