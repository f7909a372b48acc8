//! The owner of an engine group: its queue, its permits, and the state of its engines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{
    AdapterRef, GroupId, InstanceId, MemberRef, OrderId, OwnershipKey, Placement, Refusal,
    RefusalKind, Revision, TargetId, TargetReport, Time, Tuning,
};

use super::engine::{Availability, Engine};
use super::io::Io;
use super::loading::Loading;
use super::message::{EnqueueRequest, HeldPermit};
use super::popularity::Popularity;
use super::queue::{Queue, QueuedRequest, RequestOrigin};
use super::status::StatusPublisher;
use super::takeover::{Takeover, are_past_maps_retired, current_members, was_owner_throughout};
use super::targets::ListedGroup;
use super::timing::{
    FALLBACK_EVICTION_DELAY, MAX_DELIVERY_DELAY, MAX_REPORT_AGE, QUEUED_REQUEST_TTL,
    RESPONSE_TIMEOUT,
};
use super::{EnginesMessage, PermitEnd, PermitId, PermitRequestNumber};

/// Maximum number of requests in a group's queue.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// A granted permit whose end has not been reported.
#[derive(Clone, Debug)]
pub(super) struct OutstandingPermit {
    pub(super) holder: MemberRef,
    /// The permit request that it answers; `None` for a permit granted by a former owner.
    pub(super) request_number: Option<PermitRequestNumber>,
    pub(super) target: TargetId,
    pub(super) adapter: AdapterRef,
    pub(super) granted_at: Time,
    /// Whether the holder has confirmed that it received the grant.
    pub(super) is_accepted: bool,
    pub(super) resend_at: Time,
}

/// An order sent to an engine that has not ended.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    pub(super) target: TargetId,
    pub(super) sent_at: Time,
    pub(super) purpose: OrderPurpose,
}

/// The purpose of an order.
#[derive(Clone, Debug)]
pub(super) enum OrderPurpose {
    /// Requests a report of the engine's state.
    Report,
    /// Raises the engine's fencing number, so that it refuses a former owner's orders.
    Fence,
    /// Loads an adapter into a slot, under a load permit.
    Load {
        adapter: AdapterRef,
        permit: PermitId,
    },
    /// Unloads an adapter from its slot.
    Unload { adapter: AdapterRef },
}

/// Schedules the engines of one group while this instance is the group's owner.
#[derive(Debug)]
pub(super) struct GroupOwner {
    pub(super) id: GroupId,
    pub(super) key: OwnershipKey,
    pub(super) engines: BTreeMap<TargetId, Engine>,
    pub(super) queue: Queue,
    pub(super) permits: BTreeMap<PermitId, OutstandingPermit>,
    pub(super) orders: BTreeMap<OrderId, PendingOrder>,
    pub(super) loading: Loading,
    pub(super) popularity: Popularity,
    pub(super) takeover: Option<Takeover>,
    pub(super) next_permit: u64,
    revision: Revision,
    orphan_reports_from: Option<Time>,
    pub(super) status_publisher: StatusPublisher,
    pub(super) random: u64,
    pub(super) last_active_at: Time,
}

impl GroupOwner {
    pub(super) fn new(id: GroupId, cfg: &Tuning, revision: Revision, seed: u64) -> Self {
        Self {
            key: OwnershipKey::Group(id.clone()),
            id,
            engines: BTreeMap::new(),
            queue: Queue::new(cfg.queue),
            permits: BTreeMap::new(),
            orders: BTreeMap::new(),
            loading: Loading::default(),
            popularity: Popularity::default(),
            takeover: None,
            next_permit: 0,
            revision,
            orphan_reports_from: None,
            status_publisher: StatusPublisher::default(),
            random: seed,
            last_active_at: Time(0),
        }
    }

    pub(super) fn set_engines(&mut self, listed: Option<&ListedGroup>, now: Time) {
        for engine in self.engines.values_mut() {
            engine.availability = Availability::Unlisted;
        }
        for (id, info) in listed.into_iter().flat_map(|group| &group.engines) {
            self.engines
                .entry(id.clone())
                .or_insert_with(|| Engine::new(id.clone(), info, now))
                .update(info);
        }
        self.engines.retain(|_, engine| {
            engine.availability != Availability::Unlisted || engine.permits() > 0
        });
    }

    /// Whether this owner's state is still valid under the map in force.
    pub(super) fn has_kept_ownership(&self, io: &Io<'_, '_>) -> bool {
        was_owner_throughout(io.cx.ownership, &self.key, self.revision)
    }

    pub(super) fn map_changed(&mut self, io: &Io<'_, '_>) {
        self.revision = io.cx.ownership.revision();
        self.orphan_reports_from = None;
    }

