//! Digests of callers' keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 digest of a caller's key; the key itself is never kept.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialOrd, Deserialize, Serialize)]
#[expect(
    clippy::derived_hash_with_manual_eq,
    reason = "both go by all bytes; only the time differs"
)]
#[serde(transparent)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digests a key as it came with a request.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl PartialEq for KeyDigest {
    // Compared in constant time: the duration of a comparison must not tell how much of a guessed
    // key's digest was right.
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    // Eight hex digits are enough to tell keys apart in a dump and too few to search for the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, third, fourth, ..] = self.0;
        write!(
            f,
            "KeyDigest({first:02x}{second:02x}{third:02x}{fourth:02x}..)"
        )
    }
}
