//! Cuts a stream of server-sent events into whole events and checks their order.

use bytes::{Bytes, BytesMut};

/// What a piece of a stream brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Whole events, maybe none.
    Events(Bytes),
    /// The stream is out of order or no event stream: nothing of this piece may go on.
    Broken,
}

/// Longest event that is buffered; a longer one is taken for wrong bytes.
const MAX_EVENT_BYTES: usize = 64 * 1_024;

/// Cuts one stream; survives a change of target.
#[derive(Debug, Default)]
pub struct EventCutter {
    partial: BytesMut,
    last: Option<u64>,
}

impl EventCutter {
    /// A cutter for a caller that already has the events up to `resume_after`.
    #[must_use]
    pub fn new(resume_after: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last: resume_after,
        }
    }

    /// Number of the last event that went on.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// An event has begun and not ended.
    #[must_use]
    pub fn mid_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the beginning of an event; the next target sends it whole.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes in a piece.
    pub fn push(&mut self, piece: &[u8]) -> Cut {
        self.partial.extend_from_slice(piece);
        let mut end = 0;
        let mut last = self.last;
        while let Some(len) = event_len(&self.partial[end..]) {
            let id = event_id(&self.partial[end..end + len]);
            if let (Some(id), Some(before)) = (id, last)
                && id != before + 1
            {
                return Cut::Broken;
            }
            last = id.or(last);
            end += len;
        }
        if self.partial.len() - end > MAX_EVENT_BYTES {
            return Cut::Broken;
        }
        self.last = last;
        Cut::Events(self.partial.split_to(end).freeze())
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

fn find(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).position(|window| window == what)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
