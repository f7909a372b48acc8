//! The rates state machine.

use crate::{Cx, InstanceId, Rate, Refusal, RequestId, Tokens, Tuning, WorkspaceId};

use super::RatesMessage;

/// A workspace's rate and burst, from the catalogue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Tokens a second.
    pub rate: Rate,
    /// Tokens that may be used at once.
    pub burst: Tokens,
}

/// What to do with a request now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RateStep {
    /// Charged: go on.
    Admitted,
    /// Decided later, by a [`RateDecision`].
    Waiting,
    /// Refused.
    Refused(Refusal),
}

/// The outcome of a request that waited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RateDecision {
    /// Which request.
    pub request: RequestId,
    /// Charged, or refused.
    pub outcome: Result<(), Refusal>,
}

/// Lends and borrows shares of workspaces' rates, and charges requests to them.
#[derive(Debug)]
pub struct Rates;

impl Rates {
    /// No shares, nothing lent.
    #[must_use]
    pub fn new(_cfg: &Tuning) -> Self {
        todo!()
    }

    /// Charges `charge` tokens (prompt plus longest answer) to a workspace, waits, or refuses.
    pub fn admit(
        &mut self,
        _cx: &mut Cx<'_>,
        _request: RequestId,
        _workspace: &WorkspaceId,
        _limits: Limits,
        _charge: Tokens,
    ) -> RateStep {
        todo!()
    }

    /// The caller of a waiting request went away.
    pub fn cancel(&mut self, _cx: &mut Cx<'_>, _request: RequestId) {
        todo!()
    }

    /// Gives back what a finished request was charged and did not use.
    pub fn give_back(&mut self, _cx: &mut Cx<'_>, _workspace: &WorkspaceId, _unused: Tokens) {
        todo!()
    }

    /// A newer catalogue is in force: the workspace's limits, or none if it is gone.
    pub fn set_limits(
        &mut self,
        _cx: &mut Cx<'_>,
        _workspace: &WorkspaceId,
        _limits: Option<Limits>,
    ) {
        todo!()
    }

    /// A newer map is in force.
    pub fn map_changed(&mut self, _cx: &mut Cx<'_>) {
        todo!()
    }

    /// Takes a message.
    pub fn message(
        &mut self,
        _cx: &mut Cx<'_>,
        _from: &InstanceId,
        _message: RatesMessage,
    ) -> Vec<RateDecision> {
        todo!()
    }

    /// Time passed.
    pub fn tick(&mut self, _cx: &mut Cx<'_>) -> Vec<RateDecision> {
        todo!()
    }
}
