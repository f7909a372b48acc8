//! Rendezvous hashing: all instances compute the same order without communication.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Stable hash of a name.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Short hash of a name, for datagrams. In a fleet of a few hundred names, the probability of a
/// collision is about 1 in 50,000.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct ShortHash(u32);

impl ShortHash {
    /// Computes the hash of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(u32::try_from(name_hash(name) >> 32).unwrap_or(0))
    }

    /// Returns the hash as a number.
    #[must_use]
    pub const fn bits(self) -> u32 {
        self.0
    }
}

/// Weight of `candidate` for `key`; the highest comes first.
#[must_use]
pub fn weight(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}
