//! Decides what becomes of a run whose sender is silent.
//!
//! Silence alone ends no run: a sound target goes on after it, and its answer would be lost. Another target is looked
//! for besides, and only a response from there ends the silent run.

use std::time::Duration;

use bluebellstage_core::Time;

/// Interval between two searches for another target while a run is silent.
pub const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which it is decided anew: news of a sender wake nobody.
const NEWS_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time by which a decision is late unless this process did not run.
const MAX_OVERRUN: Duration = Duration::from_millis(150);
/// How long the events of one stream may take after its target has been silent as a whole and is heard again: it works
/// through what has piled up.
const BACKLOG_TIME: Duration = Duration::from_millis(250);

/// What is known of a sender besides its silence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SenderNews {
    /// Nothing: a target shows only by its answers that it is sound.
    Unknown,
    /// It is a target that was silent as a whole and was heard again at this time, on another connection.
    HeardAgain(Time),
    /// It is a peer that is live: it looks for another target by itself if its own is silent.
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
    /// When the next decision is due, if it waits for something to be heard.
    next_due: Option<Time>,
}

impl Silence {
    /// Starts when something was heard, or when the run was sent. Another target is looked for after `search_after`.
    #[must_use]
    pub const fn new(now: Time, search_after: Duration) -> Self {
        Self {
            since: now,
            search_after,
            last_search: None,
            next_due: None,
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
        self.next_due = None;
    }

    /// Decides what to do. `may_retry` is whether another attempt is allowed.
    #[must_use]
    pub fn next(&mut self, news: SenderNews, may_retry: bool, now: Time) -> SilenceAction {
        let due = self.next_due.take();
        if due.is_some_and(|due| now.since(due) > MAX_OVERRUN) {
            // This process was suspended or had no processor time: what was sent meanwhile is not read yet.
            *self = Self::new(now, self.search_after);
        }
        let due = match self.last_search {
            Some(last) => last + SEARCH_INTERVAL,
            None => self.since + self.search_after,
        };
        let due = match news {
            SenderNews::Live => None,
            SenderNews::HeardAgain(at) => Some(due.max(at + BACKLOG_TIME)),
            SenderNews::Down if self.last_search.is_none() => Some(now),
            SenderNews::Unknown | SenderNews::Down => Some(due),
        };
        let due = due.filter(|_| may_retry).unwrap_or(Time(u64::MAX));
        if due <= now {
            return SilenceAction::Search;
        }
        let until = due.min(now + NEWS_INTERVAL);
        self.next_due = Some(until);
        SilenceAction::WaitUntil(until)
    }
}
