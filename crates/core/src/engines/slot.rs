//! One adapter in one engine, as the group's home believes.

use std::time::Duration;

use crate::Time;

use super::timing::{MIN_RESIDENCE, REPORT_LAG};

/// How far an adapter is in or out of its slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SlotState {
    /// A load is ordered.
    Loading,
    /// It can run.
    Resident,
    /// Its removal is ordered; nothing may be let in.
    Unloading,
    /// An order's outcome is unknown: settled by a report asked at or after this time.
    Doubtful(Time),
}

/// A slot of an engine.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) state: SlotState,
    /// When it reached its state.
    pub(super) since: Time,
    pub(super) last_used: Time,
    /// No new permits, so that it comes free for others that wait.
    pub(super) draining: bool,
    /// When the newest report that shows it unused was asked.
    idle_asked: Option<Time>,
    /// A report must be asked at or after this time to prove it unused.
    idle_from: Time,
}

impl Slot {
    pub(super) const fn new(state: SlotState, now: Time) -> Self {
        Self {
            state,
            since: now,
            last_used: now,
            draining: false,
            idle_asked: None,
            idle_from: now,
        }
    }

    pub(super) fn is_resident(&self) -> bool {
        self.state == SlotState::Resident
    }

    pub(super) fn set(&mut self, state: SlotState, now: Time) {
        self.state = state;
        self.since = now;
        self.draining = false;
    }

    pub(super) fn granted(&mut self, now: Time) {
        self.last_used = now;
        self.idle_asked = None;
    }

    /// A permit ended; `settled` tells that nothing of it can still run inside the engine.
    pub(super) fn ended(&mut self, now: Time, settled: bool) {
        self.last_used = now;
        let span = if settled { Duration::ZERO } else { REPORT_LAG };
        self.idle_from = self.idle_from.max(now + span);
    }

    pub(super) fn reported(&mut self, asked: Time, in_use: bool) {
        if in_use {
            self.idle_asked = None;
        } else {
            self.idle_asked = self.idle_asked.max(Some(asked));
        }
    }

    /// Whether a report asked at or after `settled` proves that nothing inside the engine uses it.
    pub(super) fn is_proved_idle(&self, settled: Time) -> bool {
        let from = self.idle_from.max(settled);
        self.idle_asked.is_some_and(|asked| asked >= from)
    }

    /// Whether it was there long enough to be removed.
    pub(super) fn is_settled_in(&self, now: Time) -> bool {
        self.is_resident() && self.since + MIN_RESIDENCE <= now
    }
}
