//! What an engine keeps copies of in host memory, learned from how its loads went.

use super::Loader;
use crate::decide::adapter::AdapterKey;

/// Adapters that are remembered as used on one engine, for what it may keep copies of in host
/// memory.
pub(super) const MOST_USED: usize = 400;
/// Part of the copies that an engine is taken to keep beyond which a quick load is a reason to take
/// it for keeping one more.
const NEAR_LIMIT: f64 = 0.8;

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

impl Loader {
    /// Begins with what another engine of the same kind showed of its host memory.
    #[must_use]
    pub fn keeping(mut self, copies: usize) -> Self {
        self.copies = copies.max(self.slots);
        self
    }

    /// Adapters of which the engine is taken to keep copies in host memory.
    #[must_use]
    pub const fn copies(&self) -> usize {
        self.copies
    }

    /// A load that should have been quick came late: it had no copy of this rank any more.
    pub(super) fn lacked_copy(&mut self, rank: usize) {
        self.copies = rank.saturating_sub(1).max(self.slots);
    }

    /// A load was quick, as expected.
    pub(super) fn had_copy(&mut self, rank: usize) {
        if to_f64(rank) > to_f64(self.copies) * NEAR_LIMIT {
            self.copies = (self.copies + 1).min(MOST_USED);
        }
    }

    /// Place of `key` among the adapters that the engine held, by their last use; 1: the latest.
    pub(super) fn copy_rank(&self, key: &AdapterKey) -> Option<usize> {
        let last = self.used.get(key)?.last;
        let later = self.used.values().filter(|used| used.last > last);
        Some(later.count() + 1)
    }

    pub(super) fn has_copy(&self, key: &AdapterKey) -> bool {
        let rank = self.copy_rank(key);
        rank.is_some_and(|rank| rank <= self.copies)
    }

    pub(super) fn forget_copies(&mut self) {
        if self.used.len() <= MOST_USED {
            return;
        }
        let oldest = self.used.iter().min_by_key(|(_, used)| used.last);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.used.remove(&key);
        }
    }
}
