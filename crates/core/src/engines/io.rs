//! What every part of the engines' core acts through.

use std::collections::VecDeque;

use crate::{
    Action, Cx, InstanceId, MemberRef, OrderId, PeerMessage, Refusal, RequestId, TargetOrder,
    TargetOrderKind, Time, Tuning,
};

use super::engine::Engine;
use super::{EnginesMessage, Permit, PermitDecision};

/// One step's surroundings: the moment, who may act, and where actions and decisions go.
#[derive(Debug)]
pub(super) struct Io<'a, 'b> {
    pub(super) cx: &'a mut Cx<'b>,
    pub(super) cfg: &'a Tuning,
    /// How many groups of engines there are.
    pub(super) groups: usize,
    pub(super) local: &'a mut VecDeque<EnginesMessage>,
    pub(super) decisions: &'a mut Vec<PermitDecision>,
    pub(super) next_order: &'a mut u64,
}

impl Io<'_, '_> {
    pub(super) const fn now(&self) -> Time {
        self.cx.now
    }

    pub(super) const fn me(&self) -> &MemberRef {
        &self.cx.own.local
    }

    /// Sends a message; one to this instance itself is taken in the same step.
    pub(super) fn send(&mut self, to: &InstanceId, message: EnginesMessage) {
        if *to == self.cx.own.local.id {
            self.local.push_back(message);
            return;
        }
        self.cx.out.push(Action::Send {
            to: to.clone(),
            message: Box::new(PeerMessage::Engines(message)),
        });
    }

    pub(super) fn order(&mut self, engine: &Engine, kind: TargetOrderKind) -> OrderId {
        let id = OrderId(*self.next_order);
        *self.next_order += 1;
        self.cx.out.push(Action::Order(TargetOrder {
            id,
            target: engine.id.clone(),
            address: engine.address,
            fencing: self.cx.own.fencing(),
            send_before: self.cx.own.lease_expires_at,
            kind,
        }));
        id
    }

    pub(super) fn decide(&mut self, request: RequestId, outcome: Result<Permit, Refusal>) {
        self.decisions.push(PermitDecision { request, outcome });
    }
}
