//! Backoff before rejoining after a removal.

use std::time::Duration;

use crate::Time;

/// Delay before an instance rejoins after its second removal; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);

/// Maximum delay before rejoining. A removal counts as the first again when the previous one was
/// twice this long ago.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Delays rejoining after repeated removals.
///
/// An instance that reaches the platform but whose peers don't receive its heartbeats would
/// otherwise rejoin after each removal, and its keys would change owners every other second.
#[derive(Debug)]
pub(super) struct RejoinBackoff {
    removed_at: Option<Time>,
    not_before: Time,
    backoff: Duration,
}

impl RejoinBackoff {
    pub(super) const fn new() -> Self {
        Self {
            removed_at: None,
            not_before: Time(0),
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Records that the map no longer lists this incarnation.
    pub(super) fn record_removal(&mut self, now: Time) {
        let is_repeated = self
            .removed_at
            .is_some_and(|at| now.since(at) < MAX_BACKOFF * 2);
        if is_repeated {
            self.not_before = now + self.backoff;
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        } else {
            self.backoff = INITIAL_BACKOFF;
        }
        self.removed_at = Some(now);
    }

    pub(super) fn may_join(&self, now: Time) -> bool {
        now >= self.not_before
    }
}
