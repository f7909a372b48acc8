//! Whose budget is spent.

use bluebellstage_core::{TargetId, WorkspaceId};

use super::rendezvous::ShortHash;

/// Whose budget all instances spend together.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Account {
    /// A workspace's quota.
    Workspace(WorkspaceId),
    /// What a limited target takes.
    Target(TargetId),
}

/// Stands before a target's name in its short hash, as a workspace may have the same name.
const TARGET_SPACE: &str = "target\n";

impl Account {
    /// Its name in datagrams.
    #[must_use]
    pub fn short(&self) -> ShortHash {
        match self {
            Self::Workspace(name) => ShortHash::of(name.as_str()),
            Self::Target(id) => ShortHash::of(&format!("{TARGET_SPACE}{id}")),
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
