//! The content of the catalogue at one revision.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::{
    AdapterId, AdapterVersion, CoreError, KeyDigest, KeyId, Revision, ServiceId, WorkspaceId,
};

use super::{AdapterEntry, Change, ChangeRequest, KeyEntry, ServiceEntry, WorkspaceEntry};

/// All entries of the catalogue at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CatalogueState {
    /// The revision of the entries.
    pub revision: Revision,
    workspaces: BTreeMap<WorkspaceId, WorkspaceEntry>,
    keys: BTreeMap<KeyId, KeyEntry>,
    keys_by_digest: HashMap<KeyDigest, KeyId>,
    adapters: HashMap<AdapterId, AdapterEntry>,
    services: BTreeMap<ServiceId, ServiceEntry>,
}

impl CatalogueState {
    /// Returns the workspace's entry.
    #[must_use]
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&WorkspaceEntry> {
        self.workspaces.get(id)
    }

    /// Returns the key with this digest, unless it is unknown or withdrawn.
    #[must_use]
    pub fn key(&self, digest: &KeyDigest) -> Option<&KeyEntry> {
        self.keys.get(self.keys_by_digest.get(digest)?)
    }

    /// Whether the key `id` belongs to the workspace and is not withdrawn.
    #[must_use]
    pub fn has_key(&self, id: &KeyId, workspace: &WorkspaceId) -> bool {
        self.keys
            .get(id)
            .is_some_and(|entry| entry.workspace == *workspace)
    }

    /// Returns the adapter's entry.
    #[must_use]
    pub fn adapter(&self, id: &AdapterId) -> Option<&AdapterEntry> {
        self.adapters.get(id)
    }

    /// Returns the service's entry.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceEntry> {
        self.services.get(id)
    }

    /// Returns all workspaces, sorted by name.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceEntry> {
        self.workspaces.values()
    }

    /// Returns all keys, sorted by name.
    pub fn keys(&self) -> impl Iterator<Item = &KeyEntry> {
        self.keys.values()
    }

    /// Returns all adapters, in no particular order.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterEntry> {
        self.adapters.values()
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.values()
    }

    /// Applies `request` and moves to the next revision.
    ///
    /// # Errors
    /// [`CoreError::InvalidChange`] if one of the changes contradicts the entries; `self` is then
    /// unchanged.
    pub fn apply(&mut self, request: &ChangeRequest) -> Result<(), CoreError> {
        self.check(request)?;
        for change in &request.changes {
            self.apply_one(change.clone());
        }
        self.revision = self.revision.next();
        Ok(())
    }

    /// Checks whether `request` can be applied.
    ///
    /// # Errors
    /// [`CoreError::InvalidChange`] if one of the changes contradicts the entries.
    pub fn check(&self, request: &ChangeRequest) -> Result<(), CoreError> {
        let mut validation = Validation {
            base: self,
            workspaces: BTreeMap::new(),
            keys: BTreeMap::new(),
            owners: BTreeMap::new(),
        };
        request
            .changes
            .iter()
            .try_for_each(|change| validation.check(change))
    }

    /// Builds the entries at `revision` from the changes of a snapshot.
    pub(super) fn from_snapshot(revision: Revision, changes: impl Iterator<Item = Change>) -> Self {
        let mut state = Self {
            revision,
            ..Self::default()
        };
        for change in changes {
            state.apply_one(change);
        }
        state
    }

    fn apply_one(&mut self, change: Change) {
        match change {
            Change::PutWorkspace(entry) => {
                self.workspaces.insert(entry.id.clone(), entry);
            }
            Change::RemoveWorkspace(id) => self.remove_workspace(&id),
            Change::IssueKey(entry) => {
                self.keys_by_digest.insert(entry.digest, entry.id.clone());
                self.keys.insert(entry.id.clone(), entry);
            }
            Change::WithdrawKey(id) => self.withdraw_key(&id),
            Change::PutAdapter(entry) => {
                self.adapters.insert(entry.id.clone(), entry);
            }
            Change::RemoveAdapter(id) => {
                self.adapters.remove(&id);
            }
            Change::PutService(entry) => {
                self.services.insert(entry.id.clone(), entry);
            }
            Change::RemoveService(id) => {
                self.services.remove(&id);
            }
        }
    }

    fn withdraw_key(&mut self, id: &KeyId) {
        if let Some(entry) = self.keys.remove(id) {
            self.keys_by_digest.remove(&entry.digest);
        }
    }

    fn remove_workspace(&mut self, id: &WorkspaceId) {
        self.workspaces.remove(id);
        let keys: Vec<_> = self
            .keys
            .values()
            .filter(|key| key.workspace == *id)
            .map(|key| key.id.clone())
            .collect();
        for key in keys {
            self.withdraw_key(&key);
        }
    }
}

impl AdapterEntry {
    /// Returns the version to run for a caller that requested `requested`, or `None` if callers may not
    /// use that version.
    #[must_use]
    pub fn version(&self, requested: Option<AdapterVersion>) -> Option<AdapterVersion> {
        match requested {
            None => Some(self.current),
            Some(version) => {
                (version == self.current || self.also.contains(&version)).then_some(version)
            }
        }
    }
}

/// Checks the changes of one request in order, without copying the catalogue.
struct Validation<'a> {
    base: &'a CatalogueState,
    workspaces: BTreeMap<WorkspaceId, bool>,
    keys: BTreeMap<KeyId, Option<KeyDigest>>,
    owners: BTreeMap<AdapterId, Option<WorkspaceId>>,
}

