//! An instance's view of a group, from the responses of the group's owner.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::{AdapterRef, Time};

use super::message::{GroupStatus, Residency};

/// Assumed seconds for which a request holds its batch slot.
const BATCH_SLOT_HOLD_SECONDS: u32 = 4;

/// Bounds of the retry delay sent to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// The last received state of a group.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupView {
    status: Option<GroupStatus>,
    resident: BTreeSet<AdapterRef>,
    /// Requests sent to the group since its last status.
    sent_since_status: u32,
    /// No requests are sent before this time, as the group's owner did not respond or rejected one.
    pub(super) avoid_until: Time,
}

impl GroupView {
    pub(super) fn record_status(&mut self, status: GroupStatus) {
        self.status = Some(status);
        self.sent_since_status = 0;
        self.avoid_until = Time(0);
    }

    pub(super) fn apply_residency(&mut self, residency: Residency) {
        if residency.is_complete {
            self.resident.clear();
        }
        self.resident.extend(residency.added);
        for adapter in residency.removed {
            self.resident.remove(&adapter);
        }
    }

    pub(super) fn record_sent(&mut self) {
        self.sent_since_status = self.sent_since_status.saturating_add(1);
    }

    pub(super) fn record_grant(&mut self, adapter: &AdapterRef) {
        if !self.resident.contains(adapter) {
            self.resident.insert(adapter.clone());
        }
    }

    pub(super) fn remove_resident(&mut self, adapter: &AdapterRef) {
        self.resident.remove(adapter);
    }

    pub(super) fn has_resident(&self, adapter: &AdapterRef) -> bool {
        self.resident.contains(adapter)
    }

    /// Whether the group could load another adapter without an eviction, as far as is known.
    pub(super) fn has_free_slots(&self) -> bool {
        self.status.is_none_or(|status| status.free_slots > 0)
    }

    /// Returns the estimated time until the store and the engines have served the requests that
    /// wait now.
    pub(super) fn retry_after(&self, loads_per_second: u32) -> Duration {
        let status = self.status.unwrap_or_default();
        let load_time = Duration::from_secs(1) * status.waiting_for_load / loads_per_second.max(1);
        let batch_slot_time =
            Duration::from_secs(1) * status.waiting_for_batch_slot / status.batch_slots.max(1);
        (load_time + batch_slot_time * BATCH_SLOT_HOLD_SECONDS)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the requests that run, wait for a batch slot or were just sent, in thousandths of
    /// the group's batch slots. Requests that wait for a load are not counted, as they load the
    /// store and not the engines.
    pub(super) fn utilization_permille(&self, listed_batch_slots: u32) -> u64 {
        let status = self.status.unwrap_or_default();
        let batch_slots = match status.batch_slots {
            0 => listed_batch_slots.max(1),
            known => known,
        };
        let total = status.waiting_for_batch_slot + status.running + self.sent_since_status;
        u64::from(total) * 1_000 / u64::from(batch_slots)
    }
}
