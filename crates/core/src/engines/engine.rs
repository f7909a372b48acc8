//! One engine, as its group's home believes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::{AdapterRef, EngineReport, OrderId, TargetId, Time};

use super::slot::{Slot, SlotState};
use super::targets::ListedEngine;
use super::timing::REPORT_LAG;

/// Reports in a row that must stay out before an engine counts as down.
const MISSED_REPORTS: u32 = 2;

/// How far a new home has raised the fencing number that the engine knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fence {
    /// Not yet.
    Unsent,
    /// An order is on its way.
    Sent(OrderId),
    /// The engine answered an order with it: it refuses a former home's orders.
    Raised,
}

/// Whether an engine is there to stay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Presence {
    /// It takes work.
    Staying,
    /// It finishes what it has.
    Leaving,
    /// The list no longer shows it.
    Unlisted,
}

impl Presence {
    const fn of(listed: &ListedEngine) -> Self {
        if listed.leaving {
            Self::Leaving
        } else {
            Self::Staying
        }
    }
}

/// An engine of a group.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) id: TargetId,
    pub(super) address: SocketAddr,
    pub(super) slots_total: u32,
    pub(super) max_batch: u32,
    pub(super) checks_fencing: bool,
    pub(super) presence: Presence,
    pub(super) slots: BTreeMap<AdapterRef, Slot>,
    /// Permits outstanding, by adapter; kept apart from the slots, which a restart empties.
    uses: BTreeMap<AdapterRef, u32>,
    permits: u32,
    /// Requests inside that no known permit accounts for.
    pub(super) strangers: u32,
    pub(super) fence: Fence,
    /// A report was applied under this home.
    pub(super) known: bool,
    /// Adapters for which a permit of a former home was out at the takeover.
    pub(super) inherited: BTreeSet<AdapterRef>,
    /// Adapters that the newest report shows in use.
    pub(super) reported_use: BTreeSet<AdapterRef>,
    boot: u64,
    /// The boot before the last restart: a late report may still speak of it.
    former_boot: Option<u64>,
    missed: u32,
    pub(super) report_order: Option<OrderId>,
    pub(super) next_report: Time,
    report_asked: Time,
    /// No load before this time: one failed.
    pub(super) load_from: Time,
    failed_loads: BTreeMap<AdapterRef, Time>,
    unloaded: BTreeMap<AdapterRef, Time>,
}

impl Engine {
    pub(super) const fn new(id: TargetId, listed: &ListedEngine, now: Time) -> Self {
        Self {
            id,
            address: listed.address,
            slots_total: listed.slots,
            max_batch: listed.max_batch,
            checks_fencing: listed.checks_fencing,
            presence: Presence::of(listed),
            slots: BTreeMap::new(),
            uses: BTreeMap::new(),
            permits: 0,
            strangers: 0,
            fence: Fence::Unsent,
            known: false,
            inherited: BTreeSet::new(),
            reported_use: BTreeSet::new(),
            boot: 0,
            former_boot: None,
            missed: 0,
            report_order: None,
            next_report: now,
            report_asked: Time(0),
            load_from: now,
            failed_loads: BTreeMap::new(),
            unloaded: BTreeMap::new(),
        }
    }

    pub(super) fn update(&mut self, listed: &ListedEngine) {
        self.address = listed.address;
        self.slots_total = listed.slots;
        self.max_batch = listed.max_batch;
        self.checks_fencing = listed.checks_fencing;
        if self.presence != Presence::Leaving {
            self.presence = Presence::of(listed);
        }
    }

    /// Whether it takes new work.
    pub(super) const fn is_open(&self) -> bool {
        matches!(self.presence, Presence::Staying) && self.missed < MISSED_REPORTS
    }

    pub(super) const fn permits(&self) -> u32 {
        self.permits
    }

    pub(super) fn uses(&self, adapter: &AdapterRef) -> u32 {
        self.uses.get(adapter).copied().unwrap_or_default()
    }

