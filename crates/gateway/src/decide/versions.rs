//! Announced versions of adapters.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{AdapterVersion, Time};
use serde::{Deserialize, Serialize};

use super::adapter::{AdapterKey, VersionedAdapter};

/// How long an older version may still begin requests after a newer one was announced.
///
/// Callers are promised the new one within 5 s of its announcement; the announcement may take a
/// second to arrive here, and a request a second to begin.
const OLD_VERSION_GRACE: Duration = Duration::from_millis(2_500);
/// Age of an announcement at which a request that an engine has not begun on an older version is
/// taken back.
///
/// It waits there behind others' prompts and may begin when the promised 5 s are over. The rest of them
/// is for the announcement's way here and for the engine to see the connection closed.
const TAKEN_BACK_AFTER: Duration = Duration::from_millis(3_800);

/// Age from which an announcement is as good as made long ago; stands for an unknown age, too.
pub const LONG_AGO: Duration = TAKEN_BACK_AFTER;

/// An announced version with its age, for peers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Announcement {
    /// The adapter and its version.
    pub adapter: VersionedAdapter,
    /// Time since it was announced; [`LONG_AGO`] at most.
    pub age: Duration,
}

/// The newest version of each adapter that has had more than one.
#[derive(Debug, Default)]
pub struct Versions {
    /// Announced versions of each adapter, the newest last. Earlier ones are kept while their age
    /// matters to what they replaced.
    announced: HashMap<AdapterKey, Vec<Announced>>,
}

#[derive(Clone, Copy, Debug)]
struct Announced {
    version: AdapterVersion,
    /// When requests that an engine has not begun on an older version are taken back.
    taken_back: Time,
}

impl Announced {
    fn age(&self, now: Time) -> Duration {
        TAKEN_BACK_AFTER.saturating_sub(self.taken_back.since(now))
    }
}

impl Versions {
    /// Takes in an announcement made `age` ago; false if a newer version is known.
    pub fn announce(&mut self, news: &VersionedAdapter, age: Duration, now: Time) -> bool {
        let known = self.announced.entry(news.key.clone()).or_default();
        let newest = known.last().map(|last| last.version);
        if known.iter().any(|known| known.version == news.version) {
            return false;
        }
        known.push(Announced {
            version: news.version,
            taken_back: now + TAKEN_BACK_AFTER.saturating_sub(age),
        });
        known.sort_by_key(|known| known.version);
        forget(known, now);
        newest.is_none_or(|newest| news.version > newest)
    }

    /// The newest version; none if the adapter has only its first.
    #[must_use]
    pub fn newest(&self, key: &AdapterKey) -> Option<AdapterVersion> {
        let last = self.announced.get(key)?.last()?;
        Some(last.version)
    }

    /// Sum of all newest versions: the higher of two instances knows something that the other
    /// doesn't.
    #[must_use]
    pub fn total(&self) -> u64 {
        let newest = self.announced.values().filter_map(|known| known.last());
        newest.map(|newest| newest.version.0).sum()
    }

    /// All announcements that are known, with their ages.
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

    /// Whether a copy at `version` is the newest.
    #[must_use]
    pub fn is_newest(&self, key: &AdapterKey, version: AdapterVersion) -> bool {
        self.newest(key).is_none_or(|newest| version >= newest)
    }

    /// Whether a request may be sent to `version` on an engine that begins it within `wait`.
    #[must_use]
    pub fn may_begin(
        &self,
        key: &AdapterKey,
        version: AdapterVersion,
        wait: Duration,
        now: Time,
    ) -> bool {
        let margin = TAKEN_BACK_AFTER.saturating_sub(OLD_VERSION_GRACE);
        let by = self.must_begin_by(key, version);
        by.is_none_or(|by| now + wait + margin < by)
    }

    /// When a request on `version` must have begun; none while that is the newest.
    ///
    /// The first version that replaced it counts: a later announcement gives it no new grace.
    #[must_use]
    pub fn must_begin_by(&self, key: &AdapterKey, version: AdapterVersion) -> Option<Time> {
        let known = self.announced.get(key)?.iter();
        let newer = known.filter(|known| known.version > version);
        newer.map(|known| known.taken_back).min()
    }
}

/// Drops announcements before one whose grace is over: what it replaced is out of date anyway.
fn forget(known: &mut Vec<Announced>, now: Time) {
    let over = known.iter().rposition(|known| known.taken_back <= now);
    known.drain(..over.unwrap_or(0));
}
