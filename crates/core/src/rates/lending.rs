//! A workspace's home: what is lent to whom, and who wants more.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{Cx, InstanceId, Time, Tokens};

use super::RateDecision;
use super::channel::{Channel, Transfer};
use super::demand::ToldDemand;
use super::message::{Holding, ShareItem};
use super::share::{MicroTokens, Share};
use super::workspace::{Waiting, Workspace};

/// A borrower that answered a recall is left alone for this time.
const RECALL_REST: Duration = Duration::from_millis(100);

/// A recall without an answer counts as lost after this time.
const RECALL_LOST: Duration = Duration::from_millis(300);

/// A question that could not be met is forgotten after this time; a borrower still short asks again.
const WANT_LIFE: Duration = Duration::from_millis(500);

/// At most this many borrowers are recalled from for one question.
const RECALL_BREADTH: usize = 4;

/// What a borrower asked for.
#[derive(Clone, Copy, Debug)]
pub struct Want {
    short: MicroTokens,
    cover: Share,
    since: Time,
}

/// What a home knows of one borrower.
#[derive(Clone, Debug, Default)]
pub struct Borrower {
    /// What it holds, with what is on its way to it; never less than it can spend from.
    pub share: Share,
    /// Transfers with it.
    pub channel: Channel,
    demand: ToldDemand,
    want: Option<Want>,
    recalled: Option<Time>,
    rests_until: Time,
}

impl Borrower {
    fn is_recalled(&self, now: Time) -> bool {
        self.recalled.is_some_and(|at| now < at + RECALL_LOST)
    }

    fn answered(&mut self, now: Time, demand: u64) {
        self.demand = ToldDemand::new(now, demand);
        self.recalled = None;
        self.rests_until = now + RECALL_REST;
    }
}

/// What a home has lent of one workspace.
#[derive(Clone, Debug, Default)]
pub struct Lending {
    /// The borrowers, by name.
    pub borrowers: BTreeMap<InstanceId, Borrower>,
    wants: VecDeque<InstanceId>,
}

/// A deficit to be met from the borrowers.
#[derive(Clone, Copy, Debug)]
struct Deficit {
    share: Share,
    tokens: MicroTokens,
    reserved: Share,
}

impl Lending {
    /// Whether anyone wants something or a transfer is under way.
    pub fn is_busy(&self) -> bool {
        let moving = |borrower: &Borrower| borrower.channel.is_busy();
        !self.wants.is_empty() || self.borrowers.values().any(moving)
    }

    /// Notes what a borrower holds as a map revision begins.
    pub fn note(&mut self, now: Time, from: &InstanceId, holding: &Holding) {
        let borrower = self.borrowers.entry(from.clone()).or_default();
        borrower.share = holding.share;
        borrower.demand = ToldDemand::new(now, holding.demand);
    }

    /// The sum of all that is lent.
    pub fn lent(&self) -> Share {
        self.borrowers
            .values()
            .fold(Share::NONE, |sum, borrower| sum + borrower.share)
    }

    fn demand(&self, now: Time) -> u64 {
        let rates = self.borrowers.values();
        rates.fold(0, |sum, borrower| {
            sum.saturating_add(borrower.demand.rate(now))
        })
    }

    fn is_recalling(&self, now: Time) -> bool {
        self.borrowers
            .values()
            .any(|borrower| borrower.is_recalled(now))
    }

    // Borrowers to recall from, the one with the most beyond its part first.
    fn givers(&mut self, now: Time, except: Option<&InstanceId>, total: u64) -> Vec<InstanceId> {
        let mut givers = Vec::new();
        for (id, borrower) in &mut self.borrowers {
            let asks = Some(id) == except || borrower.is_recalled(now);
            if asks || borrower.share == Share::NONE || now < borrower.rests_until {
                continue;
            }
            let fair = Share::part(borrower.demand.rate(now).into(), total.into());
            givers.push((borrower.share.saturating_sub(fair), id.clone()));
        }
        givers.sort_by(|a, b| b.cmp(a));
        givers
            .into_iter()
            .take(RECALL_BREADTH)
            .map(|(_excess, id)| id)
            .collect()
    }
}

