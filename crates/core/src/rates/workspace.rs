//! One workspace as one instance sees it: its bucket, and the requests that wait for it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{
    Cx, InstanceId, OwnershipKey, Refusal, RefusalKind, RequestId, Time, Tokens, WorkspaceId,
};

use super::bucket::Bucket;
use super::channel::Channel;
use super::demand::Demand;
use super::lending::Lending;
use super::message::{RatesBody, RatesMessage, ShareItem};
use super::share::{MICROS, MicroTokens, Share};
use super::{Limits, RateDecision, RateStep};

/// Shortest time after which a refused caller is told to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(50);

/// A home that does not answer for this time counts as lost.
const SILENCE: Duration = Duration::from_millis(300);

/// A request waits this long for tokens while the home is lost: longer than a takeover takes.
const TAKEOVER_PATIENCE: Duration = Duration::from_secs(5);

/// After a lost home is found again, requests that waited for it have this time to be admitted.
const FOUND_SPAN: Duration = Duration::from_secs(2);

/// A request that waits for tokens.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Which request.
    pub request: RequestId,
    /// What it is to be charged.
    pub charge: Tokens,
    /// When it arrived.
    pub since: Time,
}

/// What this instance knows and holds of a workspace.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Its name.
    pub id: WorkspaceId,
    /// Its home under the map revision in force.
    pub home: Option<InstanceId>,
    /// The share held here.
    pub bucket: Bucket,
    /// How fast tokens are asked for here.
    pub demand: Demand,
    /// Requests waiting here, oldest first.
    pub waiting: VecDeque<Waiting>,
    /// Transfers between this instance and the home.
    pub channel: Channel,
    /// No question to the home before this time.
    pub ask_due: Time,
    /// Until this time the home has nothing more to lend.
    pub dry_until: Time,
    /// Since when questions to the home have no answer; none while it answers.
    pub unheard_since: Option<Time>,
    /// Until this time a home that was lost counts as just found again.
    pub found_until: Time,
    /// As home: what nobody held has been taken.
    pub is_settled: bool,
    /// Tokens given back that are still to be sent to the home (round trip only).
    pub owed: MicroTokens,
    /// Held whole and never spent from by anyone.
    pub is_unspent: bool,
    /// What is lent out, while this instance is its home.
    pub lending: Option<Box<Lending>>,
}

impl Workspace {
    /// Nothing held, nobody waiting.
    pub fn new(id: WorkspaceId, now: Time) -> Self {
        Self {
            id,
            home: None,
            bucket: Bucket::new(now),
            demand: Demand::default(),
            waiting: VecDeque::new(),
            channel: Channel::default(),
            ask_due: Time::default(),
            dry_until: Time::default(),
            unheard_since: None,
            found_until: Time::default(),
            is_settled: false,
            owed: MicroTokens::default(),
            is_unspent: false,
            lending: None,
        }
    }

    /// The key of its home.
    pub fn key(&self) -> OwnershipKey {
        OwnershipKey::Workspace(self.id.clone())
    }

    /// Whether this instance may act as its home right now.
    pub fn acts(&self, cx: &Cx<'_>) -> bool {
        self.lending.is_some() && cx.ownership.may_act(cx.now, &self.key())
    }

    /// Whether anything is to be done as time passes.
    pub fn is_busy(&self) -> bool {
        let lent = self
            .lending
            .as_ref()
            .is_some_and(|lending| lending.is_busy());
        lent || !self.waiting.is_empty() || self.channel.is_busy() || self.owed.0 > 0
    }

    /// Starts over under a new map revision: transfers under way are of no account any more.
    pub fn rebase(&mut self, cx: &Cx<'_>) {
        self.home = cx.ownership.owner(&self.key()).cloned();
        self.channel = Channel::default();
        self.ask_due = cx.now;
        self.dry_until = cx.now;
        self.is_unspent = false;
        self.is_settled = false;
        let is_home = self.home.as_ref() == Some(&cx.ownership.local.id);
        self.lending = is_home.then(Box::default);
    }

