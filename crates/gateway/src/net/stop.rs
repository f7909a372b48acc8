//! Planned stops.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};

use crate::decide::stopping::refuse_after;
use crate::edge::{Edge, Kind, ObjectStore};
use crate::error::GatewayError;

use super::gossip::tell_end;
use super::leases;
use super::log::{LogEvent, event};
use super::node::Node;

/// Time kept back before the kill.
const BEFORE_KILL: Duration = Duration::from_millis(300);
/// Pause between looks at open connections.
const LOOK: Duration = Duration::from_millis(50);
/// Longest time for the last words to the store.
const LAST_WORDS: Duration = Duration::from_millis(700);

/// Waits for the order to stop, then serves on until callers have gone elsewhere.
pub(super) async fn wait<E: Edge>(node: Arc<Node<E>>) -> Result<(), GatewayError> {
    let mut term =
        signal(SignalKind::terminate()).map_err(|cause| GatewayError::Signal { cause })?;
    term.recv().await;
    let connections = || node.connections.load(Ordering::Relaxed);
    event(
        LogEvent::StopAsked,
        &[("connections", &connections().to_string())],
    );
    let asked = node.now();
    node.begin_stop();
    let leaving = {
        let node = Arc::clone(&node);
        async move {
            let name = node.settings.member.name.to_string();
            node.store.remove(Kind::Members, &name).await
        }
    };
    let leaving = tokio::spawn(tokio::time::timeout(LAST_WORDS, leaving));
    let terms = node.terms().clone();
    let until = terms.stop_within.saturating_sub(BEFORE_KILL);
    // Loads go on for as long as requests do; the leases are given up just before the end.
    let release_after = until.saturating_sub(LAST_WORDS);
    let mut releasing = None;
    let close_after = refuse_after(terms.keep_addresses, until);
    loop {
        let passed = node.now().since(asked);
        if passed >= close_after && !node.closing() {
            node.begin_closing();
        }
        let idle = passed >= close_after && connections() == 0;
        if passed >= release_after || idle {
            releasing.get_or_insert_with(|| tokio::spawn(release(Arc::clone(&node))));
        }
        if passed >= until || idle {
            break;
        }
        tokio::time::sleep(LOOK).await;
    }
    // What the store did not hear in time it learns from the next start, or never needs to.
    let _told_or_late = leaving.await;
    if let Some(releasing) = releasing {
        let _released_or_late = releasing.await;
    }
    if let Ok(socket) = UdpSocket::bind("0.0.0.0:0").await {
        tell_end(&node, &socket).await;
    }
    let waited = node.now().since(asked).as_millis().to_string();
    event(LogEvent::Stopped, &[("waited_ms", &waited)]);
    Ok(())
}

async fn release<E: Edge>(node: Arc<Node<E>>) {
    let _released_or_late = tokio::time::timeout(LAST_WORDS, leases::release(&node)).await;
}
