//! A slot of an engine, as known to the group's owner.

use std::time::Duration;

use crate::Time;

use super::timing::{MAX_REPORT_AGE, MIN_RESIDENCE};

/// The state of an adapter in its slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SlotState {
    /// A load is ordered.
    Loading,
    /// Requests for the adapter can run.
    Resident,
    /// An unload is ordered; no permits are granted.
    Unloading,
    /// The outcome of an order is unknown until a report that was requested at or after this time.
    Uncertain(Time),
}

/// An occupied slot of an engine.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) state: SlotState,
    pub(super) state_since: Time,
    pub(super) last_used: Time,
    /// Whether new permits are withheld, so that the slot becomes free for another adapter.
    pub(super) is_draining: bool,
    /// When the newest report that shows the adapter unused was requested.
    idle_report_requested_at: Option<Time>,
    /// Only a report requested at or after this time confirms that the adapter is unused.
    idle_report_valid_from: Time,
}

impl Slot {
    pub(super) const fn new(state: SlotState, now: Time) -> Self {
        Self {
            state,
            state_since: now,
            last_used: now,
            is_draining: false,
            idle_report_requested_at: None,
            idle_report_valid_from: now,
        }
    }

    pub(super) fn is_resident(&self) -> bool {
        self.state == SlotState::Resident
    }

    pub(super) fn set_state(&mut self, state: SlotState, now: Time) {
        self.state = state;
        self.state_since = now;
        self.is_draining = false;
    }

    pub(super) fn record_grant(&mut self, now: Time) {
        self.last_used = now;
        self.idle_report_requested_at = None;
    }

    /// Records the end of a permit; `has_finished` means that its request can no longer run in the
    /// engine.
    pub(super) fn record_permit_end(&mut self, now: Time, has_finished: bool) {
        self.last_used = now;
        let delay = if has_finished {
            Duration::ZERO
        } else {
            MAX_REPORT_AGE
        };
        self.idle_report_valid_from = self.idle_report_valid_from.max(now + delay);
    }

    pub(super) fn record_report(&mut self, requested_at: Time, in_use: bool) {
        if in_use {
            self.idle_report_requested_at = None;
        } else {
            self.idle_report_requested_at = self.idle_report_requested_at.max(Some(requested_at));
        }
    }

    /// Whether a report requested at or after `reports_complete_from` confirms that nothing in the
    /// engine uses the adapter.
    pub(super) fn is_confirmed_idle(&self, reports_complete_from: Time) -> bool {
        let from = self.idle_report_valid_from.max(reports_complete_from);
        self.idle_report_requested_at
            .is_some_and(|requested_at| requested_at >= from)
    }

    /// Whether the adapter has been resident for the minimum time before an eviction.
    pub(super) fn has_min_residence(&self, now: Time) -> bool {
        self.is_resident() && self.state_since + MIN_RESIDENCE <= now
    }
}
