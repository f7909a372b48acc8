//! Times of one event stream: when its target made the events, and how long they stayed at this instance.

use std::time::Duration;

use bluebellstage_core::Time;

/// Wait for an event from which on the event is known not to have been there before it was asked for.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Events that a target has sent since the last gap that was recorded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EventGap {
    /// Number of events that ended the gap: several if they arrived together.
    pub events: u64,
    /// Time since the event before them, as far as the target made it.
    pub gap: Duration,
}

/// Times of one event stream.
///
/// An event is read only when the caller takes the one before it. So what passes between two events is partly time
/// that the first one stayed here, and if the second one was there already, the target may not have paused at all.
#[derive(Clone, Debug, Default)]
pub struct StreamTimes {
    first_event: Option<Time>,
    last_event: Option<Time>,
    asked_at: Time,
    /// The event was made by the target that made the one before it.
    is_same_target: bool,
    max_gap: Duration,
    max_held: Duration,
}

impl StreamTimes {
    /// Records that the caller has taken all events and asks for the next one.
    pub fn record_asked(&mut self, now: Time) {
        self.asked_at = now;
        if let Some(last) = self.last_event {
            self.max_held = self.max_held.max(now.since(last));
        }
    }

    /// Records that `events` events arrived. Returns the gap before them; `None` before the first event of a target
    /// and if they may have been there for a while.
    pub fn record_events(&mut self, events: u64, now: Time) -> Option<EventGap> {
        let last = self.last_event.replace(now);
        self.first_event.get_or_insert(now);
        let is_same_target = std::mem::replace(&mut self.is_same_target, true);
        let gap = now.since(last?);
        if now.since(self.asked_at) < MIN_WAIT {
            return None;
        }
        self.max_gap = self.max_gap.max(gap);
        is_same_target.then_some(EventGap { events, gap })
    }

    /// Records that the next events are another target's.
    pub fn record_resumed(&mut self) {
        self.is_same_target = false;
    }

    /// Time since the last event; `None` before the first one.
    #[must_use]
    pub fn silence(&self, now: Time) -> Option<Duration> {
        Some(now.since(self.last_event?))
    }

    /// When the first event arrived.
    #[must_use]
    pub const fn first_event(&self) -> Option<Time> {
        self.first_event
    }

    /// Longest gap between two events, as the targets made them. It includes the time for which the stream was
    /// resumed at another target.
    #[must_use]
    pub const fn max_gap(&self) -> Duration {
        self.max_gap
    }

    /// Longest time for which an event stayed here before the caller took it.
    #[must_use]
    pub const fn max_held(&self) -> Duration {
        self.max_held
    }
}
