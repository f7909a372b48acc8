//! State of one workspace at one instance: its token bucket and its waiting requests.

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
use super::share::{MICROTOKENS_PER_TOKEN, MicroTokens, Share};
use super::{Limits, RateDecision, RateStep};

/// Minimum retry delay sent to a rejected caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// An owner that doesn't respond for this time counts as lost.
const OWNER_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time that a request waits for tokens while the owner is lost. Longer than a takeover
/// takes.
const TAKEOVER_MAX_WAIT: Duration = Duration::from_secs(5);

/// Time after a lost owner responds again in which requests that waited for it can be admitted.
const OWNER_RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// A request that waits for tokens.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Request id.
    pub request: RequestId,
    /// Tokens to charge.
    pub charge: Tokens,
    /// Arrival time.
    pub arrived_at: Time,
}

/// State of a workspace at this instance.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Workspace name.
    pub id: WorkspaceId,
    /// Owner under the map revision in force.
    pub owner: Option<InstanceId>,
    /// Token bucket of the share held by this instance.
    pub bucket: Bucket,
    /// Demand at this instance.
    pub demand: Demand,
    /// Requests waiting at this instance, oldest first.
    pub waiting: VecDeque<WaitingRequest>,
    /// Transfers between this instance and the owner.
    pub channel: Channel,
    /// Earliest time of the next request to the owner.
    pub next_request_at: Time,
    /// Until this time the owner has nothing to lend.
    pub denied_until: Time,
    /// Time of the oldest request to the owner without a response; `None` if there is none.
    pub unanswered_since: Option<Time>,
    /// End of the grace period after a lost owner responded again.
    pub recovery_grace_until: Time,
    /// At the owner: the unheld share has been claimed under this revision.
    pub is_reconciled: bool,
    /// Unused tokens that still have to be returned to the owner (round trip policy only).
    pub unsent_refund: MicroTokens,
    /// Whether this instance holds the whole workspace and no instance has ever spent from it.
    pub is_unspent: bool,
    /// Loans to other instances, while this instance is the owner.
    pub lending: Option<Box<Lending>>,
}

impl Workspace {
    /// Creates a state without share and waiting requests.
    pub fn new(id: WorkspaceId, now: Time) -> Self {
        Self {
            id,
            owner: None,
            bucket: Bucket::new(now),
            demand: Demand::default(),
            waiting: VecDeque::new(),
            channel: Channel::default(),
            next_request_at: Time::default(),
            denied_until: Time::default(),
            unanswered_since: None,
            recovery_grace_until: Time::default(),
            is_reconciled: false,
            unsent_refund: MicroTokens::default(),
            is_unspent: false,
            lending: None,
        }
    }

    /// Returns the key under which the map assigns the owner.
    pub fn key(&self) -> OwnershipKey {
        OwnershipKey::Workspace(self.id.clone())
    }

    /// Whether this instance may act as the owner now.
    pub fn is_acting_owner(&self, cx: &Cx<'_>) -> bool {
        self.lending.is_some() && cx.ownership.may_act(cx.now, &self.key())
    }

    /// Whether the workspace needs work on the next tick.
    pub fn is_busy(&self) -> bool {
        let lent = self
            .lending
            .as_ref()
            .is_some_and(|lending| lending.is_busy());
        lent || !self.waiting.is_empty() || self.channel.is_busy() || self.unsent_refund.0 > 0
    }

    /// Resets the state for a new map revision. Pending transfers of the old revision are void.
    pub fn reset_for_revision(&mut self, cx: &Cx<'_>) {
        self.owner = cx.ownership.owner(&self.key()).cloned();
        self.channel = Channel::default();
        self.next_request_at = cx.now;
        self.denied_until = cx.now;
        self.is_unspent = false;
        self.is_reconciled = false;
        let is_owner = self.owner.as_ref() == Some(&cx.ownership.local.id);
        self.lending = is_owner.then(Box::default);
    }

    /// Fills the bucket if no instance has spent from the workspace yet.
    pub fn fill_if_unspent(&mut self, now: Time) {
        if self.is_unspent {
            self.bucket.fill(now);
        }
    }

