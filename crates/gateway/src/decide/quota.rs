//! Quotas of workspaces, held over all instances together.
//!
//! Every instance keeps a bucket for each workspace. It takes its own charges out at once and its
//! peers' charges when their counts arrive, about a tenth of a second later. What a peer that fell
//! silent may spend meanwhile is taken out as an even share of the rate, and that peer, which hears
//! nobody either, spends no more than such a share. Charges that arrive late drive the bucket below
//! zero, so an overrun is paid back and doesn't add up.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Time, WorkspaceId};

use super::config::Quota;

/// Spending of one workspace, counted since the process started.
pub type Spent = u64;

/// Answer to a charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Charged {
    /// The request may go on.
    Within,
    /// The quota is used up; worth another try after this long.
    Over {
        /// Time until the charge would fit.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    at: Time,
    own: Spent,
    peers: HashMap<InstanceId, Spent>,
}

/// Buckets of all workspaces.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<WorkspaceId, Bucket>,
}

#[expect(clippy::cast_precision_loss, reason = "charges stay far below 2^52")]
fn number(units: u64) -> f64 {
    units as f64
}

impl Bucket {
    fn new(quota: Quota, now: Time) -> Self {
        Self {
            quota,
            level: number(quota.burst.0),
            at: now,
            own: 0,
            peers: HashMap::new(),
        }
    }

    fn refill(&mut self, now: Time, silent_share: f64) {
        let rate = number(self.quota.rate.0) * (1.0 - silent_share);
        self.level += rate * now.since(self.at).as_secs_f64();
        self.level = self.level.min(number(self.quota.burst.0));
        self.at = now;
    }
}

impl Quotas {
    /// Charges `units` to `workspace`. `silent_share` is the part of all instances that were heard
    /// lately but not now.
    pub fn charge(
        &mut self,
        workspace: &WorkspaceId,
        quota: Quota,
        units: u64,
        silent_share: f64,
        now: Time,
    ) -> Charged {
        let bucket = self
            .buckets
            .entry(workspace.clone())
            .or_insert_with(|| Bucket::new(quota, now));
        bucket.refill(now, silent_share);
        bucket.quota = quota;
        bucket.level = bucket.level.min(number(quota.burst.0));
        let fits = bucket.level >= number(units).min(number(quota.burst.0));
        if fits {
            bucket.level -= number(units);
            bucket.own += units;
            return Charged::Within;
        }
        let missing = number(units).min(number(quota.burst.0)) - bucket.level;
        let rate = number(quota.rate.0).max(1.0);
        Charged::Over {
            retry_after: Duration::from_secs_f64((missing / rate).clamp(0.05, 30.0)),
        }
    }

    /// Gives back a charge of a request that did not run.
    pub fn give_back(&mut self, workspace: &WorkspaceId, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.level = (bucket.level + number(units)).min(number(bucket.quota.burst.0));
            bucket.own = bucket.own.saturating_sub(units);
        }
    }

    /// What this process has charged, for its peers.
    pub fn spent(&self) -> impl Iterator<Item = (&WorkspaceId, Spent)> {
        let spent = self.buckets.iter().map(|(name, bucket)| (name, bucket.own));
        spent.filter(|(_, spent)| *spent > 0)
    }

    /// Takes in what `peer` has charged since it started. A count below the last one heard is
    /// from a new life of the peer, or from charges given back.
    pub fn heard(&mut self, peer: &InstanceId, workspace: &WorkspaceId, spent: Spent) {
        let Some(bucket) = self.buckets.get_mut(workspace) else {
            return;
        };
        let Some(before) = bucket.peers.insert(peer.clone(), spent) else {
            return;
        };
        let news = if spent >= before {
            number(spent - before)
        } else {
            0.0
        };
        bucket.level -= news;
    }
}
