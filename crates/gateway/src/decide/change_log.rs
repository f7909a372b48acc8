//! What a registry remembers of its changes, so that peers need copy only those that they lack.

use std::collections::{HashMap, VecDeque};

use bluebellstage_core::{Revision, TargetId};

/// Removals that are remembered. A peer copies within a second of a change; in that time at most a
/// whole failure domain of the largest fleet leaves, some 60 targets of 1,000.
const MAX_REMOVALS: usize = 256;

/// Changes by the revision of the store at which they were made.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Last change of each target, its removal included.
    last_changes: HashMap<TargetId, Revision>,
    removed: VecDeque<(Revision, TargetId)>,
    /// Removals after this revision are all remembered.
    complete_after: Revision,
}

impl ChangeLog {
    /// A target is there, or changed.
    pub fn record_change(&mut self, id: &TargetId, at: Revision) {
        self.last_changes.insert(id.clone(), at);
    }

    /// A target was removed.
    pub fn record_removal(&mut self, id: &TargetId, at: Revision) {
        self.last_changes.insert(id.clone(), at);
        self.removed.push_back((at, id.clone()));
        if self.removed.len() <= MAX_REMOVALS {
            return;
        }
        if let Some((oldest, id)) = self.removed.pop_front() {
            self.complete_after = self.complete_after.max(oldest);
            if self.last_changes.get(&id) == Some(&oldest) {
                self.last_changes.remove(&id);
            }
        }
    }

    /// A whole list of that revision was taken in: what was removed before is not known.
    pub fn reset(&mut self, at: Revision) {
        self.complete_after = self.complete_after.max(at);
    }

    /// Whether something newer than `at` is known of the target.
    #[must_use]
    pub fn is_outdated(&self, id: &TargetId, at: Revision) -> bool {
        self.last_changes.get(id).is_some_and(|last| *last > at)
    }

    /// Revision of the target's last change.
    #[must_use]
    pub fn last_change(&self, id: &TargetId) -> Revision {
        self.last_changes.get(id).copied().unwrap_or_default()
    }

    /// Removals after `have`; none if some may be forgotten and a whole list is needed.
    #[must_use]
    pub fn removed_since(&self, have: Revision) -> Option<Vec<(Revision, TargetId)>> {
        if have < self.complete_after || have == Revision::default() {
            return None;
        }
        let removed = self.removed.iter().filter(|(at, _)| *at > have);
        Some(removed.cloned().collect())
    }
}
