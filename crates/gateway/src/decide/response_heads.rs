//! Bounds what a target sends before the head of its response.
//!
//! Any number of informational heads may precede a response. A target that sends them without end gives no answer.

/// Max size of all informational heads before a response, in bytes, apart from those of the last read.
pub const MAX_INFORMATIONAL_BYTES: usize = 16 * 1_024;

/// What a connection does before it reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextRead {
    /// Read as much as there is room for.
    Any,
    /// Read up to [`PART_BYTES`].
    Part,
    /// Let other tasks have their turn, then read: informational heads are skipped without giving up the thread.
    AfterOthers,
    /// Give the response up.
    Fail,
}

/// Bytes that are read at once after an informational head.
pub const PART_BYTES: usize = 4 * 1_024;

/// What has arrived on a connection since a request was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseHeads {
    /// Bytes that were read before the last read.
    earlier: usize,
    /// Bytes of the last read.
    last: usize,
    /// Whether an informational head was complete with the last read.
    is_informational: bool,
    /// Whether other tasks have had their turn since the last read.
    has_yielded: bool,
    is_exceeded: bool,
}

impl ResponseHeads {
    /// Records that bytes were read.
    pub const fn record_read(&mut self, len: usize) {
        self.earlier = self.earlier.saturating_add(self.last);
        self.last = len;
        self.is_informational = false;
        self.has_yielded = false;
    }

    /// Records an informational head. As heads are split off after each read, all that was read before the last one
    /// belongs to such heads.
    pub const fn record_informational(&mut self) {
        self.is_informational = true;
        self.is_exceeded |= self.earlier > MAX_INFORMATIONAL_BYTES;
    }

    /// Returns what to do before the next read.
    pub const fn next(&mut self) -> NextRead {
        if self.is_exceeded {
            return NextRead::Fail;
        }
        if !self.is_informational {
            return NextRead::Any;
        }
        if self.has_yielded {
            return NextRead::Part;
        }
        self.has_yielded = true;
        NextRead::AfterOthers
    }

    /// Whether the informational heads are larger than is allowed.
    #[must_use]
    pub const fn is_exceeded(&self) -> bool {
        self.is_exceeded
    }

    /// Whether nothing has arrived.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.earlier == 0 && self.last == 0
    }
}
