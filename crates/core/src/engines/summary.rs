//! Summaries of engine groups for operators.

use serde::{Deserialize, Serialize};

use crate::{AdapterRef, GroupId, InstanceId, Ownership, OwnershipKey, TargetId};

use super::Engines;
use super::engine::{Availability, Engine};
use super::owner::GroupOwner;
use super::slot::SlotState;

/// A group of engines, as known to one instance.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct GroupSummary {
    /// The group's id.
    pub id: GroupId,
    /// The group's owner under the map in force.
    #[serde(rename = "home")]
    pub owner: Option<InstanceId>,
    /// The owner's schedule; `None` on any other instance.
    pub schedule: Option<GroupSchedule>,
}

/// The schedule of a group of engines, as known to its owner.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct GroupSchedule {
    /// Requests in the queue.
    pub waiting: usize,
    /// The group's engines.
    pub engines: Vec<EngineSummary>,
}

/// An engine, as known to its group's owner.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineSummary {
    /// The engine's id.
    pub id: TargetId,
    /// Whether the engine gets no new requests.
    pub leaving: bool,
    /// Number of outstanding permits.
    pub permits: u32,
    /// Maximum number of requests in a batch.
    pub max_batch: u32,
    /// Number of adapter slots.
    pub slots: u32,
    /// Resident adapters.
    pub resident: Vec<AdapterRef>,
    /// Adapters that are being loaded.
    pub loading: Vec<AdapterRef>,
}

impl Engines {
    /// Returns all groups of the platform's list, with the schedules of those that this instance
    /// owns.
    #[must_use]
    pub fn groups(&self, ownership: &Ownership) -> Vec<GroupSummary> {
        let groups = self.targets.groups.keys();
        let summary = |id: &GroupId| GroupSummary {
            id: id.clone(),
            owner: ownership.owner(&OwnershipKey::Group(id.clone())).cloned(),
            schedule: self.group_owners.get(id).map(GroupSchedule::from),
        };
        groups.map(summary).collect()
    }
}

impl From<&GroupOwner> for GroupSchedule {
    fn from(owner: &GroupOwner) -> Self {
        Self {
            waiting: owner.queue.len(),
            engines: owner.engines.values().map(EngineSummary::from).collect(),
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
            leaving: engine.availability != Availability::Active,
            permits: engine.permits(),
            max_batch: engine.max_batch,
            slots: engine.slots_total,
            resident: in_state(SlotState::Resident),
            loading: in_state(SlotState::Loading),
        }
    }
}
