//! Owner side of a workspace's shares: loans to borrowers, their requests, and recalls.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{Cx, InstanceId, Time, Tokens};

use super::RateDecision;
use super::channel::{Channel, Transfer};
use super::demand::ReportedDemand;
use super::message::{Holding, ShareItem};
use super::share::{MicroTokens, Share};
use super::workspace::{WaitingRequest, Workspace};

/// Minimum time between a borrower's response to a recall and the next recall from it.
const RECALL_COOLDOWN: Duration = Duration::from_millis(100);

/// A recall without a response counts as lost after this time.
const RECALL_TIMEOUT: Duration = Duration::from_millis(300);

/// An unmet borrow request expires after this time. A borrower that is still short sends a new one.
const BORROW_REQUEST_TTL: Duration = Duration::from_millis(500);

/// Maximum number of borrowers recalled from for one deficit.
const MAX_BORROWERS_PER_RECALL: usize = 4;

/// A borrower's open request for more tokens.
#[derive(Clone, Copy, Debug)]
pub struct BorrowRequest {
    shortfall: MicroTokens,
    min_share: Share,
    arrived_at: Time,
}

/// The owner's state for one borrower.
#[derive(Clone, Debug, Default)]
pub struct Borrower {
    /// Share held by the borrower, including transfers on their way to it. Never less than the
    /// share it can spend from.
    pub share: Share,
    /// Transfers to and from the borrower.
    pub channel: Channel,
    demand: ReportedDemand,
    borrow_request: Option<BorrowRequest>,
    recalled_at: Option<Time>,
    no_recall_before: Time,
}

impl Borrower {
    fn has_open_recall(&self, now: Time) -> bool {
        self.recalled_at.is_some_and(|at| now < at + RECALL_TIMEOUT)
    }

    fn record_response(&mut self, now: Time, demand: u64) {
        self.demand = ReportedDemand::new(now, demand);
        self.recalled_at = None;
        self.no_recall_before = now + RECALL_COOLDOWN;
    }
}

/// The owner's loans of one workspace.
#[derive(Clone, Debug, Default)]
pub struct Lending {
    /// Borrowers by instance name.
    pub borrowers: BTreeMap<InstanceId, Borrower>,
    borrow_queue: VecDeque<InstanceId>,
}

/// A deficit to be covered by recalls.
#[derive(Clone, Copy, Debug)]
struct Deficit {
    share: Share,
    tokens: MicroTokens,
    reserved: Share,
}

impl Lending {
    /// Whether a borrow request is open or a transfer is pending.
    pub fn is_busy(&self) -> bool {
        let is_transferring = |borrower: &Borrower| borrower.channel.is_busy();
        !self.borrow_queue.is_empty() || self.borrowers.values().any(is_transferring)
    }

    /// Records a borrower's holding at the start of a map revision.
    pub fn record_holding(&mut self, now: Time, from: &InstanceId, holding: &Holding) {
        let borrower = self.borrowers.entry(from.clone()).or_default();
        borrower.share = holding.share;
        borrower.demand = ReportedDemand::new(now, holding.demand);
    }

    /// Returns the total share lent.
    pub fn total_lent(&self) -> Share {
        self.borrowers
            .values()
            .fold(Share::NONE, |sum, borrower| sum + borrower.share)
    }

    fn demand(&self, now: Time) -> u64 {
        let demands = self.borrowers.values();
        demands.fold(0, |sum, borrower| {
            sum.saturating_add(borrower.demand.rate(now))
        })
    }

    fn has_open_recalls(&self, now: Time) -> bool {
        self.borrowers
            .values()
            .any(|borrower| borrower.has_open_recall(now))
    }

    // Returns the borrowers to recall from, those with the largest excess over their fair share
    // first.
    fn recall_candidates(
        &mut self,
        now: Time,
        except: Option<&InstanceId>,
        total_demand: u64,
    ) -> Vec<InstanceId> {
        let mut recall_candidates = Vec::new();
        for (id, borrower) in &mut self.borrowers {
            let is_skipped = Some(id) == except || borrower.has_open_recall(now);
            if is_skipped || borrower.share == Share::NONE || now < borrower.no_recall_before {
                continue;
            }
            let fair_share = Share::fraction(borrower.demand.rate(now).into(), total_demand.into());
            recall_candidates.push((borrower.share.saturating_sub(fair_share), id.clone()));
        }
        recall_candidates.sort_by(|a, b| b.cmp(a));
        recall_candidates
            .into_iter()
            .take(MAX_BORROWERS_PER_RECALL)
            .map(|(_excess, id)| id)
            .collect()
    }
}

impl Workspace {
    /// Handles a borrow request.
    pub fn handle_borrow(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        demand: u64,
        shortfall: MicroTokens,
        min_share: Share,
    ) {
        let Some(lending) = &mut self.lending else {
            return;
        };
        let borrower = lending.borrowers.entry(from.clone()).or_default();
        borrower.demand = ReportedDemand::new(cx.now, demand);
        let arrived_at = borrower
            .borrow_request
            .map_or(cx.now, |borrow_request| borrow_request.arrived_at);
        borrower.borrow_request = Some(BorrowRequest {
            shortfall,
            min_share,
            arrived_at,
        });
        if !lending.borrow_queue.contains(from) {
            lending.borrow_queue.push_back(from.clone());
        }
        self.serve_borrowers(cx);
    }

