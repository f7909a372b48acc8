//! The memory limit of a process.

/// Least limit: the process by itself needs a part of it.
const MIN_BYTES: u64 = 64 * 1_000_000;

/// Bytes of memory at which the process is killed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryLimit(u64);

/// A limit under which nothing could be served.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a memory limit of {0} bytes leaves no room for callers: give at least {MIN_BYTES}")]
pub struct BadMemoryLimit(pub u64);

impl TryFrom<u64> for MemoryLimit {
    type Error = BadMemoryLimit;

    fn try_from(bytes: u64) -> Result<Self, Self::Error> {
        if bytes < MIN_BYTES {
            return Err(BadMemoryLimit(bytes));
        }
        Ok(Self(bytes))
    }
}

impl MemoryLimit {
    /// Returns the limit in bytes.
    #[must_use]
    pub const fn bytes(self) -> u64 {
        self.0
    }
}
