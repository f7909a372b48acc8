//! Operators' tokens.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of an operator's token; the token itself is never kept.
#[derive(Clone, Copy)]
pub struct AdminToken([u8; DIGEST_BYTES]);

/// Text that is no digest; it is not shown, for it may be the token itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a SHA-256 digest: write 64 hex digits, as `printf %s TOKEN | sha256sum` gives them")]
pub struct MalformedToken;

impl AdminToken {
    /// Digests a token.
    #[must_use]
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Whether `token` is the one digested, in constant time.
    #[must_use]
    pub fn admits(&self, token: &str) -> bool {
        self.0.ct_eq(&Self::of(token).0).into()
    }
}

impl FromStr for AdminToken {
    type Err = MalformedToken;

    fn from_str(s: &str) -> Result<Self, MalformedToken> {
        if s.len() != DIGEST_BYTES * 2 || !s.is_ascii() {
            return Err(MalformedToken);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, at) in bytes.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&s[at..at + 2], 16).map_err(|_not_hex| MalformedToken)?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Debug for AdminToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdminToken(..)")
    }
}
