//! Rendezvous hashing: everyone finds the same order without talking.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Stable hash of a name.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Weight of `candidate` for `key`; the highest comes first.
#[must_use]
pub fn weight(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

/// The candidate that comes first for `key`.
pub fn first<'a>(key: u64, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates.max_by_key(|candidate| weight(key, candidate))
}
