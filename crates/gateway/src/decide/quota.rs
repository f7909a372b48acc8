//! Quotas of workspaces and limits of targets, enforced over all instances together.
//!
//! Every instance keeps a token bucket for each account. It deducts its own charges at once and the charges
//! of its peers when their counts arrive, a fraction of a second later. Until then it assumes that peers go
//! on spending at their recent rate; otherwise all instances would admit requests of a workspace far beyond
//! its rate whenever the bucket holds tokens. For a peer that became unresponsive, an even share of the rate
//! is deducted; that peer, which receives no messages either, spends no more than such a share. Charges that
//! arrive late drive the bucket below zero, so an overrun is paid back and does not add up.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{Incarnation, InstanceId, Time};
use serde::{Deserialize, Serialize};

use super::account::Account;
use super::config::Quota;
use super::dump::QuotaDump;
use super::rendezvous::ShortHash;

/// Units that an account spent since the process started.
pub type SpentUnits = u64;

/// An instance's report of its spending in one account.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct SpendReport {
    /// The account.
    pub account: ShortHash,
    /// Units spent since the instance started.
    pub total: SpentUnits,
    /// Units spent since its last report; a receiver without an earlier report counts only these.
    pub recent: SpentUnits,
}

/// How much an instance knows about the spending of its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerVisibility {
    /// Fraction of all instances that were recently seen but are unresponsive now, between 0 and 1.
    pub silent_fraction: f64,
    /// Mean age of the peers' reports.
    pub staleness: Duration,
}

/// Result of a charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChargeOutcome {
    /// The request may proceed.
    Accepted,
    /// The request may proceed after this wait. It is charged already, so others queue behind it.
    AcceptedAfter(Duration),
    /// The quota is used up.
    Rejected {
        /// Time until the charge would fit.
        retry_after: Duration,
        /// Remaining units; below zero where charges of peers arrived late.
        remaining: i64,
    },
}

/// Fraction of the burst that the new buckets of all instances that start at the same time hold together. An
/// instance that restarts can't know that the buckets of the others are empty; with a full one it would admit
/// a second's worth of tokens to a workspace that is over its rate. With much less, a fleet that restarts at
/// once would reject most requests of workspaces within their rate for a second.
const INITIAL_BURST_FRACTION: f64 = 0.4;

/// Minimum window over which the peers' spending rate is smoothed.
const MIN_PEER_RATE_WINDOW: Duration = Duration::from_millis(800);
/// The smoothing window in multiples of the mean age of the peers' reports. In a large fleet the reports are
/// further apart than the minimum window: the rate would decay to zero between them, and a workspace over its
/// rate would exceed its quota.
const PEER_RATE_STALENESS_FACTOR: u32 = 5;

/// Refill time of the bucket that bounds a plausible increase of a count between two reports. A larger increase can't
/// have been spent: a relay's count refers to something else, and of a peer's no more is believed.
const MAX_PLAUSIBLE_REFILL: Duration = Duration::from_mins(1);

/// Largest increase of a count whatever the quota, so that the sums over all peers can't overflow.
const MAX_COUNT: i64 = 1 << 40;

/// Charges up to this fraction of the burst count as small.
const SMALL_CHARGE_FRACTION: f64 = 0.04;
/// Fraction of the burst reserved for small charges: a filing costs a fifth of a draft's tokens and would
/// find the bucket empty whenever drafts use it up.
const RESERVED_FRACTION: f64 = 0.1;

/// Spending of a peer.
#[derive(Clone, Copy, Debug, Default)]
struct PeerCount {
    /// The count that the next report is compared with, and the incarnation that it belongs to.
    base: Option<(Incarnation, SpentUnits)>,
    /// Units spent since this process first received a report of the peer.
    spent: i64,
}

/// A relay's count of what all other instances have spent.
#[derive(Clone, Copy, Debug)]
struct RelayCount {
    relay: RelayIncarnation,
    count: i64,
}

