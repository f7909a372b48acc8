//! The state of one engine, as known to its group's owner.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::{AdapterRef, EngineReport, OrderId, SoftwareVersion, TargetId, TargetReport, Time};

use super::slot::{Slot, SlotState};
use super::targets::ListedEngine;
use super::timing::MAX_REPORT_AGE;

/// Number of consecutive missing reports after which an engine counts as down.
const MISSED_REPORTS_THRESHOLD: u32 = 2;

/// Whether an engine knows the fencing number of its group's current owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FenceState {
    /// No order with the number has been sent.
    NotSent,
    /// An order with the number has been sent.
    Sent(OrderId),
    /// The engine responded to an order with the number, so it refuses a former owner's orders.
    Confirmed,
}

/// Whether an engine takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Availability {
    /// The engine takes new requests.
    Active,
    /// The engine only finishes the requests that it has.
    Leaving,
    /// The engine is no longer in the platform's list.
    Unlisted,
}

impl Availability {
    const fn of(listed: &ListedEngine) -> Self {
        if listed.leaving {
            Self::Leaving
        } else {
            Self::Active
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
    pub(super) software: SoftwareVersion,
    pub(super) availability: Availability,
    pub(super) slots: BTreeMap<AdapterRef, Slot>,
    /// Outstanding permits by adapter; kept apart from the slots, which a restart empties.
    permits_by_adapter: BTreeMap<AdapterRef, u32>,
    permits: u32,
    /// Requests in the engine that belong to no known permit.
    pub(super) untracked_requests: u32,
    pub(super) fence: FenceState,
    /// Whether a report has been applied under this owner.
    pub(super) has_report: bool,
    /// Adapters for which a permit of a former owner was outstanding at the takeover.
    pub(super) inherited_adapters: BTreeSet<AdapterRef>,
    /// Adapters in use according to the newest report.
    pub(super) reported_in_use: BTreeSet<AdapterRef>,
    boot: u64,
    /// The boot before the last restart; a delayed report may still carry it.
    previous_boot: Option<u64>,
    missed_reports: u32,
    /// The engine asked for rest until then; `None` once that is over.
    rest_until: Option<Time>,
    pub(super) report_order: Option<OrderId>,
    pub(super) next_report_at: Time,
    last_report_requested_at: Time,
    /// No load is ordered before this time, as one has failed.
    pub(super) loads_allowed_from: Time,
    /// Adapters whose load failed, with the time of the next attempt.
    load_retry_at: BTreeMap<AdapterRef, Time>,
    unloaded_at: BTreeMap<AdapterRef, Time>,
}

impl Engine {
    pub(super) fn new(id: TargetId, listed: &ListedEngine, now: Time) -> Self {
        Self {
            id,
            address: listed.address,
            slots_total: listed.slots,
            max_batch: listed.max_batch,
            checks_fencing: listed.checks_fencing,
            software: listed.software.clone(),
            availability: Availability::of(listed),
            slots: BTreeMap::new(),
            permits_by_adapter: BTreeMap::new(),
            permits: 0,
            untracked_requests: 0,
            fence: FenceState::NotSent,
            has_report: false,
            inherited_adapters: BTreeSet::new(),
            reported_in_use: BTreeSet::new(),
            boot: 0,
            previous_boot: None,
            missed_reports: 0,
            rest_until: None,
            report_order: None,
            next_report_at: now,
            last_report_requested_at: Time(0),
            loads_allowed_from: now,
            load_retry_at: BTreeMap::new(),
            unloaded_at: BTreeMap::new(),
        }
    }

    pub(super) fn update(&mut self, listed: &ListedEngine) {
        self.address = listed.address;
        self.slots_total = listed.slots;
        self.max_batch = listed.max_batch;
        self.checks_fencing = listed.checks_fencing;
        self.software.clone_from(&listed.software);
        if self.availability != Availability::Leaving {
            self.availability = Availability::of(listed);
        }
    }

    /// Records what the engine reports about itself in a response. The longest rest holds.
    pub(super) fn record_target_report(&mut self, report: TargetReport, now: Time) {
        if report.is_leaving {
            self.availability = Availability::Leaving;
        }
        let until = now + report.bounded_rest();
        if until > now {
            self.rest_until = self.rest_until.max(Some(until));
        }
    }

    /// Ends the engine's rest if it is over.
    pub(super) fn end_rest(&mut self, now: Time) {
        self.rest_until = self.rest_until.filter(|until| now < *until);
    }

    /// Whether the engine takes new requests: it is not leaving, does not rest, and its reports arrive.
    pub(super) const fn accepts_requests(&self) -> bool {
        matches!(self.availability, Availability::Active)
            && self.rest_until.is_none()
            && self.missed_reports < MISSED_REPORTS_THRESHOLD
    }

    pub(super) const fn permits(&self) -> u32 {
        self.permits
    }

    pub(super) fn permits_for(&self, adapter: &AdapterRef) -> u32 {
        self.permits_by_adapter
            .get(adapter)
            .copied()
            .unwrap_or_default()
    }

    pub(super) fn record_grant(&mut self, adapter: &AdapterRef, now: Time) {
        self.permits += 1;
        *self.permits_by_adapter.entry(adapter.clone()).or_default() += 1;
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.record_grant(now);
        }
    }

    /// Records the end of a permit; `has_finished` means that its request can no longer run in the
    /// engine.
    pub(super) fn record_permit_end(
        &mut self,
        adapter: &AdapterRef,
        now: Time,
        has_finished: bool,
    ) {
        self.permits = self.permits.saturating_sub(1);
        if let Some(permits) = self.permits_by_adapter.get_mut(adapter) {
            *permits -= 1;
            if *permits == 0 {
                self.permits_by_adapter.remove(adapter);
            }
        }
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.record_permit_end(now, has_finished);
        }
    }