    pub(super) fn permit_out(&mut self, adapter: &AdapterRef, now: Time) {
        self.permits += 1;
        *self.uses.entry(adapter.clone()).or_default() += 1;
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.granted(now);
        }
    }

    /// A permit ended; `settled` tells that nothing of it can still run inside the engine.
    pub(super) fn permit_back(&mut self, adapter: &AdapterRef, now: Time, settled: bool) {
        self.permits = self.permits.saturating_sub(1);
        if let Some(uses) = self.uses.get_mut(adapter) {
            *uses -= 1;
            if *uses == 0 {
                self.uses.remove(adapter);
            }
        }
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.ended(now, settled);
        }
    }

    pub(super) const fn free_places(&self) -> u32 {
        self.max_batch.saturating_sub(self.permits + self.strangers)
    }

    pub(super) fn free_slots(&self) -> u32 {
        let taken = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        self.slots_total.saturating_sub(taken)
    }

    pub(super) fn is_loading(&self) -> bool {
        let mut slots = self.slots.values();
        slots.any(|slot| slot.state == SlotState::Loading)
    }

    pub(super) fn holds(&self, adapter: &AdapterRef) -> bool {
        self.slots.get(adapter).is_some_and(Slot::is_resident)
    }

    /// Whether a load of the adapter may be tried here now.
    pub(super) fn may_load(&self, adapter: &AdapterRef, now: Time) -> bool {
        let backs_off = self
            .failed_loads
            .get(adapter)
            .is_some_and(|until| now < *until);
        self.is_open()
            && self.known
            && !self.is_loading()
            && now >= self.load_from
            && !backs_off
            && !self.slots.contains_key(adapter)
    }

    pub(super) fn load_failed(&mut self, adapter: AdapterRef, engine: Time, again: Time) {
        self.slots.remove(&adapter);
        self.load_from = engine;
        self.failed_loads.insert(adapter, again);
    }

    pub(super) fn load_done(&mut self, adapter: &AdapterRef, now: Time) {
        self.failed_loads.remove(adapter);
        self.unloaded.remove(adapter);
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.set(SlotState::Resident, now);
        }
    }

    pub(super) fn unload_done(&mut self, adapter: &AdapterRef, now: Time) {
        self.slots.remove(adapter);
        self.unloaded.insert(adapter.clone(), now);
    }

    /// An order's outcome is unknown; a report asked at or after `from` tells.
    pub(super) fn doubt(&mut self, adapter: &AdapterRef, from: Time, now: Time) {
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.set(SlotState::Doubtful(from), now);
        }
    }

    /// A report stayed out.
    pub(super) const fn report_missed(&mut self) {
        self.missed += 1;
    }

    /// A request failed here: no new work before a report shows the engine alive.
    pub(super) fn suspect(&mut self, now: Time) {
        self.missed = self.missed.max(MISSED_REPORTS);
        self.next_report = now;
    }

    /// The engine says that it does not hold an adapter for which a permit was granted at `granted`.
    pub(super) fn doubt_slot(&mut self, adapter: &AdapterRef, granted: Time, now: Time) {
        self.next_report = now;
        if let Some(slot) = self.slots.get_mut(adapter)
            && slot.is_resident()
            && slot.since <= granted
        {
            slot.set(SlotState::Doubtful(now + REPORT_LAG), now);
        }
    }

    /// Takes a report asked at `asked`; true if the engine restarted.
    pub(super) fn report(&mut self, report: &EngineReport, asked: Time, now: Time) -> bool {
        self.missed = 0;
        if self.known && (asked < self.report_asked || self.former_boot == Some(report.boot)) {
            return false;
        }
        self.report_asked = asked;
        let restarted = self.known && report.boot != self.boot;
        if restarted {
            self.former_boot = Some(self.boot);
            self.slots.clear();
            self.unloaded.clear();
            self.fence = Fence::Unsent;
            self.presence = Presence::Staying;
        }
        self.boot = report.boot;
        self.known = true;
        self.reported_use.clone_from(&report.in_use);
        if report.leaving {
            self.presence = Presence::Leaving;
        }
        self.drop_absent(report, asked, restarted);
        self.add_present(report, asked, now);
        for (adapter, slot) in &mut self.slots {
            slot.reported(asked, report.in_use.contains(adapter));
        }
        self.unloaded.retain(|_, at| now < *at + REPORT_LAG * 2);
        self.failed_loads.retain(|_, until| now < *until);
        restarted
    }

    /// Forgets slots that the report shows empty, unless it may be older than their filling.
    fn drop_absent(&mut self, report: &EngineReport, asked: Time, restarted: bool) {
        self.slots.retain(|adapter, slot| {
            if report.resident.contains(adapter) {
                return true;
            }
            match slot.state {
                SlotState::Loading | SlotState::Unloading => !restarted,
                SlotState::Doubtful(from) => asked < from,
                SlotState::Resident => !restarted && asked < slot.since + REPORT_LAG,
            }
        });
    }

    /// Learns of slots that others filled, unless the report may be older than their emptying.
    fn add_present(&mut self, report: &EngineReport, asked: Time, now: Time) {
        for adapter in &report.resident {
            let stale = self
                .unloaded
                .get(adapter)
                .is_some_and(|at| asked < *at + REPORT_LAG);
            match self.slots.get_mut(adapter) {
                Some(slot) => {
                    if let SlotState::Doubtful(from) = slot.state
                        && asked >= from
                    {
                        slot.set(SlotState::Resident, now);
                    }
                }
                None if stale => {}
                None => {
                    let slot = Slot::new(SlotState::Resident, now);
                    self.slots.insert(adapter.clone(), slot);
                }
            }
        }
    }
}
