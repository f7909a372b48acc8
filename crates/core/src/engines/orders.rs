//! Orders to engines and the handling of their outcomes.

use crate::{
    Action, AdapterId, AdapterRef, AdapterVersion, Notice, OrderId, OrderOutcome, TargetId,
    TargetOrderKind, Time,
};

use super::PermitId;
use super::engine::{Availability, FenceState};
use super::io::Io;
use super::owner::{GroupOwner, OrderPurpose, PendingOrder};
use super::slot::{Slot, SlotState};
use super::timing::{
    IDLE_REPORT_FACTOR, IDLE_THRESHOLD, LOAD_BACKOFF, MAX_DELIVERY_DELAY, MAX_REPORT_AGE,
};

/// Adapter name in the unload order that only raises an engine's fencing number. The order has
/// version 0, which no catalogue entry has.
const FENCE_ADAPTER: &str = "bluebellstage-fence";

/// Factor by which an adapter's backoff on an engine after a failed load exceeds the engine's own.
const ADAPTER_BACKOFF_FACTOR: u32 = 8;

impl GroupOwner {
    pub(super) fn order_load(
        &mut self,
        io: &mut Io<'_, '_>,
        target: &TargetId,
        adapter: AdapterRef,
        permit: PermitId,
    ) {
        let now = io.now();
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let slot = Slot::new(SlotState::Loading, now);
        engine.slots.insert(adapter.clone(), slot);
        let id = io.send_order(engine, TargetOrderKind::Load(adapter.clone()));
        let notice = Notice::LoadOrdered(target.clone(), adapter.clone());
        io.cx.out.push(Action::Notice(notice));
        self.track_order(id, target, now, OrderPurpose::Load { adapter, permit });
    }

    pub(super) fn order_unload(
        &mut self,
        io: &mut Io<'_, '_>,
        target: &TargetId,
        adapter: AdapterRef,
    ) {
        let now = io.now();
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        if let Some(slot) = engine.slots.get_mut(&adapter) {
            slot.set_state(SlotState::Unloading, now);
        }
        let id = io.send_order(engine, TargetOrderKind::Unload(adapter.clone()));
        let notice = Notice::Evicted(target.clone(), adapter.clone());
        io.cx.out.push(Action::Notice(notice));
        self.track_order(id, target, now, OrderPurpose::Unload { adapter });
    }

    fn track_order(&mut self, id: OrderId, target: &TargetId, now: Time, purpose: OrderPurpose) {
        let order = PendingOrder {
            target: target.clone(),
            sent_at: now,
            purpose,
        };
        self.orders.insert(id, order);
    }

    /// Handles the outcome of an order of this owner.
    pub(super) fn order_ended(&mut self, io: &mut Io<'_, '_>, id: OrderId, outcome: OrderOutcome) {
        let Some(order) = self.orders.remove(&id) else {
            return;
        };
        if outcome == OrderOutcome::Fenced {
            let notice = Notice::OrderFenced(order.target.clone());
            io.cx.out.push(Action::Notice(notice));
        }
        match order.purpose {
            OrderPurpose::Report => self.report_ended(io, &order.target, order.sent_at, outcome),
            OrderPurpose::Fence => self.fence_ended(&order.target, &outcome),
            OrderPurpose::Load { adapter, permit } => {
                self.load_ended(io, &order.target, adapter, &outcome);
                self.release_load_permit(io, permit, true);
            }
            OrderPurpose::Unload { adapter } => {
                self.unload_ended(io, &order.target, &adapter, &outcome);
            }
        }
    }

    fn report_ended(
        &mut self,
        io: &mut Io<'_, '_>,
        target: &TargetId,
        requested_at: Time,
        outcome: OrderOutcome,
    ) {
        let now = io.now();
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        engine.report_order = None;
        let OrderOutcome::Reported(report) = outcome else {
            engine.record_missed_report();
            return;
        };
        if engine.apply_report(&report, requested_at, now) {
            let notice = Notice::EngineRestarted(target.clone());
            io.cx.out.push(Action::Notice(notice));
        }
        self.release_orphaned_permits(io, target, requested_at);
    }

