//! Recent changes, kept for peers that missed them.

use std::collections::BTreeMap;

use crate::Revision;

use super::ChangeRequest;
use super::head::to_json;

/// Maximum number of changes kept.
const MAX_CHANGES: usize = 64;

/// Maximum size of a kept change, in bytes of JSON. Peers read larger changes from the platform.
const MAX_CHANGE_BYTES: usize = 16_384;

/// Recent changes by the revision that they created.
#[derive(Debug, Default)]
pub(super) struct RecentChanges {
    changes: BTreeMap<Revision, ChangeRequest>,
}

impl RecentChanges {
    /// Adds a change that is in force.
    pub(super) fn insert(&mut self, revision: Revision, change: &ChangeRequest) {
        if to_json(change).len() > MAX_CHANGE_BYTES {
            return;
        }
        self.changes.insert(revision, change.clone());
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_first();
        }
    }

    /// Returns the kept changes after `revision`. Returns nothing if the first change after
    /// `revision` is not kept.
    pub(super) fn after(
        &self,
        revision: Revision,
    ) -> impl Iterator<Item = (Revision, &ChangeRequest)> {
        let has_next = self.changes.contains_key(&revision.next());
        let later = self.changes.range(revision.next()..);
        later
            .take_while(move |_change| has_next)
            .map(|(revision, change)| (*revision, change))
    }
}
