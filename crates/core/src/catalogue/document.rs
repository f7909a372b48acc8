//! The catalogue as operators write it, and the changes between two documents.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{AdapterEntry, CatalogueState, Change, ServiceEntry, WorkspaceEntry};

/// The document that operators write: workspaces, adapters and services.
///
/// Keys are issued and withdrawn individually and are not part of the document.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// All workspaces.
    pub workspaces: Vec<WorkspaceEntry>,
    /// All adapters.
    pub adapters: Vec<AdapterEntry>,
    /// All plain services.
    pub services: Vec<ServiceEntry>,
}

impl Document {
    /// Creates a document of the entries in `state`, each list sorted by name.
    #[must_use]
    pub fn of(state: &CatalogueState) -> Self {
        let mut adapters: Vec<_> = state.adapters().cloned().collect();
        adapters.sort_by(|a, b| a.id.cmp(&b.id));
        Self {
            workspaces: state.workspaces().cloned().collect(),
            adapters,
            services: state.services().cloned().collect(),
        }
    }

    /// Returns the changes that turn this document into `new`.
    ///
    /// Entries that others refer to are added first and removed last: a workspace is added before
    /// its adapters and removed after them.
    #[must_use]
    pub fn changes_to(&self, new: &Self) -> Vec<Change> {
        let workspaces = ListDiff::of(&self.workspaces, &new.workspaces, |entry| &entry.id);
        let adapters = ListDiff::of(&self.adapters, &new.adapters, |entry| &entry.id);
        let services = ListDiff::of(&self.services, &new.services, |entry| &entry.id);
        let puts = (workspaces.put.into_iter().map(Change::PutWorkspace))
            .chain(adapters.put.into_iter().map(Change::PutAdapter))
            .chain(services.put.into_iter().map(Change::PutService));
        let removals = (services.removed.into_iter().map(Change::RemoveService))
            .chain(adapters.removed.into_iter().map(Change::RemoveAdapter))
            .chain(workspaces.removed.into_iter().map(Change::RemoveWorkspace));
        puts.chain(removals).collect()
    }
}

/// The difference between two lists of entries of the same type.
struct ListDiff<K, V> {
    put: Vec<V>,
    removed: Vec<K>,
}

impl<K: Clone + Ord, V: Clone + Eq> ListDiff<K, V> {
    fn of(old: &[V], new: &[V], key: impl Fn(&V) -> &K) -> Self {
        let old: BTreeMap<_, _> = old.iter().map(|entry| (key(entry), entry)).collect();
        let new: BTreeMap<_, _> = new.iter().map(|entry| (key(entry), entry)).collect();
        let put = new
            .iter()
            .filter(|(id, entry)| old.get(*id) != Some(*entry));
        let removed = old.keys().filter(|id| !new.contains_key(*id));
        Self {
            put: put.map(|(_id, entry)| (*entry).clone()).collect(),
            removed: removed.map(|id| (*id).clone()).collect(),
        }
    }
}
