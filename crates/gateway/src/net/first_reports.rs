//! Asks some targets what they report about themselves before a new process sends requests.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::decide::target::Target;
use crate::edge::Edge;

use super::node::Node;
use super::target_connection::ask_for_sign;

/// Longest wait for reports. Targets that run answer within a round trip.
const MAX_WAIT: Duration = Duration::from_millis(150);
/// Interval of the checks whether targets are known.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Asks targets as soon as they are known, and lets requests be sent after the first answer of each service.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    while !node.tables().informed() {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let now = node.now();
    let targets = node.tables().targets_to_ask_first(now);
    let by_service = targets.chunk_by(|a, b| a.service == b.service);
    let first_answers = by_service.map(|targets| first_answer(&node, targets));
    let all = futures::future::join_all(first_answers);
    let _answered_or_late = tokio::time::timeout(MAX_WAIT, all).await;
    node.tables().awaits_first_reports = false;
    node.changed.notify_waiters();
}

/// Returns when one of the targets has answered, or none does.
async fn first_answer<E: Edge>(node: &Node<E>, targets: &[Target]) {
    let asked = targets.iter();
    let asked = asked.map(|target| ask_for_sign(node, &target.id, target.address));
    let mut asked = asked.collect::<FuturesUnordered<_>>();
    while let Some(has_answered) = asked.next().await {
        if has_answered {
            return;
        }
    }
}
