//! The latest changes, kept for peers that missed them.

use std::collections::BTreeMap;

use crate::Revision;

use super::ChangeRequest;
use super::head::to_json;

/// How many changes are kept.
const KEPT: usize = 64;

/// Larger changes, in bytes of JSON, are not kept; a peer reads them from the platform.
const MAX_KEPT_BYTES: usize = 16_384;

/// The latest changes by the revision that they gave.
#[derive(Debug, Default)]
pub(super) struct Recent {
    changes: BTreeMap<Revision, ChangeRequest>,
}

impl Recent {
    /// Keeps a change that is in force.
    pub(super) fn keep(&mut self, revision: Revision, change: &ChangeRequest) {
        if to_json(change).len() > MAX_KEPT_BYTES {
            return;
        }
        self.changes.insert(revision, change.clone());
        if self.changes.len() > KEPT {
            self.changes.pop_first();
        }
    }

    /// The changes after `revision`, without a gap; none if one of them is not kept.
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
