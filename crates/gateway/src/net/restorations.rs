//! Writes again what a store has lost that was restored from an older copy.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::edge::Edge;

use super::log::{LogEvent, event};
use super::node::Node;
use super::{quarantine, sync};

/// Interval of the checks whether the store was restored.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay of the writes in milliseconds, so that not all instances write at once.
const WRITE_DELAY_MS: Range<u64> = 0..1_000;

/// Watches for restorations of the store until the process ends.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    let mut known = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !node.is_store_reached() {
            continue;
        }
        let era = node.store_era();
        let previous = known.replace(era);
        if previous.is_none_or(|previous| era <= previous) {
            continue;
        }
        let number = era.to_string();
        event(LogEvent::StoreRestored, &[("era", &number)]);
        node.metrics.store_restored();
        tokio::spawn(write_again(Arc::clone(&node)));
    }
}

/// Registers this instance again and stores the quarantine decisions that it knows.
async fn write_again<E: Edge>(node: Arc<Node<E>>) {
    let delay = rand::rng().random_range(WRITE_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(delay)).await;
    sync::register(Arc::clone(&node)).await;
    quarantine::store_all(&node);
}
