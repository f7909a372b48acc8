//! Asks the store whether targets have other software versions than those that are known, for requests that wait for it.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::Revision;

use crate::decide::store::kind::Kind;
use crate::edge::{Content, Edge, Listing, ObjectStore};
use crate::error::StoreError;

use super::log::{LogEvent, event};
use super::node::Node;

/// Interval in which a call that was put off is due again.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Asks the store whenever a request waits for it, until the process ends.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    loop {
        if !node.tables().wants_confirmation() {
            node.confirmation_wanted.notified().await;
        }
        let now = node.now();
        let after = node.tables().begin_confirmation(now);
        match after {
            Some(after) => confirm(&node, after).await,
            None => tokio::time::sleep(CHECK_INTERVAL).await,
        }
    }
}

async fn confirm<E: Edge>(node: &Node<E>, after: Revision) {
    let started = node.now();
    let changes = node.store.watch(Kind::Targets, after, Duration::ZERO).await;
    node.metrics.streams.record_call("confirm", &changes);
    let now = node.now();
    let took = now.since(started).as_millis().to_string();
    let outcome = match record(node, changes) {
        Ok(()) => "answered".into(),
        Err(err) => err.to_string(),
    };
    let fields = [("outcome", &*outcome), ("waited_ms", &took)];
    event(LogEvent::VersionsConfirmed, &fields);
    // Requests wait for what was read.
    node.origin_replied.notify_waiters();
}

fn record<E: Edge>(node: &Node<E>, changes: Result<Listing, StoreError>) -> Result<(), StoreError> {
    let now = node.now();
    let mut tables = node.tables();
    match changes {
        Ok(listing) => {
            let objects = listing.objects.iter();
            let targets = objects.filter_map(|object| match &object.content {
                Some(Content::Target(target)) => Some(&**target),
                _ => None,
            });
            tables.record_confirmed(targets, now);
            Ok(())
        }
        Err(err) => {
            tables.record_confirmation_failed(now);
            Err(err)
        }
    }
}