    /// Fills the bucket of a workspace that nobody spent from yet.
    pub fn fill_if_unspent(&mut self, now: Time) {
        if self.is_unspent {
            self.bucket.fill(now);
        }
    }

    /// How long a request may wait now: longer while the home is lost, because the next one may
    /// find that there is enough.
    fn patience(&self, now: Time, patience: Duration) -> Duration {
        let is_lost = self
            .unheard_since
            .is_some_and(|since| now >= since + SILENCE);
        if is_lost || now < self.found_until {
            return patience.max(TAKEOVER_PATIENCE);
        }
        patience
    }

    /// A question to the home is open.
    pub fn unheard(&mut self, now: Time) {
        self.unheard_since.get_or_insert(now);
    }

    /// The home answers.
    pub fn heard(&mut self, now: Time) {
        if self
            .unheard_since
            .is_some_and(|since| now >= since + SILENCE)
        {
            self.found_until = now + FOUND_SPAN;
        }
        self.unheard_since = None;
    }

    /// Charges a request, lets it wait, or refuses it; shares only.
    ///
    /// Only shares that are lent can be sought; an even split has what it has.
    pub fn admit(
        &mut self,
        cx: &mut Cx<'_>,
        request: Waiting,
        patience: Duration,
        seeks: bool,
    ) -> RateStep {
        self.demand.add(cx.now, request.charge.into());
        if self.waiting.is_empty() && self.bucket.take(cx.now, request.charge) {
            if seeks {
                self.seek_if_low(cx);
            }
            return RateStep::Admitted;
        }
        let patience = self.patience(cx.now, patience);
        let refused = self.is_hopeless(cx.now, request.charge, patience);
        let step = if refused {
            RateStep::Refused(self.refusal(cx.now, request.charge))
        } else {
            self.waiting.push_back(request);
            RateStep::Waiting
        };
        if seeks {
            self.seek(cx);
        }
        step
    }

    /// Charges what fits by now, in order of arrival, and refuses who waited too long.
    pub fn pump(&mut self, cx: &Cx<'_>, patience: Duration, decisions: &mut Vec<RateDecision>) {
        while let Some(head) = self.waiting.front().cloned() {
            let Some(outcome) = self.settle(cx, &head, patience) else {
                return;
            };
            self.waiting.pop_front();
            decisions.push(RateDecision {
                request: head.request,
                outcome,
            });
        }
    }

    fn settle(
        &mut self,
        cx: &Cx<'_>,
        head: &Waiting,
        patience: Duration,
    ) -> Option<Result<(), Refusal>> {
        let Some(limits) = self.bucket.limits() else {
            return Some(Err(Refusal::not_run(RefusalKind::KeyRefused)));
        };
        if head.charge > limits.burst {
            return Some(Err(Refusal::not_run(RefusalKind::NeverAdmissible)));
        }
        // Without standing the share may be lent to others already: spending it would show as a
        // rate exceeded. Standing is asked here, right before the charge.
        if cx.ownership.has_lease(cx.now) && self.bucket.take(cx.now, head.charge) {
            return Some(Ok(()));
        }
        if cx.now < head.since + self.patience(cx.now, patience) {
            return None;
        }
        if !cx.ownership.has_lease(cx.now) {
            return Some(Err(Refusal::not_run(RefusalKind::NoStanding)));
        }
        Some(Err(self.refusal(cx.now, head.charge)))
    }

    /// Tokens that all waiting requests ask for.
    pub fn waiting_tokens(&self) -> MicroTokens {
        let sum = self.waiting.iter().map(|waiting| waiting.charge.0).sum();
        Tokens(sum).into()
    }

    /// Tokens that the waiting requests lack.
    pub fn short(&mut self, now: Time) -> MicroTokens {
        let level = self.bucket.level(now).0;
        MicroTokens(self.waiting_tokens().0.saturating_sub(level))
    }

