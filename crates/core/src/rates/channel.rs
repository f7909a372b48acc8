//! Numbered transfers between a workspace's owner and one borrower.

use std::time::Duration;

use crate::Time;

use super::bucket::Portion;

/// Interval at which an unacknowledged transfer is resent.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// A transfer from one end of a [`Channel`] to the other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Transfer {
    /// Sequence number in its direction, from 1.
    pub sequence: u64,
    /// Share and tokens that are moved.
    pub portion: Portion,
}

/// One end of the two streams of transfers between owner and borrower under one map revision.
///
/// Guards against a lost transfer (a share that no instance holds) and a duplicated one (a share
/// that two instances hold, which would exceed the rate). Each direction has at most one pending
/// transfer, which is numbered, resent until it is acknowledged, and applied once. The revision
/// identifies the incarnations of both ends, because a map lists one incarnation of each instance.
#[derive(Clone, Debug, Default)]
pub struct Channel {
    last_sent: u64,
    pending: Option<Transfer>,
    retry_at: Time,
    last_received: u64,
}

impl Channel {
    /// Whether a sent transfer is still unacknowledged.
    pub const fn is_busy(&self) -> bool {
        self.pending.is_some()
    }

    /// Starts a transfer. Must not be called while another one is pending.
    pub fn start(&mut self, now: Time, portion: Portion) -> Transfer {
        debug_assert!(!self.is_busy(), "one transfer at a time");
        self.last_sent += 1;
        let transfer = Transfer {
            sequence: self.last_sent,
            portion,
        };
        self.pending = Some(transfer);
        self.retry_at = now + RETRY_INTERVAL;
        transfer
    }

    /// Returns the pending transfer if it is due to be resent.
    pub fn retry(&mut self, now: Time) -> Option<Transfer> {
        if now < self.retry_at {
            return None;
        }
        self.retry_at = now + RETRY_INTERVAL;
        self.pending
    }

    /// Records the acknowledgement of the pending transfer.
    pub fn acknowledge(&mut self, sequence: u64) {
        if self
            .pending
            .is_some_and(|transfer| transfer.sequence == sequence)
        {
            self.pending = None;
        }
    }

    /// Records a received transfer and returns whether it is new and must be applied.
    pub fn accept(&mut self, sequence: u64) -> bool {
        let is_new = sequence == self.last_received + 1;
        if is_new {
            self.last_received = sequence;
        }
        is_new
    }

    /// Whether a received transfer has been applied and must be acknowledged.
    pub const fn has_applied(&self, sequence: u64) -> bool {
        sequence <= self.last_received
    }
}
