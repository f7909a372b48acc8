//! The weight store's owner: grants load permits within the store's rate and in-flight limits.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{GroupId, InstanceId, Ownership, OwnershipKey, Revision, Time};

use super::io::Io;
use super::message::LoadDemand;
use super::takeover::was_owner_throughout;
use super::timing::{DEMAND_TTL, LOAD_PERMIT_TTL};
use super::{EnginesMessage, PermitId};

/// The window in which at most `store_loads_per_second` loads are permitted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The newest load demand of a group.
#[derive(Debug)]
struct GroupDemand {
    from: InstanceId,
    sequence: u64,
    urgent: u32,
    batch: u32,
    received_at: Time,
    last_served: u64,
}

/// Grants load permits while this instance is the weight store's owner.
///
/// A new owner grants nothing for `LOAD_PERMIT_TTL`. By then the former owner's permits are used or
/// expired, and every group has had time to report its loads in flight. Otherwise the loads
/// permitted by both owners together would slow the store down for all groups.
#[derive(Debug)]
pub(super) struct StoreOwner {
    revision: Revision,
    started_at: Option<Time>,
    demands: BTreeMap<GroupId, GroupDemand>,
    in_flight: BTreeMap<(GroupId, PermitId), Time>,
    recent_permits: VecDeque<(PermitId, Time)>,
    next_permit: u64,
    served_count: u64,
}

impl StoreOwner {
    pub(super) const fn new(revision: Revision) -> Self {
        Self {
            revision,
            started_at: None,
            demands: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            recent_permits: VecDeque::new(),
            next_permit: 0,
            served_count: 0,
        }
    }

    /// Records the map in force; returns false if another instance may have owned the store in
    /// between.
    pub(super) fn has_kept_ownership(&mut self, ownership: &Ownership) -> bool {
        let since = std::mem::replace(&mut self.revision, ownership.revision());
        was_owner_throughout(ownership, &OwnershipKey::WeightStore, since)
    }

    pub(super) fn record_demand(&mut self, io: &Io<'_, '_>, from: &InstanceId, demand: LoadDemand) {
        let now = io.now();
        let last_served = match self.demands.get(&demand.group) {
            Some(known) if known.from == *from && known.sequence > demand.sequence => return,
            Some(known) => known.last_served,
            None => 0,
        };
        for permit in demand.loading {
            self.in_flight.insert((demand.group.clone(), permit), now);
        }
        let group_demand = GroupDemand {
            from: from.clone(),
            sequence: demand.sequence,
            urgent: demand.urgent,
            batch: demand.batch,
            received_at: now,
            last_served,
        };
        self.demands.insert(demand.group, group_demand);
    }

    /// Releases a load permit; one that was returned unused does not count towards the rate.
    pub(super) fn release(&mut self, group: GroupId, permit: PermitId, used: bool) {
        self.in_flight.remove(&(group, permit));
        if !used {
            self.recent_permits.retain(|(recent, _)| *recent != permit);
        }
    }

    /// Grants the load permits that the limits allow now.
    pub(super) fn advance(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        if !io.cx.ownership.may_act(now, &OwnershipKey::WeightStore) {
            return;
        }
        let started_at = *self.started_at.get_or_insert(now);
        self.demands
            .retain(|_, group_demand| now < group_demand.received_at + DEMAND_TTL);
        self.in_flight
            .retain(|_, received_at| now < *received_at + DEMAND_TTL);
        if now < started_at + LOAD_PERMIT_TTL {
            return;
        }
        while self.has_capacity(io) {
            let Some(group) = self.next_group() else {
                return;
            };
            self.grant_load_permit(io, group);
        }
    }

    fn has_capacity(&mut self, io: &Io<'_, '_>) -> bool {
        let now = io.now();
        while self
            .recent_permits
            .front()
            .is_some_and(|(_, at)| *at + RATE_WINDOW <= now)
        {
            self.recent_permits.pop_front();
        }
        let max_rate = usize::try_from(io.cfg.store_loads_per_second).unwrap_or(usize::MAX);
        let max_in_flight = usize::try_from(io.cfg.store_in_flight).unwrap_or(usize::MAX);
        self.recent_permits.len() < max_rate && self.in_flight.len() < max_in_flight
    }

    /// Returns the group to serve next: groups with urgent demand first, then the least recently
    /// served.
    fn next_group(&self) -> Option<GroupId> {
        self.demands
            .iter()
            .filter(|(_, group_demand)| group_demand.urgent + group_demand.batch > 0)
            .min_by_key(|(_, group_demand)| (group_demand.urgent == 0, group_demand.last_served))
            .map(|(group, _)| group.clone())
    }

    fn grant_load_permit(&mut self, io: &mut Io<'_, '_>, group: GroupId) {
        let now = io.now();
        self.served_count += 1;
        let permit = PermitId {
            revision: io.cx.ownership.revision(),
            number: self.next_permit,
        };
        self.next_permit += 1;
        self.recent_permits.push_back((permit, now));
        self.in_flight.insert((group.clone(), permit), now);
        let Some(group_demand) = self.demands.get_mut(&group) else {
            return;
        };
        group_demand.last_served = self.served_count;
        match group_demand.urgent {
            0 => group_demand.batch -= 1,
            _ => group_demand.urgent -= 1,
        }
        let message = EnginesMessage::LoadPermit {
            group,
            sequence: group_demand.sequence,
            permit,
        };
        let to = group_demand.from.clone();
        io.send(&to, message);
    }
}