    pub(super) fn handle_enqueue(
        &mut self,
        io: &mut Io<'_, '_>,
        from: &InstanceId,
        enqueue: EnqueueRequest,
    ) {
        let now = io.now();
        let member = MemberRef {
            id: from.clone(),
            incarnation: enqueue.incarnation,
        };
        if !current_members(io.cx.ownership).contains(&member) {
            return;
        }
        let number = enqueue.number;
        if !io.cx.ownership.may_act(now, &self.key) {
            self.reject(io, from, number, RefusalKind::NoStanding);
            return;
        }
        self.last_active_at = now;
        self.subscribe(io, from);
        let origin = RequestOrigin { member, number };
        if self.resend_grant(io, &origin) {
            return;
        }
        if !self.queue.refresh(&origin, now) && !self.enqueue(io, origin, enqueue) {
            return;
        }
        let message = EnginesMessage::Queued {
            number,
            group: self.id.clone(),
            status: self.status(),
        };
        io.send(from, message);
    }

    fn enqueue(
        &mut self,
        io: &mut Io<'_, '_>,
        origin: RequestOrigin,
        enqueue: EnqueueRequest,
    ) -> bool {
        let now = io.now();
        if !self.engines.values().any(Engine::accepts_requests) {
            self.reject(io, &origin.member.id, origin.number, RefusalKind::NoTarget);
            return false;
        }
        if self.queue.len() >= MAX_QUEUED_REQUESTS {
            self.reject(
                io,
                &origin.member.id,
                origin.number,
                RefusalKind::Overloaded,
            );
            return false;
        }
        self.popularity
            .record_request(&enqueue.request.adapter, now);
        let assigned_engine = self.assign_engine(io.cfg.placement, &enqueue.request);
        let eviction_delay = if enqueue.is_fallback {
            FALLBACK_EVICTION_DELAY
        } else {
            Duration::ZERO
        };
        let eviction_allowed_from = now + eviction_delay;
        self.queue.push(QueuedRequest {
            origin,
            request: enqueue.request,
            queued_at: now,
            refreshed_at: now,
            assigned_engine,
            eviction_allowed_from,
        });
        true
    }

    pub(super) fn reject(
        &self,
        io: &mut Io<'_, '_>,
        to: &InstanceId,
        number: PermitRequestNumber,
        kind: RefusalKind,
    ) {
        let message = EnginesMessage::Rejected {
            number,
            group: self.id.clone(),
            refusal: Refusal::retry_after(kind, RESPONSE_TIMEOUT),
        };
        io.send(to, message);
    }

    pub(super) fn handle_cancel(&mut self, member: MemberRef, number: PermitRequestNumber) {
        self.queue.remove(&RequestOrigin { member, number });
    }

    pub(super) fn handle_accepted(&mut self, permit: PermitId) {
        if let Some(outstanding) = self.permits.get_mut(&permit) {
            outstanding.is_accepted = true;
        }
    }

    /// Records the end of a permit. Before the takeover has started, the message is ignored without
    /// an acknowledgement, so that the holder sends it again.
    pub(super) fn handle_permit_ended(
        &mut self,
        io: &mut Io<'_, '_>,
        from: &InstanceId,
        permit: PermitId,
        end: PermitEnd,
    ) {
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        takeover.record_early_end(permit);
        let message = EnginesMessage::EndAcknowledged {
            group: self.id.clone(),
            permit,
        };
        io.send(from, message);
        self.last_active_at = io.now();
        if let Some(outstanding) = self.permits.remove(&permit) {
            self.apply_end(io, &outstanding, end);
        }
    }

    /// Records what the engine of a permit reports about itself. A rest holds for all instances, as one owner
    /// grants the permits of all.
    pub(super) fn handle_target_report(
        &mut self,
        now: Time,
        permit: PermitId,
        report: TargetReport,
    ) {
        let outstanding = self.permits.get(&permit);
        let engine = outstanding.and_then(|permit| self.engines.get_mut(&permit.target));
        if let Some(engine) = engine {
            engine.record_target_report(report, now);
        }
    }

    fn apply_end(&mut self, io: &mut Io<'_, '_>, outstanding: &OutstandingPermit, end: PermitEnd) {
        let now = io.now();
        let Some(engine) = self.engines.get_mut(&outstanding.target) else {
            return;
        };
        let has_finished = end != PermitEnd::EngineFailed;
        engine.record_permit_end(&outstanding.adapter, now, has_finished);
        match end {
            PermitEnd::Used | PermitEnd::NotUsed => {}
            PermitEnd::WrongAdapter => {
                engine.record_wrong_adapter(&outstanding.adapter, outstanding.granted_at, now);
            }
            PermitEnd::EngineFailed => engine.mark_unresponsive(now),
            PermitEnd::EngineLeaving => engine.availability = Availability::Leaving,
        }
    }

