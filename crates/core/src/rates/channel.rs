//! Numbered transfers between a workspace's home and one borrower.

use std::time::Duration;

use crate::Time;

use super::bucket::Parcel;

/// A transfer is sent again after this time without an acknowledgement.
const RETRY: Duration = Duration::from_millis(150);

/// A transfer under way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Transfer {
    /// Its number.
    pub sequence: u64,
    /// What it moves.
    pub parcel: Parcel,
}

/// One end of the two streams of transfers between home and borrower under one map revision.
///
/// Guards against a transfer lost (a share that nobody holds) or doubled (a share that two hold,
/// seen as a rate exceeded): one at a time and direction, numbered, sent again until acknowledged,
/// taken once. The revision says which lives the two ends are: a map lists one life of each.
#[derive(Clone, Debug, Default)]
pub struct Channel {
    sent: u64,
    pending: Option<Transfer>,
    due: Time,
    received: u64,
}

impl Channel {
    /// Whether a transfer waits for its acknowledgement.
    pub const fn is_busy(&self) -> bool {
        self.pending.is_some()
    }

    /// Starts a transfer; only while none is under way.
    pub fn start(&mut self, now: Time, parcel: Parcel) -> Transfer {
        debug_assert!(!self.is_busy(), "one transfer at a time");
        self.sent += 1;
        let transfer = Transfer {
            sequence: self.sent,
            parcel,
        };
        self.pending = Some(transfer);
        self.due = now + RETRY;
        transfer
    }

    /// The transfer to send again, if one is due.
    pub fn retry(&mut self, now: Time) -> Option<Transfer> {
        if now < self.due {
            return None;
        }
        self.due = now + RETRY;
        self.pending
    }

    /// Takes an acknowledgement.
    pub fn acknowledged(&mut self, sequence: u64) {
        if self
            .pending
            .is_some_and(|transfer| transfer.sequence == sequence)
        {
            self.pending = None;
        }
    }

    /// Whether a transfer received is new and to be applied.
    pub fn accept(&mut self, sequence: u64) -> bool {
        let fresh = sequence == self.received + 1;
        if fresh {
            self.received = sequence;
        }
        fresh
    }

    /// Whether a transfer received has been applied, and is to be acknowledged.
    pub const fn has_applied(&self, sequence: u64) -> bool {
        sequence <= self.received
    }
}
