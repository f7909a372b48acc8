//! The refusals that an instance may cause at a target in any period of a second.

use std::time::Duration;

use bluebellstage_core::Time;

/// Period for which a target states how many refusals it bears.
pub(super) const REFUSAL_PERIOD: Duration = Duration::from_secs(1);

/// Requests that a target has refused in the last period, or may still refuse.
///
/// A request counts from when it is sent until the target takes it. One without an answer counts for a period, since it
/// may be refused on its arrival.
#[derive(Debug, Default)]
pub(super) struct RefusalWindow(Vec<Time>);

impl RefusalWindow {
    /// Returns how many refusals there may be in the period that ends now.
    pub(super) fn count(&self, now: Time) -> usize {
        let recent = self.0.iter().filter(|at| is_recent(**at, now));
        recent.count()
    }

    pub(super) fn record_sent(&mut self, now: Time) {
        self.0.retain(|at| is_recent(*at, now));
        self.0.push(now);
    }

    /// Records that the target took a request that was sent at `sent`.
    pub(super) fn record_taken(&mut self, sent: Time) {
        if let Some(idx) = self.position(sent) {
            self.0.swap_remove(idx);
        }
    }

    /// Records that a request that was sent at `sent` has ended, and was refused or may be.
    pub(super) fn record_refused(&mut self, sent: Time, now: Time) {
        match self.position(sent) {
            Some(idx) => self.0[idx] = now,
            None => self.0.push(now),
        }
    }

    fn position(&self, sent: Time) -> Option<usize> {
        self.0.iter().position(|at| *at == sent)
    }

    pub(super) fn is_empty(&self, now: Time) -> bool {
        self.count(now) == 0
    }
}

fn is_recent(at: Time, now: Time) -> bool {
    now.since(at) < REFUSAL_PERIOD
}
