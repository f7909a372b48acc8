//! Keys of streams.

use bluebellstage_core::WorkspaceId;
use serde::{Deserialize, Serialize};

use crate::decide::rendezvous::name_hash;

/// Identifies a stream by the workspace and the id of the attempt that got its first event. Callers of one workspace
/// can't name streams of another.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that an attempt of a workspace began.
    #[must_use]
    pub fn of(workspace: Option<&WorkspaceId>, attempt: &str) -> Self {
        let workspace = workspace.map_or("", WorkspaceId::as_str);
        Self(name_hash(&format!("{workspace}\n{attempt}")))
    }

    /// Returns the key as a number, for the order of its replicas.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl From<u64> for StreamKey {
    fn from(number: u64) -> Self {
        Self(number)
    }
}
