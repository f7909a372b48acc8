//! Changes to the catalogue.

use serde::{Deserialize, Serialize};

use crate::{AdapterId, ChangeId, KeyId, Revision, ServiceId, WorkspaceId};

use super::{AdapterEntry, KeyEntry, ServiceEntry, WorkspaceEntry};

/// A change to one entry.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Add or replace a workspace.
    PutWorkspace(WorkspaceEntry),
    /// Remove a workspace and its keys; rejected while the workspace owns adapters.
    #[serde(deserialize_with = "crate::ids::deserialize_id")]
    RemoveWorkspace(WorkspaceId),
    /// Add a key.
    IssueKey(KeyEntry),
    /// Withdraw a key, so that it is no longer accepted.
    WithdrawKey(KeyId),
    /// Add or replace an adapter.
    PutAdapter(AdapterEntry),
    /// Remove an adapter.
    RemoveAdapter(AdapterId),
    /// Add or replace a plain service.
    PutService(ServiceEntry),
    /// Remove a plain service.
    #[serde(deserialize_with = "crate::ids::deserialize_id")]
    RemoveService(ServiceId),
}

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Identifies the request, which makes a retry idempotent.
    pub id: ChangeId,
    /// The request is rejected unless the catalogue is at this revision; `None` accepts any
    /// revision.
    pub expected: Option<Revision>,
    /// The changes, applied in this order.
    pub changes: Vec<Change>,
}

/// The outcome of a change request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// Written and known to a majority of instances; the change never reverts.
    Accepted {
        /// The revision at which the change took effect.
        revision: Revision,
    },
    /// The catalogue is not at the expected revision; nothing was changed.
    Stale {
        /// The revision in force.
        revision: Revision,
    },
    /// The change contradicts the catalogue; nothing was changed.
    Invalid {
        /// The contradiction and how to resolve it.
        cause: Box<str>,
    },
    /// The platform can't be reached; nothing was changed.
    Unavailable,
    /// The change may or may not have taken effect: retry with the same change id.
    Unknown,
}