impl Validation<'_> {
    fn check(&mut self, change: &Change) -> Result<(), CoreError> {
        match change {
            Change::PutWorkspace(entry) => self.put_workspace(entry),
            Change::RemoveWorkspace(id) => self.remove_workspace(id),
            Change::IssueKey(entry) => self.issue_key(entry),
            Change::WithdrawKey(id) => self.withdraw_key(id),
            Change::PutAdapter(entry) => self.put_adapter(entry),
            Change::RemoveAdapter(id) => self.remove_adapter(id),
            Change::PutService(entry) => self.put_service(entry),
            Change::RemoveService(id) => self.remove_service(id),
        }
    }

    fn has_workspace(&self, id: &WorkspaceId) -> bool {
        self.workspaces
            .get(id)
            .copied()
            .unwrap_or_else(|| self.base.workspaces.contains_key(id))
    }

    fn require_workspace(&self, id: &WorkspaceId) -> Result<(), CoreError> {
        if self.has_workspace(id) {
            return Ok(());
        }
        Err(invalid(&format!(
            "there is no workspace `{id}`: put the workspace first"
        )))
    }

    fn has_key(&self, id: &KeyId) -> bool {
        match self.keys.get(id) {
            Some(state) => state.is_some(),
            None => self.base.keys.contains_key(id),
        }
    }

    fn is_digest_used(&self, digest: &KeyDigest) -> bool {
        let is_issued_here = self.keys.values().flatten().any(|other| other == digest);
        let is_withdrawn = |id: &KeyId| matches!(self.keys.get(id), Some(None));
        is_issued_here
            || self
                .base
                .keys_by_digest
                .get(digest)
                .is_some_and(|id| !is_withdrawn(id))
    }

    fn has_adapter(&self, id: &AdapterId) -> bool {
        match self.owners.get(id) {
            Some(owner) => owner.is_some(),
            None => self.base.adapters.contains_key(id),
        }
    }

    fn owns_adapters(&self, id: &WorkspaceId) -> bool {
        let changed = self.owners.values().flatten().any(|owner| owner == id);
        changed
            || self
                .base
                .adapters
                .values()
                .any(|entry| entry.owner == *id && !self.owners.contains_key(&entry.id))
    }

    fn put_workspace(&mut self, entry: &WorkspaceEntry) -> Result<(), CoreError> {
        if entry.rate.0 == 0 || entry.burst.0 == 0 {
            return Err(invalid(&format!(
                "workspace `{}` has a rate or burst of zero: set both to at least 1, or withdraw its keys to stop it",
                entry.id
            )));
        }
        self.workspaces.insert(entry.id.clone(), true);
        Ok(())
    }

    fn remove_workspace(&mut self, id: &WorkspaceId) -> Result<(), CoreError> {
        self.require_workspace(id)?;
        if self.owns_adapters(id) {
            return Err(invalid(&format!(
                "workspace `{id}` owns adapters: remove them or change their owner first"
            )));
        }
        let keys = self.base.keys.values().filter(|key| key.workspace == *id);
        self.keys.extend(keys.map(|key| (key.id.clone(), None)));
        self.workspaces.insert(id.clone(), false);
        Ok(())
    }

    fn issue_key(&mut self, entry: &KeyEntry) -> Result<(), CoreError> {
        self.require_workspace(&entry.workspace)?;
        if self.has_key(&entry.id) || self.is_digest_used(&entry.digest) {
            return Err(invalid(&format!(
                "key `{}` is issued already: choose another name or key",
                entry.id
            )));
        }
        self.keys.insert(entry.id.clone(), Some(entry.digest));
        Ok(())
    }

    fn withdraw_key(&mut self, id: &KeyId) -> Result<(), CoreError> {
        if !self.has_key(id) {
            return Err(invalid(&format!(
                "there is no key `{id}`: list the keys for the right name"
            )));
        }
        self.keys.insert(id.clone(), None);
        Ok(())
    }

    fn put_adapter(&mut self, entry: &AdapterEntry) -> Result<(), CoreError> {
        self.require_workspace(&entry.owner)?;
        if entry.max_answer.0 == 0 {
            return Err(invalid(&format!(
                "adapter `{}` has a longest answer of zero: set at least 1",
                entry.id
            )));
        }
        self.owners
            .insert(entry.id.clone(), Some(entry.owner.clone()));
        Ok(())
    }

    fn remove_adapter(&mut self, id: &AdapterId) -> Result<(), CoreError> {
        if !self.has_adapter(id) {
            return Err(invalid(&format!(
                "there is no adapter `{id}`: check its name"
            )));
        }
        self.owners.insert(id.clone(), None);
        Ok(())
    }

    fn put_service(&self, entry: &ServiceEntry) -> Result<(), CoreError> {
        entry
            .workspaces
            .iter()
            .try_for_each(|id| self.require_workspace(id))
    }

    fn remove_service(&self, id: &ServiceId) -> Result<(), CoreError> {
        if self.base.services.contains_key(id) {
            return Ok(());
        }
        Err(invalid(&format!(
            "there is no service `{id}`: check its name"
        )))
    }
}

fn invalid(cause: &str) -> CoreError {
    CoreError::InvalidChange {
        cause: cause.into(),
    }
}
