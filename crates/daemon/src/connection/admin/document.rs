//! The catalogue as operators write it, and what changes towards one.

use std::collections::BTreeMap;

use bluebellstage_core::catalogue::{
    AdapterEntry, CatalogueState, Change, ServiceEntry, WorkspaceEntry,
};
use bluebellstage_core::{KeyId, Revision, WorkspaceId};
use serde::{Deserialize, Serialize};

/// What operators write: workspaces, adapters and services. Keys are issued and withdrawn one by
/// one and are no part of it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Document {
    workspaces: Vec<WorkspaceEntry>,
    adapters: Vec<AdapterEntry>,
    services: Vec<ServiceEntry>,
}

/// The catalogue as operators read it.
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
        let mut adapters: Vec<_> = state.adapters().cloned().collect();
        adapters.sort_by(|a, b| a.id.cmp(&b.id));
        let keys = state.keys().map(|key| ShownKey {
            id: key.id.clone(),
            workspace: key.workspace.clone(),
        });
        Self {
            revision: state.revision,
            document: Document {
                workspaces: state.workspaces().cloned().collect(),
                adapters,
                services: state.services().cloned().collect(),
            },
            keys: keys.collect(),
        }
    }
}

impl Document {
    /// The changes that turn the catalogue in force into this one.
    ///
    /// What others lean on comes first and goes last: a workspace is there before its adapters, and
    /// goes after them.
    pub(super) fn changes_from(self, state: &CatalogueState) -> Vec<Change> {
        let workspaces: BTreeMap<_, _> = by(self.workspaces, |entry| entry.id.clone());
        let adapters: BTreeMap<_, _> = by(self.adapters, |entry| entry.id.clone());
        let services: BTreeMap<_, _> = by(self.services, |entry| entry.id.clone());
        let gone_services = state
            .services()
            .filter(|old| !services.contains_key(&old.id));
        let gone_adapters = state
            .adapters()
            .filter(|old| !adapters.contains_key(&old.id));
        let gone_workspaces = state
            .workspaces()
            .filter(|old| !workspaces.contains_key(&old.id));
        let removals = gone_services
            .map(|old| Change::RemoveService(old.id.clone()))
            .chain(gone_adapters.map(|old| Change::RemoveAdapter(old.id.clone())))
            .chain(gone_workspaces.map(|old| Change::RemoveWorkspace(old.id.clone())))
            .collect::<Vec<_>>();
        let new_workspaces = workspaces
            .into_values()
            .filter(|new| state.workspace(&new.id) != Some(new))
            .map(Change::PutWorkspace);
        let new_adapters = adapters
            .into_values()
            .filter(|new| state.adapter(&new.id) != Some(new))
            .map(Change::PutAdapter);
        let new_services = services
            .into_values()
            .filter(|new| state.service(&new.id) != Some(new))
            .map(Change::PutService);
        new_workspaces
            .chain(new_adapters)
            .chain(new_services)
            .chain(removals)
            .collect()
    }
}

fn by<K: Ord, V>(entries: Vec<V>, key: impl Fn(&V) -> K) -> BTreeMap<K, V> {
    entries
        .into_iter()
        .map(|entry| (key(&entry), entry))
        .collect()
}