impl Workspace {
    /// A borrower runs short.
    pub fn asked(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        demand: u64,
        short: MicroTokens,
        cover: Share,
    ) {
        let Some(lending) = &mut self.lending else {
            return;
        };
        let borrower = lending.borrowers.entry(from.clone()).or_default();
        borrower.demand = ToldDemand::new(cx.now, demand);
        let since = borrower.want.map_or(cx.now, |want| want.since);
        borrower.want = Some(Want {
            short,
            cover,
            since,
        });
        if !lending.wants.contains(from) {
            lending.wants.push_back(from.clone());
        }
        self.serve(cx);
    }

    /// A borrower can spare nothing.
    pub fn kept(&mut self, cx: &mut Cx<'_>, from: &InstanceId, demand: u64) {
        if let Some(borrower) = self.borrower(from) {
            borrower.answered(cx.now, demand);
        }
        self.serve(cx);
    }

    /// Takes what a borrower gives back.
    pub fn returned(
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
        let fresh = borrower.channel.accept(transfer.sequence);
        let applied = borrower.channel.has_applied(transfer.sequence);
        if fresh {
            borrower.answered(cx.now, demand);
            borrower.share = borrower.share.saturating_sub(transfer.parcel.share);
            self.bucket.put(cx.now, transfer.parcel);
        }
        self.confirm(cx, from, transfer.sequence, applied);
    }

    /// Takes a transfer, as home or as borrower, and goes on with whoever waited for it.
    pub fn moved(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        transfer: Transfer,
        demand: u64,
        patience: Duration,
        decisions: &mut Vec<RateDecision>,
    ) {
        if self.lending.is_some() {
            self.returned(cx, from, transfer, demand);
            self.pump(cx, patience, decisions);
            self.serve(cx);
        } else {
            self.lent(cx, from, transfer);
            self.pump(cx, patience, decisions);
        }
    }

    /// A borrower has what was lent to it.
    pub fn taken(&mut self, from: &InstanceId, sequence: u64) {
        match self.borrower(from) {
            Some(borrower) => borrower.channel.acknowledged(sequence),
            None => self.channel.acknowledged(sequence),
        }
    }

