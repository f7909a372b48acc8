//! Announced versions of adapters.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{AdapterVersion, Time};
use serde::{Deserialize, Serialize};

use crate::decide::adapters::adapter::{AdapterKey, VersionedAdapter};

/// Time for which requests may still start on an older version after a newer one was announced.
///
/// Callers are promised the new version within 5 s of its announcement. The announcement may take a
/// second to arrive here, and a request a second to start.
const OLD_VERSION_GRACE: Duration = Duration::from_millis(2_500);
/// Age of an announcement at which a request on an older version is withdrawn if the engine has not
/// started it.
///
/// The request waits behind the prompts of others and might start after the promised 5 s. The rest
/// of the 5 s is for the announcement to arrive here and for the engine to notice that the
/// connection was closed.
const WITHDRAWAL_THRESHOLD: Duration = Duration::from_millis(3_800);

/// Maximum age of an announcement. Older announcements have no further effect, and the value also
/// stands for an unknown age.
pub const MAX_ANNOUNCEMENT_AGE: Duration = WITHDRAWAL_THRESHOLD;

/// An announced version with its age, for peers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Announcement {
    /// The adapter and its version.
    pub adapter: VersionedAdapter,
    /// Time since the announcement, at most [`MAX_ANNOUNCEMENT_AGE`].
    pub age: Duration,
}

/// The newest version of each adapter that has had more than one.
#[derive(Debug, Default)]
pub struct Versions {
    /// Announced versions of each adapter, the newest last. Earlier ones are kept while their age
    /// matters to the versions that they replaced.
    announced: HashMap<AdapterKey, Vec<Announced>>,
}

#[derive(Clone, Copy, Debug)]
struct Announced {
    version: AdapterVersion,
    /// When requests on an older version are withdrawn if the engine has not started them.
    withdraw_at: Time,
}

impl Announced {
    fn age(&self, now: Time) -> Duration {
        WITHDRAWAL_THRESHOLD.saturating_sub(self.withdraw_at.since(now))
    }
}

impl Versions {
    /// Records an announcement made `age` ago. Returns false if a newer version is known.
    pub fn announce(&mut self, adapter: &VersionedAdapter, age: Duration, now: Time) -> bool {
        let known = self.announced.entry(adapter.key.clone()).or_default();
        let newest = known.last().map(|last| last.version);
        if known.iter().any(|known| known.version == adapter.version) {
            return false;
        }
        known.push(Announced {
            version: adapter.version,
            withdraw_at: now + WITHDRAWAL_THRESHOLD.saturating_sub(age),
        });
        known.sort_by_key(|known| known.version);
        prune(known, now);
        newest.is_none_or(|newest| adapter.version > newest)
    }

    /// Returns the newest version, or `None` if the adapter has only its first.
    #[must_use]
    pub fn newest(&self, key: &AdapterKey) -> Option<AdapterVersion> {
        let last = self.announced.get(key)?.last()?;
        Some(last.version)
    }

    /// Sum of all newest versions. Of two instances, the one with the higher sum knows an
    /// announcement that the other lacks.
    #[must_use]
    pub fn total(&self) -> u64 {
        let newest = self.announced.values().filter_map(|known| known.last());
        newest.map(|newest| newest.version.0).sum()
    }

    /// All known announcements with their ages.
    pub fn all(&self, now: Time) -> impl Iterator<Item = Announcement> {
        self.announced.iter().flat_map(move |(key, known)| {
            known.iter().map(move |known| Announcement {
                adapter: VersionedAdapter {
                    key: key.clone(),
                    version: known.version,
                },
                age: known.age(now),
            })
        })
    }

    /// Whether `version` is the newest.
    #[must_use]
    pub fn is_newest(&self, key: &AdapterKey, version: AdapterVersion) -> bool {
        self.newest(key).is_none_or(|newest| version >= newest)
    }

    /// Whether a request may be sent to `version` on an engine that starts it within `wait`.
    #[must_use]
    pub fn may_start(
        &self,
        key: &AdapterKey,
        version: AdapterVersion,
        wait: Duration,
        now: Time,
    ) -> bool {
        let margin = WITHDRAWAL_THRESHOLD.saturating_sub(OLD_VERSION_GRACE);
        let by = self.start_deadline(key, version);
        by.is_none_or(|by| now + wait + margin < by)
    }

    /// Returns the time by which a request on `version` must have started, or `None` if that is the
    /// newest.
    ///
    /// The first version that replaced it counts; a later announcement does not extend the grace
    /// period.
    #[must_use]
    pub fn start_deadline(&self, key: &AdapterKey, version: AdapterVersion) -> Option<Time> {
        let known = self.announced.get(key)?.iter();
        let newer = known.filter(|known| known.version > version);
        newer.map(|known| known.withdraw_at).min()
    }
}

/// Removes announcements before the last one whose grace period is over, because what they replaced
/// is outdated anyway.
fn prune(known: &mut Vec<Announced>, now: Time) {
    let last_over = known.iter().rposition(|known| known.withdraw_at <= now);
    known.drain(..last_over.unwrap_or(0));
}
