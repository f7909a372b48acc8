//! State machine of rate limits.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{
    Cx, InstanceId, Rate, RatePolicy, Refusal, RefusalKind, RequestId, Time, Tokens, Tuning,
    WorkspaceId,
};

use super::bucket::Portion;
use super::channel::Transfer;
use super::message::{RatesBody, ShareItem};
use super::revision_state::{RevisionState, is_leaving};
use super::share::Share;
use super::workspace::{WaitingRequest, Workspace};
use super::{RatesMessage, WorkspaceShare};

/// Rate and burst of a workspace, from the catalogue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Tokens per second.
    pub rate: Rate,
    /// Tokens that may be used at once.
    pub burst: Tokens,
}

/// Immediate result of an admission request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RateStep {
    /// The request is charged and may proceed.
    Admitted,
    /// The request waits. A [`RateDecision`] follows.
    Waiting,
    /// The request is rejected.
    Refused(Refusal),
}

/// Outcome of a request that waited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RateDecision {
    /// Request id.
    pub request: RequestId,
    /// Charged, or rejected.
    pub outcome: Result<(), Refusal>,
}

/// Lends and borrows shares of workspaces' rates, and charges requests to them.
#[derive(Debug)]
pub struct Rates {
    pub(super) policy: RatePolicy,
    pub(super) max_wait: Duration,
    pub(super) revision_state: RevisionState,
    pub(super) workspaces: BTreeMap<WorkspaceId, Workspace>,
    busy: BTreeSet<WorkspaceId>,
}

impl Rates {
    /// Creates a state without shares and loans.
    #[must_use]
    pub fn new(cfg: &Tuning) -> Self {
        Self {
            policy: cfg.rates,
            max_wait: cfg.max_rate_wait,
            revision_state: RevisionState::default(),
            workspaces: BTreeMap::new(),
            busy: BTreeSet::new(),
        }
    }

    /// Charges `charge` tokens (prompt plus maximum response length) to a workspace, lets the
    /// request wait, or rejects it.
    pub fn admit(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        workspace: &WorkspaceId,
        limits: Limits,
        charge: Tokens,
    ) -> RateStep {
        self.sync(cx);
        if charge > limits.burst {
            return RateStep::Refused(Refusal::not_run(RefusalKind::NeverAdmissible));
        }
        if !cx.ownership.has_lease(cx.now) {
            return RateStep::Refused(Refusal::not_run(RefusalKind::NoStanding));
        }
        self.apply_limits(cx, workspace, Some(limits));
        let request = WaitingRequest {
            request,
            charge,
            arrived_at: cx.now,
        };
        let (policy, max_wait) = (self.policy, self.max_wait);
        let entry = self.entry(cx, workspace);
        entry.is_unspent = false;
        let step = match policy {
            RatePolicy::Shares => entry.admit(cx, request, max_wait, true),
            RatePolicy::EvenSplit => entry.admit(cx, request, max_wait, false),
            RatePolicy::RoundTrip => entry.admit_by_round_trip(cx, request),
        };
        self.update_busy(workspace);
        step
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        self.sync(cx);
        for id in &self.busy {
            if let Some(entry) = self.workspaces.get_mut(id) {
                entry.waiting.retain(|waiting| waiting.request != request);
            }
        }
    }

    /// Returns the tokens that a finished request was charged for but didn't use.
    pub fn give_back(&mut self, cx: &mut Cx<'_>, workspace: &WorkspaceId, unused: Tokens) {
        self.sync(cx);
        let policy = self.policy;
        let Some(entry) = self.workspaces.get_mut(workspace) else {
            return;
        };
        entry.demand.sub(cx.now, unused.into());
        if policy == RatePolicy::RoundTrip && entry.lending.is_none() {
            entry.add_unsent_refund(unused.into());
        } else {
            entry.bucket.refund(cx.now, unused.into());
        }
        self.update_busy(workspace);
    }

    /// Applies a newer catalogue: the workspace's limits, or `None` if it was removed.
    ///
    /// A removed workspace keeps its shares without tokens. If it is added again, it starts empty,
    /// so removing and adding it gives no second burst.
    pub fn set_limits(&mut self, cx: &mut Cx<'_>, workspace: &WorkspaceId, limits: Option<Limits>) {
        self.sync(cx);
        self.apply_limits(cx, workspace, limits);
    }

    /// Follows a newer map.
    pub fn map_changed(&mut self, cx: &mut Cx<'_>) {
        self.sync(cx);
    }

    /// Handles a message from a peer and returns the decisions on waiting requests.
    pub fn message(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        message: RatesMessage,
    ) -> Vec<RateDecision> {
        self.sync(cx);
        // A message of another revision comes from another incarnation of owner or borrower, or
        // refers to loans that were recounted since. Applying it would create a share held by two
        // instances. The sender repeats it when both ends are at the same map revision.
        let is_current = message.revision == cx.ownership.revision();
        if !is_current || !cx.ownership.is_member() || cx.ownership.map.member(from).is_none() {
            return Vec::new();
        }
        match message.body {
            RatesBody::Holdings(holdings) => {
                self.record_holdings(cx, from, holdings);
                Vec::new()
            }
            RatesBody::HoldingsAcknowledged => {
                self.revision_state.record_acknowledgement(from);
                Vec::new()
            }
            RatesBody::Workspace { workspace, item } => {
                self.handle_item(cx, from, &workspace, item)
            }
        }
    }

