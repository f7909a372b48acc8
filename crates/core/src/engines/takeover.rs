//! Takeover of a group by a new owner.

use std::collections::BTreeSet;

use crate::{MemberRef, Ownership, OwnershipKey, Revision, Time};

use super::PermitId;
use super::timing::{MAX_DELIVERY_DELAY, MAX_REPORT_AGE};

/// What a new owner must learn before it may grant permits and evict adapters.
///
/// Guards against treating a batch slot or an adapter as free while a permit of a former owner
/// still uses it, which would interrupt a request by an unload. Every instance in the map reports
/// the permits that it holds and accepts no older permit from then on. Instances that left the map
/// have lost their lease at `past_maps_retired_at`, so a report requested sufficiently later shows
/// everything that they sent.
#[derive(Debug)]
pub(super) struct Takeover {
    /// When this owner started to act.
    pub(super) started_at: Time,
    /// The map revision under which this owner started to act.
    pub(super) revision: Revision,
    /// Members that have not reported yet which permits they hold.
    pub(super) unanswered: BTreeSet<MemberRef>,
    /// When to query these members again.
    pub(super) next_query_at: Time,
    /// Permits whose end arrived before their holder reported them.
    pub(super) early_ends: BTreeSet<PermitId>,
    /// When this owner first observed that no earlier map gives any instance a lease.
    past_maps_retired_at: Option<Time>,
}

impl Takeover {
    pub(super) fn new(ownership: &Ownership, now: Time) -> Self {
        Self {
            started_at: now,
            revision: ownership.revision(),
            unanswered: current_members(ownership),
            next_query_at: now,
            early_ends: BTreeSet::new(),
            past_maps_retired_at: None,
        }
    }

    /// Removes members that left the map, and records whether earlier maps are retired.
    pub(super) fn update(&mut self, ownership: &Ownership, now: Time) {
        let members = current_members(ownership);
        self.unanswered.retain(|member| members.contains(member));
        if self.past_maps_retired_at.is_none() && are_past_maps_retired(ownership, now) {
            self.past_maps_retired_at = Some(now);
        }
    }

    pub(super) fn knows_all_permits(&self) -> bool {
        self.unanswered.is_empty()
    }

    /// Returns the time from which a requested report shows everything that incarnations outside
    /// the map have sent; `None` while that is not known.
    pub(super) fn reports_complete_from(&self) -> Option<Time> {
        self.past_maps_retired_at
            .map(|at| at + MAX_DELIVERY_DELAY + MAX_REPORT_AGE)
    }

    pub(super) fn record_early_end(&mut self, permit: PermitId) {
        if !self.unanswered.is_empty() {
            self.early_ends.insert(permit);
        }
    }

    /// Records that a member reported its permits; returns true the first time.
    pub(super) fn record_answer(&mut self, member: &MemberRef) -> bool {
        self.unanswered.remove(member)
    }
}

/// Returns the incarnations in the map.
pub(super) fn current_members(ownership: &Ownership) -> BTreeSet<MemberRef> {
    ownership
        .map
        .members
        .iter()
        .map(crate::Member::member_ref)
        .collect()
}

/// Whether no earlier map can give any instance a lease any more.
pub(super) fn are_past_maps_retired(ownership: &Ownership, now: Time) -> bool {
    ownership.map.history.is_empty() || ownership.past_retired_at.is_some_and(|at| now >= at)
}

/// Whether this incarnation owned `key` under every revision since `since`, so that no other owner
/// ordered or granted anything in between.
///
/// Guards against an instance that was suspended while it was removed from the map and added again:
/// its state of permits and slots is no longer valid.
pub(super) fn was_owner_throughout(
    ownership: &Ownership,
    key: &OwnershipKey,
    since: Revision,
) -> bool {
    let mut between = (since.0 + 1)..ownership.revision().0;
    ownership.is_owner(key)
        && ownership.is_member()
        && between.all(|revision| {
            ownership.map.history.iter().any(|past| {
                past.revision.0 == revision
                    && past.owner(key) == Some(&ownership.local.id)
                    && past.members.contains(&ownership.local)
            })
        })
}
