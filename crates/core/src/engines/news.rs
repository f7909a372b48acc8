//! What a group's home tells the instances that asked lately.

use std::collections::{BTreeMap, BTreeSet};

use crate::{AdapterRef, InstanceId, Time};

use super::EnginesMessage;
use super::home::GroupHome;
use super::io::Io;
use super::message::{GroupStatus, Residency};
use super::slot::SlotState;
use super::timing::{STATUS_AUDIENCE, STATUS_INTERVAL, WHOLE_INTERVAL};

/// Who listens, and what they were told.
#[derive(Debug, Default)]
pub(super) struct News {
    audience: BTreeMap<InstanceId, Time>,
    sent_at: Time,
    whole_at: Time,
    status: GroupStatus,
    resident: BTreeSet<AdapterRef>,
}

impl GroupHome {
    /// An instance asked: it is told all now, unless it asked lately, and what changes from now on.
    pub(super) fn listen(&mut self, io: &mut Io<'_, '_>, from: &InstanceId) {
        let now = io.now();
        let before = self.news.audience.insert(from.clone(), now);
        if before.is_some_and(|asked| now < asked + STATUS_AUDIENCE) {
            return;
        }
        let residency = Residency {
            whole: true,
            came: self.resident().into_iter().collect(),
            gone: Vec::new(),
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
        for engine in self.engines.values().filter(|engine| engine.is_open()) {
            status.places += engine.max_batch;
            status.free_slots += engine.free_slots();
        }
        for (adapter, demand) in self.queue.demands() {
            let engines = self.engines.values();
            if engines
                .filter(|it| it.is_open())
                .any(|it| it.holds(adapter))
            {
                status.waiting += demand.waiting;
            } else {
                status.stalled += demand.waiting;
                status.free_slots = status.free_slots.saturating_sub(1);
            }
        }
        status
    }

    fn resident(&self) -> BTreeSet<AdapterRef> {
        self.engines
            .values()
            .filter(|engine| engine.is_open())
            .flat_map(|engine| &engine.slots)
            .filter(|(_, slot)| matches!(slot.state, SlotState::Resident | SlotState::Loading))
            .map(|(adapter, _)| adapter.clone())
            .collect()
    }

    pub(super) fn tell_status(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        if now < self.news.sent_at + STATUS_INTERVAL || self.news.audience.is_empty() {
            return;
        }
        let status = self.status();
        let resident = self.resident();
        self.news
            .audience
            .retain(|_, asked| now < *asked + STATUS_AUDIENCE);
        if status == self.news.status && resident == self.news.resident {
            return;
        }
        let residency = self.news.tell(now, status, resident);
        for to in self.news.audience.keys() {
            let message = EnginesMessage::Status {
                group: self.id.clone(),
                status,
                residency: residency.clone(),
            };
            io.send(to, message);
        }
    }
}

impl News {
    /// Notes what is told now; what came and went since the last time, or all now and then, because
    /// messages get lost.
    fn tell(
        &mut self,
        now: Time,
        status: GroupStatus,
        resident: BTreeSet<AdapterRef>,
    ) -> Residency {
        let whole = self.whole_at + WHOLE_INTERVAL <= now;
        if whole {
            self.whole_at = now;
        }
        let known = |adapter: &&AdapterRef| !whole && self.resident.contains(*adapter);
        let came = resident.iter().filter(|it| !known(it)).cloned().collect();
        let gone = self.resident.difference(&resident).cloned().collect();
        self.sent_at = now;
        self.status = status;
        self.resident = resident;
        Residency { whole, came, gone }
    }
}
