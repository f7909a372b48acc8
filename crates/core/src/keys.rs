//! Digests of callers' keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 digest of a caller's key; the key itself is never stored.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialOrd, Deserialize, Serialize)]
#[expect(
    clippy::derived_hash_with_manual_eq,
    reason = "both use all bytes; only the duration of the comparison differs"
)]
#[serde(transparent)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key as sent with a request.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl PartialEq for KeyDigest {
    // Constant-time comparison: the duration must not reveal how much of a guessed key's digest
    // matched.
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    // Eight hex digits are enough to distinguish keys in a dump and too few to search for the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, third, fourth, ..] = self.0;
        write!(
            f,
            "KeyDigest({first:02x}{second:02x}{third:02x}{fourth:02x}..)"
        )
    }
}