/// Short hash of a relay's name, and its incarnation.
pub type RelayIncarnation = (ShortHash, u64);

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// Short hash of the account's name.
    account_hash: ShortHash,
    level: f64,
    /// Largest fraction of all instances that was visible, for which the bucket got its part of the initial
    /// burst.
    visible_fraction: f64,
    refilled_at: Time,
    local_spent: SpentUnits,
    local_reported: SpentUnits,
    local_changed_at: Time,
    peers: HashMap<InstanceId, PeerCount>,
    /// Units that all peers have spent since this process first received their reports, and when that last
    /// changed.
    peers_spent: i64,
    peers_changed_at: Time,
    /// Units of peers that were deducted from the level, whichever way they were reported.
    peers_deducted: f64,
    /// The last count of the upstream relay.
    relay_count: Option<RelayCount>,
    /// Smoothed spending of all peers, in units per second.
    peer_rate: f64,
    peer_rate_at: Time,
    /// Smoothing window of `peer_rate`, in seconds.
    peer_rate_window: f64,
}

/// Token buckets of all accounts.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<Account, Bucket>,
}

#[expect(clippy::cast_precision_loss, reason = "charges stay far below 2^52")]
fn unsigned_to_f64(units: u64) -> f64 {
    units as f64
}

#[expect(clippy::cast_precision_loss, reason = "charges stay far below 2^52")]
fn signed_to_f64(units: i64) -> f64 {
    units as f64
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "fractions of a token are negligible"
)]
fn truncate(units: f64) -> i64 {
    units as i64
}

impl Bucket {
    fn new(account: &Account, quota: Quota, silent_fraction: f64, now: Time) -> Self {
        let mut bucket = Self {
            quota,
            account_hash: account.short(),
            level: 0.0,
            visible_fraction: 0.0,
            refilled_at: now,
            local_spent: 0,
            local_reported: 0,
            local_changed_at: now,
            peers: HashMap::new(),
            peers_spent: 0,
            peers_changed_at: now,
            peers_deducted: 0.0,
            relay_count: None,
            peer_rate: 0.0,
            peer_rate_at: now,
            peer_rate_window: MIN_PEER_RATE_WINDOW.as_secs_f64(),
        };
        bucket.grant_initial_burst(silent_fraction);
        bucket
    }

    /// Adds the part of the initial burst of the instances that have become visible. An instance that starts
    /// with the whole fleet does not see the others at first, and all of them hold the initial burst together.
    fn grant_initial_burst(&mut self, silent_fraction: f64) {
        let visible = 1.0 - silent_fraction;
        let increase = (visible - self.visible_fraction).max(0.0);
        self.level += unsigned_to_f64(self.quota.burst.0) * INITIAL_BURST_FRACTION * increase;
        self.visible_fraction = self.visible_fraction.max(visible);
    }

    /// Records `units` spent by peers. The peers' rate decays over its window.
    fn add_peer_spending(&mut self, units: f64, now: Time) {
        self.decay_peer_rate(now);
        self.level -= units;
        self.peers_deducted += units;
        self.peer_rate += units / self.peer_rate_window;
    }

    fn decay_peer_rate(&mut self, now: Time) {
        let elapsed = now.since(self.peer_rate_at).as_secs_f64();
        self.peer_rate *= (-elapsed / self.peer_rate_window).exp();
        self.peer_rate_at = now;
    }

    /// Largest plausible increase of a count between two reports.
    fn max_plausible_increase(&self) -> i64 {
        let refill = self
            .quota
            .rate
            .0
            .saturating_mul(MAX_PLAUSIBLE_REFILL.as_secs());
        let most = self.quota.burst.0.saturating_add(refill);
        i64::try_from(most).unwrap_or(i64::MAX).min(MAX_COUNT)
    }

    fn refill(&mut self, now: Time, silent_fraction: f64) {
        self.grant_initial_burst(silent_fraction);
        let rate = unsigned_to_f64(self.quota.rate.0) * (1.0 - silent_fraction);
        self.level += rate * now.since(self.refilled_at).as_secs_f64();
        self.level = self.level.min(unsigned_to_f64(self.quota.burst.0));
        self.refilled_at = now;
    }
}

impl Quotas {
    /// Creates an account's bucket if it has none: it is full by the time callers arrive, and what peers
    /// spend meanwhile is counted. `silent_fraction` is the fraction of all instances that is unresponsive.
    pub fn prepare(
        &mut self,
        account: impl Into<Account>,
        quota: Quota,
        silent_fraction: f64,
        now: Time,
    ) {
        let account = account.into();
        let new = Bucket::new(&account, quota, silent_fraction, now);
        self.buckets.entry(account).or_insert(new);
    }

    /// Removes an account.
    pub fn close(&mut self, account: impl Into<Account>) {
        self.buckets.remove(&account.into());
    }

