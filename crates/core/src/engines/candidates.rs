//! Which group to ask for an adapter.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::{AdapterRef, BaseModel, GroupId, Placement, Time};

use super::targets::{ListedGroup, Targets};
use super::view::GroupView;

/// Requests in and before a group, in thousandths of its places, above which the next candidate is
/// weighed.
const SPILL_PRESSURE: u64 = 1_250;

/// How much less pressed the next candidate must be.
const SPILL_GAIN: u64 = 500;

/// What the choice depends on.
#[derive(Debug)]
pub(super) struct Candidates<'a> {
    pub(super) targets: &'a Targets,
    pub(super) views: &'a BTreeMap<GroupId, GroupView>,
    /// Where the adapter was last let in.
    pub(super) seen: Option<&'a GroupId>,
    /// Groups that this ask need not try again yet.
    pub(super) tried: &'a BTreeSet<GroupId>,
    pub(super) now: Time,
}

impl Candidates<'_> {
    /// The group to ask next; none if no group with a staying engine is left to try.
    pub(super) fn choose(
        &self,
        placement: Placement,
        model: &BaseModel,
        adapter: &AdapterRef,
        random: u64,
    ) -> Option<GroupId> {
        let groups = self.of_model(model);
        let chosen = match placement {
            Placement::Affinity => self.by_affinity(&groups, adapter),
            Placement::Random => {
                let count = u64::try_from(groups.len()).unwrap_or(1).max(1);
                let index = usize::try_from(random % count).unwrap_or_default();
                groups.get(index).copied()
            }
            Placement::LeastLoaded => groups.iter().copied().min_by_key(|id| self.pressure(id)),
            Placement::HashOnly => groups.iter().copied().max_by_key(|id| rank(adapter, id)),
        };
        chosen.cloned()
    }

    /// Whether any group of the model has a staying engine.
    pub(super) fn any(targets: &Targets, model: &BaseModel) -> bool {
        let mut groups = targets.groups.values();
        groups.any(|group| group.base_model == *model && group.places() > 0)
    }

    fn of_model(&self, model: &BaseModel) -> Vec<&GroupId> {
        let untried: Vec<&GroupId> = self
            .targets
            .groups
            .iter()
            .filter(|(id, group)| {
                group.base_model == *model && group.places() > 0 && !self.tried.contains(*id)
            })
            .map(|(id, _)| id)
            .collect();
        let willing: Vec<&GroupId> = untried
            .iter()
            .copied()
            .filter(|id| self.avoid_until(id) <= self.now)
            .collect();
        if willing.is_empty() { untried } else { willing }
    }

    /// The first of the rendezvous order, the group that let the adapter in last before all, unless
    /// it is hard pressed and another much less.
    fn by_affinity<'a>(&self, groups: &[&'a GroupId], adapter: &AdapterRef) -> Option<&'a GroupId> {
        let mut order = groups.to_vec();
        order.sort_by_key(|id| {
            let seen = self.seen == Some(*id);
            (!seen, std::cmp::Reverse(rank(adapter, id)))
        });
        let mut best = *order.first()?;
        for next in order.into_iter().skip(1) {
            let pressure = self.pressure(best);
            if pressure < SPILL_PRESSURE {
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
        let view = self.views.get(id).copied().unwrap_or_default();
        view.pressure(listed)
    }

    fn avoid_until(&self, id: &GroupId) -> Time {
        self.views.get(id).map_or(Time(0), |it| it.avoid_until)
    }
}

/// Rendezvous hash of an adapter and a group; versions of one adapter go together.
fn rank(adapter: &AdapterRef, group: &GroupId) -> u64 {
    xxh3_64(format!("{}\n{group}", adapter.id).as_bytes())
}
