//! What an instance knows of a group from its home's answers.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::{AdapterRef, Time};

use super::message::{GroupStatus, Residency};

/// Seconds that a request is taken to hold its place.
const SECONDS_PER_TURN: u32 = 4;

/// Bounds of what a refused caller is told.
const LEAST_RETRY: Duration = Duration::from_secs(1);
const MOST_RETRY: Duration = Duration::from_mins(1);

/// A group as last heard of.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupView {
    status: Option<GroupStatus>,
    resident: BTreeSet<AdapterRef>,
    /// Asks sent there since.
    sent: u32,
    /// No asks before this time: its home did not answer or turned one away.
    pub(super) avoid_until: Time,
}

impl GroupView {
    pub(super) fn heard(&mut self, status: GroupStatus) {
        self.status = Some(status);
        self.sent = 0;
        self.avoid_until = Time(0);
    }

    pub(super) fn holds_now(&mut self, residency: Residency) {
        if residency.whole {
            self.resident.clear();
        }
        self.resident.extend(residency.came);
        for adapter in residency.gone {
            self.resident.remove(&adapter);
        }
    }

    pub(super) fn sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    pub(super) fn let_in(&mut self, adapter: &AdapterRef) {
        if !self.resident.contains(adapter) {
            self.resident.insert(adapter.clone());
        }
    }

    pub(super) fn lacks(&mut self, adapter: &AdapterRef) {
        self.resident.remove(adapter);
    }

    pub(super) fn holds(&self, adapter: &AdapterRef) -> bool {
        self.resident.contains(adapter)
    }

    /// Whether the group could load another adapter without an eviction, as far as is known.
    pub(super) fn has_free_slots(&self) -> bool {
        self.status.is_none_or(|status| status.free_slots > 0)
    }

    /// When asking again may help: once the store and the engines can have served what waits now.
    pub(super) fn retry_after(&self, loads_per_second: u32) -> Duration {
        let status = self.status.unwrap_or_default();
        let loads = Duration::from_secs(1) * status.stalled / loads_per_second.max(1);
        let turns = Duration::from_secs(1) * status.waiting / status.places.max(1);
        (loads + turns * SECONDS_PER_TURN).clamp(LEAST_RETRY, MOST_RETRY)
    }

    /// Requests that take a place or wait for one, or are on their way, in thousandths of the
    /// group's places. Those that wait for a load are not counted: they press on the store, not on
    /// the engines.
    pub(super) fn pressure(&self, listed_places: u32) -> u64 {
        let status = self.status.unwrap_or_default();
        let places = match status.places {
            0 => listed_places.max(1),
            known => known,
        };
        let inside = status.waiting + status.running + self.sent;
        u64::from(inside) * 1_000 / u64::from(places)
    }
}