    /// Sends transfers to borrowers again when they are due.
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
            let item = self.transfer(cx, transfer);
            self.send(cx, &id, item);
        }
    }

    /// Lends to those who want, in the order in which they asked.
    pub fn serve(&mut self, cx: &mut Cx<'_>) {
        if !self.acts(cx) {
            return;
        }
        let Some(lending) = &self.lending else {
            return;
        };
        for id in lending.wants.clone() {
            if self.serve_one(cx, &id) {
                self.forget(&id);
            }
        }
    }

    /// As home: gets more for its own requests from the borrowers.
    pub fn gather(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.ask_due {
            return;
        }
        if !self.is_settled || !self.acts(cx) {
            self.unheard(cx.now);
        } else {
            self.heard(cx.now);
        }
        if !self.acts(cx) {
            return;
        }
        let total = self.total_demand(cx.now);
        let own = self.demand.rate(cx.now);
        let target = self.fair(cx, own, total);
        let cover = self.cover();
        let deficit = Deficit {
            share: target.max(cover).saturating_sub(self.bucket.share()),
            tokens: self.short(cx.now),
            reserved: reserved(target, cover),
        };
        if self.recall(cx, None, total, deficit) {
            self.ask_due = cx.now + RECALL_REST;
        } else if self.is_settled {
            self.dry(cx);
        }
    }

    // Whether the want is done with: met, denied, or too old.
    fn serve_one(&mut self, cx: &mut Cx<'_>, to: &InstanceId) -> bool {
        let Some(borrower) = self.borrower(to) else {
            return true;
        };
        let Some(want) = borrower.want else {
            return true;
        };
        if cx.now >= want.since + WANT_LIFE {
            return true;
        }
        if borrower.channel.is_busy() {
            return false;
        }
        let total = self.total_demand(cx.now);
        let (given, mut deficit) = self.lend(cx, to, want, total);
        if deficit.share == Share::NONE && deficit.tokens.0 == 0 {
            return true;
        }
        deficit.share = deficit.share.max(self.carrier(deficit.tokens));
        if self.recall(cx, Some(to), total, deficit) {
            return false;
        }
        // Before it has settled, a home doesn't know what there is to be had.
        if !given && self.is_settled {
            self.send(cx, to, ShareItem::Denied);
        }
        true
    }

    // Lends out of the own bucket; says whether anything was lent and what is still lacking.
    fn lend(
        &mut self,
        cx: &mut Cx<'_>,
        to: &InstanceId,
        want: Want,
        total: u64,
    ) -> (bool, Deficit) {
        let (demand, held) = self.borrower(to).map_or((0, Share::NONE), |borrower| {
            (borrower.demand.rate(cx.now), borrower.share)
        });
        let target = self.fair(cx, demand, total);
        let reserved = reserved(target, want.cover);
        let spare = self.spare(cx, want, total, reserved);
        let level = self.bucket.level(cx.now);
        let carrier = self.carrier(want.short.min(level));
        let lacking = target.max(want.cover).saturating_sub(held);
        self.is_unspent = false;
        let parcel = self
            .bucket
            .split(cx.now, lacking.max(carrier).min(spare), want.short);
        let deficit = Deficit {
            share: lacking.saturating_sub(parcel.share),
            tokens: MicroTokens(want.short.0.saturating_sub(parcel.tokens.0)),
            reserved,
        };
        if parcel.share == Share::NONE {
            return (false, deficit);
        }
        let Some(borrower) = self.borrower(to) else {
            return (false, deficit);
        };
        borrower.share += parcel.share;
        if let Some(open) = &mut borrower.want {
            open.short = deficit.tokens;
        }
        let transfer = borrower.channel.start(cx.now, parcel);
        let item = self.transfer(cx, transfer);
        self.send(cx, to, item);
        (true, deficit)
    }

    // What this home can do without; a request of its own that waited longer goes first.
    fn spare(&mut self, cx: &Cx<'_>, want: Want, total: u64, reserved: Share) -> Share {
        let own = self.demand.rate(cx.now);
        let mut keep = self.keep(cx, total.saturating_sub(own), reserved);
        let is_older = |head: &Waiting| head.since <= want.since;
        if self.waiting.front().is_some_and(is_older) {
            keep = keep.max(self.cover());
        }
        let excess = self.bucket.share().saturating_sub(keep);
        excess.max(self.help(cx, want.short))
    }

    // Asks borrowers to give back; false if there is nobody left to ask.
    fn recall(
        &mut self,
        cx: &mut Cx<'_>,
        except: Option<&InstanceId>,
        total: u64,
        deficit: Deficit,
    ) -> bool {
        let Some(lending) = &mut self.lending else {
            return false;
        };
        let givers = lending.givers(cx.now, except, total);
        for id in &givers {
            let Some(borrower) = self.borrower(id) else {
                continue;
            };
            borrower.recalled = Some(cx.now);
            let others = total.saturating_sub(borrower.demand.rate(cx.now));
            let item = ShareItem::Recall {
                share: deficit.share,
                tokens: deficit.tokens,
                others,
                reserved: deficit.reserved,
            };
            self.send(cx, id, item);
        }
        let lending = self.lending.as_ref();
        lending.is_some_and(|lending| lending.is_recalling(cx.now))
    }

    /// The smallest share that can carry `tokens`.
    pub fn carrier(&self, tokens: MicroTokens) -> Share {
        let burst = self.bucket.limits().map_or(0, |limits| limits.burst.0);
        Share::part_up(tokens.0.into(), MicroTokens::from(Tokens(burst)).0.into())
    }

    fn total_demand(&mut self, now: Time) -> u64 {
        let own = self.demand.rate(now);
        let lent = self
            .lending
            .as_mut()
            .map_or(0, |lending| lending.demand(now));
        own.saturating_add(lent)
    }

    fn borrower(&mut self, id: &InstanceId) -> Option<&mut Borrower> {
        self.lending.as_mut()?.borrowers.get_mut(id)
    }

    fn forget(&mut self, id: &InstanceId) {
        let Some(lending) = &mut self.lending else {
            return;
        };
        lending.wants.retain(|other| other != id);
        if let Some(borrower) = lending.borrowers.get_mut(id) {
            borrower.want = None;
        }
    }
}

// Others are cut below their part only for a request larger than the asker's own part.
fn reserved(target: Share, cover: Share) -> Share {
    if cover > target { cover } else { Share::NONE }
}
