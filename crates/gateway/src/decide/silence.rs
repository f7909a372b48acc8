//! Decides what becomes of a run whose sender is silent.
//!
//! Silence alone ends no run: a sound target goes on after it, and its answer would be lost. Another target is looked
//! for besides, and only a response from there ends the silent run.

use std::time::Duration;

use bluebellstage_core::Time;

/// Interval between two searches for another target while a run is silent.
pub const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the news of a silent sender is looked at.
const NEWS_INTERVAL: Duration = Duration::from_millis(250);

/// How much longer a live peer may be silent than a target: it looks for another target by itself.
const PEER_HEAD_START: Duration = Duration::from_millis(300);

/// What is known of a sender besides its silence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SenderNews {
    /// Nothing: a target shows only by its answers that it is sound.
    Unknown,
    /// It is a peer that is live.
    Live,
    /// It is a peer that is down.
    Down,
}

/// What to do about a silent run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceAction {
    /// Wait for it, and decide again then.
    WaitUntil(Time),
    /// Look for another target besides.
    Search,
}

/// The silence of a run's sender.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    since: Time,
    search_after: Duration,
    last_search: Option<Time>,
}

impl Silence {
    /// Starts when something was heard, or when the run was sent. Another target is looked for after `search_after`.
    #[must_use]
    pub const fn new(now: Time, search_after: Duration) -> Self {
        Self {
            since: now,
            search_after,
            last_search: None,
        }
    }

    /// When the sender was last heard.
    #[must_use]
    pub const fn since(&self) -> Time {
        self.since
    }

    /// Whether there was a search since the sender was last heard.
    #[must_use]
    pub const fn was_searched(&self) -> bool {
        self.last_search.is_some()
    }

    /// Records the begin of a search, or its end without a response.
    pub const fn record_search(&mut self, now: Time) {
        self.last_search = Some(now);
    }

    /// Decides what to do. `may_retry` is whether another attempt is allowed.
    #[must_use]
    pub fn next(&self, news: SenderNews, may_retry: bool, now: Time) -> SilenceAction {
        let due = match (news, self.last_search) {
            (_, Some(last)) => last + SEARCH_INTERVAL,
            (SenderNews::Down, None) => now,
            (SenderNews::Unknown, None) => self.since + self.search_after,
            (SenderNews::Live, None) => self.since + self.search_after + PEER_HEAD_START,
        };
        if may_retry && due <= now {
            return SilenceAction::Search;
        }
        let due = if may_retry { due } else { Time(u64::MAX) };
        SilenceAction::WaitUntil(due.min(now + NEWS_INTERVAL))
    }
}