    pub(super) const fn free_batch_slots(&self) -> u32 {
        self.max_batch
            .saturating_sub(self.permits + self.untracked_requests)
    }

    pub(super) fn free_slots(&self) -> u32 {
        let taken = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        self.slots_total.saturating_sub(taken)
    }

    pub(super) fn is_loading(&self) -> bool {
        let mut slots = self.slots.values();
        slots.any(|slot| slot.state == SlotState::Loading)
    }

    pub(super) fn has_resident(&self, adapter: &AdapterRef) -> bool {
        self.slots.get(adapter).is_some_and(Slot::is_resident)
    }

    /// Whether a load of the adapter may be ordered now.
    pub(super) fn can_load(&self, adapter: &AdapterRef, now: Time) -> bool {
        let is_backing_off = self
            .load_retry_at
            .get(adapter)
            .is_some_and(|until| now < *until);
        self.accepts_requests()
            && self.has_report
            && !self.is_loading()
            && now >= self.loads_allowed_from
            && !is_backing_off
            && !self.slots.contains_key(adapter)
    }

    pub(super) fn record_load_failure(
        &mut self,
        adapter: AdapterRef,
        engine_retry_at: Time,
        adapter_retry_at: Time,
    ) {
        self.slots.remove(&adapter);
        self.loads_allowed_from = engine_retry_at;
        self.load_retry_at.insert(adapter, adapter_retry_at);
    }

    pub(super) fn record_load(&mut self, adapter: &AdapterRef, now: Time) {
        self.load_retry_at.remove(adapter);
        self.unloaded_at.remove(adapter);
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.set_state(SlotState::Resident, now);
        }
    }

    pub(super) fn record_unload(&mut self, adapter: &AdapterRef, now: Time) {
        self.slots.remove(adapter);
        self.unloaded_at.insert(adapter.clone(), now);
    }

    /// Marks the outcome of an order as unknown until a report that was requested at or after
    /// `from`.
    pub(super) fn mark_uncertain(&mut self, adapter: &AdapterRef, from: Time, now: Time) {
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.set_state(SlotState::Uncertain(from), now);
        }
    }

    pub(super) const fn record_missed_report(&mut self) {
        self.missed_reports += 1;
    }

    /// Withholds new requests after a failed one, until a report shows that the engine is alive.
    pub(super) fn mark_unresponsive(&mut self, now: Time) {
        self.missed_reports = self.missed_reports.max(MISSED_REPORTS_THRESHOLD);
        self.next_report_at = now;
    }

    /// Records that the engine did not hold an adapter for which a permit was granted at
    /// `granted_at`.
    pub(super) fn record_wrong_adapter(
        &mut self,
        adapter: &AdapterRef,
        granted_at: Time,
        now: Time,
    ) {
        self.next_report_at = now;
        if let Some(slot) = self.slots.get_mut(adapter)
            && slot.is_resident()
            && slot.state_since <= granted_at
        {
            slot.set_state(SlotState::Uncertain(now + MAX_REPORT_AGE), now);
        }
    }

    /// Applies a report requested at `requested_at`; returns true if the engine has restarted.
    pub(super) fn apply_report(
        &mut self,
        report: &EngineReport,
        requested_at: Time,
        now: Time,
    ) -> bool {
        self.missed_reports = 0;
        if self.has_report
            && (requested_at < self.last_report_requested_at
                || self.previous_boot == Some(report.boot))
        {
            return false;
        }
        self.last_report_requested_at = requested_at;
        let has_restarted = self.has_report && report.boot != self.boot;
        if has_restarted {
            self.previous_boot = Some(self.boot);
            self.slots.clear();
            self.unloaded_at.clear();
            self.fence = FenceState::NotSent;
            self.availability = Availability::Active;
            self.rest_until = None;
        }
        self.boot = report.boot;
        self.has_report = true;
        self.reported_in_use.clone_from(&report.in_use);
        if report.leaving {
            self.availability = Availability::Leaving;
        }
        self.remove_absent(report, requested_at, has_restarted);
        self.add_reported(report, requested_at, now);
        for (adapter, slot) in &mut self.slots {
            slot.record_report(requested_at, report.in_use.contains(adapter));
        }
        self.unloaded_at
            .retain(|_, at| now < *at + MAX_REPORT_AGE * 2);
        self.load_retry_at.retain(|_, until| now < *until);
        has_restarted
    }

    /// Removes slots that the report shows empty, unless the report may be older than their load.
    fn remove_absent(&mut self, report: &EngineReport, requested_at: Time, has_restarted: bool) {
        self.slots.retain(|adapter, slot| {
            if report.resident.contains(adapter) {
                return true;
            }
            match slot.state {
                SlotState::Loading | SlotState::Unloading => !has_restarted,
                SlotState::Uncertain(from) => requested_at < from,
                SlotState::Resident => {
                    !has_restarted && requested_at < slot.state_since + MAX_REPORT_AGE
                }
            }
        });
    }

    /// Adds slots that the report shows occupied, unless the report may be older than their unload.
    fn add_reported(&mut self, report: &EngineReport, requested_at: Time, now: Time) {
        for adapter in &report.resident {
            let is_stale = self
                .unloaded_at
                .get(adapter)
                .is_some_and(|at| requested_at < *at + MAX_REPORT_AGE);
            match self.slots.get_mut(adapter) {
                Some(slot) => {
                    if let SlotState::Uncertain(from) = slot.state
                        && requested_at >= from
                    {
                        slot.set_state(SlotState::Resident, now);
                    }
                }
                None if is_stale => {}
                None => {
                    let slot = Slot::new(SlotState::Resident, now);
                    self.slots.insert(adapter.clone(), slot);
                }
            }
        }
    }
}
