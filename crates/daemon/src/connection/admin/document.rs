//! The catalogue as operators read it.

use bluebellstage_core::catalogue::{CatalogueState, Document};
use bluebellstage_core::{KeyId, Revision, WorkspaceId};
use serde::Serialize;

/// The entries in force with the names of the keys.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Shown {
    pub(super) revision: Revision,
    #[serde(flatten)]
    document: Document,
    keys: Vec<ShownKey>,
}

/// A key as operators see it: never its digest.
#[derive(Clone, Debug, Serialize)]
struct ShownKey {
    id: KeyId,
    workspace: WorkspaceId,
}

impl Shown {
    /// The catalogue in force, each list by name.
    pub(super) fn of(state: &CatalogueState) -> Self {
        let keys = state.keys().map(|key| ShownKey {
            id: key.id.clone(),
            workspace: key.workspace.clone(),
        });
        Self {
            revision: state.revision,
            document: Document::of(state),
            keys: keys.collect(),
        }
    }
}
