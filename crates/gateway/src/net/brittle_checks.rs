//! Asks brittle targets for a sign of life, while it is not known whether they have taken the requests that they got.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::TargetId;

use crate::decide::wait_queue::Room;
use crate::edge::Edge;

use super::node::Node;
use super::target_connection::ask_for_sign;

/// Interval between two looks at the brittle targets.
const REVIEW_INTERVAL: Duration = Duration::from_millis(25);

/// Asks targets until the process ends.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    loop {
        tokio::time::sleep(REVIEW_INTERVAL).await;
        let now = node.now();
        let due = {
            let mut tables = node.tables();
            if tables.brittle.is_empty(now) {
                continue;
            }
            tables.take_brittle_checks(now)
        };
        for target in due {
            tokio::spawn(check(Arc::clone(&node), target));
        }
        // Targets bear refusals again without any other sign.
        node.room_came(&Room::Anywhere);
    }
}

async fn check<E: Edge>(node: Arc<Node<E>>, target: TargetId) {
    let address = {
        let tables = node.tables();
        tables.registry.get(&target).map(|known| known.address)
    };
    if let Some(address) = address {
        ask_for_sign(&node, &target, address).await;
    }
}
