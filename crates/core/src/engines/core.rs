//! The engines state machine.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterRef, BaseModel, Cx, InstanceId, OrderId, OrderOutcome, Refusal, RequestId, TargetId,
    TargetInfo, Time, Tokens, Tuning, WorkspaceId,
};

use super::EnginesMessage;

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

/// Places callers' requests, and schedules the engine groups that this instance is home of.
#[derive(Debug)]
pub struct Engines;

impl Engines {
    /// No targets known, nothing waiting; `seed` drives the random baseline and nothing else.
    #[must_use]
    pub fn new(_cfg: &Tuning, _seed: u64) -> Self {
        todo!()
    }

    /// A caller's request needs an engine; decided by a [`PermitDecision`].
    pub fn ask(&mut self, _cx: &mut Cx<'_>, _ask: PermitAsk) -> Vec<PermitDecision> {
        todo!()
    }

    /// The caller of a waiting request went away, or its key was withdrawn.
    pub fn cancel(&mut self, _cx: &mut Cx<'_>, _request: RequestId) {
        todo!()
    }

    /// A permit's use ended.
    pub fn finished(
        &mut self,
        _cx: &mut Cx<'_>,
        _request: RequestId,
        _end: PermitEnd,
    ) -> Vec<PermitDecision> {
        todo!()
    }

    /// The platform's list of targets, plain services included (ignored here).
    pub fn set_targets(
        &mut self,
        _cx: &mut Cx<'_>,
        _targets: &[TargetInfo],
    ) -> Vec<PermitDecision> {
        todo!()
    }

    /// An order ended.
    pub fn order_ended(
        &mut self,
        _cx: &mut Cx<'_>,
        _id: OrderId,
        _target: &TargetId,
        _outcome: OrderOutcome,
    ) -> Vec<PermitDecision> {
        todo!()
    }

    /// A newer map is in force.
    pub fn map_changed(&mut self, _cx: &mut Cx<'_>) -> Vec<PermitDecision> {
        todo!()
    }

    /// Takes a message.
    pub fn message(
        &mut self,
        _cx: &mut Cx<'_>,
        _from: &InstanceId,
        _message: EnginesMessage,
    ) -> Vec<PermitDecision> {
        todo!()
    }

    /// Time passed.
    pub fn tick(&mut self, _cx: &mut Cx<'_>) -> Vec<PermitDecision> {
        todo!()
    }
}
