//! Estimates how many adapters an engine keeps copies of in host memory, from how long its loads
//! take.

use super::Loader;
use crate::decide::adapters::adapter::AdapterKey;

/// Maximum number of recently used adapters that are remembered for one engine, to estimate which
/// of them it has copies of in host memory.
pub(super) const MAX_REMEMBERED_ADAPTERS: usize = 400;
/// Fraction of the estimated number of copies above which a fast load raises the estimate by one.
const NEAR_LIMIT_FRACTION: f64 = 0.8;

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

impl Loader {
    /// Sets the initial estimate to that of another engine of the same kind.
    #[must_use]
    pub fn with_host_copies(mut self, host_copies: usize) -> Self {
        self.host_copies = host_copies.max(self.slots);
        self
    }

    /// Returns the estimated number of adapters that the engine keeps copies of in host memory.
    #[must_use]
    pub const fn host_copies(&self) -> usize {
        self.host_copies
    }

    /// Records that a load which was expected to be fast arrived late: the engine no longer had a
    /// copy of the adapter of this rank.
    pub(super) fn record_copy_miss(&mut self, rank: usize) {
        self.host_copies = rank.saturating_sub(1).max(self.slots);
    }

    /// Records that a load was as fast as expected.
    pub(super) fn record_copy_hit(&mut self, rank: usize) {
        if to_f64(rank) > to_f64(self.host_copies) * NEAR_LIMIT_FRACTION {
            self.host_copies = (self.host_copies + 1).min(MAX_REMEMBERED_ADAPTERS);
        }
    }

    /// Returns the rank of `key` among the adapters that the engine held, by last use; 1 is the
    /// most recently used.
    pub(super) fn recency_rank(&self, key: &AdapterKey) -> Option<usize> {
        let last_used = self.usage.get(key)?.last_used;
        let later = self
            .usage
            .values()
            .filter(|usage| usage.last_used > last_used);
        Some(later.count() + 1)
    }

    pub(super) fn has_host_copy(&self, key: &AdapterKey) -> bool {
        let rank = self.recency_rank(key);
        rank.is_some_and(|rank| rank <= self.host_copies)
    }

    pub(super) fn forget_oldest_usage(&mut self) {
        if self.usage.len() <= MAX_REMEMBERED_ADAPTERS {
            return;
        }
        let oldest = self.usage.iter().min_by_key(|(_, usage)| usage.last_used);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.usage.remove(&key);
        }
    }
}
