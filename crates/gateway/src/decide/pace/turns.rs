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
    /// Returns the targets of the next message: those that are `urgent`, and in every third round as many of the
    /// others as there is room for, in turn.
    pub(super) fn next(
        &mut self,
        urgent: &BTreeSet<ShortHash>,
        others: &BTreeSet<ShortHash>,
    ) -> Vec<ShortHash> {
        let mut targets = urgent.iter().copied().take(MAX_TARGETS).collect::<Vec<_>>();
        let is_due = self.rounds.is_multiple_of(TURN_INTERVAL);
        self.rounds = self.rounds.wrapping_add(1);
        if !is_due {
            return targets;
        }
        let room = MAX_TARGETS - targets.len();
        let after = self.last.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = others.range((after, Bound::Unbounded));
        let in_order = rest.chain(others).copied();
        let chosen = in_order.take(room.min(others.len()));
        for target in chosen {
            self.last = Some(target);
            if !urgent.contains(&target) {
                targets.push(target);
            }
        }
        targets
    }
}
