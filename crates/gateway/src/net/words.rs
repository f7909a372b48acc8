//! Words on what engines hold, told to all instances in batches.
//!
//! A load changes what one engine holds, and every instance must hear of it to send requests there.
//! One datagram a load and peer would be thousands a second in a large fleet; whoever waits for the load
//! is told at once, the others with the next batch.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use bluebellstage_core::TargetId;

use crate::edge::Edge;
use crate::packet::{Holdings, Packet};

use super::node::{Node, Receiver};

/// Batches in one round of gossip: 25 ms apart in a small fleet, 0.3 s in one of 300.
const BATCHES_IN_A_ROUND: u32 = 4;
/// Bytes of words in one datagram; a word of 30 adapters has some 400.
const BATCH_BYTES: usize = 6 * 1_024;

/// Words that wait for the next batch; a newer one on an engine replaces the one before.
#[derive(Debug, Default)]
pub(super) struct Words {
    waiting: Mutex<HashMap<TargetId, Holdings>>,
}

impl Words {
    pub(super) fn queue(&self, word: Holdings) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.insert(word.target.clone(), word);
    }

    fn take(&self) -> Vec<Holdings> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.drain().map(|(_, word)| word).collect()
    }
}

/// Sends what waits until the process ends.
pub(super) async fn run<E: Edge>(node: &Node<E>) {
    loop {
        let round = node.tables().peers.round(node.now());
        tokio::time::sleep(round / BATCHES_IN_A_ROUND).await;
        for batch in batches(node.words.take()) {
            node.send(Receiver::All, Packet::Holdings(batch));
        }
    }
}

fn batches(words: Vec<Holdings>) -> Vec<Vec<Holdings>> {
    let mut batches = Vec::<Vec<Holdings>>::new();
    let mut room = 0;
    for word in words {
        let bytes = word.estimated_bytes();
        if bytes > room {
            batches.push(Vec::new());
            room = BATCH_BYTES;
        }
        room = room.saturating_sub(bytes);
        if let Some(batch) = batches.last_mut() {
            batch.push(word);
        }
    }
    batches
}
