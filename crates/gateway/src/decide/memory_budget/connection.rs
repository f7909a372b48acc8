//! What one connection of a caller holds.

use std::time::Duration;

use bluebellstage_core::WorkspaceId;

use super::held_bytes::HeldBytes;

/// Bytes that a caller must move to show progress. A caller that moves a byte now and then would hold its memory for
/// hours.
const PROGRESS_BYTES: u64 = 4 * 1_024;

/// Bytes that a connection holds and wants, and the progress of its caller.
#[derive(Debug, Default)]
pub(super) struct Connection {
    pub(super) held: HeldBytes,
    /// Bytes for which it waits.
    pub(super) wanted: u64,
    /// Workspace of its last request.
    pub(super) workspace: Option<WorkspaceId>,
    /// Number of things that the instance expects the caller to send or to take.
    pub(super) open_turns: u32,
    /// Bytes moved since the last progress.
    moved: u64,
    /// Time awake at the last progress.
    progressed_at: Duration,
    pub(super) is_ended: bool,
    pub(super) is_closed: bool,
}

impl Connection {
    pub(super) fn demand(&self) -> u64 {
        self.held.total() + self.wanted
    }

    pub(super) fn start_turn(&mut self, now: Duration) {
        if self.open_turns == 0 {
            self.moved = 0;
            self.progressed_at = now;
        }
        self.open_turns += 1;
    }

    pub(super) fn record_moved(&mut self, bytes: u64, now: Duration) {
        self.moved += bytes;
        if self.moved >= PROGRESS_BYTES {
            self.moved = 0;
            self.progressed_at = now;
        }
    }

    /// Returns for how long the caller has made no progress; `None` if nothing is expected of it, or if it was ended.
    pub(super) fn stalled_for(&self, now: Duration) -> Option<Duration> {
        let is_expected = self.open_turns > 0 && !self.is_ended;
        is_expected.then(|| now.saturating_sub(self.progressed_at))
    }
}
