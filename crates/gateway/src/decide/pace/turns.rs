//! The order in which targets come round in messages.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::decide::rendezvous::ShortHash;

/// Maximum number of targets in one message.
const MAX_TARGETS: usize = 12;
/// Rounds from one message with targets in turn to the next.
const TURN_INTERVAL: u32 = 3;

/// Whose turn it is.
#[derive(Debug, Default)]
pub(super) struct Turns {
    rounds: u32,
    last: Option<ShortHash>,
}

impl Turns {
    /// Returns the targets of the next message: none but in every third round, then as many of `targets` as a message
    /// holds, in turn.
    pub(super) fn next(&mut self, targets: &BTreeSet<ShortHash>) -> Vec<ShortHash> {
        let is_due = self.rounds.is_multiple_of(TURN_INTERVAL);
        self.rounds = self.rounds.wrapping_add(1);
        if !is_due {
            return Vec::new();
        }
        let after = self.last.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = targets.range((after, Bound::Unbounded));
        let in_order = rest.chain(targets).copied();
        let count = targets.len().min(MAX_TARGETS);
        let chosen = in_order.take(count).collect::<Vec<_>>();
        self.last = chosen.last().copied().or(self.last);
        chosen
    }
}
