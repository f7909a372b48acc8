//! One workspace as one instance sees it: its bucket, and the requests that wait for it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{Cx, HomeKey, InstanceId, Refusal, RefusalKind, RequestId, Time, Tokens, WorkspaceId};

use super::bucket::Bucket;
use super::channel::Channel;
use super::demand::Demand;
use super::lending::Lending;
use super::message::{RatesBody, RatesMessage, ShareItem};
use super::share::{MICROS, MicroTokens, Share};
use super::{Limits, RateDecision, RateStep};

/// Shortest time after which a refused caller is told to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(50);

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
            owed: MicroTokens::default(),
            is_unspent: false,
            lending: None,
        }
    }

    /// The key of its home.
    pub fn key(&self) -> HomeKey {
        HomeKey::Workspace(self.id.clone())
    }

    /// Whether this instance may act as its home right now.
    pub fn acts(&self, cx: &Cx<'_>) -> bool {
        self.lending.is_some() && cx.own.acts(cx.now, &self.key())
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
        self.home = cx.own.home(&self.key()).cloned();
        self.channel = Channel::default();
        self.ask_due = cx.now;
        self.dry_until = cx.now;
        self.is_unspent = false;
        let is_home = self.home.as_ref() == Some(&cx.own.me.id);
        self.lending = is_home.then(Box::default);
    }

    /// Fills the bucket of a workspace that nobody spent from yet.
    pub fn fill_if_unspent(&mut self, now: Time) {
        if self.is_unspent {
            self.bucket.fill(now);
        }
    }

    /// Charges a request, lets it wait, or refuses it; shares only.
    pub fn admit(&mut self, cx: &mut Cx<'_>, request: Waiting, patience: Duration) -> RateStep {
        self.demand.add(cx.now, request.charge.into());
        if self.waiting.is_empty() && self.bucket.take(cx.now, request.charge) {
            self.seek_if_low(cx);
            return RateStep::Admitted;
        }
        if self.is_hopeless(cx.now, request.charge, patience) {
            self.seek(cx);
            return RateStep::Refused(self.refusal(cx.now, request.charge));
        }
        self.waiting.push_back(request);
        self.seek(cx);
        RateStep::Waiting
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
        if cx.own.has_standing(cx.now) && self.bucket.take(cx.now, head.charge) {
            return Some(Ok(()));
        }
        if cx.now < head.since + patience {
            return None;
        }
        if !cx.own.has_standing(cx.now) {
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
    /// `reserved` is set aside: what it needs and a little more, at most its part by demand.
    pub fn keep(&mut self, now: Time, others: u64, reserved: Share) -> Share {
        let own = u128::from(self.demand.rate(now));
        let need = Share::part(own * 5, u128::from(self.micro_rate()) * 4);
        let fair = Share::part(own, own + u128::from(others));
        let open = Share::WHOLE.saturating_sub(reserved);
        need.min(fair.scaled(open.0.into(), Share::WHOLE.0.into()))
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
            revision: cx.own.revision(),
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