    /// Charges `units` to an account. A request that would fit within `max_wait` is accepted after that wait.
    pub fn charge(
        &mut self,
        account: impl Into<Account>,
        quota: Quota,
        units: u64,
        visibility: PeerVisibility,
        max_wait: Duration,
        now: Time,
    ) -> ChargeOutcome {
        let silent_fraction = visibility.silent_fraction;
        let account = account.into();
        let new = || Bucket::new(&account, quota, silent_fraction, now);
        let bucket = self.buckets.entry(account.clone()).or_insert_with(new);
        bucket.refill(now, silent_fraction);
        bucket.quota = quota;
        bucket.level = bucket.level.min(unsigned_to_f64(quota.burst.0));
        let burst = unsigned_to_f64(quota.burst.0);
        let is_small = unsigned_to_f64(units) <= burst * SMALL_CHARGE_FRACTION;
        let reserve = if is_small {
            0.0
        } else {
            burst * RESERVED_FRACTION
        };
        let span = (visibility.staleness * PEER_RATE_STALENESS_FACTOR).max(MIN_PEER_RATE_WINDOW);
        bucket.peer_rate_window = span.as_secs_f64();
        bucket.decay_peer_rate(now);
        let unreported = bucket.peer_rate * visibility.staleness.as_secs_f64();
        let level = bucket.level - unreported;
        let missing = (unsigned_to_f64(units) + reserve).min(burst) - level;
        let rate = unsigned_to_f64(quota.rate.0) * (1.0 - silent_fraction);
        let wait = missing / rate.max(1.0);
        if wait <= max_wait.as_secs_f64() {
            bucket.level -= unsigned_to_f64(units);
            bucket.local_spent += units;
            bucket.local_changed_at = now;
            return if missing <= 0.0 {
                ChargeOutcome::Accepted
            } else {
                ChargeOutcome::AcceptedAfter(Duration::from_secs_f64(wait))
            };
        }
        ChargeOutcome::Rejected {
            retry_after: Duration::from_secs_f64(wait.clamp(0.05, 30.0)),
            remaining: truncate(bucket.level),
        }
    }

    /// Refunds a charge of a request that did not run.
    pub fn refund(&mut self, account: impl Into<Account>, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(&account.into()) {
            bucket.level =
                (bucket.level + unsigned_to_f64(units)).min(unsigned_to_f64(bucket.quota.burst.0));
            bucket.local_spent = bucket.local_spent.saturating_sub(units);
            bucket.local_changed_at = bucket.refilled_at;
        }
    }

    /// Returns what all instances have charged to an account since this process knows of it, as far as reported; it
    /// falls when charges are refunded. `None` if the account has no bucket.
    #[must_use]
    pub fn spent_by_all(&self, account: impl Into<Account>) -> Option<i64> {
        let bucket = self.buckets.get(&account.into())?;
        let peers = truncate(bucket.peers_deducted);
        Some(bucket.local_spent.cast_signed().saturating_add(peers))
    }

    /// Returns the remaining quota of each workspace as of its last charge, sorted by name.
    #[must_use]
    pub fn dump(&self) -> Vec<QuotaDump> {
        let dumped = self.buckets.iter().filter_map(|(account, bucket)| {
            let Account::Workspace(name) = account else {
                return None;
            };
            Some(QuotaDump {
                workspace: name.clone(),
                rate: bucket.quota.rate,
                left: truncate(bucket.level),
            })
        });
        let mut dumped = dumped.collect::<Vec<_>>();
        dumped.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        dumped
    }

    /// Returns reports of this process's charges for its peers, for the accounts that changed within `span`.
    /// A longer `span` makes up for lost datagrams, as later reports contain the same totals.
    pub fn take_spend_reports(&mut self, span: Duration, now: Time) -> Vec<SpendReport> {
        let buckets = self.buckets.values_mut();
        let changed = buckets.filter(|bucket| now.since(bucket.local_changed_at) < span);
        let reports = changed.map(|bucket| {
            let reported = std::mem::replace(&mut bucket.local_reported, bucket.local_spent);
            SpendReport {
                account: bucket.account_hash,
                total: bucket.local_spent,
                recent: bucket.local_spent.saturating_sub(reported),
            }
        });
        reports.collect()
    }

