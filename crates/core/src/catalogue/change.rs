//! Changes of the catalogue.

use serde::{Deserialize, Serialize};

use crate::{AdapterId, ChangeId, KeyId, Revision, ServiceId, WorkspaceId};

use super::{AdapterEntry, KeyEntry, ServiceEntry, WorkspaceEntry};

/// One change of one entry.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Add or replace a workspace.
    PutWorkspace(WorkspaceEntry),
    /// Remove a workspace with its keys; refused while it owns adapters.
    RemoveWorkspace(WorkspaceId),
    /// Add a key.
    IssueKey(KeyEntry),
    /// Withdraw a key.
    WithdrawKey(KeyId),
    /// Add or replace an adapter.
    PutAdapter(AdapterEntry),
    /// Remove an adapter.
    RemoveAdapter(AdapterId),
    /// Add or replace a plain service.
    PutService(ServiceEntry),
    /// Remove a plain service.
    RemoveService(ServiceId),
}

/// Changes that an operator wants in force together or not at all.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Makes a retry idempotent.
    pub id: ChangeId,
    /// Refused unless the catalogue is at this revision; none for whatever it is.
    pub expected: Option<Revision>,
    /// What to change, in this order.
    pub changes: Vec<Change>,
}

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// Written and known to a majority of instances: it never reverts.
    Accepted {
        /// The revision at which it came in force.
        revision: Revision,
    },
    /// The catalogue is at another revision than expected; nothing was changed.
    Stale {
        /// The revision in force.
        revision: Revision,
    },
    /// It contradicts the catalogue; nothing was changed.
    Invalid {
        /// What contradicts, and what to do about it.
        cause: Box<str>,
    },
    /// The platform can't be reached; nothing was changed.
    Unavailable,
    /// It may or may not be in force: ask again with the same change id.
    Unknown,
}