    /// The share that can hold what the first waiting request asks for.
    pub fn cover(&self) -> Share {
        let burst = self.bucket.limits().map_or(0, |limits| limits.burst.0);
        let head = self.waiting.front().map_or(0, |head| head.charge.0);
        Share::part_up(u128::from(head), u128::from(burst))
    }

    /// The share that this instance keeps if others ask at `others` microtokens a second and
    /// `reserved` is set aside.
    pub fn keep(&mut self, cx: &Cx<'_>, others: u64, reserved: Share) -> Share {
        let own = self.demand.rate(cx.now);
        let fair = self.fair(cx, own, own.saturating_add(others));
        let open = Share::WHOLE.saturating_sub(reserved);
        fair.scaled(open.0.into(), Share::WHOLE.0.into())
    }

    /// The part of an instance that asks for `own` of `total` microtokens a second.
    ///
    /// What it needs, and of the rest one half by need and one half evenly: a busy instance has
    /// room to vary, and an idle one can admit a request while its home is lost. If there is not
    /// enough for all, by need alone. The parts of all instances sum to the whole.
    pub fn fair(&self, cx: &Cx<'_>, own: u64, total: u64) -> Share {
        let (own, total) = (u128::from(own), u128::from(total));
        let rate = u128::from(self.micro_rate());
        if total >= rate {
            return Share::part(own, total);
        }
        let slack = rate - total;
        let members = cx.ownership.map.members.len().max(1) as u128;
        let even = slack / (2 * members);
        let by_need = (slack * own).checked_div(2 * total).unwrap_or(even);
        Share::part(own + even + by_need, rate)
    }

    /// The workspace's rate in microtokens a second.
    pub fn micro_rate(&self) -> u64 {
        let rate = self.bucket.limits().map_or(0, |limits| limits.rate.0);
        rate.saturating_mul(MICROS)
    }

    // Even if the whole rate came here from now on, it would wait too long. As long as the home has
    // not said that there is nothing to be had, a whole burst may lie at other instances.
    fn is_hopeless(&mut self, now: Time, charge: Tokens, patience: Duration) -> bool {
        let elsewhere = match self.bucket.limits() {
            Some(limits) if now >= self.dry_until => MicroTokens::from(limits.burst).0,
            _ => self.bucket.level(now).0,
        };
        let accrues = u128::from(self.micro_rate()) * patience.as_micros() / u128::from(MICROS);
        let asked = u128::from(self.waiting_tokens().0) + u128::from(MicroTokens::from(charge).0);
        asked > u128::from(elsewhere) + accrues
    }

    /// A refusal with the time after which `charge` would fit here, as far as this instance knows.
    pub fn refusal(&mut self, now: Time, charge: Tokens) -> Refusal {
        let Some(limits) = self.bucket.limits() else {
            return Refusal::not_run(RefusalKind::KeyRefused);
        };
        let asked = self.waiting_tokens().0 + MicroTokens::from(charge).0;
        let missing = asked.saturating_sub(self.bucket.level(now).0);
        let soonest = span(missing, limits, Share::WHOLE);
        let here = span(missing, limits, self.bucket.share());
        let refill = span(MicroTokens::from(limits.burst).0, limits, Share::WHOLE);
        let wait = here.min(refill).max(soonest).max(SHORTEST_RETRY);
        Refusal::retry_after(RefusalKind::RateExceeded, wait)
    }

    /// Says something about this workspace to another instance.
    pub fn send(&self, cx: &mut Cx<'_>, to: &InstanceId, item: ShareItem) {
        let message = RatesMessage {
            revision: cx.ownership.revision(),
            body: RatesBody::Workspace {
                workspace: self.id.clone(),
                item,
            },
        };
        message.send(cx, to);
    }
}

fn span(tokens: u64, limits: Limits, share: Share) -> Duration {
    let speed = u128::from(limits.rate.0) * u128::from(share.0);
    if speed == 0 {
        return Duration::MAX;
    }
    let micros = u128::from(tokens) * u128::from(Share::WHOLE.0) / speed;
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
