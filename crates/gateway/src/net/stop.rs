//! Planned stops.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::signal::unix::Signal;

use crate::decide::stopping::refuse_after;
use crate::edge::{Edge, Kind, ObjectStore};

use super::gossip::send_shutdown;
use super::leases;
use super::log::{LogEvent, event};
use super::node::Node;

/// Margin before the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Interval of the checks of open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for the last writes to the store.
const FINAL_STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Waits for SIGTERM, then continues to serve until callers use other instances.
pub(super) async fn wait<E: Edge>(node: Arc<Node<E>>, mut terminate: Signal) {
    terminate.recv().await;
    let connections = || node.connections.load(Ordering::Relaxed);
    event(
        LogEvent::StopAsked,
        &[("connections", &connections().to_string())],
    );
    let stop_requested_at = node.now();
    node.begin_stop();
    let unregistering = {
        let node = Arc::clone(&node);
        async move {
            let name = node.settings.member.name.to_string();
            node.store.remove(Kind::Members, &name).await
        }
    };
    let unregistering = tokio::spawn(tokio::time::timeout(FINAL_STORE_TIMEOUT, unregistering));
    let reloadable_settings = node.reloadable_settings().clone();
    let stop_time = reloadable_settings.stop_timeout.saturating_sub(KILL_MARGIN);
    // Loads continue as long as requests do; the leases are released just before the end.
    let release_after = stop_time.saturating_sub(FINAL_STORE_TIMEOUT);
    let mut lease_release = None;
    let close_after = refuse_after(reloadable_settings.address_ttl, stop_time);
    loop {
        let elapsed = node.now().since(stop_requested_at);
        if elapsed >= close_after && !node.is_closing() {
            node.begin_closing();
        }
        let is_idle = elapsed >= close_after && connections() == 0;
        if elapsed >= release_after || is_idle {
            lease_release.get_or_insert_with(|| tokio::spawn(release_leases(Arc::clone(&node))));
        }
        if elapsed >= stop_time || is_idle {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    // A removal that the store does not receive in time is made up for by the next start, or is not needed.
    let _removed_or_late = unregistering.await;
    if let Some(lease_release) = lease_release {
        let _released_or_late = lease_release.await;
    }
    if let Ok(socket) = UdpSocket::bind("0.0.0.0:0").await {
        send_shutdown(&node, &socket).await;
    }
    let waited = node.now().since(stop_requested_at).as_millis().to_string();
    event(LogEvent::Stopped, &[("waited_ms", &waited)]);
}

async fn release_leases<E: Edge>(node: Arc<Node<E>>) {
    let _released_or_late =
        tokio::time::timeout(FINAL_STORE_TIMEOUT, leases::release_all(&node)).await;
}
