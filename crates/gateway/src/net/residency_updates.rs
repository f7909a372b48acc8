//! Updates of the adapters resident on engines, sent to all instances in batches.
//!
//! A load changes the resident adapters of one engine, and every instance must receive that update to send
//! requests there. One datagram per load and peer would be thousands a second in a large fleet. Instances that
//! wait for the load get the update immediately; the others get it with the next batch, in a large fleet
//! through the relays.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bluebellstage_core::TargetId;

use crate::edge::Edge;
use crate::packet::{Packet, ResidencyUpdate};

use super::batches::batches;
use super::node::{Destination, Node};
use super::quarantine;

/// Interval between two batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(25);

/// Updates queued for the next batch; a newer update of an engine replaces the previous one.
#[derive(Debug, Default)]
pub(super) struct ResidencyQueue {
    /// Updates for all instances.
    local: Mutex<HashMap<TargetId, ResidencyUpdate>>,
    /// Updates from other instances, for the subscribers of this instance.
    forwarded: Mutex<HashMap<TargetId, ResidencyUpdate>>,
}

fn queue(waiting: &Mutex<HashMap<TargetId, ResidencyUpdate>>, update: ResidencyUpdate) {
    let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
    waiting.insert(update.target.clone(), update);
}

fn take(waiting: &Mutex<HashMap<TargetId, ResidencyUpdate>>) -> Vec<ResidencyUpdate> {
    let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
    waiting.drain().map(|(_, update)| update).collect()
}

impl ResidencyQueue {
    /// Queues an update for all instances.
    pub(super) fn queue(&self, update: ResidencyUpdate) {
        queue(&self.local, update);
    }

    /// Queues another instance's update for the subscribers of this instance.
    pub(super) fn forward(&self, update: ResidencyUpdate) {
        queue(&self.forwarded, update);
    }
}

/// Sends the queued updates until the process ends.
pub(super) async fn run<E: Edge>(node: &Node<E>) {
    loop {
        tokio::time::sleep(BATCH_INTERVAL).await;
        for batch in batches(
            take(&node.residency_updates.local),
            ResidencyUpdate::estimated_bytes,
        ) {
            node.send(Destination::Fleet, Packet::ResidencyUpdates(batch));
        }
        for batch in batches(
            take(&node.residency_updates.forwarded),
            ResidencyUpdate::estimated_bytes,
        ) {
            node.send(Destination::Subscribers, Packet::ResidencyUpdates(batch));
        }
        quarantine::forward_queued(node);
    }
}
