//! What operators see of engine groups.

use serde::{Deserialize, Serialize};

use crate::{AdapterRef, GroupId, InstanceId, Ownership, OwnershipKey, TargetId};

use super::Engines;
use super::engine::{Engine, Presence};
use super::home::GroupHome;
use super::slot::SlotState;

/// A group of engines, as one instance knows it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct GroupSummary {
    /// Which group.
    pub id: GroupId,
    /// Its home under the map in force.
    pub home: Option<InstanceId>,
    /// What its home knows; none at any other instance.
    pub schedule: Option<GroupSchedule>,
}

/// A group of engines, as its home knows it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct GroupSchedule {
    /// Requests in the queue.
    pub waiting: usize,
    /// Its engines.
    pub engines: Vec<EngineSummary>,
}

/// An engine, as its group's home knows it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineSummary {
    /// Which engine.
    pub id: TargetId,
    /// It gets no new work.
    pub leaving: bool,
    /// Permits that are out.
    pub permits: u32,
    /// Most requests that it batches.
    pub max_batch: u32,
    /// Adapters that it can hold.
    pub slots: u32,
    /// Adapters that it holds.
    pub resident: Vec<AdapterRef>,
    /// Adapters on their way in.
    pub loading: Vec<AdapterRef>,
}

impl Engines {
    /// All groups of the platform's list, with what this instance knows as their home.
    #[must_use]
    pub fn groups(&self, own: &Ownership) -> Vec<GroupSummary> {
        let groups = self.targets.groups.keys();
        let summary = |id: &GroupId| GroupSummary {
            id: id.clone(),
            home: own.owner(&OwnershipKey::Group(id.clone())).cloned(),
            schedule: self.homes.get(id).map(GroupSchedule::from),
        };
        groups.map(summary).collect()
    }
}

impl From<&GroupHome> for GroupSchedule {
    fn from(home: &GroupHome) -> Self {
        Self {
            waiting: home.queue.len(),
            engines: home.engines.values().map(EngineSummary::from).collect(),
        }
    }
}

impl From<&Engine> for EngineSummary {
    fn from(engine: &Engine) -> Self {
        let in_state = |state: SlotState| {
            let slots = engine
                .slots
                .iter()
                .filter(move |(_adapter, slot)| slot.state == state);
            slots.map(|(adapter, _slot)| adapter.clone()).collect()
        };
        Self {
            id: engine.id.clone(),
            leaving: engine.presence != Presence::Staying,
            permits: engine.permits(),
            max_batch: engine.max_batch,
            slots: engine.slots_total,
            resident: in_state(SlotState::Resident),
            loading: in_state(SlotState::Loading),
        }
    }
}
