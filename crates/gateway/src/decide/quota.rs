//! Quotas of workspaces, and limits of targets, held over all instances together.
//!
//! Every instance keeps a bucket for each of them. It takes its own charges out at once and its
//! peers' charges when their counts arrive, a fraction of a second later; until then it assumes that
//! they go on as lately, so that a workspace far beyond its rate isn't let in by all at once whenever
//! the bucket has something. What a peer that fell silent may spend meanwhile is taken out as an even
//! share of the rate, and that peer, which hears nobody either, spends no more than such a share.
//! Charges that arrive late drive the bucket below zero, so an overrun is paid back and doesn't add
//! up.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{Incarnation, InstanceId, Time};
use serde::{Deserialize, Serialize};

use super::account::Account;
use super::config::Quota;
use super::dump::QuotaDump;
use super::rendezvous::ShortHash;

/// Spending of one workspace, counted since the process started.
pub type Spent = u64;

/// What an instance tells of its spending in one account.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct SpentWord {
    /// The account.
    pub account: ShortHash,
    /// What it has spent since it started.
    pub total: Spent,
    /// What of it since its last word: all that counts for one who heard none before.
    pub lately: Spent,
}

/// How well an instance knows what its peers spend.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sharing {
    /// Part of all instances that were heard lately but not now, between 0 and 1.
    pub silent: f64,
    /// Mean age of what the others told.
    pub lag: Duration,
}

/// Answer to a charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Charged {
    /// The request may go on.
    Within,
    /// The request may go on after this pause; it is charged already, so others queue behind it.
    After(Duration),
    /// The quota is used up; worth another try after this long.
    Over {
        /// Time until the charge would fit.
        retry_after: Duration,
        /// Units that are left; below zero where charges of peers came in late.
        left: i64,
    },
}

/// Part of the burst that the new buckets of all instances that start at once hold together. An instance that
/// restarts can't know that the others' buckets are empty; with a full one it would let a hot workspace in
/// for a second's worth of tokens.
const START_PART: f64 = 0.1;

/// Least span over which the rate of peers is smoothed.
const PEER_RATE_SPAN: Duration = Duration::from_millis(800);
/// The same in mean ages of what peers told. In a large fleet words come further apart than the least
/// span: the rate would be forgotten in between, and a hot workspace let in beyond its quota.
const PEER_RATE_LAGS: u32 = 5;

/// Spans of the bucket's refilling that a relay's count may grow by between two words; more can't have
/// been spent, so the count is of something else.
const PLAUSIBLE_SPAN: Duration = Duration::from_mins(1);

/// Charges up to this part of the burst count as small.
const SMALL_PART: f64 = 0.04;
/// Part of the burst that large charges leave: a filing costs a fifth of a draft's tokens and would
/// find the bucket empty whenever drafts use it up.
const KEPT_PART: f64 = 0.1;

/// What a peer told of its spending.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// The count that the next one is compared with, and the life that it is of.
    base: Option<(Incarnation, Spent)>,
    /// What it has spent since this process heard it first.
    sum: i64,
}

/// A relay's count of what all others have spent.
#[derive(Clone, Copy, Debug)]
struct ToldSum {
    relay: RelayLife,
    count: i64,
}

/// A relay's short name and its life.
pub type RelayLife = (ShortHash, u64);

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// Short hash of the account's name.
    short: ShortHash,
    level: f64,
    at: Time,
    own: Spent,
    own_told: Spent,
    own_changed: Time,
    peers: HashMap<InstanceId, Told>,
    /// What all peers have spent since this process heard them first, and when that last changed.
    peers_sum: i64,
    peers_changed: Time,
    /// The last word of the relay that this instance asks.
    told_sum: Option<ToldSum>,
    /// What all peers spend in a second, smoothed.
    peer_rate: f64,
    peer_rate_at: Time,
    /// Span over which it is smoothed, in seconds.
    peer_rate_span: f64,
}

/// Buckets of all accounts.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<Account, Bucket>,
}

#[expect(clippy::cast_precision_loss, reason = "charges stay far below 2^52")]
fn number(units: u64) -> f64 {
    units as f64
}

#[expect(clippy::cast_precision_loss, reason = "charges stay far below 2^52")]
fn signed(units: i64) -> f64 {
    units as f64
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a fraction of a token is nothing"
)]
fn whole(units: f64) -> i64 {
    units as i64
}

