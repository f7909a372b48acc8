//! Splits a stream of server-sent events into complete events and checks their order.

use bytes::{Bytes, BytesMut};

/// Result of adding a chunk to a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SplitResult {
    /// Complete events, possibly none.
    Events(Bytes),
    /// Events are out of order, or the data is no event stream: nothing of this chunk may be forwarded.
    Invalid,
}

/// Maximum size of a buffered event; a longer one is treated as invalid data.
const MAX_EVENT_BYTES: usize = 64 * 1_024;

/// Splits one stream into events; keeps its position when the target changes.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a caller that already has the events up to `resume_after`.
    #[must_use]
    pub fn new(resume_after: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id: resume_after,
        }
    }

    /// Returns the number of the last event that was forwarded.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the buffer ends in the middle of an event.
    #[must_use]
    pub fn is_mid_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops an incomplete event; the next target sends it again from its beginning.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Adds a chunk and returns the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> SplitResult {
        self.partial.extend_from_slice(chunk);
        let mut end = 0;
        let mut last_id = self.last_id;
        while let Some(len) = event_len(&self.partial[end..]) {
            let id = event_id(&self.partial[end..end + len]);
            if let (Some(id), Some(previous)) = (id, last_id)
                && id != previous + 1
            {
                return SplitResult::Invalid;
            }
            last_id = id.or(last_id);
            end += len;
        }
        if self.partial.len() - end > MAX_EVENT_BYTES {
            return SplitResult::Invalid;
        }
        self.last_id = last_id;
        SplitResult::Events(self.partial.split_to(end).freeze())
    }
}

fn event_len(buf: &[u8]) -> Option<usize> {
    let lf = find(buf, b"\n\n").map(|at| at + 2);
    let crlf = find(buf, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len())
        .position(|window| window == pattern)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
