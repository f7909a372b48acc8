//! Orders to engines and what becomes of them.

use crate::{
    Action, AdapterId, AdapterRef, AdapterVersion, Notice, OrderId, OrderOutcome, TargetId,
    TargetOrderKind, Time,
};

use super::PermitRef;
use super::engine::{Fence, Presence};
use super::home::{GroupHome, OrderPurpose, PendingOrder};
use super::io::Io;
use super::slot::{Slot, SlotState};
use super::timing::{FLIGHT, IDLE_AFTER, IDLE_REPORT_FACTOR, LOAD_BACKOFF, REPORT_LAG};

/// Name in the order that only raises an engine's fencing number; no catalogue entry has version 0.
const FENCE_ADAPTER: &str = "bluebellstage-fence";

/// How many times longer than the engine an adapter whose load failed there stays away from it.
const ADAPTER_BACKOFF_FACTOR: u32 = 8;

impl GroupHome {
    pub(super) fn order_load(
        &mut self,
        io: &mut Io<'_, '_>,
        target: &TargetId,
        adapter: AdapterRef,
        permit: PermitRef,
    ) {
        let now = io.now();
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let slot = Slot::new(SlotState::Loading, now);
        engine.slots.insert(adapter.clone(), slot);
        let id = io.order(engine, TargetOrderKind::Load(adapter.clone()));
        let notice = Notice::LoadOrdered(target.clone(), adapter.clone());
        io.cx.out.push(Action::Notice(notice));
        self.note_order(id, target, now, OrderPurpose::Load { adapter, permit });
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
            slot.set(SlotState::Unloading, now);
        }
        let id = io.order(engine, TargetOrderKind::Unload(adapter.clone()));
        let notice = Notice::Evicted(target.clone(), adapter.clone());
        io.cx.out.push(Action::Notice(notice));
        self.note_order(id, target, now, OrderPurpose::Unload { adapter });
    }

    fn note_order(&mut self, id: OrderId, target: &TargetId, now: Time, purpose: OrderPurpose) {
        let order = PendingOrder {
            target: target.clone(),
            sent: now,
            purpose,
        };
        self.orders.insert(id, order);
    }

    /// An order of this home ended.
    pub(super) fn order_ended(&mut self, io: &mut Io<'_, '_>, id: OrderId, outcome: OrderOutcome) {
        let Some(order) = self.orders.remove(&id) else {
            return;
        };
        if outcome == OrderOutcome::Fenced {
            let notice = Notice::OrderFenced(order.target.clone());
            io.cx.out.push(Action::Notice(notice));
        }
        match order.purpose {
            OrderPurpose::Report => self.report_ended(io, &order.target, order.sent, outcome),
            OrderPurpose::Fence => self.fence_ended(&order.target, &outcome),
            OrderPurpose::Load { adapter, permit } => {
                self.load_ended(io, &order.target, adapter, &outcome);
                self.hand_back(io, permit, true);
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
        asked: Time,
        outcome: OrderOutcome,
    ) {
        let now = io.now();
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        engine.report_order = None;
        let OrderOutcome::Reported(report) = outcome else {
            engine.report_missed();
            return;
        };
        if engine.report(&report, asked, now) {
            let notice = Notice::EngineRestarted(target.clone());
            io.cx.out.push(Action::Notice(notice));
        }
        self.end_orphans(io, target, asked);
    }

    fn fence_ended(&mut self, target: &TargetId, outcome: &OrderOutcome) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.fence = match outcome {
                OrderOutcome::Done | OrderOutcome::Failed => Fence::Raised,
                _ => Fence::Unsent,
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
        let done = *outcome == OrderOutcome::Done;
        let notice = Notice::LoadEnded(target.clone(), adapter.clone(), done);
        io.cx.out.push(Action::Notice(notice));
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        engine.next_report = now;
        match outcome {
            OrderOutcome::Done => engine.load_done(&adapter, now),
            OrderOutcome::Unknown => engine.doubt(&adapter, now + FLIGHT, now),
            OrderOutcome::Failed | OrderOutcome::Fenced | OrderOutcome::Reported(_) => {
                let again = now + LOAD_BACKOFF * ADAPTER_BACKOFF_FACTOR;
                engine.load_failed(adapter, now + LOAD_BACKOFF, again);
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
                OrderOutcome::Done => engine.unload_done(adapter, now),
                _ => engine.doubt(adapter, now + FLIGHT + REPORT_LAG, now),
            }
        }
        let Some((next, permit)) = self.loading.planned.remove(target) else {
            return;
        };
        let in_time = self.loading.held.get(&permit).is_some_and(|it| now < *it);
        let acts = io.cx.own.may_act(now, &self.key);
        if *outcome == OrderOutcome::Done && in_time && acts {
            self.order_load(io, target, next, permit);
        } else {
            self.hand_back(io, permit, false);
        }
    }

    /// Asks engines for the reports that are due, and raises their fencing numbers after a
    /// takeover.
    pub(super) fn ask_reports(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        let idle = self.active_at + IDLE_AFTER < now;
        let factor = if idle { IDLE_REPORT_FACTOR } else { 1 };
        let interval = io.cfg.report_interval * factor;
        let due: Vec<TargetId> = self
            .engines
            .values()
            .filter(|engine| engine.presence != Presence::Unlisted && engine.report_order.is_none())
            .filter(|engine| now >= engine.next_report)
            .map(|engine| engine.id.clone())
            .collect();
        for target in due {
            self.ask_report(io, &target, now + interval);
        }
        let unfenced: Vec<TargetId> = self
            .engines
            .values()
            .filter(|engine| engine.is_open() && engine.checks_fencing)
            .filter(|engine| engine.fence == Fence::Unsent)
            .map(|engine| engine.id.clone())
            .collect();
        for target in unfenced {
            self.raise_fence(io, &target);
        }
    }

    fn ask_report(&mut self, io: &mut Io<'_, '_>, target: &TargetId, next: Time) {
        let now = io.now();
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let id = io.order(engine, TargetOrderKind::Report);
        engine.report_order = Some(id);
        engine.next_report = next;
        self.note_order(id, target, now, OrderPurpose::Report);
    }

    fn raise_fence(&mut self, io: &mut Io<'_, '_>, target: &TargetId) {
        let now = io.now();
        let Ok(name) = AdapterId::try_from(FENCE_ADAPTER) else {
            return;
        };
        let nothing = AdapterRef {
            id: name,
            version: AdapterVersion(0),
        };
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let id = io.order(engine, TargetOrderKind::Unload(nothing));
        engine.fence = Fence::Sent(id);
        self.note_order(id, target, now, OrderPurpose::Fence);
    }
}
