//! How an engine's places for adapters are taken.

use bluebellstage_core::Time;
use serde::{Deserialize, Serialize};

use super::Loader;

/// How an engine's places for adapters are taken.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Places {
    /// Empty ones, and those whose adapter is idle.
    pub free: u8,
    /// Adapters that wait for one.
    pub waiting: u8,
    /// Adapters of which the engine is taken to keep copies in host memory.
    pub copies: u8,
}

impl Loader {
    /// How many more adapters fit now, and how many wait for a place.
    #[must_use]
    pub fn places(&self, now: Time) -> Places {
        let kept = self.kept_slots(self.accepted.unwrap_or(0), now);
        let usable = self.slots - kept;
        let taken = self
            .resident
            .keys()
            .filter(|key| self.wishes.contains_key(*key) || self.busy(key, now));
        let free = usable.saturating_sub(taken.count() + self.coming.len());
        let small = |count: usize| u8::try_from(count).unwrap_or(u8::MAX);
        Places {
            free: small(free),
            waiting: small(self.waiting()),
            copies: small(self.copies),
        }
    }
}
