//! Announced versions of adapters.

use std::collections::HashMap;
use std::time::Duration;

use bluebellstage_core::{AdapterVersion, Time};

use super::adapter::{AdapterAt, AdapterKey};

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

/// The newest version of each adapter that has had more than one.
#[derive(Debug, Default)]
pub struct Versions {
    announced: HashMap<AdapterKey, Announced>,
}

#[derive(Debug)]
struct Announced {
    version: AdapterVersion,
    at: Time,
}

impl Versions {
    /// Takes in an announcement; false if it brings nothing new.
    pub fn announce(&mut self, news: &AdapterAt, now: Time) -> bool {
        let known = self.announced.get(&news.key);
        if known.is_some_and(|known| known.version >= news.version) {
            return false;
        }
        let announced = Announced {
            version: news.version,
            at: now,
        };
        self.announced.insert(news.key.clone(), announced);
        true
    }

    /// The newest version; none if the adapter has only its first.
    #[must_use]
    pub fn newest(&self, key: &AdapterKey) -> Option<AdapterVersion> {
        self.announced.get(key).map(|known| known.version)
    }

    /// Sum of all announced versions: the higher of two instances knows something that the other
    /// doesn't.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.announced.values().map(|known| known.version.0).sum()
    }

    /// All announced versions.
    pub fn all(&self) -> impl Iterator<Item = AdapterAt> {
        self.announced.iter().map(|(key, known)| AdapterAt {
            key: key.clone(),
            version: known.version,
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
        let Some(known) = self.announced.get(key) else {
            return true;
        };
        version >= known.version || now.since(known.at) + wait < OLD_VERSION_GRACE
    }

    /// When a request on `version` must have begun; none while that is the newest.
    #[must_use]
    pub fn must_begin_by(&self, key: &AdapterKey, version: AdapterVersion) -> Option<Time> {
        let known = self.announced.get(key)?;
        (version < known.version).then(|| known.at + TAKEN_BACK_AFTER)
    }
}