    /// Handles a borrower's response that it can spare nothing.
    pub fn handle_recall_declined(&mut self, cx: &mut Cx<'_>, from: &InstanceId, demand: u64) {
        if let Some(borrower) = self.borrower(from) {
            borrower.record_response(cx.now, demand);
        }
        self.serve_borrowers(cx);
    }

    /// Applies a transfer from a borrower and acknowledges it.
    pub fn accept_return(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        transfer: Transfer,
        demand: u64,
    ) {
        let Some(lending) = &mut self.lending else {
            return;
        };
        let borrower = lending.borrowers.entry(from.clone()).or_default();
        let is_new = borrower.channel.accept(transfer.sequence);
        let is_applied = borrower.channel.has_applied(transfer.sequence);
        if is_new {
            borrower.record_response(cx.now, demand);
            borrower.share = borrower.share.saturating_sub(transfer.portion.share);
            self.bucket.add(cx.now, transfer.portion);
        }
        self.acknowledge_transfer(cx, from, transfer.sequence, is_applied);
    }

    /// Applies a transfer, as owner or as borrower, and decides the requests that waited for it.
    pub fn handle_transfer(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        transfer: Transfer,
        demand: u64,
        max_wait: Duration,
        decisions: &mut Vec<RateDecision>,
    ) {
        if self.lending.is_some() {
            self.accept_return(cx, from, transfer, demand);
            self.decide_waiting(cx, max_wait, decisions);
            self.serve_borrowers(cx);
        } else {
            self.handle_loan(cx, from, transfer);
            self.decide_waiting(cx, max_wait, decisions);
        }
    }

    /// Handles the acknowledgement of a transfer.
    pub fn handle_acknowledgement(&mut self, from: &InstanceId, sequence: u64) {
        match self.borrower(from) {
            Some(borrower) => borrower.channel.acknowledge(sequence),
            None => self.channel.acknowledge(sequence),
        }
    }

    /// Resends transfers to borrowers when they are due.
    pub fn retry_loans(&mut self, cx: &mut Cx<'_>) {
        let Some(lending) = &mut self.lending else {
            return;
        };
        let mut due = Vec::new();
        for (id, borrower) in &mut lending.borrowers {
            if let Some(transfer) = borrower.channel.retry(cx.now) {
                due.push((id.clone(), transfer));
            }
        }
        for (id, transfer) in due {
            let item = self.transfer_item(cx, transfer);
            self.send(cx, &id, item);
        }
    }

    /// Serves open borrow requests in order of arrival.
    pub fn serve_borrowers(&mut self, cx: &mut Cx<'_>) {
        if !self.is_acting_owner(cx) {
            return;
        }
        let Some(lending) = &self.lending else {
            return;
        };
        for id in lending.borrow_queue.clone() {
            if self.serve_borrower(cx, &id) {
                self.remove_borrow_request(&id);
            }
        }
    }

    /// At the owner: recalls shares from borrowers for local requests.
    pub fn recall_for_local(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.next_request_at {
            return;
        }
        if !self.is_reconciled || !self.is_acting_owner(cx) {
            self.mark_unanswered(cx.now);
        } else {
            self.mark_answered(cx.now);
        }
        if !self.is_acting_owner(cx) {
            return;
        }
        let total_demand = self.total_demand(cx.now);
        let local_demand = self.demand.rate(cx.now);
        let target = self.fair_share(cx, local_demand, total_demand);
        let min_share = self.min_share_for_head();
        let deficit = Deficit {
            share: target.max(min_share).saturating_sub(self.bucket.share()),
            tokens: self.shortfall(cx.now),
            reserved: reserved(target, min_share),
        };
        if self.recall(cx, None, total_demand, deficit) {
            self.next_request_at = cx.now + RECALL_COOLDOWN;
        } else if self.is_reconciled {
            self.record_denial(cx);
        }
    }

    // Returns whether the borrow request is finished: met, denied or expired.
    fn serve_borrower(&mut self, cx: &mut Cx<'_>, to: &InstanceId) -> bool {
        let Some(borrower) = self.borrower(to) else {
            return true;
        };
        let Some(borrow_request) = borrower.borrow_request else {
            return true;
        };
        if cx.now >= borrow_request.arrived_at + BORROW_REQUEST_TTL {
            return true;
        }
        if borrower.channel.is_busy() {
            return false;
        }
        let total_demand = self.total_demand(cx.now);
        let (has_lent, mut deficit) = self.lend(cx, to, borrow_request, total_demand);
        if deficit.share == Share::NONE && deficit.tokens.0 == 0 {
            return true;
        }
        deficit.share = deficit.share.max(self.min_share_for(deficit.tokens));
        if self.recall(cx, Some(to), total_demand, deficit) {
            return false;
        }
        // Until shares are reconciled under the new map, the owner doesn't know what is available.
        if !has_lent && self.is_reconciled {
            self.send(cx, to, ShareItem::Denied);
        }
        true
    }

