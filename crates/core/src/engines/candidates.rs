//! Selection of the engine group for a request.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::{AdapterRef, GroupId, Ownership, OwnershipKey, Placement, Time};

use super::PermitRequest;
use super::targets::{ListedGroup, Targets};
use super::view::GroupView;

/// Utilization, in thousandths of a group's batch slots, from which another group that holds the
/// adapter is considered.
const SPILL_UTILIZATION: u64 = 1_250;

/// Utilization, in thousandths, from which loading the adapter in another group is considered.
const COPY_UTILIZATION: u64 = 2_500;

/// Minimum difference in utilization, in thousandths, for another group to be chosen.
const MIN_SPILL_GAIN: u64 = 500;

/// The state that the choice of a group depends on.
#[derive(Debug)]
pub(super) struct Candidates<'a> {
    pub(super) targets: &'a Targets,
    pub(super) views: &'a BTreeMap<GroupId, GroupView>,
    /// Groups to which the request has been sent already; cleared when none is left to try.
    pub(super) tried_groups: &'a BTreeSet<GroupId>,
    pub(super) now: Time,
    pub(super) ownership: &'a Ownership,
}

/// The chosen group.
#[derive(Debug)]
pub(super) struct Choice {
    pub(super) group: GroupId,
    /// Whether another group would be chosen if all owners were reachable.
    pub(super) is_fallback: bool,
}

impl Candidates<'_> {
    /// Returns the group to send the request to; `None` if no group with an engine that is not
    /// leaving is left to try.
    pub(super) fn choose(
        &self,
        placement: Placement,
        request: &PermitRequest,
        random: u64,
    ) -> Option<Choice> {
        let adapter = &request.adapter;
        let all = self.groups_for(request);
        let preferred = self.pick(&all, placement, adapter, random)?;
        if all
            .iter()
            .all(|id| !self.tried_groups.contains(*id) && self.is_available(id))
        {
            return Some(Choice {
                group: preferred.clone(),
                is_fallback: false,
            });
        }
        let untried: Vec<&GroupId> = all
            .into_iter()
            .filter(|id| !self.tried_groups.contains(*id))
            .collect();
        let available: Vec<&GroupId> = untried
            .iter()
            .copied()
            .filter(|id| self.is_available(id))
            .collect();
        let candidates = if available.is_empty() {
            untried
        } else {
            available
        };
        let group = self.pick(&candidates, placement, adapter, random)?;
        Some(Choice {
            group: group.clone(),
            is_fallback: group != preferred,
        })
    }

    fn pick<'b>(
        &self,
        groups: &[&'b GroupId],
        placement: Placement,
        adapter: &AdapterRef,
        random: u64,
    ) -> Option<&'b GroupId> {
        match placement {
            Placement::Affinity => self.by_affinity(groups, adapter),
            Placement::Random => {
                let count = u64::try_from(groups.len()).unwrap_or(1).max(1);
                let index = usize::try_from(random % count).unwrap_or_default();
                groups.get(index).copied()
            }
            Placement::LeastLoaded => groups
                .iter()
                .copied()
                .min_by_key(|id| self.utilization_permille(id)),
            Placement::HashOnly => groups
                .iter()
                .copied()
                .max_by_key(|id| rendezvous_rank(adapter, id)),
        }
    }

    /// Whether any group has an engine that may run the request.
    pub(super) fn has_engines(targets: &Targets, request: &PermitRequest) -> bool {
        let mut groups = targets.groups.values();
        groups.any(|group| group.can_run(request))
    }

    fn groups_for(&self, request: &PermitRequest) -> Vec<&GroupId> {
        let groups = self.targets.groups.iter();
        groups
            .filter(|(_, group)| group.can_run(request))
            .map(|(id, _)| id)
            .collect()
    }

    /// Whether a group's owner is expected to respond.
    fn is_available(&self, id: &GroupId) -> bool {
        let avoid_until = self.views.get(id).map_or(Time(0), |view| view.avoid_until);
        avoid_until <= self.now && !self.is_owner_unresponsive(id)
    }

    fn is_owner_unresponsive(&self, id: &GroupId) -> bool {
        if self.ownership.unresponsive.is_empty() {
            return false;
        }
        let owner = self.ownership.owner(&OwnershipKey::Group(id.clone()));
        owner.is_some_and(|owner| self.ownership.unresponsive.contains(owner))
    }

    /// Returns a group that holds the adapter, else the first group in rendezvous order with a free
    /// slot, else the first group. Another group is returned only at a utilization that is worth a
    /// load.
    fn by_affinity<'b>(&self, groups: &[&'b GroupId], adapter: &AdapterRef) -> Option<&'b GroupId> {
        let mut order = groups.to_vec();
        order.sort_by_cached_key(|id| std::cmp::Reverse(rendezvous_rank(adapter, id)));
        let view_of = |id: &GroupId| self.views.get(id);
        let resident_in: Vec<&GroupId> = order
            .iter()
            .copied()
            .filter(|id| view_of(id).is_some_and(|view| view.has_resident(adapter)))
            .collect();
        let with_free_slots = || {
            order
                .iter()
                .copied()
                .find(|id| view_of(id).is_none_or(GroupView::has_free_slots))
        };
        let first = match self.spill(&resident_in, SPILL_UTILIZATION) {
            Some(group) => group,
            None => with_free_slots().or_else(|| order.first().copied())?,
        };
        if self.utilization_permille(first) < COPY_UTILIZATION {
            return Some(first);
        }
        let others = order.into_iter().filter(|id| *id != first);
        let rest = std::iter::once(first).chain(others);
        self.spill(&rest.collect::<Vec<_>>(), COPY_UTILIZATION)
    }

    /// Returns the first group, unless its utilization reaches `threshold` and that of a later
    /// group is lower by at least `MIN_SPILL_GAIN`.
    fn spill<'b>(&self, order: &[&'b GroupId], threshold: u64) -> Option<&'b GroupId> {
        let mut best = *order.first()?;
        for next in &order[1..] {
            let utilization = self.utilization_permille(best);
            if utilization < threshold {
                return Some(best);
            }
            if self.utilization_permille(next) + MIN_SPILL_GAIN <= utilization {
                best = next;
            }
        }
        Some(best)
    }

    fn utilization_permille(&self, id: &GroupId) -> u64 {
        let listed_batch_slots = self
            .targets
            .groups
            .get(id)
            .map_or(0, ListedGroup::batch_slots);
        self.views
            .get(id)
            .map_or(0, |view| view.utilization_permille(listed_batch_slots))
    }
}

/// Returns the rendezvous hash of an adapter and a group; all versions of an adapter hash alike.
fn rendezvous_rank(adapter: &AdapterRef, group: &GroupId) -> u64 {
    xxh3_64(format!("{}\n{group}", adapter.id).as_bytes())
}