    /// Returns how long a request may wait now. It is longer while the owner is lost, because the
    /// next owner may find that there are enough tokens.
    fn current_max_wait(&self, now: Time, max_wait: Duration) -> Duration {
        let is_owner_lost = self
            .unanswered_since
            .is_some_and(|since| now >= since + OWNER_TIMEOUT);
        if is_owner_lost || now < self.recovery_grace_until {
            return max_wait.max(TAKEOVER_MAX_WAIT);
        }
        max_wait
    }

    /// Records that a request to the owner is open.
    pub fn mark_unanswered(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records a response of the owner.
    pub fn mark_answered(&mut self, now: Time) {
        if self
            .unanswered_since
            .is_some_and(|since| now >= since + OWNER_TIMEOUT)
        {
            self.recovery_grace_until = now + OWNER_RECOVERY_GRACE;
        }
        self.unanswered_since = None;
    }

    /// Charges a request, lets it wait, or rejects it. Not for the round trip policy.
    ///
    /// `can_borrow` is false for an even split, which never borrows.
    pub fn admit(
        &mut self,
        cx: &mut Cx<'_>,
        request: WaitingRequest,
        max_wait: Duration,
        can_borrow: bool,
    ) -> RateStep {
        self.demand.add(cx.now, request.charge.into());
        if self.waiting.is_empty() && self.bucket.try_spend(cx.now, request.charge) {
            if can_borrow {
                self.request_more_if_low(cx);
            }
            return RateStep::Admitted;
        }
        let max_wait = self.current_max_wait(cx.now, max_wait);
        let is_rejected = self.exceeds_max_wait(cx.now, request.charge, max_wait);
        let step = if is_rejected {
            RateStep::Refused(self.refusal(cx.now, request.charge))
        } else {
            self.waiting.push_back(request);
            RateStep::Waiting
        };
        if can_borrow {
            self.request_more(cx);
        }
        step
    }

    /// Charges waiting requests in order of arrival as far as tokens are available, and rejects
    /// those that waited too long.
    pub fn decide_waiting(
        &mut self,
        cx: &Cx<'_>,
        max_wait: Duration,
        decisions: &mut Vec<RateDecision>,
    ) {
        while let Some(head) = self.waiting.front().cloned() {
            let Some(outcome) = self.try_decide(cx, &head, max_wait) else {
                return;
            };
            self.waiting.pop_front();
            decisions.push(RateDecision {
                request: head.request,
                outcome,
            });
        }
    }

    fn try_decide(
        &mut self,
        cx: &Cx<'_>,
        head: &WaitingRequest,
        max_wait: Duration,
    ) -> Option<Result<(), Refusal>> {
        let Some(limits) = self.bucket.limits() else {
            return Some(Err(Refusal::not_run(RefusalKind::KeyRefused)));
        };
        if head.charge > limits.burst {
            return Some(Err(Refusal::not_run(RefusalKind::NeverAdmissible)));
        }
        // Without a lease, the share may already be lent to other instances, and spending it would
        // exceed the rate. The lease is therefore checked immediately before the charge.
        if cx.ownership.has_lease(cx.now) && self.bucket.try_spend(cx.now, head.charge) {
            return Some(Ok(()));
        }
        if cx.now < head.arrived_at + self.current_max_wait(cx.now, max_wait) {
            return None;
        }
        if !cx.ownership.has_lease(cx.now) {
            return Some(Err(Refusal::not_run(RefusalKind::NoStanding)));
        }
        Some(Err(self.refusal(cx.now, head.charge)))
    }

    /// Returns the tokens that all waiting requests need.
    pub fn waiting_tokens(&self) -> MicroTokens {
        let sum = self.waiting.iter().map(|waiting| waiting.charge.0).sum();
        Tokens(sum).into()
    }

    /// Returns the tokens that the waiting requests lack.
    pub fn shortfall(&mut self, now: Time) -> MicroTokens {
        let level = self.bucket.level(now).0;
        MicroTokens(self.waiting_tokens().0.saturating_sub(level))
    }

    /// Returns the smallest share whose burst can hold the first waiting request.
    pub fn min_share_for_head(&self) -> Share {
        let burst = self.bucket.limits().map_or(0, |limits| limits.burst.0);
        let head = self.waiting.front().map_or(0, |head| head.charge.0);
        Share::fraction_rounded_up(u128::from(head), u128::from(burst))
    }

    /// Returns the share that this instance keeps if the demand of other instances is
    /// `other_demand` microtokens per second and `reserved` is set aside.
    pub fn retained_share(&mut self, cx: &Cx<'_>, other_demand: u64, reserved: Share) -> Share {
        let local_demand = self.demand.rate(cx.now);
        let fair_share =
            self.fair_share(cx, local_demand, local_demand.saturating_add(other_demand));
        let unreserved = Share::WHOLE.saturating_sub(reserved);
        fair_share.scaled(unreserved.0.into(), Share::WHOLE.0.into())
    }

    /// Returns the fair share of an instance with `demand` of `total_demand` microtokens per
    /// second.
    ///
    /// The share covers the demand, plus a part of the unused rate: half of the unused rate is
    /// divided by demand and half evenly. A busy instance thereby has capacity for variation, and
    /// an idle one can admit a request while the owner is lost. If the rate doesn't cover the total
    /// demand, it is divided by demand alone. The fair shares of all instances sum to the whole.
    pub fn fair_share(&self, cx: &Cx<'_>, demand: u64, total_demand: u64) -> Share {
        let (demand, total_demand) = (u128::from(demand), u128::from(total_demand));
        let rate = u128::from(self.rate_in_microtokens());
        if total_demand >= rate {
            return Share::fraction(demand, total_demand);
        }
        let unused = rate - total_demand;
        let members = cx.ownership.map.members.len().max(1) as u128;
        let even = unused / (2 * members);
        let by_demand = (unused * demand)
            .checked_div(2 * total_demand)
            .unwrap_or(even);
        Share::fraction(demand + even + by_demand, rate)
    }

    /// Returns the workspace's rate in microtokens per second.
    pub fn rate_in_microtokens(&self) -> u64 {
        let rate = self.bucket.limits().map_or(0, |limits| limits.rate.0);
        rate.saturating_mul(MICROTOKENS_PER_TOKEN)
    }

    // Returns whether the request would wait too long even if it got the whole rate from now on.
    // Until the owner has reported that nothing is available, up to a full burst may be held by
    // other instances.
    fn exceeds_max_wait(&mut self, now: Time, charge: Tokens, max_wait: Duration) -> bool {
        let available = match self.bucket.limits() {
            Some(limits) if now >= self.denied_until => MicroTokens::from(limits.burst).0,
            _ => self.bucket.level(now).0,
        };
        let accrued = u128::from(self.rate_in_microtokens()) * max_wait.as_micros()
            / u128::from(MICROTOKENS_PER_TOKEN);
        let requested =
            u128::from(self.waiting_tokens().0) + u128::from(MicroTokens::from(charge).0);
        requested > u128::from(available) + accrued
    }

    /// Returns a refusal with the time after which `charge` would fit at this instance, as far as
    /// it knows.
    pub fn refusal(&mut self, now: Time, charge: Tokens) -> Refusal {
        let Some(limits) = self.bucket.limits() else {
            return Refusal::not_run(RefusalKind::KeyRefused);
        };
        let requested = self.waiting_tokens().0 + MicroTokens::from(charge).0;
        let missing = requested.saturating_sub(self.bucket.level(now).0);
        let at_full_rate = refill_time(missing, limits, Share::WHOLE);
        let at_local_rate = refill_time(missing, limits, self.bucket.share());
        let full_refill = refill_time(MicroTokens::from(limits.burst).0, limits, Share::WHOLE);
        let wait = at_local_rate
            .min(full_refill)
            .max(at_full_rate)
            .max(MIN_RETRY_AFTER);
        Refusal::retry_after(RefusalKind::RateExceeded, wait)
    }

    /// Sends a message about this workspace to another instance.
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

fn refill_time(tokens: u64, limits: Limits, share: Share) -> Duration {
    let refill_speed = u128::from(limits.rate.0) * u128::from(share.0);
    if refill_speed == 0 {
        return Duration::MAX;
    }
    let micros = u128::from(tokens) * u128::from(Share::WHOLE.0) / refill_speed;
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