    /// Runs periodic work and returns the decisions on waiting requests.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<RateDecision> {
        self.sync(cx);
        self.send_holdings(cx);
        if is_leaving(cx.ownership) {
            self.return_all_shares(cx);
        }
        let mut decisions = Vec::new();
        for id in self.busy.clone() {
            self.advance(cx, &id, &mut decisions);
            self.update_busy(&id);
        }
        decisions
    }

    /// Returns the state of each workspace at this instance, for the dump.
    #[must_use]
    pub fn shares(&self, now: Time) -> Vec<WorkspaceShare> {
        let held = self.workspaces.values();
        held.map(|entry| WorkspaceShare {
            workspace: entry.id.clone(),
            share: entry.bucket.share(),
            tokens: entry.bucket.clone().level(now),
            waiting: entry.waiting.len(),
            lent: entry
                .lending
                .as_ref()
                .map_or(Share::NONE, |lending| lending.total_lent()),
        })
        .collect()
    }

    fn handle_item(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        workspace: &WorkspaceId,
        item: ShareItem,
    ) -> Vec<RateDecision> {
        let mut decisions = Vec::new();
        let max_wait = self.max_wait;
        let has_reported = self.revision_state.has_reported(from);
        let entry = self.entry(cx, workspace);
        let from_owner = entry.owner.as_ref() == Some(from);
        // Until a borrower's holdings are recorded, its transfers can't be distinguished from
        // shares that it already held.
        let from_borrower = entry.lending.is_some() && has_reported;
        if !from_owner && !from_borrower {
            return decisions;
        }
        if from_owner {
            entry.mark_answered(cx.now);
        }
        match item {
            ShareItem::Borrow {
                demand,
                shortfall,
                min_share,
            } if from_borrower => {
                entry.handle_borrow(cx, from, demand, shortfall, min_share);
            }
            ShareItem::RecallDeclined { demand } if from_borrower => {
                entry.handle_recall_declined(cx, from, demand);
            }
            ShareItem::Denied if from_owner => entry.record_denial(cx),
            ShareItem::Recall {
                share,
                tokens,
                other_demand,
                reserved,
            } if from_owner => {
                entry.handle_recall(cx, share, tokens, other_demand, reserved);
            }
            ShareItem::Transfer {
                sequence,
                share,
                tokens,
                demand,
            } => {
                let transfer = Transfer {
                    sequence,
                    portion: Portion { share, tokens },
                };
                entry.handle_transfer(cx, from, transfer, demand, max_wait, &mut decisions);
            }
            ShareItem::TransferAcknowledged { sequence } => {
                entry.handle_acknowledgement(from, sequence);
            }
            ShareItem::Charge { request, tokens } if from_borrower => {
                entry.handle_charge(cx, from, request, tokens);
            }
            ShareItem::Charged { request, wait } if from_owner => {
                entry.handle_charge_response(cx, request, wait, &mut decisions);
            }
            _ => {}
        }
        self.update_busy(workspace);
        decisions
    }

    fn advance(&mut self, cx: &mut Cx<'_>, id: &WorkspaceId, decisions: &mut Vec<RateDecision>) {
        let (policy, max_wait) = (self.policy, self.max_wait);
        let Some(entry) = self.workspaces.get_mut(id) else {
            return;
        };
        match policy {
            RatePolicy::Shares => {
                entry.decide_waiting(cx, max_wait, decisions);
                if !entry.waiting.is_empty() {
                    entry.request_more(cx);
                }
                entry.serve_borrowers(cx);
                entry.retry_loans(cx);
            }
            RatePolicy::EvenSplit => entry.decide_waiting(cx, max_wait, decisions),
            RatePolicy::RoundTrip => entry.decide_round_trips(cx, max_wait, decisions),
        }
        entry.retry_transfer(cx);
    }

    fn return_all_shares(&mut self, cx: &mut Cx<'_>) {
        if self.policy != RatePolicy::Shares || !cx.ownership.has_lease(cx.now) {
            return;
        }
        for entry in self.workspaces.values_mut() {
            // Before the owner has acknowledged the holdings of this instance, a transfer would be
            // counted twice.
            let has_acknowledged = entry
                .owner
                .as_ref()
                .is_some_and(|owner| !self.revision_state.is_unacknowledged(owner));
            if has_acknowledged && entry.lending.is_none() && entry.waiting.is_empty() {
                entry.return_all(cx);
            }
            if entry.is_busy() {
                self.busy.insert(entry.id.clone());
            }
        }
    }

    fn apply_limits(&mut self, cx: &Cx<'_>, workspace: &WorkspaceId, limits: Option<Limits>) {
        let entry = self.entry(cx, workspace);
        if entry.bucket.limits() != limits {
            entry.is_unspent &= limits.is_some();
            entry.bucket.set_limits(cx.now, limits);
            entry.fill_if_unspent(cx.now);
        }
        self.update_busy(workspace);
    }

    pub(super) fn rebuild_busy(&mut self) {
        let busy = self.workspaces.values().filter(|entry| entry.is_busy());
        self.busy = busy.map(|entry| entry.id.clone()).collect();
    }

    fn update_busy(&mut self, id: &WorkspaceId) {
        if self.workspaces.get(id).is_some_and(Workspace::is_busy) {
            self.busy.insert(id.clone());
        } else {
            self.busy.remove(id);
        }
    }
}
