//! Recent changes of a registry, so that peers copy only those that they lack.

use std::collections::{HashMap, VecDeque};

use bluebellstage_core::{Revision, TargetId};

/// Number of removals that are kept. A peer copies within a second of a change. In that time at
/// most a whole failure domain of the largest fleet leaves, some 60 of 1,000 targets.
const MAX_REMOVALS: usize = 256;

/// Changes with the store's revision at which they were made.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Last change of each target, including its removal.
    last_changes: HashMap<TargetId, Revision>,
    removed: VecDeque<(Revision, TargetId)>,
    /// All removals after this revision are kept.
    complete_after: Revision,
}

impl ChangeLog {
    /// Records that a target was added or changed.
    pub fn record_change(&mut self, id: &TargetId, at: Revision) {
        self.last_changes.insert(id.clone(), at);
    }

    /// Records that a target was removed.
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

    /// Records that a full list of that revision was applied. Earlier removals are unknown.
    pub fn reset(&mut self, at: Revision) {
        self.complete_after = self.complete_after.max(at);
    }

    /// Whether a change of the target after `at` is known.
    #[must_use]
    pub fn is_outdated(&self, id: &TargetId, at: Revision) -> bool {
        self.last_changes.get(id).is_some_and(|last| *last > at)
    }

    /// Returns the revision of the target's last change.
    #[must_use]
    pub fn last_change(&self, id: &TargetId) -> Revision {
        self.last_changes.get(id).copied().unwrap_or_default()
    }

    /// Returns the removals after `have`, or `None` if some may be missing and a full list is
    /// needed.
    #[must_use]
    pub fn removed_since(&self, have: Revision) -> Option<Vec<(Revision, TargetId)>> {
        if have < self.complete_after || have == Revision::default() {
            return None;
        }
        let removed = self.removed.iter().filter(|(at, _)| *at > have);
        Some(removed.cloned().collect())
    }
}