impl Bucket {
    fn new(account: &Account, quota: Quota, silent: f64, now: Time) -> Self {
        Self {
            quota,
            short: account.short(),
            level: number(quota.burst.0) * START_PART * (1.0 - silent),
            at: now,
            own: 0,
            own_told: 0,
            own_changed: now,
            peers: HashMap::new(),
            peers_sum: 0,
            peers_changed: now,
            told_sum: None,
            peer_rate: 0.0,
            peer_rate_at: now,
            peer_rate_span: PEER_RATE_SPAN.as_secs_f64(),
        }
    }

    /// Peers told of `units` more. Their rate fades over its span.
    fn peer_spent(&mut self, units: f64, now: Time) {
        self.fade_peer_rate(now);
        self.level -= units;
        self.peer_rate += units / self.peer_rate_span;
    }

    fn fade_peer_rate(&mut self, now: Time) {
        let passed = now.since(self.peer_rate_at).as_secs_f64();
        self.peer_rate *= (-passed / self.peer_rate_span).exp();
        self.peer_rate_at = now;
    }

    fn refill(&mut self, now: Time, silent_share: f64) {
        let rate = number(self.quota.rate.0) * (1.0 - silent_share);
        self.level += rate * now.since(self.at).as_secs_f64();
        self.level = self.level.min(number(self.quota.burst.0));
        self.at = now;
    }
}

impl Quotas {
    /// Begins an account's bucket, if it has none: by the time callers come it is full, and what
    /// peers spend meanwhile is counted. `silent` is the part of all instances that isn't heard.
    pub fn prepare(&mut self, account: impl Into<Account>, quota: Quota, silent: f64, now: Time) {
        let account = account.into();
        let new = Bucket::new(&account, quota, silent, now);
        self.buckets.entry(account).or_insert(new);
    }

    /// Forgets an account.
    pub fn close(&mut self, account: impl Into<Account>) {
        self.buckets.remove(&account.into());
    }

    /// Charges `units` to an account. A request that would fit within `longest_pause` is let in after it.
    pub fn charge(
        &mut self,
        account: impl Into<Account>,
        quota: Quota,
        units: u64,
        sharing: Sharing,
        longest_pause: Duration,
        now: Time,
    ) -> Charged {
        let silent_share = sharing.silent;
        let account = account.into();
        let new = || Bucket::new(&account, quota, silent_share, now);
        let bucket = self.buckets.entry(account.clone()).or_insert_with(new);
        bucket.refill(now, silent_share);
        bucket.quota = quota;
        bucket.level = bucket.level.min(number(quota.burst.0));
        let burst = number(quota.burst.0);
        let small = number(units) <= burst * SMALL_PART;
        let kept = if small { 0.0 } else { burst * KEPT_PART };
        let span = (sharing.lag * PEER_RATE_LAGS).max(PEER_RATE_SPAN);
        bucket.peer_rate_span = span.as_secs_f64();
        bucket.fade_peer_rate(now);
        let untold = bucket.peer_rate * sharing.lag.as_secs_f64();
        let level = bucket.level - untold;
        let missing = (number(units) + kept).min(burst) - level;
        let rate = number(quota.rate.0) * (1.0 - silent_share);
        let pause = missing / rate.max(1.0);
        if pause <= longest_pause.as_secs_f64() {
            bucket.level -= number(units);
            bucket.own += units;
            bucket.own_changed = now;
            return if missing <= 0.0 {
                Charged::Within
            } else {
                Charged::After(Duration::from_secs_f64(pause))
            };
        }
        Charged::Over {
            retry_after: Duration::from_secs_f64(pause.clamp(0.05, 30.0)),
            left: whole(bucket.level),
        }
    }

    /// Gives back a charge of a request that did not run.
    pub fn give_back(&mut self, account: impl Into<Account>, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(&account.into()) {
            bucket.level = (bucket.level + number(units)).min(number(bucket.quota.burst.0));
            bucket.own = bucket.own.saturating_sub(units);
            bucket.own_changed = bucket.at;
        }
    }

    /// What is left of each workspace's quota as of its last charge, by name.
    #[must_use]
    pub fn dump(&self) -> Vec<QuotaDump> {
        let dumped = self.buckets.iter().filter_map(|(account, bucket)| {
            let Account::Workspace(name) = account else {
                return None;
            };
            Some(QuotaDump {
                workspace: name.clone(),
                rate: bucket.quota.rate,
                left: whole(bucket.level),
            })
        });
        let mut dumped = dumped.collect::<Vec<_>>();
        dumped.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        dumped
    }