    /// Records what `peer` has charged since it started, refunds deducted. Of the first count of a peer's
    /// incarnation only the recent part counts, unless the peer started later than this process
    /// (`started_later`). While a relay's counts are in use (`changes_level` is false), reports of single
    /// peers do not count a second time.
    pub fn record_peer_spending(
        &mut self,
        peer: &InstanceId,
        incarnation: Incarnation,
        report: SpendReport,
        started_later: bool,
        changes_level: bool,
        now: Time,
    ) {
        let Some(bucket) = self.by_hash(report.account) else {
            return;
        };
        let most = bucket.max_plausible_increase();
        let peer_count = bucket.peers.entry(peer.clone()).or_default();
        let previous = peer_count.base.replace((incarnation, report.total));
        let previous = previous.filter(|(previous, _)| *previous == incarnation);
        let first = if started_later {
            report.total
        } else {
            report.recent
        };
        let increase = previous.map_or(first.cast_signed(), |(_, previous)| {
            report
                .total
                .cast_signed()
                .wrapping_sub(previous.cast_signed())
        });
        let increase = increase.clamp(-most, most);
        peer_count.spent += increase;
        bucket.peers_spent += increase;
        bucket.peers_changed_at = now;
        if changes_level {
            bucket.add_peer_spending(signed_to_f64(increase), now);
        }
    }

    fn by_hash(&mut self, account: ShortHash) -> Option<&mut Bucket> {
        let mut buckets = self.buckets.values_mut();
        buckets.find(|bucket| bucket.account_hash == account)
    }

    /// Returns what all instances but `peer` have charged since this process started, for the accounts that
    /// changed within `span`. The count falls when charges are refunded.
    pub fn spent_by_others(
        &self,
        peer: &InstanceId,
        span: Duration,
        now: Time,
    ) -> impl Iterator<Item = (ShortHash, i64)> {
        let changed = move |bucket: &&Bucket| {
            now.since(bucket.local_changed_at.max(bucket.peers_changed_at)) < span
        };
        self.buckets.values().filter(changed).map(|bucket| {
            let by_peer = bucket
                .peers
                .get(peer)
                .map_or(0, |peer_count| peer_count.spent);
            let all = bucket.local_spent.cast_signed() + bucket.peers_spent;
            (bucket.account_hash, all - by_peer)
        })
    }

    /// Records a relay's count of what all other instances have charged. The first count of a relay is the
    /// baseline.
    pub fn record_relay_count(
        &mut self,
        relay: RelayIncarnation,
        account: ShortHash,
        count: i64,
        now: Time,
    ) {
        let Some(bucket) = self.by_hash(account) else {
            return;
        };
        let previous = bucket.relay_count.replace(RelayCount { relay, count });
        let Some(previous) = previous.filter(|previous| previous.relay == relay) else {
            return;
        };
        let increase = count.wrapping_sub(previous.count);
        if increase.unsigned_abs() <= bucket.max_plausible_increase().unsigned_abs() {
            bucket.add_peer_spending(signed_to_f64(increase), now);
        }
    }

    /// Returns the remaining units of each account.
    pub fn remaining(&self) -> impl Iterator<Item = (ShortHash, i64)> {
        let buckets = self.buckets.values();
        buckets.map(|bucket| (bucket.account_hash, truncate(bucket.level)))
    }

    /// Sets the remaining units to those of a relay, which has received the other instances' reports for
    /// longer.
    pub fn set_remaining(&mut self, account: ShortHash, remaining: i64) {
        if let Some(bucket) = self.by_hash(account) {
            bucket.level = signed_to_f64(remaining).min(unsigned_to_f64(bucket.quota.burst.0));
            bucket.visible_fraction = 1.0;
        }
    }

    /// Assumes that peers went on spending at their recent rate during the last `span`, for which no reports
    /// were received.
    pub fn extrapolate(&mut self, span: Duration, now: Time) {
        for bucket in self.buckets.values_mut() {
            bucket.decay_peer_rate(now - span);
            let units = bucket.peer_rate * span.as_secs_f64();
            bucket.add_peer_spending(units, now);
        }
    }

    /// Makes the next report of each peer count its recent part only: the rest was counted by a relay's sums.
    pub fn reset_peer_baselines(&mut self) {
        for peer_count in self
            .buckets
            .values_mut()
            .flat_map(|bucket| bucket.peers.values_mut())
        {
            peer_count.base = None;
        }
    }

    /// Makes the next count of a relay the new baseline: the rest was counted from reports of single peers.
    pub fn reset_relay_baseline(&mut self) {
        for bucket in self.buckets.values_mut() {
            bucket.relay_count = None;
        }
    }
}
