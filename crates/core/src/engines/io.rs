//! The context in which the parts of the engines' state machine run.

use std::collections::VecDeque;

use crate::{
    Action, Cx, InstanceId, MemberRef, OrderId, PeerMessage, Refusal, RequestId, TargetOrder,
    TargetOrderKind, Time, Tuning,
};

use super::engine::Engine;
use super::{EnginesMessage, Permit, PermitDecision};

/// The context of one step: the time, the ownership, and the outputs for actions and decisions.
#[derive(Debug)]
pub(super) struct Io<'a, 'b> {
    pub(super) cx: &'a mut Cx<'b>,
    pub(super) cfg: &'a Tuning,
    pub(super) group_count: usize,
    pub(super) local_messages: &'a mut VecDeque<EnginesMessage>,
    pub(super) decisions: &'a mut Vec<PermitDecision>,
    pub(super) next_order_id: &'a mut u64,
}

impl Io<'_, '_> {
    pub(super) const fn now(&self) -> Time {
        self.cx.now
    }

    pub(super) const fn local_member(&self) -> &MemberRef {
        &self.cx.ownership.local
    }

    /// Sends a message; one to the local instance is handled in the same step.
    pub(super) fn send(&mut self, to: &InstanceId, message: EnginesMessage) {
        if *to == self.cx.ownership.local.id {
            self.local_messages.push_back(message);
            return;
        }
        self.cx.out.push(Action::Send {
            to: to.clone(),
            message: Box::new(PeerMessage::Engines(message)),
        });
    }

    pub(super) fn send_order(&mut self, engine: &Engine, kind: TargetOrderKind) -> OrderId {
        let id = OrderId(*self.next_order_id);
        *self.next_order_id += 1;
        self.cx.out.push(Action::Order(TargetOrder {
            id,
            target: engine.id.clone(),
            address: engine.address,
            fencing: self.cx.ownership.fencing(),
            send_before: self.cx.ownership.lease_expires_at,
            kind,
        }));
        id
    }

    pub(super) fn decide(&mut self, request: RequestId, outcome: Result<Permit, Refusal>) {
        self.decisions.push(PermitDecision { request, outcome });
    }
}
