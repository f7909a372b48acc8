//! Baseline policy: each admission asks the workspace's owner.

use std::time::Duration;

use crate::{Cx, InstanceId, Refusal, RefusalKind, RequestId, Tokens};

use super::bucket::Portion;
use super::message::ShareItem;
use super::share::{MicroTokens, Share};
use super::workspace::{WaitingRequest, Workspace};
use super::{RateDecision, RateStep};

/// Interval at which unanswered charge requests are resent.
const CHARGE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl Workspace {
    /// Charges the request locally at the owner; elsewhere sends a charge request to the owner.
    pub fn admit_by_round_trip(&mut self, cx: &mut Cx<'_>, request: WaitingRequest) -> RateStep {
        if self.lending.is_some() {
            let is_charged =
                self.waiting.is_empty() && self.bucket.try_spend(cx.now, request.charge);
            if is_charged {
                return RateStep::Admitted;
            }
            self.waiting.push_back(request);
            return RateStep::Waiting;
        }
        self.send_charge(cx, &request);
        if self.waiting.is_empty() {
            self.next_request_at = cx.now + CHARGE_RETRY_INTERVAL;
        }
        self.waiting.push_back(request);
        RateStep::Waiting
    }

    /// Resends open charge requests and rejects requests that waited too long.
    pub fn decide_round_trips(
        &mut self,
        cx: &mut Cx<'_>,
        max_wait: Duration,
        decisions: &mut Vec<RateDecision>,
    ) {
        self.send_refund(cx);
        if self.lending.is_some() {
            self.decide_waiting(cx, max_wait, decisions);
            return;
        }
        let waiting = std::mem::take(&mut self.waiting);
        for request in waiting {
            if cx.now < request.arrived_at + max_wait {
                self.waiting.push_back(request);
                continue;
            }
            let outcome = Err(self.refusal(cx.now, request.charge));
            decisions.push(RateDecision {
                request: request.request,
                outcome,
            });
        }
        if cx.now >= self.next_request_at {
            self.next_request_at = cx.now + CHARGE_RETRY_INTERVAL;
            for request in self.waiting.clone() {
                self.send_charge(cx, &request);
            }
        }
    }

    /// At the owner: charges a request of another instance.
    pub fn handle_charge(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        request: RequestId,
        tokens: Tokens,
    ) {
        if !self.is_acting_owner(cx) {
            return;
        }
        let is_charged = self.waiting.is_empty() && self.bucket.try_spend(cx.now, tokens);
        let refill_wait = self.bucket.time_until(cx.now, tokens.into());
        let wait = if is_charged {
            None
        } else {
            Some(refill_wait.unwrap_or(Duration::MAX))
        };
        self.send(cx, from, ShareItem::Charged { request, wait });
    }

    /// Handles the owner's response to a charge request.
    pub fn handle_charge_response(
        &mut self,
        cx: &Cx<'_>,
        request: RequestId,
        wait: Option<Duration>,
        decisions: &mut Vec<RateDecision>,
    ) {
        let is_match = |waiting: &WaitingRequest| waiting.request == request;
        let Some(index) = self.waiting.iter().position(is_match) else {
            return;
        };
        if wait.is_some() {
            return;
        }
        self.waiting.remove(index);
        let outcome = if cx.ownership.has_lease(cx.now) {
            Ok(())
        } else {
            Err(Refusal::not_run(RefusalKind::NoStanding))
        };
        decisions.push(RateDecision { request, outcome });
    }

    /// Records unused tokens to be returned to the owner.
    pub fn add_unsent_refund(&mut self, tokens: MicroTokens) {
        self.unsent_refund.0 = self.unsent_refund.0.saturating_add(tokens.0);
    }

    fn send_refund(&mut self, cx: &mut Cx<'_>) {
        let Some(owner) = self.owner.clone() else {
            return;
        };
        if self.unsent_refund.0 == 0 || self.channel.is_busy() {
            return;
        }
        let tokens = std::mem::take(&mut self.unsent_refund);
        if self.lending.is_some() {
            self.bucket.refund(cx.now, tokens);
            return;
        }
        let portion = Portion {
            share: Share::NONE,
            tokens,
        };
        self.start_transfer_to_owner(cx, &owner, portion);
    }

    fn send_charge(&self, cx: &mut Cx<'_>, waiting: &WaitingRequest) {
        let Some(owner) = &self.owner else {
            return;
        };
        let item = ShareItem::Charge {
            request: waiting.request,
            tokens: waiting.charge,
        };
        self.send(cx, owner, item);
    }
}
