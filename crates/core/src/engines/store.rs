//! The weight store's home: permits to load, within the store's rate and in-flight limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{GroupId, InstanceId, Ownership, OwnershipKey, Revision, Time};

use super::io::Io;
use super::message::LoadDemand;
use super::tenure::was_home_throughout;
use super::timing::{DEMAND_EXPIRY, LOAD_START};
use super::{EnginesMessage, PermitRef};

/// The span in which at most `store_loads_per_second` loads are permitted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The newest demand of a group.
#[derive(Debug)]
struct Wanted {
    from: InstanceId,
    sequence: u64,
    urgent: u32,
    batch: u32,
    heard: Time,
    served: u64,
}

/// Permits loads while this instance is the weight store's home.
///
/// A new home permits nothing before the former one's permits are used or void (`LOAD_START`), which
/// is also time for every group to say what it has in flight: otherwise loads of both homes together
/// would slow the store down for all.
#[derive(Debug)]
pub(super) struct StoreHome {
    revision: Revision,
    began: Option<Time>,
    demands: BTreeMap<GroupId, Wanted>,
    in_flight: BTreeMap<(GroupId, PermitRef), Time>,
    permitted: VecDeque<(PermitRef, Time)>,
    next_permit: u64,
    served: u64,
}

impl StoreHome {
    pub(super) const fn new(revision: Revision) -> Self {
        Self {
            revision,
            began: None,
            demands: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            permitted: VecDeque::new(),
            next_permit: 0,
            served: 0,
        }
    }

    /// Notes the map in force; false if another instance may have been the store's home meanwhile.
    pub(super) fn survives(&mut self, own: &Ownership) -> bool {
        let since = std::mem::replace(&mut self.revision, own.revision());
        was_home_throughout(own, &OwnershipKey::WeightStore, since)
    }

    pub(super) fn demand(&mut self, io: &Io<'_, '_>, from: &InstanceId, demand: LoadDemand) {
        let now = io.now();
        let served = match self.demands.get(&demand.group) {
            Some(known) if known.from == *from && known.sequence > demand.sequence => return,
            Some(known) => known.served,
            None => 0,
        };
        for permit in demand.loading {
            self.in_flight.insert((demand.group.clone(), permit), now);
        }
        let wanted = Wanted {
            from: from.clone(),
            sequence: demand.sequence,
            urgent: demand.urgent,
            batch: demand.batch,
            heard: now,
            served,
        };
        self.demands.insert(demand.group, wanted);
    }

    /// A load ended; one that was handed back unused leaves its part of the rate to others.
    pub(super) fn loaded(&mut self, group: GroupId, permit: PermitRef, used: bool) {
        self.in_flight.remove(&(group, permit));
        if !used {
            self.permitted.retain(|(it, _)| *it != permit);
        }
    }

    /// Permits what the limits allow now.
    pub(super) fn act(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        if !io.cx.own.may_act(now, &OwnershipKey::WeightStore) {
            return;
        }
        let began = *self.began.get_or_insert(now);
        self.demands
            .retain(|_, wanted| now < wanted.heard + DEMAND_EXPIRY);
        self.in_flight
            .retain(|_, heard| now < *heard + DEMAND_EXPIRY);
        if now < began + LOAD_START {
            return;
        }
        while self.has_room(io) {
            let Some(group) = self.next_group() else {
                return;
            };
            self.permit(io, group);
        }
    }

    fn has_room(&mut self, io: &Io<'_, '_>) -> bool {
        let now = io.now();
        while self
            .permitted
            .front()
            .is_some_and(|(_, at)| *at + RATE_WINDOW <= now)
        {
            self.permitted.pop_front();
        }
        let rate = usize::try_from(io.cfg.store_loads_per_second).unwrap_or(usize::MAX);
        let in_flight = usize::try_from(io.cfg.store_in_flight).unwrap_or(usize::MAX);
        self.permitted.len() < rate && self.in_flight.len() < in_flight
    }

    /// Urgent demands first, then the group served least recently.
    fn next_group(&self) -> Option<GroupId> {
        self.demands
            .iter()
            .filter(|(_, wanted)| wanted.urgent + wanted.batch > 0)
            .min_by_key(|(_, wanted)| (wanted.urgent == 0, wanted.served))
            .map(|(group, _)| group.clone())
    }

    fn permit(&mut self, io: &mut Io<'_, '_>, group: GroupId) {
        let now = io.now();
        self.served += 1;
        let permit = PermitRef {
            revision: io.cx.own.revision(),
            number: self.next_permit,
        };
        self.next_permit += 1;
        self.permitted.push_back((permit, now));
        self.in_flight.insert((group.clone(), permit), now);
        let Some(wanted) = self.demands.get_mut(&group) else {
            return;
        };
        wanted.served = self.served;
        match wanted.urgent {
            0 => wanted.batch -= 1,
            _ => wanted.urgent -= 1,
        }
        let message = EnginesMessage::MayLoad {
            group,
            sequence: wanted.sequence,
            permit,
        };
        let to = wanted.from.clone();
        io.send(&to, message);
    }
}
