//! Borrower side of a workspace's share: borrowing from the owner and returning to it.

use std::time::Duration;

use crate::{Cx, InstanceId};

use super::bucket::Portion;
use super::channel::Transfer;
use super::message::ShareItem;
use super::share::{MicroTokens, Share};
use super::workspace::Workspace;

/// Minimum interval between two borrow requests to a workspace's owner.
const BORROW_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time without further borrow requests after the owner had nothing to lend.
const DENIAL_BACKOFF: Duration = Duration::from_millis(250);

/// An instance with this many times the tokens that another one lacks can return them without being
/// short itself.
const SURPLUS_MULTIPLE: u64 = 4;

impl Workspace {
    /// Requests more tokens: a borrower from the owner, the owner from its borrowers.
    pub fn request_more(&mut self, cx: &mut Cx<'_>) {
        if self.lending.is_some() {
            self.recall_for_local(cx);
            return;
        }
        self.request_from_owner(cx);
    }

    /// Requests more tokens before the bucket is empty: when less than a quarter of its capacity is
    /// available and local demand uses at least 7/8 of the share.
    pub fn request_more_if_low(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.next_request_at || self.bucket.share() == Share::WHOLE {
            return;
        }
        let level = self.bucket.level(cx.now).0;
        if level >= self.bucket.capacity().0 / 4 {
            return;
        }
        let demand_share = Share::fraction(
            self.demand.rate(cx.now).into(),
            self.rate_in_microtokens().into(),
        );
        if demand_share >= self.bucket.share().scaled(7, 8) {
            self.request_more(cx);
        }
    }

    fn request_from_owner(&mut self, cx: &mut Cx<'_>) {
        let Some(owner) = self.owner.clone() else {
            return;
        };
        if cx.now < self.next_request_at || !cx.ownership.has_lease(cx.now) {
            return;
        }
        self.next_request_at = cx.now + BORROW_REQUEST_INTERVAL;
        self.mark_unanswered(cx.now);
        let item = ShareItem::Borrow {
            demand: self.demand.rate(cx.now),
            shortfall: self.shortfall(cx.now),
            min_share: self.min_share_for_head(),
        };
        self.send(cx, &owner, item);
    }

    /// Stops borrow requests for `DENIAL_BACKOFF` because no share is available.
    pub fn record_denial(&mut self, cx: &Cx<'_>) {
        self.denied_until = cx.now + DENIAL_BACKOFF;
        self.next_request_at = cx.now + DENIAL_BACKOFF;
    }

    /// Handles a recall: returns a part of the share to the owner, or declines.
    pub fn handle_recall(
        &mut self,
        cx: &mut Cx<'_>,
        share: Share,
        tokens: MicroTokens,
        other_demand: u64,
        reserved: Share,
    ) {
        let Some(owner) = self.owner.clone() else {
            return;
        };
        if self.channel.is_busy() {
            return;
        }
        let retained_share = self.retained_share(cx, other_demand, reserved);
        let excess = self.bucket.share().saturating_sub(retained_share);
        let excess = excess.max(self.surplus_share(cx, tokens)).min(share);
        if excess == Share::NONE {
            let demand = self.demand.rate(cx.now);
            self.send(cx, &owner, ShareItem::RecallDeclined { demand });
            return;
        }
        let portion = self.bucket.split(cx.now, excess, tokens);
        self.start_transfer_to_owner(cx, &owner, portion);
    }

    /// Returns the share that this instance can return to carry `tokens`, even if its demand
    /// justifies keeping all of its share. It is not empty only if this instance has
    /// `SURPLUS_MULTIPLE` times `tokens` and no waiting requests.
    ///
    /// An owner learns the demand of other instances with a delay, so shares divided by demand may
    /// be wrong for a while. A request must not be rejected for that reason while tokens are unused
    /// elsewhere.
    pub fn surplus_share(&mut self, cx: &Cx<'_>, tokens: MicroTokens) -> Share {
        let has_surplus = self.bucket.level(cx.now).0 / SURPLUS_MULTIPLE >= tokens.0;
        if !has_surplus || !self.waiting.is_empty() {
            return Share::NONE;
        }
        self.min_share_for(tokens)
    }

    /// Returns the whole share to the owner, for an instance that is leaving.
    pub fn return_all(&mut self, cx: &mut Cx<'_>) {
        let Some(owner) = self.owner.clone() else {
            return;
        };
        if self.channel.is_busy() || self.bucket.share() == Share::NONE {
            return;
        }
        let portion = self
            .bucket
            .split(cx.now, Share::WHOLE, MicroTokens(u64::MAX));
        self.start_transfer_to_owner(cx, &owner, portion);
    }

    /// Starts a transfer to the owner. The portion must already be removed from the bucket.
    pub fn start_transfer_to_owner(
        &mut self,
        cx: &mut Cx<'_>,
        owner: &InstanceId,
        portion: Portion,
    ) {
        let transfer = self.channel.start(cx.now, portion);
        let item = self.transfer_item(cx, transfer);
        self.send(cx, owner, item);
    }

    /// Resends an unacknowledged transfer to the owner when it is due.
    pub fn retry_transfer(&mut self, cx: &mut Cx<'_>) {
        let Some(owner) = self.owner.clone() else {
            return;
        };
        if let Some(transfer) = self.channel.retry(cx.now) {
            let item = self.transfer_item(cx, transfer);
            self.send(cx, &owner, item);
        }
    }

    /// Creates the message for a transfer.
    pub fn transfer_item(&mut self, cx: &Cx<'_>, transfer: Transfer) -> ShareItem {
        ShareItem::Transfer {
            sequence: transfer.sequence,
            share: transfer.portion.share,
            tokens: transfer.portion.tokens,
            demand: self.demand.rate(cx.now),
        }
    }

    /// Applies a transfer from the owner and acknowledges it.
    pub fn handle_loan(&mut self, cx: &mut Cx<'_>, owner: &InstanceId, transfer: Transfer) {
        if self.channel.accept(transfer.sequence) {
            self.bucket.add(cx.now, transfer.portion);
            self.denied_until = cx.now;
        }
        self.acknowledge_transfer(
            cx,
            owner,
            transfer.sequence,
            self.channel.has_applied(transfer.sequence),
        );
    }

    /// Acknowledges a transfer if it has been applied.
    pub fn acknowledge_transfer(
        &self,
        cx: &mut Cx<'_>,
        to: &InstanceId,
        sequence: u64,
        is_applied: bool,
    ) {
        if is_applied {
            self.send(cx, to, ShareItem::TransferAcknowledged { sequence });
        }
    }
}
