//! Status updates from a group's owner to the instances that recently sent requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::{AdapterRef, InstanceId, Time};

use super::EnginesMessage;
use super::io::Io;
use super::message::{GroupStatus, Residency};
use super::owner::GroupOwner;
use super::slot::SlotState;
use super::timing::{FULL_STATUS_INTERVAL, MIN_STATUS_INTERVAL, STATUS_SUBSCRIPTION_TTL};

/// The subscribers of a group's status, and the status last sent to them.
#[derive(Debug, Default)]
pub(super) struct StatusPublisher {
    subscribers: BTreeMap<InstanceId, Time>,
    sent_at: Time,
    full_sent_at: Time,
    status: GroupStatus,
    resident: BTreeSet<AdapterRef>,
}

impl GroupOwner {
    /// Subscribes an instance that sent a request to the group's status updates, and sends it the
    /// full status unless it was subscribed already.
    pub(super) fn subscribe(&mut self, io: &mut Io<'_, '_>, from: &InstanceId) {
        let now = io.now();
        let last_subscribed = self.status_publisher.subscribers.insert(from.clone(), now);
        if last_subscribed
            .is_some_and(|subscribed_at| now < subscribed_at + STATUS_SUBSCRIPTION_TTL)
        {
            return;
        }
        let residency = Residency {
            is_complete: true,
            added: self.resident_adapters().into_iter().collect(),
            removed: Vec::new(),
        };
        let message = EnginesMessage::Status {
            group: self.id.clone(),
            status: self.status(),
            residency,
        };
        io.send(from, message);
    }

    pub(super) fn status(&self) -> GroupStatus {
        let mut status = GroupStatus {
            running: u32::try_from(self.permits.len()).unwrap_or(u32::MAX),
            ..GroupStatus::default()
        };
        for engine in self
            .engines
            .values()
            .filter(|engine| engine.accepts_requests())
        {
            status.batch_slots += engine.max_batch;
            status.free_slots += engine.free_slots();
        }
        for (adapter, demand) in self.queue.demands() {
            let engines = self.engines.values();
            if engines
                .filter(|engine| engine.accepts_requests())
                .any(|engine| engine.has_resident(adapter))
            {
                status.waiting_for_batch_slot += demand.waiting;
            } else {
                status.waiting_for_load += demand.waiting;
                status.free_slots = status.free_slots.saturating_sub(1);
            }
        }
        status
    }

    fn resident_adapters(&self) -> BTreeSet<AdapterRef> {
        self.engines
            .values()
            .filter(|engine| engine.accepts_requests())
            .flat_map(|engine| &engine.slots)
            .filter(|(_, slot)| matches!(slot.state, SlotState::Resident | SlotState::Loading))
            .map(|(adapter, _)| adapter.clone())
            .collect()
    }

    pub(super) fn publish_status(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        if now < self.status_publisher.sent_at + MIN_STATUS_INTERVAL
            || self.status_publisher.subscribers.is_empty()
        {
            return;
        }
        let status = self.status();
        let resident = self.resident_adapters();
        self.status_publisher
            .subscribers
            .retain(|_, subscribed_at| now < *subscribed_at + STATUS_SUBSCRIPTION_TTL);
        if status == self.status_publisher.status && resident == self.status_publisher.resident {
            return;
        }
        let residency = self.status_publisher.next_update(now, status, resident);
        for to in self.status_publisher.subscribers.keys() {
            let message = EnginesMessage::Status {
                group: self.id.clone(),
                status,
                residency: residency.clone(),
            };
            io.send(to, message);
        }
    }
}

impl StatusPublisher {
    /// Records the status as sent and returns the change of residency since the last update, or the
    /// full residency every `FULL_STATUS_INTERVAL`, because messages can be lost.
    fn next_update(
        &mut self,
        now: Time,
        status: GroupStatus,
        resident: BTreeSet<AdapterRef>,
    ) -> Residency {
        let is_complete = self.full_sent_at + FULL_STATUS_INTERVAL <= now;
        if is_complete {
            self.full_sent_at = now;
        }
        let is_known = |adapter: &&AdapterRef| !is_complete && self.resident.contains(*adapter);
        let added = resident
            .iter()
            .filter(|adapter| !is_known(adapter))
            .cloned()
            .collect();
        let removed = self.resident.difference(&resident).cloned().collect();
        self.sent_at = now;
        self.status = status;
        self.resident = resident;
        Residency {
            is_complete,
            added,
            removed,
        }
    }
}
