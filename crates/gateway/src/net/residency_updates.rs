//! Words on what engines hold, told to all instances in batches.
//!
//! A load changes what one engine holds, and every instance must hear of it to send requests there.
//! One datagram a load and peer would be thousands a second in a large fleet; whoever waits for the load
//! is told at once, the others with the next batch, in a large fleet through the relays.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bluebellstage_core::TargetId;

use crate::edge::Edge;
use crate::packet::{Packet, ResidencyUpdate};

use super::batches::batches;
use super::node::{Destination, Node};
use super::quarantine;

/// Pause between two batches.
const BATCH_EVERY: Duration = Duration::from_millis(25);

/// Words that wait for the next batch; a newer one on an engine replaces the one before.
#[derive(Debug, Default)]
pub(super) struct ResidencyQueue {
    /// For all instances.
    own: Mutex<HashMap<TargetId, ResidencyUpdate>>,
    /// From others, for those that ask this instance for news.
    passed_on: Mutex<HashMap<TargetId, ResidencyUpdate>>,
}

fn queue(waiting: &Mutex<HashMap<TargetId, ResidencyUpdate>>, word: ResidencyUpdate) {
    let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
    waiting.insert(word.target.clone(), word);
}

fn take(waiting: &Mutex<HashMap<TargetId, ResidencyUpdate>>) -> Vec<ResidencyUpdate> {
    let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
    waiting.drain().map(|(_, word)| word).collect()
}

impl ResidencyQueue {
    /// Queues a word for all instances.
    pub(super) fn queue(&self, word: ResidencyUpdate) {
        queue(&self.own, word);
    }

    /// Queues another instance's word for those that ask this one for news.
    pub(super) fn pass_on(&self, word: ResidencyUpdate) {
        queue(&self.passed_on, word);
    }
}

/// Sends what waits until the process ends.
pub(super) async fn run<E: Edge>(node: &Node<E>) {
    loop {
        tokio::time::sleep(BATCH_EVERY).await;
        for batch in batches(
            take(&node.residency_updates.own),
            ResidencyUpdate::estimated_bytes,
        ) {
            node.send(Destination::Fleet, Packet::ResidencyUpdates(batch));
        }
        for batch in batches(
            take(&node.residency_updates.passed_on),
            ResidencyUpdate::estimated_bytes,
        ) {
            node.send(Destination::Subscribers, Packet::ResidencyUpdates(batch));
        }
        quarantine::forward_queued(node);
    }
}