    pub(super) fn handle_held_permits(
        &mut self,
        io: &Io<'_, '_>,
        holder: &MemberRef,
        revision: Revision,
        held: Vec<HeldPermit>,
    ) {
        let now = io.now();
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        if takeover.revision != revision || !takeover.record_answer(holder) {
            return;
        }
        for permit in held {
            if takeover.early_ends.contains(&permit.permit)
                || self.permits.contains_key(&permit.permit)
            {
                continue;
            }
            if let Some(engine) = self.engines.get_mut(&permit.target) {
                engine.record_grant(&permit.adapter, now);
                engine.inherited_adapters.insert(permit.adapter.clone());
            }
            let outstanding = OutstandingPermit {
                holder: holder.clone(),
                request_number: None,
                target: permit.target,
                adapter: permit.adapter,
                granted_at: now,
                is_accepted: true,
                resend_at: now,
            };
            self.permits.insert(permit.permit, outstanding);
        }
    }

    /// Does all work that is due.
    pub(super) fn advance(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        if !io.cx.ownership.may_act(now, &self.key) {
            return;
        }
        for engine in self.engines.values_mut() {
            engine.end_rest(now);
        }
        self.continue_takeover(io);
        self.queue
            .remove_expired(now - QUEUED_REQUEST_TTL, &current_members(io.cx.ownership));
        self.queue.promote_batch(now - io.cfg.max_queue_wait / 4);
        self.reject_all_if_closed(io);
        self.reassign_engines(io.cfg.placement);
        self.grant_permits(io);
        self.resend_grants(io);
        self.request_loads(io);
        self.request_due_reports(io);
        self.publish_status(io);
    }

    /// Starts or continues the takeover: queries the members that have not reported their permits.
    fn continue_takeover(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        let ownership = io.cx.ownership;
        let takeover = self
            .takeover
            .get_or_insert_with(|| Takeover::new(ownership, now));
        takeover.update(ownership, now);
        if self.orphan_reports_from.is_none() && are_past_maps_retired(ownership, now) {
            self.orphan_reports_from = Some(now + MAX_DELIVERY_DELAY + MAX_REPORT_AGE);
        }
        if takeover.unanswered.is_empty() || now < takeover.next_query_at {
            return;
        }
        takeover.next_query_at = now + RESPONSE_TIMEOUT;
        let message = EnginesMessage::QueryHeldPermits {
            group: self.id.clone(),
            revision: takeover.revision,
        };
        for member in &takeover.unanswered {
            io.send(&member.id, message.clone());
        }
    }

    /// Ends permits whose holders left the map, once a report shows that none of their requests
    /// runs.
    pub(super) fn release_orphaned_permits(
        &mut self,
        io: &Io<'_, '_>,
        target: &TargetId,
        requested_at: Time,
    ) {
        if self
            .orphan_reports_from
            .is_none_or(|from| requested_at < from)
        {
            return;
        }
        let members = current_members(io.cx.ownership);
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let now = io.now();
        self.permits.retain(|_, outstanding| {
            let is_orphaned =
                outstanding.target == *target && !members.contains(&outstanding.holder);
            if !is_orphaned || engine.reported_in_use.contains(&outstanding.adapter) {
                return true;
            }
            engine.record_permit_end(&outstanding.adapter, now, true);
            false
        });
    }

    fn reject_all_if_closed(&mut self, io: &mut Io<'_, '_>) {
        if self.queue.is_empty() || self.engines.values().any(Engine::accepts_requests) {
            return;
        }
        for queued in self.queue.drain() {
            let origin = queued.origin;
            self.reject(io, &origin.member.id, origin.number, RefusalKind::NoTarget);
        }
    }

    fn reassign_engines(&mut self, placement: Placement) {
        if placement == Placement::Affinity {
            return;
        }
        let unavailable: BTreeSet<RequestOrigin> = self
            .queue
            .iter()
            .filter(|(_, queued)| {
                let engine = queued
                    .assigned_engine
                    .as_ref()
                    .and_then(|id| self.engines.get(id));
                !engine.is_some_and(Engine::accepts_requests)
            })
            .map(|(_, queued)| queued.origin.clone())
            .collect();
        for origin in unavailable {
            if let Some(mut queued) = self.queue.remove(&origin) {
                queued.assigned_engine = self.assign_engine(placement, &queued.request);
                self.queue.push(queued);
            }
        }
    }
}
