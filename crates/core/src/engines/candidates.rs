//! Which group to ask for an adapter.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::{AdapterRef, BaseModel, GroupId, Ownership, OwnershipKey, Placement, Time};

use super::targets::{ListedGroup, Targets};
use super::view::GroupView;

/// Pressure, in thousandths of a group's places, above which another group that holds the adapter
/// is weighed.
const SPILL_PRESSURE: u64 = 1_250;

/// Pressure above which the adapter is worth a load in another group.
const COPY_PRESSURE: u64 = 2_500;

/// How much less pressed the other group must be.
const SPILL_GAIN: u64 = 500;

/// What the choice depends on.
#[derive(Debug)]
pub(super) struct Candidates<'a> {
    pub(super) targets: &'a Targets,
    pub(super) views: &'a BTreeMap<GroupId, GroupView>,
    /// Groups that this ask need not try again yet.
    pub(super) tried: &'a BTreeSet<GroupId>,
    pub(super) now: Time,
    pub(super) own: &'a Ownership,
}

/// The group to ask.
#[derive(Debug)]
pub(super) struct Choice {
    pub(super) group: GroupId,
    /// It would be another if all homes could be reached.
    pub(super) stray: bool,
}

impl Candidates<'_> {
    /// The group to ask next; none if no group with a staying engine is left to try.
    pub(super) fn choose(
        &self,
        placement: Placement,
        model: &BaseModel,
        adapter: &AdapterRef,
        random: u64,
    ) -> Option<Choice> {
        let all = self.of_model(model);
        let preferred = self.pick(&all, placement, adapter, random)?;
        if all
            .iter()
            .all(|id| !self.tried.contains(*id) && self.is_willing(id))
        {
            return Some(Choice {
                group: preferred.clone(),
                stray: false,
            });
        }
        let untried: Vec<&GroupId> = all
            .into_iter()
            .filter(|id| !self.tried.contains(*id))
            .collect();
        let willing: Vec<&GroupId> = untried
            .iter()
            .copied()
            .filter(|id| self.is_willing(id))
            .collect();
        let left = if willing.is_empty() { untried } else { willing };
        let group = self.pick(&left, placement, adapter, random)?;
        Some(Choice {
            group: group.clone(),
            stray: group != preferred,
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
            Placement::LeastLoaded => groups.iter().copied().min_by_key(|id| self.pressure(id)),
            Placement::HashOnly => groups.iter().copied().max_by_key(|id| rank(adapter, id)),
        }
    }

    /// Whether any group of the model has a staying engine.
    pub(super) fn any(targets: &Targets, model: &BaseModel) -> bool {
        let mut groups = targets.groups.values();
        groups.any(|group| group.base_model == *model && group.places() > 0)
    }

    fn of_model(&self, model: &BaseModel) -> Vec<&GroupId> {
        let groups = self.targets.groups.iter();
        groups
            .filter(|(_, group)| group.base_model == *model && group.places() > 0)
            .map(|(id, _)| id)
            .collect()
    }

    /// Whether a group's home is expected to answer.
    fn is_willing(&self, id: &GroupId) -> bool {
        let avoid_until = self.views.get(id).map_or(Time(0), |it| it.avoid_until);
        avoid_until <= self.now && !self.is_home_silent(id)
    }

    fn is_home_silent(&self, id: &GroupId) -> bool {
        if self.own.unresponsive.is_empty() {
            return false;
        }
        let home = self.own.owner(&OwnershipKey::Group(id.clone()));
        home.is_some_and(|home| self.own.unresponsive.contains(home))
    }

    /// A group that holds the adapter, else the first of the rendezvous order with a slot to spare,
    /// else the first of all; another than these only under a pressure that pays for a load.
    fn by_affinity<'b>(&self, groups: &[&'b GroupId], adapter: &AdapterRef) -> Option<&'b GroupId> {
        let mut order = groups.to_vec();
        order.sort_by_cached_key(|id| std::cmp::Reverse(rank(adapter, id)));
        let view = |id: &GroupId| self.views.get(id);
        let holding: Vec<&GroupId> = order
            .iter()
            .copied()
            .filter(|id| view(id).is_some_and(|it| it.holds(adapter)))
            .collect();
        let with_slots = || {
            order
                .iter()
                .copied()
                .find(|id| view(id).is_none_or(GroupView::has_free_slots))
        };
        let first = match self.spill(&holding, SPILL_PRESSURE) {
            Some(group) => group,
            None => with_slots().or_else(|| order.first().copied())?,
        };
        if self.pressure(first) < COPY_PRESSURE {
            return Some(first);
        }
        let others = order.into_iter().filter(|id| *id != first);
        let rest = std::iter::once(first).chain(others);
        self.spill(&rest.collect::<Vec<_>>(), COPY_PRESSURE)
    }

    /// The first group, unless it is pressed beyond `bound` and a later one much less.
    fn spill<'b>(&self, order: &[&'b GroupId], bound: u64) -> Option<&'b GroupId> {
        let mut best = *order.first()?;
        for next in &order[1..] {
            let pressure = self.pressure(best);
            if pressure < bound {
                return Some(best);
            }
            if self.pressure(next) + SPILL_GAIN <= pressure {
                best = next;
            }
        }
        Some(best)
    }

    fn pressure(&self, id: &GroupId) -> u64 {
        let listed = self.targets.groups.get(id).map_or(0, ListedGroup::places);
        self.views.get(id).map_or(0, |view| view.pressure(listed))
    }
}

/// Rendezvous hash of an adapter and a group; versions of one adapter go together.
fn rank(adapter: &AdapterRef, group: &GroupId) -> u64 {
    xxh3_64(format!("{}\n{group}", adapter.id).as_bytes())
}
