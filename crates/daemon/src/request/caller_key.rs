//! The key that comes with a caller's request.

use std::fmt;

use bluebellstage_core::{KeyDigest, RefusalKind};

const SCHEME: &str = "Bearer ";

/// A caller's key for as long as its request is read; afterwards only the digest is left.
pub(crate) struct CallerKey<'r> {
    raw: &'r str,
}

impl<'r> CallerKey<'r> {
    /// Reads the key from the values of the `Authorization` header.
    ///
    /// # Errors
    /// [`RefusalKind::KeyMissing`] without exactly one bearer key.
    pub(crate) fn from_header(
        mut values: impl Iterator<Item = &'r str>,
    ) -> Result<Self, RefusalKind> {
        let value = values.next().ok_or(RefusalKind::KeyMissing)?;
        if values.next().is_some() {
            return Err(RefusalKind::KeyMissing);
        }
        let scheme = value.get(..SCHEME.len()).unwrap_or_default();
        let raw = value.get(SCHEME.len()..).unwrap_or_default().trim();
        if !scheme.eq_ignore_ascii_case(SCHEME) || raw.is_empty() {
            return Err(RefusalKind::KeyMissing);
        }
        Ok(Self { raw })
    }

    /// What is kept of it.
    pub(crate) fn digest(&self) -> KeyDigest {
        KeyDigest::of(self.raw)
    }

    /// Whether `text`, which is to go to a target, holds the key.
    pub(crate) fn is_in(&self, text: &str) -> bool {
        text.contains(self.raw)
    }

    /// Whether `bytes`, which are to go to a target, hold the key.
    pub(crate) fn is_in_bytes(&self, bytes: &[u8]) -> bool {
        match std::str::from_utf8(bytes) {
            Ok(text) => self.is_in(text),
            Err(_) => bytes
                .windows(self.raw.len())
                .any(|window| window == self.raw.as_bytes()),
        }
    }
}

impl fmt::Debug for CallerKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}
