//! Probes targets whose paths may be lost, or may be back.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use crate::decide::partition::PathChange;
use crate::decide::wait_queue::Room;
use crate::edge::Edge;

use super::log::{LogEvent, event};
use super::node::Node;
use super::target_connection;

/// Interval of the checks whether probes are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Probes targets until the process ends.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    loop {
        let doubted = node.path_doubted.notified();
        let _doubted_or_due = tokio::time::timeout(CHECK_INTERVAL, doubted).await;
        let due = node.tables().due_probes(node.now());
        for target in due {
            tokio::spawn(probe(Arc::clone(&node), target));
        }
    }
}

/// Opens a connection to a target, and keeps it for a request.
async fn probe<E: Edge>(node: Arc<Node<E>>, target: TargetId) {
    let known = node.tables().registry.get(&target).cloned();
    let Some(known) = known else {
        return;
    };
    let opened = target_connection::open(&node, &target, known.address, PROBE_TIMEOUT).await;
    // A failure is recorded where connections are opened.
    if let Ok(connection) = opened {
        node.pool.put(&target, connection, None);
    }
}

/// Records that an answer or an event arrived from a target, on any connection.
pub(super) fn record_answer<E: Edge>(node: &Node<E>, target: &TargetId, now: Time) {
    let mut tables = node.tables();
    let change = tables.record_answer(target, now);
    let is_readmitted = tables.health.record_heard(target, now);
    drop(tables);
    record_change(node, &change);
    if is_readmitted {
        node.room_came(&Room::At(target.clone()));
    }
}

/// Logs and counts a change of the paths to a service's targets, and wakes those that wait for it.
pub(super) fn record_change<E: Edge>(node: &Node<E>, change: &PathChange) {
    let (log_event, service, span) = match change {
        PathChange::None => return,
        PathChange::Lost(service, span) => (LogEvent::PathsLost, service, span),
        PathChange::Regained(service, span) => (LogEvent::PathsRegained, service, span),
    };
    let now = node.now();
    let (reaching, failing) = {
        let tables = node.tables();
        let reaching = tables.peers_that_reach(service, now).count();
        (reaching, tables.paths.failing_count())
    };
    let [service, span] = [service.to_string(), span.as_millis().to_string()];
    let [reaching, failing] = [reaching, failing].map(|count| count.to_string());
    let fields = [
        ("service", &*service),
        ("for_ms", &*span),
        ("failing", &*failing),
        ("peers_that_reach", &*reaching),
    ];
    event(log_event, &fields);
    if log_event == LogEvent::PathsLost {
        node.metrics.paths_lost();
    }
    node.paths_changed.send_modify(|count| *count += 1);
    node.changed.notify_waiters();
}
