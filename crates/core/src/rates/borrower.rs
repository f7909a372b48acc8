//! A workspace's share at an instance that is not its home: asking, giving back, taking.

use std::time::Duration;

use crate::{Cx, InstanceId};

use super::bucket::Parcel;
use super::channel::Transfer;
use super::message::ShareItem;
use super::share::{MicroTokens, Share};
use super::workspace::Workspace;

/// Shortest time between two questions to a workspace's home.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// After the home had nothing to lend, it is not asked again for this time.
const DRY_SPAN: Duration = Duration::from_millis(250);

/// An instance that has this many times what another one lacks can give it without a thought.
const HELP_MULTIPLE: u64 = 4;

impl Workspace {
    /// Looks for more tokens: at the home, or as home at the borrowers.
    pub fn seek(&mut self, cx: &mut Cx<'_>) {
        if self.lending.is_some() {
            self.gather(cx);
            return;
        }
        self.ask(cx);
    }

    /// Looks for more in time, while there is still something to spend.
    pub fn seek_if_low(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.ask_due || self.bucket.share() == Share::WHOLE {
            return;
        }
        let level = self.bucket.level(cx.now).0;
        if level >= self.bucket.capacity().0 / 4 {
            return;
        }
        let spends = Share::part(self.demand.rate(cx.now).into(), self.micro_rate().into());
        if spends >= self.bucket.share().scaled(7, 8) {
            self.seek(cx);
        }
    }

    fn ask(&mut self, cx: &mut Cx<'_>) {
        let Some(home) = self.home.clone() else {
            return;
        };
        if cx.now < self.ask_due || !cx.ownership.has_lease(cx.now) {
            return;
        }
        self.ask_due = cx.now + ASK_INTERVAL;
        self.unheard(cx.now);
        let item = ShareItem::Ask {
            demand: self.demand.rate(cx.now),
            short: self.short(cx.now),
            cover: self.cover(),
        };
        self.send(cx, &home, item);
    }

    /// There is nothing more to be had for now.
    pub fn dry(&mut self, cx: &Cx<'_>) {
        self.dry_until = cx.now + DRY_SPAN;
        self.ask_due = cx.now + DRY_SPAN;
    }

    /// The home wants some of the share back.
    pub fn recalled(
        &mut self,
        cx: &mut Cx<'_>,
        share: Share,
        tokens: MicroTokens,
        others: u64,
        reserved: Share,
    ) {
        let Some(home) = self.home.clone() else {
            return;
        };
        if self.channel.is_busy() {
            return;
        }
        let keep = self.keep(cx, others, reserved);
        let excess = self.bucket.share().saturating_sub(keep);
        let excess = excess.max(self.help(cx, tokens)).min(share);
        if excess == Share::NONE {
            let demand = self.demand.rate(cx.now);
            self.send(cx, &home, ShareItem::Kept { demand });
            return;
        }
        let parcel = self.bucket.split(cx.now, excess, tokens);
        self.hand_over(cx, &home, parcel);
    }

    /// The share that this instance can give to carry a few tokens, though by demand it would keep
    /// it all: it has many times as many, and nobody waits here.
    ///
    /// What others ask for is known to a home with a delay, so the parts by demand may be off for
    /// a while; a request must not be refused for it while tokens lie idle.
    pub fn help(&mut self, cx: &Cx<'_>, tokens: MicroTokens) -> Share {
        let is_rich = self.bucket.level(cx.now).0 / HELP_MULTIPLE >= tokens.0;
        if !is_rich || !self.waiting.is_empty() {
            return Share::NONE;
        }
        self.carrier(tokens)
    }

    /// Gives the whole share back; for an instance on its way out.
    pub fn hand_back(&mut self, cx: &mut Cx<'_>) {
        let Some(home) = self.home.clone() else {
            return;
        };
        if self.channel.is_busy() || self.bucket.share() == Share::NONE {
            return;
        }
        let parcel = self
            .bucket
            .split(cx.now, Share::WHOLE, MicroTokens(u64::MAX));
        self.hand_over(cx, &home, parcel);
    }

    /// Starts a transfer to the home; the parcel is out of the bucket already.
    pub fn hand_over(&mut self, cx: &mut Cx<'_>, home: &InstanceId, parcel: Parcel) {
        let transfer = self.channel.start(cx.now, parcel);
        let item = self.transfer(cx, transfer);
        self.send(cx, home, item);
    }

    /// Sends an unacknowledged transfer to the home again when it is due.
    pub fn retry_transfer(&mut self, cx: &mut Cx<'_>) {
        let Some(home) = self.home.clone() else {
            return;
        };
        if let Some(transfer) = self.channel.retry(cx.now) {
            let item = self.transfer(cx, transfer);
            self.send(cx, &home, item);
        }
    }

    /// The message of a transfer.
    pub fn transfer(&mut self, cx: &Cx<'_>, transfer: Transfer) -> ShareItem {
        ShareItem::Transfer {
            sequence: transfer.sequence,
            share: transfer.parcel.share,
            tokens: transfer.parcel.tokens,
            demand: self.demand.rate(cx.now),
        }
    }

    /// Takes what the home lends.
    pub fn lent(&mut self, cx: &mut Cx<'_>, home: &InstanceId, transfer: Transfer) {
        if self.channel.accept(transfer.sequence) {
            self.bucket.put(cx.now, transfer.parcel);
            self.dry_until = cx.now;
        }
        self.confirm(
            cx,
            home,
            transfer.sequence,
            self.channel.has_applied(transfer.sequence),
        );
    }

    /// Acknowledges a transfer that has been applied.
    pub fn confirm(&self, cx: &mut Cx<'_>, to: &InstanceId, sequence: u64, applied: bool) {
        if applied {
            self.send(cx, to, ShareItem::Taken { sequence });
        }
    }
}
