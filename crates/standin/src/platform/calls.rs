//! Calls by kind.

use serde::{Deserialize, Serialize};

/// Calls so far, by kind. A waiting watch is one call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CallCounts {
    /// Consistent reads.
    pub get: u64,
    /// Creations.
    pub create: u64,
    /// Conditional updates.
    pub update: u64,
    /// Removals.
    pub delete: u64,
    /// Lagging lists.
    pub list: u64,
    /// Watches.
    pub watch: u64,
    /// Notes on pods.
    pub patch: u64,
}

impl CallCounts {
    /// All calls.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.get + self.create + self.update + self.delete + self.list + self.watch + self.patch
    }
}

/// A kind of call to the platform, as it is counted.
#[derive(Clone, Copy, Debug)]
pub(super) enum Counted {
    Get,
    Create,
    Update,
    Delete,
    List,
    Watch,
    Patch,
}

impl CallCounts {
    pub(super) const fn count(&mut self, call: Counted) {
        let counter = match call {
            Counted::Get => &mut self.get,
            Counted::Create => &mut self.create,
            Counted::Update => &mut self.update,
            Counted::Delete => &mut self.delete,
            Counted::List => &mut self.list,
            Counted::Watch => &mut self.watch,
            Counted::Patch => &mut self.patch,
        };
        *counter += 1;
    }
}
