//! Send times of recent heartbeats.

use std::collections::VecDeque;

use crate::Time;

/// Covers several lease durations; an echo of an older heartbeat no longer confirms a lease.
const MAX_LOGGED_HEARTBEATS: usize = 64;

/// Send times of the latest heartbeats of this incarnation, by sequence number.
#[derive(Debug, Default)]
pub(super) struct HeartbeatLog {
    latest: u64,
    sent: VecDeque<Time>,
}

impl HeartbeatLog {
    /// Records a heartbeat that is sent now and returns its sequence number.
    pub(super) fn record(&mut self, now: Time) -> u64 {
        if self.sent.len() == MAX_LOGGED_HEARTBEATS {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        self.latest += 1;
        self.latest
    }

    /// Returns when the heartbeat with this sequence number was sent; `None` if it was never sent
    /// or is no longer logged.
    pub(super) fn sent_at(&self, sequence: u64) -> Option<Time> {
        let age = usize::try_from(self.latest.checked_sub(sequence)?).ok()?;
        let index = self.sent.len().checked_sub(age + 1)?;
        self.sent.get(index).copied()
    }
}
