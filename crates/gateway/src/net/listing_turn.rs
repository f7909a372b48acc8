//! Spreads the first lists of targets over a fleet that starts at once.

use std::time::Duration;

use bluebellstage_core::Revision;
use rand::Rng;

use crate::edge::Edge;

use super::node::Node;

/// Instances that may list all targets at once after a start: a list of 1,000 is two calls, and the
/// store reads 2,000 a second.
const LIST_AT_ONCE: usize = 100;
/// Time over which the lists of a larger fleet are spread, for each instance: all that start at once
/// would make more calls than the store takes in a second, and be refused.
const SPREAD_LISTS: Duration = Duration::from_millis(5);
/// Looks for the list of instances, and the pause between them: the store answers in some 8 ms, and a
/// fleet that starts for the first time has no list.
const MEMBER_LOOKS: u32 = 5;
const MEMBER_LOOK: Duration = Duration::from_millis(10);
/// Pause between looks whether a peer has told the targets meanwhile.
const COPY_LOOK: Duration = Duration::from_millis(50);

/// Waits for this instance's turn to list the targets. Gives the revision to follow them from, if a
/// peer told them first.
pub(super) async fn first_targets<E: Edge>(node: &Node<E>) -> Option<Revision> {
    let fleet = known_fleet(node).await;
    if fleet < LIST_AT_ONCE {
        return None;
    }
    let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
    let turn = SPREAD_LISTS.saturating_mul(fleet);
    let turn = node.now() + turn.mul_f64(rand::rng().random_range(0.0..1.0));
    while node.now() < turn {
        let known = node.tables().registry.revision();
        if known > Revision::default() {
            return Some(known);
        }
        tokio::time::sleep(COPY_LOOK).await;
    }
    None
}

/// Size of the fleet as the store's list of instances tells it, which is one call.
async fn known_fleet<E: Edge>(node: &Node<E>) -> usize {
    for _ in 0..MEMBER_LOOKS {
        let fleet = node.tables().peers.all().count();
        if fleet > 0 {
            return fleet;
        }
        tokio::time::sleep(MEMBER_LOOK).await;
    }
    0
}
