//! Splits a stream of server-sent events into complete events and checks their form and order.

use std::str::FromStr;

use bytes::{Bytes, BytesMut};

/// Result of adding a chunk to a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SplitResult {
    /// Complete events, possibly none.
    Events(Bytes),
    /// An event has no number, is out of order or too long, there are too many, or the data is no event stream:
    /// nothing of this chunk may be forwarded, and nothing that follows.
    Invalid,
}

/// Maximum size of an event, in bytes, with the comments before it.
const MAX_EVENT_BYTES: usize = 64 * 1_024;
/// Highest number of a stream's first event. One that begins later lacks events.
const MAX_FIRST_ID: u64 = 1;
/// Events per token of the longest response; targets send one at most for each.
const MAX_EVENTS_PER_TOKEN: u64 = 2;

/// What a line of a stream is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Line {
    /// The end of an event.
    End,
    /// Nothing that callers need, such as a sign of life.
    Comment,
    /// The number of the event.
    Id(u64),
    Field,
    Invalid,
}

impl Line {
    fn read(line: &[u8]) -> Self {
        let Ok(text) = std::str::from_utf8(line) else {
            return Self::Invalid;
        };
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        match text.split_once(':') {
            None if text.is_empty() => Self::End,
            None => Self::Invalid,
            Some(("", _comment)) => Self::Comment,
            Some(("id", id)) => u64::from_str(id.trim()).map_or(Self::Invalid, Self::Id),
            Some(_) => Self::Field,
        }
    }
}

/// Splits what one target sends of a stream into events. Each byte is looked at once.
#[derive(Debug)]
pub struct EventSplitter {
    /// The complete lines of an event that is not complete.
    event: BytesMut,
    /// Its number, once that has arrived.
    id: Option<u64>,
    /// A line that is not complete.
    line: BytesMut,
    /// Bytes that were dropped since the last event.
    dropped: usize,
    last_id: Option<u64>,
    /// Events that may still follow.
    events_left: u64,
}

impl EventSplitter {
    /// Creates a splitter for a caller that already has the events up to `resume_after`. The response has at most
    /// `max_tokens`, if that is known.
    #[must_use]
    pub fn new(resume_after: Option<u64>, max_tokens: Option<u64>) -> Self {
        let max_events = max_tokens.map(|tokens| tokens.saturating_mul(MAX_EVENTS_PER_TOKEN));
        Self {
            event: BytesMut::new(),
            id: None,
            line: BytesMut::new(),
            dropped: 0,
            last_id: resume_after,
            events_left: max_events.unwrap_or(u64::MAX),
        }
    }

    /// Returns the number of the last event that was forwarded.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether what has arrived ends in the middle of an event.
    #[must_use]
    pub fn is_mid_event(&self) -> bool {
        !self.event.is_empty() || !self.line.is_empty()
    }

    /// Adds a chunk and returns the events that it completes. Comments are dropped.
    pub fn push(&mut self, chunk: &[u8]) -> SplitResult {
        let (last_id, events_left) = (self.last_id, self.events_left);
        let Some(events) = self.split(chunk) else {
            (self.last_id, self.events_left) = (last_id, events_left);
            return SplitResult::Invalid;
        };
        SplitResult::Events(events)
    }

    /// Returns the events that a chunk completes; `None` if it is invalid.
    fn split(&mut self, chunk: &[u8]) -> Option<Bytes> {
        let mut events = BytesMut::new();
        for part in chunk.split_inclusive(|byte| *byte == b'\n') {
            if self.event.len() + self.line.len() + self.dropped + part.len() > MAX_EVENT_BYTES {
                return None;
            }
            if !part.ends_with(b"\n") {
                self.line.extend_from_slice(part);
            } else if self.line.is_empty() {
                self.add_line(part, &mut events)?;
            } else {
                self.line.extend_from_slice(part);
                let line = self.line.split();
                self.add_line(&line, &mut events)?;
            }
        }
        Some(events.freeze())
    }

    /// Adds a complete line, and moves the event that it ends to `events`. Returns `None` if it is invalid.
    fn add_line(&mut self, line: &[u8], events: &mut BytesMut) -> Option<()> {
        match Line::read(line) {
            Line::Comment => self.dropped += line.len(),
            Line::End if self.event.is_empty() => self.dropped += line.len(),
            Line::End => {
                self.last_id = Some(self.id.take()?);
                self.events_left = self.events_left.checked_sub(1)?;
                self.dropped = 0;
                events.extend_from_slice(&self.event);
                events.extend_from_slice(line);
                self.event.clear();
            }
            Line::Id(id) if self.id.is_none() && self.is_next(id) => {
                self.id = Some(id);
                self.event.extend_from_slice(line);
            }
            Line::Field => self.event.extend_from_slice(line),
            Line::Id(_) | Line::Invalid => return None,
        }
        Some(())
    }

    fn is_next(&self, id: u64) -> bool {
        match self.last_id {
            None => id <= MAX_FIRST_ID,
            Some(last) => last.checked_add(1) == Some(id),
        }
    }
}
