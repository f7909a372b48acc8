//! Baseline: every admission asks the workspace's home.

use std::time::Duration;

use crate::{Cx, InstanceId, Refusal, RefusalKind, RequestId, Tokens};

use super::bucket::Parcel;
use super::message::ShareItem;
use super::share::{MicroTokens, Share};
use super::workspace::{Waiting, Workspace};
use super::{RateDecision, RateStep};

/// A question without an answer is put again after this time.
const ASK_AGAIN: Duration = Duration::from_millis(200);

impl Workspace {
    /// Charges at home, or sends the charge there.
    pub fn admit_by_round_trip(&mut self, cx: &mut Cx<'_>, request: Waiting) -> RateStep {
        if self.lending.is_some() {
            let charged = self.waiting.is_empty() && self.bucket.take(cx.now, request.charge);
            if charged {
                return RateStep::Admitted;
            }
            self.waiting.push_back(request);
            return RateStep::Waiting;
        }
        self.send_charge(cx, &request);
        if self.waiting.is_empty() {
            self.ask_due = cx.now + ASK_AGAIN;
        }
        self.waiting.push_back(request);
        RateStep::Waiting
    }

    /// Puts open questions again and refuses who waited too long.
    pub fn pump_round_trips(
        &mut self,
        cx: &mut Cx<'_>,
        patience: Duration,
        decisions: &mut Vec<RateDecision>,
    ) {
        self.pay_back(cx);
        if self.lending.is_some() {
            self.pump(cx, patience, decisions);
            return;
        }
        let waiting = std::mem::take(&mut self.waiting);
        for request in waiting {
            if cx.now < request.since + patience {
                self.waiting.push_back(request);
                continue;
            }
            let outcome = Err(self.refusal(cx.now, request.charge));
            decisions.push(RateDecision {
                request: request.request,
                outcome,
            });
        }
        if cx.now >= self.ask_due {
            self.ask_due = cx.now + ASK_AGAIN;
            for request in self.waiting.clone() {
                self.send_charge(cx, &request);
            }
        }
    }

    /// As home: charges for another instance.
    pub fn charge(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        request: RequestId,
        tokens: Tokens,
    ) {
        if !self.acts(cx) {
            return;
        }
        let charged = self.waiting.is_empty() && self.bucket.take(cx.now, tokens);
        let wait = self.bucket.wait_for(cx.now, tokens.into());
        let short = if charged {
            None
        } else {
            Some(wait.unwrap_or(Duration::MAX))
        };
        self.send(cx, from, ShareItem::Charged { request, short });
    }

    /// The home's answer.
    pub fn charged(
        &mut self,
        cx: &Cx<'_>,
        request: RequestId,
        short: Option<Duration>,
        decisions: &mut Vec<RateDecision>,
    ) {
        let is_it = |waiting: &Waiting| waiting.request == request;
        let Some(index) = self.waiting.iter().position(is_it) else {
            return;
        };
        if short.is_some() {
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

    /// Notes tokens to be paid back to the home.
    pub fn owe(&mut self, tokens: MicroTokens) {
        self.owed.0 = self.owed.0.saturating_add(tokens.0);
    }

    fn pay_back(&mut self, cx: &mut Cx<'_>) {
        let Some(home) = self.home.clone() else {
            return;
        };
        if self.owed.0 == 0 || self.channel.is_busy() {
            return;
        }
        let tokens = std::mem::take(&mut self.owed);
        if self.lending.is_some() {
            self.bucket.give_back(cx.now, tokens);
            return;
        }
        let parcel = Parcel {
            share: Share::NONE,
            tokens,
        };
        self.hand_over(cx, &home, parcel);
    }

    fn send_charge(&self, cx: &mut Cx<'_>, waiting: &Waiting) {
        let Some(home) = &self.home else {
            return;
        };
        let item = ShareItem::Charge {
            request: waiting.request,
            tokens: waiting.charge,
        };
        self.send(cx, home, item);
    }
}