    // Lends from the local bucket. Returns whether anything was lent, and the remaining deficit.
    fn lend(
        &mut self,
        cx: &mut Cx<'_>,
        to: &InstanceId,
        borrow_request: BorrowRequest,
        total_demand: u64,
    ) -> (bool, Deficit) {
        let (demand, held) = self.borrower(to).map_or((0, Share::NONE), |borrower| {
            (borrower.demand.rate(cx.now), borrower.share)
        });
        let target = self.fair_share(cx, demand, total_demand);
        let reserved = reserved(target, borrow_request.min_share);
        let spare_share = self.spare_share(cx, borrow_request, total_demand, reserved);
        let level = self.bucket.level(cx.now);
        let carrying_share = self.min_share_for(borrow_request.shortfall.min(level));
        let missing = target.max(borrow_request.min_share).saturating_sub(held);
        self.is_unspent = false;
        let portion = self.bucket.split(
            cx.now,
            missing.max(carrying_share).min(spare_share),
            borrow_request.shortfall,
        );
        let deficit = Deficit {
            share: missing.saturating_sub(portion.share),
            tokens: MicroTokens(borrow_request.shortfall.0.saturating_sub(portion.tokens.0)),
            reserved,
        };
        if portion.share == Share::NONE {
            return (false, deficit);
        }
        let Some(borrower) = self.borrower(to) else {
            return (false, deficit);
        };
        borrower.share += portion.share;
        if let Some(open_request) = &mut borrower.borrow_request {
            open_request.shortfall = deficit.tokens;
        }
        let transfer = borrower.channel.start(cx.now, portion);
        let item = self.transfer_item(cx, transfer);
        self.send(cx, to, item);
        (true, deficit)
    }

    // Returns the share that the owner can lend. An older waiting request of its own takes
    // precedence.
    fn spare_share(
        &mut self,
        cx: &Cx<'_>,
        borrow_request: BorrowRequest,
        total_demand: u64,
        reserved: Share,
    ) -> Share {
        let local_demand = self.demand.rate(cx.now);
        let mut retained_share =
            self.retained_share(cx, total_demand.saturating_sub(local_demand), reserved);
        let is_older = |head: &WaitingRequest| head.arrived_at <= borrow_request.arrived_at;
        if self.waiting.front().is_some_and(is_older) {
            retained_share = retained_share.max(self.min_share_for_head());
        }
        let excess = self.bucket.share().saturating_sub(retained_share);
        excess.max(self.surplus_share(cx, borrow_request.shortfall))
    }

    // Sends recalls to borrowers. Returns false if no recall is open.
    fn recall(
        &mut self,
        cx: &mut Cx<'_>,
        except: Option<&InstanceId>,
        total_demand: u64,
        deficit: Deficit,
    ) -> bool {
        let Some(lending) = &mut self.lending else {
            return false;
        };
        let recall_candidates = lending.recall_candidates(cx.now, except, total_demand);
        for id in &recall_candidates {
            let Some(borrower) = self.borrower(id) else {
                continue;
            };
            borrower.recalled_at = Some(cx.now);
            let other_demand = total_demand.saturating_sub(borrower.demand.rate(cx.now));
            let item = ShareItem::Recall {
                share: deficit.share,
                tokens: deficit.tokens,
                other_demand,
                reserved: deficit.reserved,
            };
            self.send(cx, id, item);
        }
        let lending = self.lending.as_ref();
        lending.is_some_and(|lending| lending.has_open_recalls(cx.now))
    }

    /// Returns the smallest share whose burst can hold `tokens`.
    pub fn min_share_for(&self, tokens: MicroTokens) -> Share {
        let burst = self.bucket.limits().map_or(0, |limits| limits.burst.0);
        Share::fraction_rounded_up(tokens.0.into(), MicroTokens::from(Tokens(burst)).0.into())
    }

    fn total_demand(&mut self, now: Time) -> u64 {
        let local_demand = self.demand.rate(now);
        let lent = self
            .lending
            .as_mut()
            .map_or(0, |lending| lending.demand(now));
        local_demand.saturating_add(lent)
    }

    fn borrower(&mut self, id: &InstanceId) -> Option<&mut Borrower> {
        self.lending.as_mut()?.borrowers.get_mut(id)
    }

    fn remove_borrow_request(&mut self, id: &InstanceId) {
        let Some(lending) = &mut self.lending else {
            return;
        };
        lending.borrow_queue.retain(|other| other != id);
        if let Some(borrower) = lending.borrowers.get_mut(id) {
            borrower.borrow_request = None;
        }
    }
}

// Reserves a share only for a request that needs more than the requesting instance's fair share.
// Only then do other instances keep less than their fair shares.
fn reserved(target: Share, min_share: Share) -> Share {
    if min_share > target {
        min_share
    } else {
        Share::NONE
    }
}
