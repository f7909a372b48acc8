//! The refusals that an instance may cause at a target in any period of a second.

use std::time::Duration;

use bluebellstage_core::Time;

/// Period for which a target states how many refusals it bears.
pub(super) const REFUSAL_PERIOD: Duration = Duration::from_secs(1);
/// Time in which a request arrives at a target that runs, and a refusal would be back.
const ROUND_TRIP: Duration = Duration::from_millis(50);
/// Interval between two checks of a target.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A request that its target has neither taken nor refused, as far as known.
///
/// A refusal comes at once, but the answer of a target that runs the request may take long. Whether the request was taken
/// shows when anything else is heard from the target: then it runs, and has refused what it does not take. If it was
/// silent before, it may still find the request later.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    sent: Time,
    /// When the target was first heard after the request's arrival.
    heard: Option<Time>,
}

impl Unanswered {
    /// Whether the target must have taken the request. After a silence it works through what has piled up, and what was lost
    /// on a broken path is sent again after as long as the silence lasted; so it has that time to refuse it.
    fn is_taken(&self, now: Time) -> bool {
        self.heard.is_some_and(|heard| {
            let silence = heard.since(self.sent);
            now >= heard + silence.min(REFUSAL_PERIOD)
        })
    }

    fn has_arrived(&self, now: Time) -> bool {
        now.since(self.sent) >= ROUND_TRIP
    }
}

/// Requests that one incarnation of a target has refused in the last period, or may still refuse.
#[derive(Debug, Default)]
pub(super) struct RefusalWindow {
    pub(super) born: Option<u64>,
    unanswered: Vec<Unanswered>,
    refused: Vec<Time>,
    checked_at: Option<Time>,
}

impl RefusalWindow {
    pub(super) fn new(born: Option<u64>) -> Self {
        Self {
            born,
            ..Self::default()
        }
    }

    /// Returns how many refusals there may be in the period that ends now.
    pub(super) fn count(&self, now: Time) -> usize {
        let unanswered = self.unanswered.iter();
        let unanswered = unanswered.filter(|request| !request.is_taken(now));
        let refused = self.refused.iter().filter(|at| is_recent(**at, now));
        unanswered.count() + refused.count()
    }

    pub(super) fn record_sent(&mut self, now: Time) {
        self.unanswered.retain(|request| !request.is_taken(now));
        self.unanswered.push(Unanswered {
            sent: now,
            heard: None,
        });
    }

    /// Records that the target took a request that was sent at `sent`, or can't get it any more.
    pub(super) fn record_taken(&mut self, sent: Time) {
        let idx = self.unanswered.iter().position(|it| it.sent == sent);
        if let Some(idx) = idx {
            self.unanswered.swap_remove(idx);
        }
    }

    /// Records that the target refused a request that was sent at `sent`.
    pub(super) fn record_refused(&mut self, sent: Time, now: Time) {
        self.record_taken(sent);
        self.refused.retain(|at| is_recent(*at, now));
        self.refused.push(now);
    }

    /// Records that something arrived from the target.
    pub(super) fn record_heard(&mut self, now: Time) {
        for request in &mut self.unanswered {
            if request.heard.is_none() && request.has_arrived(now) {
                request.heard = Some(now);
            }
        }
    }

    /// Whether the target should be asked for a sign of life, as it has not been heard since a request arrived.
    pub(super) fn is_check_due(&self, now: Time) -> bool {
        let was_checked = self
            .checked_at
            .is_some_and(|at| now.since(at) < CHECK_INTERVAL);
        let is_unheard = |it: &Unanswered| it.heard.is_none() && it.has_arrived(now);
        !was_checked && self.unanswered.iter().any(is_unheard)
    }

    pub(super) const fn record_check(&mut self, now: Time) {
        self.checked_at = Some(now);
    }

    pub(super) fn is_empty(&self, now: Time) -> bool {
        self.count(now) == 0
    }
}

fn is_recent(at: Time, now: Time) -> bool {
    now.since(at) < REFUSAL_PERIOD
}
