//! What an instance knows of a group from its home's answers.

use crate::Time;

use super::message::GroupStatus;

/// A group as last heard of.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GroupView {
    status: GroupStatus,
    /// Asks sent there since.
    sent: u32,
    /// No asks before this time: its home did not answer or turned one away.
    pub(super) avoid_until: Time,
}

impl GroupView {
    pub(super) fn heard(&mut self, status: GroupStatus) {
        self.status = status;
        self.sent = 0;
        self.avoid_until = Time(0);
    }

    pub(super) fn sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Requests there or on their way, in thousandths of its places.
    pub(super) fn pressure(&self, listed_places: u32) -> u64 {
        let places = match self.status.places {
            0 => listed_places.max(1),
            known => known,
        };
        let inside = self.status.waiting + self.status.running + self.sent;
        u64::from(inside) * 1_000 / u64::from(places)
    }
}
