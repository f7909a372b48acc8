//! One instance's uninterrupted time as a group's home.

use std::collections::BTreeSet;

use crate::{MemberRef, Ownership, OwnershipKey, Revision, Time};

use super::PermitRef;
use super::timing::{FLIGHT, REPORT_LAG};

/// What a new home must learn before it may do all that a home does.
///
/// Guards against taking a place or an adapter for free that a permit of a former home still uses,
/// which would show as a request broken off by an unload. Every instance of the map says what it
/// holds and takes no older permit from then on; instances that left the map have lost standing at
/// `retired`, so a report asked later shows all that they sent.
#[derive(Debug)]
pub(super) struct Tenure {
    /// When this home began to act.
    pub(super) began: Time,
    /// The revision under which it began.
    pub(super) revision: Revision,
    /// Lives that have not said yet what they hold.
    pub(super) pending: BTreeSet<MemberRef>,
    /// When to ask them again.
    pub(super) ask_at: Time,
    /// Ends heard of permits that no life has named yet.
    pub(super) ended: BTreeSet<PermitRef>,
    /// When it was first seen that no earlier map gives anyone standing.
    retired: Option<Time>,
}

impl Tenure {
    pub(super) fn new(own: &Ownership, now: Time) -> Self {
        Self {
            began: now,
            revision: own.revision(),
            pending: lives(own),
            ask_at: now,
            ended: BTreeSet::new(),
            retired: None,
        }
    }

    /// Drops lives that left the map, and notes whether earlier maps are retired.
    pub(super) fn observe(&mut self, own: &Ownership, now: Time) {
        let lives = lives(own);
        self.pending.retain(|life| lives.contains(life));
        if self.retired.is_none() && past_is_retired(own, now) {
            self.retired = Some(now);
        }
    }

    pub(super) fn knows_permits(&self) -> bool {
        self.pending.is_empty()
    }

    /// A report asked from this time on shows all that lives outside the map ever sent; none while
    /// that is not known.
    pub(super) fn settled_from(&self) -> Option<Time> {
        self.retired.map(|at| at + FLIGHT + REPORT_LAG)
    }

    pub(super) fn heard_end(&mut self, permit: PermitRef) {
        if !self.pending.is_empty() {
            self.ended.insert(permit);
        }
    }

    /// A life said what it holds; true the first time.
    pub(super) fn heard_from(&mut self, life: &MemberRef) -> bool {
        self.pending.remove(life)
    }
}

/// All lives in the map.
pub(super) fn lives(own: &Ownership) -> BTreeSet<MemberRef> {
    own.map
        .members
        .iter()
        .map(crate::Member::member_ref)
        .collect()
}

/// Whether no earlier map can give anyone standing any more.
pub(super) fn past_is_retired(own: &Ownership, now: Time) -> bool {
    own.map.history.is_empty() || own.past_retired_at.is_some_and(|at| now >= at)
}

/// Whether this life was home of `key` under every revision since `since`, so that no other home
/// ordered or granted anything meanwhile.
///
/// Guards against an instance that slept through its being dropped and added again: what it
/// remembers of permits and slots is void.
pub(super) fn was_home_throughout(own: &Ownership, key: &OwnershipKey, since: Revision) -> bool {
    let mut between = (since.0 + 1)..own.revision().0;
    own.is_owner(key)
        && own.is_member()
        && between.all(|revision| {
            own.map.history.iter().any(|past| {
                past.revision.0 == revision
                    && past.owner(key) == Some(&own.local.id)
                    && past.members.contains(&own.local)
            })
        })
}
