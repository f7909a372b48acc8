//! Granting permits for requests.

use xxhash_rust::xxh3::xxh3_64;

use crate::{AdapterRef, Placement, TargetId};

use super::engine::{Engine, FenceState};
use super::io::Io;
use super::message::Grant;
use super::owner::{GroupOwner, OutstandingPermit};
use super::queue::{QueuePosition, QueuedRequest, RequestOrigin};
use super::takeover::Takeover;
use super::timing::{MAX_DELIVERY_DELAY, RESPONSE_TIMEOUT};
use super::{EnginesMessage, PermitId, PermitRequest};

impl GroupOwner {
    /// Grants every request that can run now, in the queue's order. A request that waits for a load
    /// does not block those behind it.
    pub(super) fn grant_permits(&mut self, io: &mut Io<'_, '_>) {
        let knows_permits = self
            .takeover
            .as_ref()
            .is_some_and(Takeover::knows_all_permits);
        if !knows_permits || self.queue.is_empty() {
            return;
        }
        let mut free_batch_slots: u32 = self.engines.values().map(Engine::free_batch_slots).sum();
        let positions: Vec<QueuePosition> =
            self.queue.iter().map(|(position, _)| position).collect();
        for position in positions {
            if free_batch_slots == 0 {
                return;
            }
            if self.grant_one(io, position) {
                free_batch_slots -= 1;
            }
        }
    }

    fn grant_one(&mut self, io: &mut Io<'_, '_>, position: QueuePosition) -> bool {
        let Some(target) = self
            .queue
            .get(position)
            .and_then(|queued| self.engine_for(io, queued))
        else {
            return false;
        };
        let Some(queued) = self.queue.serve(position) else {
            return false;
        };
        let now = io.now();
        if let Some(engine) = self.engines.get_mut(&target) {
            engine.record_grant(&queued.request.adapter, now);
        }
        let permit = PermitId {
            revision: io.cx.ownership.revision(),
            number: self.next_permit,
        };
        self.next_permit += 1;
        let outstanding = OutstandingPermit {
            holder: queued.origin.member,
            request_number: Some(queued.origin.number),
            target,
            adapter: queued.request.adapter,
            granted_at: now,
            is_accepted: false,
            resend_at: now + RESPONSE_TIMEOUT,
        };
        self.permits.insert(permit, outstanding);
        self.send_grant(io, permit);
        true
    }

    /// Returns the engine for a queued request: of those that hold its adapter, the one with the
    /// most free batch slots.
    fn engine_for(&self, io: &Io<'_, '_>, queued: &QueuedRequest) -> Option<TargetId> {
        let assigned = queued.assigned_engine.as_ref();
        self.engines
            .values()
            .filter(|engine| assigned.is_none_or(|id| *id == engine.id))
            .filter(|engine| queued.request.allows(&engine.software))
            .filter(|engine| self.can_grant(io, engine, &queued.request.adapter))
            .max_by_key(|engine| (engine.free_batch_slots(), &engine.id))
            .map(|engine| engine.id.clone())
    }

    /// Whether a request for `adapter` may be granted on `engine`.
    ///
    /// Guards against a former owner's unload order that has not arrived yet. An engine that checks
    /// fencing numbers has answered an order with this owner's number, so it refuses older ones.
    /// For an engine that does not, either `MAX_DELIVERY_DELAY` has passed, or a permit of the
    /// former owner was still outstanding for the adapter, so the former owner did not unload it.
    fn can_grant(&self, io: &Io<'_, '_>, engine: &Engine, adapter: &AdapterRef) -> bool {
        let Some(takeover) = &self.takeover else {
            return false;
        };
        let is_fenced = match (engine.checks_fencing, engine.fence) {
            (true, fence) => fence == FenceState::Confirmed,
            (false, _) => {
                io.now() >= takeover.started_at + MAX_DELIVERY_DELAY
                    || engine.inherited_adapters.contains(adapter)
            }
        };
        let is_draining = engine
            .slots
            .get(adapter)
            .is_some_and(|slot| slot.is_draining);
        is_fenced
            && engine.has_report
            && engine.accepts_requests()
            && engine.free_batch_slots() > 0
            && engine.has_resident(adapter)
            && !is_draining
    }

    fn send_grant(&self, io: &mut Io<'_, '_>, permit: PermitId) {
        let Some(outstanding) = self.permits.get(&permit) else {
            return;
        };
        let (Some(request_number), Some(engine)) = (
            outstanding.request_number,
            self.engines.get(&outstanding.target),
        ) else {
            return;
        };
        let grant = Grant {
            number: request_number,
            incarnation: outstanding.holder.incarnation,
            group: self.id.clone(),
            permit,
            target: outstanding.target.clone(),
            address: engine.address,
            software: engine.software.clone(),
            status: self.status(),
        };
        io.send(
            &outstanding.holder.id,
            EnginesMessage::Grant(Box::new(grant)),
        );
    }

    /// Sends grants again that were not accepted in time, as the message may have been lost.
    pub(super) fn resend_grants(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        let due: Vec<PermitId> = self
            .permits
            .iter()
            .filter(|(_, outstanding)| !outstanding.is_accepted && outstanding.resend_at <= now)
            .map(|(permit, _)| *permit)
            .collect();
        for permit in due {
            if let Some(outstanding) = self.permits.get_mut(&permit) {
                outstanding.resend_at = now + RESPONSE_TIMEOUT;
            }
            self.send_grant(io, permit);
        }
    }

    /// Answers a repeated request that was granted already; returns false if it was not granted.
    pub(super) fn resend_grant(&self, io: &mut Io<'_, '_>, origin: &RequestOrigin) -> bool {
        let granted = self
            .permits
            .iter()
            .find(|(_, outstanding)| {
                outstanding.request_number == Some(origin.number)
                    && outstanding.holder == origin.member
            })
            .map(|(permit, _)| *permit);
        if let Some(permit) = granted {
            self.send_grant(io, permit);
        }
        granted.is_some()
    }

    /// Returns the engine that a baseline placement chooses when the request arrives; `None` for
    /// affinity, which chooses an engine when a batch slot becomes free.
    pub(super) fn assign_engine(
        &mut self,
        placement: Placement,
        request: &PermitRequest,
    ) -> Option<TargetId> {
        let adapter = &request.adapter;
        let available: Vec<&Engine> = self
            .engines
            .values()
            .filter(|engine| engine.accepts_requests() && request.allows(&engine.software))
            .collect();
        if available.is_empty() {
            return None;
        }
        match placement {
            Placement::Affinity => None,
            Placement::Random => {
                self.random = xxh3_64(&self.random.to_le_bytes());
                let count = u64::try_from(available.len()).unwrap_or(1);
                let index = usize::try_from(self.random % count).unwrap_or_default();
                available.get(index).map(|engine| engine.id.clone())
            }
            Placement::LeastLoaded => available
                .iter()
                .min_by_key(|engine| {
                    (
                        engine.permits() + self.assigned_count(&engine.id),
                        &engine.id,
                    )
                })
                .map(|engine| engine.id.clone()),
            Placement::HashOnly => available
                .iter()
                .max_by_key(|engine| xxh3_64(format!("{adapter}\n{}", engine.id).as_bytes()))
                .map(|engine| engine.id.clone()),
        }
    }

    fn assigned_count(&self, target: &TargetId) -> u32 {
        let assigned = self
            .queue
            .iter()
            .filter(|(_, queued)| queued.assigned_engine.as_ref() == Some(target));
        u32::try_from(assigned.count()).unwrap_or(u32::MAX)
    }
}
