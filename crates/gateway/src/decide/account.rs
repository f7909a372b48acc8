//! Accounts that requests are charged to.

use bluebellstage_core::{TargetId, WorkspaceId};

use super::rendezvous::ShortHash;

/// Account with a budget that all instances share.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Account {
    /// Quota of a workspace.
    Workspace(WorkspaceId),
    /// Limit of a target.
    Target(TargetId),
}

/// Prefix of a target's name in its short hash, as a workspace may have the same name.
const TARGET_PREFIX: &str = "target\n";

impl Account {
    /// Returns the hash that identifies the account in datagrams.
    #[must_use]
    pub fn short(&self) -> ShortHash {
        match self {
            Self::Workspace(name) => ShortHash::of(name.as_str()),
            Self::Target(id) => ShortHash::of(&format!("{TARGET_PREFIX}{id}")),
        }
    }
}

impl From<&WorkspaceId> for Account {
    fn from(name: &WorkspaceId) -> Self {
        Self::Workspace(name.clone())
    }
}

impl From<&TargetId> for Account {
    fn from(id: &TargetId) -> Self {
        Self::Target(id.clone())
    }
}
