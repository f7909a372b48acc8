//! When the latest heartbeats were sent.

use std::collections::VecDeque;

use crate::Time;

/// Enough for several `standing` periods; an echo of an older one proves nothing any more.
const KEPT_BEATS: usize = 64;

/// Send times of the latest heartbeats of this life, by sequence.
#[derive(Debug, Default)]
pub(super) struct BeatLog {
    latest: u64,
    sent: VecDeque<Time>,
}

impl BeatLog {
    /// Numbers a heartbeat that is sent now.
    pub(super) fn record(&mut self, now: Time) -> u64 {
        if self.sent.len() == KEPT_BEATS {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        self.latest += 1;
        self.latest
    }

    /// When the heartbeat of this sequence was sent; none for one that is too old or never was.
    pub(super) fn sent_at(&self, sequence: u64) -> Option<Time> {
        let age = usize::try_from(self.latest.checked_sub(sequence)?).ok()?;
        let index = self.sent.len().checked_sub(age + 1)?;
        self.sent.get(index).copied()
    }
}