    /// What this process has charged, for its peers, where it changed within `span`: long enough
    /// that a lost datagram is made up for by the next ones.
    pub fn tell_spent(&mut self, span: Duration, now: Time) -> Vec<SpentWord> {
        let buckets = self.buckets.values_mut();
        let lately = buckets.filter(|bucket| now.since(bucket.own_changed) < span);
        let words = lately.map(|bucket| {
            let told = std::mem::replace(&mut bucket.own_told, bucket.own);
            SpentWord {
                account: bucket.short,
                total: bucket.own,
                lately: bucket.own.saturating_sub(told),
            }
        });
        words.collect()
    }

    /// Takes in what `peer` has charged since it started, charges given back left out. Of the first
    /// count of a peer's life only the latest part counts, unless it started `after` this process. While a relay's sums are counted, single
    /// peers' spending doesn't count a second time.
    pub fn heard(
        &mut self,
        peer: &InstanceId,
        life: Incarnation,
        word: SpentWord,
        after: bool,
        counts: bool,
        now: Time,
    ) {
        let Some(bucket) = self.by_hash(word.account) else {
            return;
        };
        let told = bucket.peers.entry(peer.clone());
        let told = told.or_insert(Told { base: None, sum: 0 });
        let before = told.base.replace((life, word.total));
        let before = before.filter(|(before, _)| *before == life);
        let first = if after { word.total } else { word.lately };
        let more = before.map_or(first.cast_signed(), |(_, before)| {
            word.total.cast_signed().wrapping_sub(before.cast_signed())
        });
        told.sum += more;
        bucket.peers_sum += more;
        bucket.peers_changed = now;
        if counts {
            bucket.peer_spent(signed(more), now);
        }
    }

    fn by_hash(&mut self, account: ShortHash) -> Option<&mut Bucket> {
        let mut buckets = self.buckets.values_mut();
        buckets.find(|bucket| bucket.short == account)
    }

    /// What all but `peer` have charged since this process started, where that changed within
    /// `span`; falls where charges were given back.
    pub fn spent_by_others(
        &self,
        peer: &InstanceId,
        span: Duration,
        now: Time,
    ) -> impl Iterator<Item = (ShortHash, i64)> {
        let changed =
            move |bucket: &&Bucket| now.since(bucket.own_changed.max(bucket.peers_changed)) < span;
        self.buckets.values().filter(changed).map(|bucket| {
            let theirs = bucket.peers.get(peer).map_or(0, |told| told.sum);
            let all = bucket.own.cast_signed() + bucket.peers_sum;
            (bucket.short, all - theirs)
        })
    }

    /// Takes in a relay's count of what all others have charged. The first count of a relay is where
    /// counting begins.
    pub fn heard_sum(&mut self, relay: RelayLife, account: ShortHash, count: i64, now: Time) {
        let Some(bucket) = self.by_hash(account) else {
            return;
        };
        let before = bucket.told_sum.replace(ToldSum { relay, count });
        let Some(before) = before.filter(|before| before.relay == relay) else {
            return;
        };
        let more = signed(count.wrapping_sub(before.count));
        let quota = bucket.quota;
        let most = number(quota.burst.0) + number(quota.rate.0) * PLAUSIBLE_SPAN.as_secs_f64();
        if more.abs() <= most {
            bucket.peer_spent(more, now);
        }
    }

    /// What is left of each quota.
    pub fn left(&self) -> impl Iterator<Item = (ShortHash, i64)> {
        let buckets = self.buckets.values();
        buckets.map(|bucket| (bucket.short, whole(bucket.level)))
    }

    /// A relay, which has heard the others longer, says what is left.
    pub fn set_left(&mut self, account: ShortHash, left: i64) {
        if let Some(bucket) = self.by_hash(account) {
            bucket.level = signed(left).min(number(bucket.quota.burst.0));
        }
    }

    /// Nobody told what was spent in the last `span`: it is taken to have gone on as before.
    pub fn missed(&mut self, span: Duration, now: Time) {
        for bucket in self.buckets.values_mut() {
            bucket.fade_peer_rate(now - span);
            let units = bucket.peer_rate * span.as_secs_f64();
            bucket.peer_spent(units, now);
        }
    }

    /// Of the next word of each peer only the latest part counts: the rest was heard by a relay's sums.
    pub fn forget_peers(&mut self) {
        for told in self
            .buckets
            .values_mut()
            .flat_map(|bucket| bucket.peers.values_mut())
        {
            told.base = None;
        }
    }

    /// The next count of a relay is where counting begins: the rest was heard peer by peer.
    pub fn forget_sums(&mut self) {
        for bucket in self.buckets.values_mut() {
            bucket.told_sum = None;
        }
    }
}
