//! The rates state machine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{
    Cx, InstanceId, Rate, RatePolicy, Refusal, RefusalKind, RequestId, Time, Tokens, Tuning,
    WorkspaceId,
};

use super::bucket::Parcel;
use super::channel::Transfer;
use super::message::{RatesBody, ShareItem};
use super::share::Share;
use super::tenure::{Tenure, is_leaving};
use super::workspace::{Waiting, Workspace};
use super::{RatesMessage, WorkspaceShare};

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
pub struct Rates {
    pub(super) policy: RatePolicy,
    pub(super) patience: Duration,
    pub(super) tenure: Tenure,
    pub(super) workspaces: BTreeMap<WorkspaceId, Workspace>,
    busy: BTreeSet<WorkspaceId>,
}

impl Rates {
    /// No shares, nothing lent.
    #[must_use]
    pub fn new(cfg: &Tuning) -> Self {
        Self {
            policy: cfg.rates,
            patience: cfg.max_rate_wait,
            tenure: Tenure::default(),
            workspaces: BTreeMap::new(),
            busy: BTreeSet::new(),
        }
    }

    /// Charges `charge` tokens (prompt plus longest answer) to a workspace, waits, or refuses.
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
        self.limit(cx, workspace, Some(limits));
        let request = Waiting {
            request,
            charge,
            since: cx.now,
        };
        let (policy, patience) = (self.policy, self.patience);
        let entry = self.entry(cx, workspace);
        entry.is_unspent = false;
        let step = match policy {
            RatePolicy::Shares => entry.admit(cx, request, patience, true),
            RatePolicy::EvenSplit => entry.admit(cx, request, patience, false),
            RatePolicy::RoundTrip => entry.admit_by_round_trip(cx, request),
        };
        self.mark(workspace);
        step
    }

    /// The caller of a waiting request went away.
    pub fn cancel(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        self.sync(cx);
        for id in &self.busy {
            if let Some(entry) = self.workspaces.get_mut(id) {
                entry.waiting.retain(|waiting| waiting.request != request);
            }
        }
    }

    /// Gives back what a finished request was charged and did not use.
    pub fn give_back(&mut self, cx: &mut Cx<'_>, workspace: &WorkspaceId, unused: Tokens) {
        self.sync(cx);
        let policy = self.policy;
        let Some(entry) = self.workspaces.get_mut(workspace) else {
            return;
        };
        entry.demand.sub(cx.now, unused.into());
        if policy == RatePolicy::RoundTrip && entry.lending.is_none() {
            entry.owe(unused.into());
        } else {
            entry.bucket.give_back(cx.now, unused.into());
        }
        self.mark(workspace);
    }

    /// A newer catalogue is in force: the workspace's limits, or none if it is gone.
    ///
    /// A workspace that is gone keeps its shares without tokens: added again, it starts empty, so
    /// that removing and adding it gives no second burst.
    pub fn set_limits(&mut self, cx: &mut Cx<'_>, workspace: &WorkspaceId, limits: Option<Limits>) {
        self.sync(cx);
        self.limit(cx, workspace, limits);
    }

    /// A newer map is in force.
    pub fn map_changed(&mut self, cx: &mut Cx<'_>) {
        self.sync(cx);
    }

    /// Takes a message.
    pub fn message(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        message: RatesMessage,
    ) -> Vec<RateDecision> {
        self.sync(cx);
        // A message of another revision comes from another life of home or borrower, or is about
        // loans that were counted anew since: taken, it would create a share that two hold. Its
        // sender says it again when both ends are at the same map.
        let is_current = message.revision == cx.ownership.revision();
        if !is_current || !cx.ownership.is_member() || cx.ownership.map.member(from).is_none() {
            return Vec::new();
        }
        match message.body {
            RatesBody::Holdings(holdings) => {
                self.note_holdings(cx, from, holdings);
                Vec::new()
            }
            RatesBody::HoldingsNoted => {
                self.tenure.noted(from);
                Vec::new()
            }
            RatesBody::Workspace { workspace, item } => self.item(cx, from, &workspace, item),
        }
    }

    /// Time passed.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<RateDecision> {
        self.sync(cx);
        self.tell_holdings(cx);
        if is_leaving(cx.ownership) {
            self.hand_back_all(cx);
        }
        let mut decisions = Vec::new();
        for id in self.busy.clone() {
            self.advance(cx, &id, &mut decisions);
            self.mark(&id);
        }
        decisions
    }

    /// What this instance holds of each workspace, for the dump.
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
                .map_or(Share::NONE, |lending| lending.lent()),
        })
        .collect()
    }

    fn item(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        workspace: &WorkspaceId,
        item: ShareItem,
    ) -> Vec<RateDecision> {
        let mut decisions = Vec::new();
        let patience = self.patience;
        let has_reported = self.tenure.has_reported(from);
        let entry = self.entry(cx, workspace);
        let from_home = entry.home.as_ref() == Some(from);
        // Until a borrower's holdings are noted its transfers can't be told from what it held.
        let from_borrower = entry.lending.is_some() && has_reported;
        if !from_home && !from_borrower {
            return decisions;
        }
        if from_home {
            entry.heard(cx.now);
        }
        match item {
            ShareItem::Ask {
                demand,
                short,
                cover,
            } if from_borrower => {
                entry.asked(cx, from, demand, short, cover);
            }
            ShareItem::Kept { demand } if from_borrower => entry.kept(cx, from, demand),
            ShareItem::Denied if from_home => entry.dry(cx),
            ShareItem::Recall {
                share,
                tokens,
                others,
                reserved,
            } if from_home => {
                entry.recalled(cx, share, tokens, others, reserved);
            }
            ShareItem::Transfer {
                sequence,
                share,
                tokens,
                demand,
            } => {
                let transfer = Transfer {
                    sequence,
                    parcel: Parcel { share, tokens },
                };
                entry.moved(cx, from, transfer, demand, patience, &mut decisions);
            }
            ShareItem::Taken { sequence } => entry.taken(from, sequence),
            ShareItem::Charge { request, tokens } if from_borrower => {
                entry.charge(cx, from, request, tokens);
            }
            ShareItem::Charged { request, short } if from_home => {
                entry.charged(cx, request, short, &mut decisions);
            }
            _ => {}
        }
        self.mark(workspace);
        decisions
    }

    fn advance(&mut self, cx: &mut Cx<'_>, id: &WorkspaceId, decisions: &mut Vec<RateDecision>) {
        let (policy, patience) = (self.policy, self.patience);
        let Some(entry) = self.workspaces.get_mut(id) else {
            return;
        };
        match policy {
            RatePolicy::Shares => {
                entry.pump(cx, patience, decisions);
                if !entry.waiting.is_empty() {
                    entry.seek(cx);
                }
                entry.serve(cx);
                entry.retry_loans(cx);
            }
            RatePolicy::EvenSplit => entry.pump(cx, patience, decisions),
            RatePolicy::RoundTrip => entry.pump_round_trips(cx, patience, decisions),
        }
        entry.retry_transfer(cx);
    }

    fn hand_back_all(&mut self, cx: &mut Cx<'_>) {
        if self.policy != RatePolicy::Shares || !cx.ownership.has_lease(cx.now) {
            return;
        }
        for entry in self.workspaces.values_mut() {
            // Before the home has noted what is held here, a transfer would be counted twice.
            let is_noted = entry
                .home
                .as_ref()
                .is_some_and(|home| !self.tenure.is_untold(home));
            if is_noted && entry.lending.is_none() && entry.waiting.is_empty() {
                entry.hand_back(cx);
            }
            if entry.is_busy() {
                self.busy.insert(entry.id.clone());
            }
        }
    }

    fn limit(&mut self, cx: &Cx<'_>, workspace: &WorkspaceId, limits: Option<Limits>) {
        let entry = self.entry(cx, workspace);
        if entry.bucket.limits() != limits {
            entry.is_unspent &= limits.is_some();
            entry.bucket.set_limits(cx.now, limits);
            entry.fill_if_unspent(cx.now);
        }
        self.mark(workspace);
    }

    pub(super) fn mark_all(&mut self) {
        let busy = self.workspaces.values().filter(|entry| entry.is_busy());
        self.busy = busy.map(|entry| entry.id.clone()).collect();
    }

    fn mark(&mut self, id: &WorkspaceId) {
        if self.workspaces.get(id).is_some_and(Workspace::is_busy) {
            self.busy.insert(id.clone());
        } else {
            self.busy.remove(id);
        }
    }
}
