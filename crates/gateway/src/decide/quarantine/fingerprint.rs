//! Fingerprints that identify requests with the same content.

use std::fmt;
use std::str::FromStr;

use bluebellstage_core::WorkspaceId;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of the digest that are kept.
const FINGERPRINT_BYTES: usize = 16;
/// Context of the digest key; separates fingerprints from other digests of the same bytes.
const KEY_CONTEXT: &str = "bluebellstage request fingerprint";

/// Digest of a request's workspace, path and body, keyed by the workspace. All instances compute the same
/// fingerprint for the same request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request; `path` includes the query.
    #[must_use]
    pub fn of(workspace: Option<&WorkspaceId>, path: &str, body: &[u8]) -> Self {
        let workspace = workspace.map_or("", WorkspaceId::as_str);
        let key = Sha256::new()
            .chain_update(KEY_CONTEXT)
            .chain_update(workspace)
            .finalize();
        let path_len = path.len().to_be_bytes();
        let digest = Sha256::new()
            .chain_update(key)
            .chain_update(path_len)
            .chain_update(path)
            .chain_update(body)
            .finalize();
        let mut truncated = [0; FINGERPRINT_BYTES];
        truncated.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(truncated)
    }

    /// Returns the first 8 bytes as a big-endian number.
    #[must_use]
    pub fn bits(self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(first)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Error for a text that is not a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a fingerprint: give the 32 hexadecimal digits that the log shows")]
pub struct BadFingerprint;

impl From<Fingerprint> for Box<str> {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string().into()
    }
}

impl TryFrom<Box<str>> for Fingerprint {
    type Error = BadFingerprint;

    fn try_from(text: Box<str>) -> Result<Self, BadFingerprint> {
        text.parse()
    }
}

impl FromStr for Fingerprint {
    type Err = BadFingerprint;

    fn from_str(text: &str) -> Result<Self, BadFingerprint> {
        if text.len() != FINGERPRINT_BYTES * 2 || !text.bytes().all(|byte| byte.is_ascii_hexdigit())
        {
            return Err(BadFingerprint);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_no_number| BadFingerprint)?;
        Ok(Self(number.to_be_bytes()))
    }
}