    fn fence_ended(&mut self, target: &TargetId, outcome: &OrderOutcome) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.fence = match outcome {
                OrderOutcome::Done | OrderOutcome::Failed => FenceState::Confirmed,
                _ => FenceState::NotSent,
            };
        }
    }

    fn load_ended(
        &mut self,
        io: &mut Io<'_, '_>,
        target: &TargetId,
        adapter: AdapterRef,
        outcome: &OrderOutcome,
    ) {
        let now = io.now();
        let is_done = *outcome == OrderOutcome::Done;
        let notice = Notice::LoadEnded(target.clone(), adapter.clone(), is_done);
        io.cx.out.push(Action::Notice(notice));
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        engine.next_report_at = now;
        match outcome {
            OrderOutcome::Done => engine.record_load(&adapter, now),
            OrderOutcome::Unknown => engine.mark_uncertain(&adapter, now + MAX_DELIVERY_DELAY, now),
            OrderOutcome::Failed | OrderOutcome::Fenced | OrderOutcome::Reported(_) => {
                let adapter_retry_at = now + LOAD_BACKOFF * ADAPTER_BACKOFF_FACTOR;
                engine.record_load_failure(adapter, now + LOAD_BACKOFF, adapter_retry_at);
            }
        }
    }

    fn unload_ended(
        &mut self,
        io: &mut Io<'_, '_>,
        target: &TargetId,
        adapter: &AdapterRef,
        outcome: &OrderOutcome,
    ) {
        let now = io.now();
        if let Some(engine) = self.engines.get_mut(target) {
            match outcome {
                OrderOutcome::Done => engine.record_unload(adapter, now),
                _ => engine.mark_uncertain(adapter, now + MAX_DELIVERY_DELAY + MAX_REPORT_AGE, now),
            }
        }
        let Some((next_adapter, permit)) = self.loading.planned_loads.remove(target) else {
            return;
        };
        let is_in_time = self
            .loading
            .held_permits
            .get(&permit)
            .is_some_and(|use_before| now < *use_before);
        let may_act = io.cx.ownership.may_act(now, &self.key);
        if *outcome == OrderOutcome::Done && is_in_time && may_act {
            self.order_load(io, target, next_adapter, permit);
        } else {
            self.release_load_permit(io, permit, false);
        }
    }

    /// Requests the engine reports that are due, and raises the engines' fencing numbers after a
    /// takeover.
    pub(super) fn request_due_reports(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        let is_idle = self.last_active_at + IDLE_THRESHOLD < now;
        let factor = if is_idle { IDLE_REPORT_FACTOR } else { 1 };
        let interval = io.cfg.report_interval * factor;
        let due: Vec<TargetId> = self
            .engines
            .values()
            .filter(|engine| {
                engine.availability != Availability::Unlisted && engine.report_order.is_none()
            })
            .filter(|engine| now >= engine.next_report_at)
            .map(|engine| engine.id.clone())
            .collect();
        for target in due {
            self.request_report(io, &target, now + interval);
        }
        let unfenced: Vec<TargetId> = self
            .engines
            .values()
            .filter(|engine| engine.accepts_requests() && engine.checks_fencing)
            .filter(|engine| engine.fence == FenceState::NotSent)
            .map(|engine| engine.id.clone())
            .collect();
        for target in unfenced {
            self.send_fence_order(io, &target);
        }
    }

    fn request_report(&mut self, io: &mut Io<'_, '_>, target: &TargetId, next_report_at: Time) {
        let now = io.now();
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let id = io.send_order(engine, TargetOrderKind::Report);
        engine.report_order = Some(id);
        engine.next_report_at = next_report_at;
        self.track_order(id, target, now, OrderPurpose::Report);
    }

    fn send_fence_order(&mut self, io: &mut Io<'_, '_>, target: &TargetId) {
        let now = io.now();
        let Ok(name) = AdapterId::try_from(FENCE_ADAPTER) else {
            return;
        };
        let fence_adapter = AdapterRef {
            id: name,
            version: AdapterVersion(0),
        };
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let id = io.send_order(engine, TargetOrderKind::Unload(fence_adapter));
        engine.fence = FenceState::Sent(id);
        self.track_order(id, target, now, OrderPurpose::Fence);
    }
}
