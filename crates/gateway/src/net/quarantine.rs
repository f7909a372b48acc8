//! Carries out the quarantine of requests under which targets crash: sends messages to the other instances and
//! stores the decisions.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use crate::decide::quarantine::{
    AgedDecision, Crash, Fingerprint, QuarantineDecision, QuarantineMessage,
};
use crate::edge::{Content, Edge, Kind, ObjectStore};
use crate::error::StoreError;
use crate::packet::Packet;

use super::batches::batches;
use super::log::{LogEvent, event};
use super::node::{Destination, Node};
use super::sync::apply;

/// Initial and max backoff between two attempts to reach the store.
const STORE_BACKOFF: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];

/// Records and publishes the crash of a target that ran requests of this instance.
pub(super) fn record_crash<E: Edge>(node: &Node<E>, crash: &Crash) {
    let now = node.now();
    let messages = node.tables().quarantine.record_crash(crash, now);
    publish(node, messages);
}

/// Evaluates requests of this instance that were in flight at a target when it crashed. Logs, stores and
/// publishes the decisions to quarantine them.
pub(super) fn evaluate<E: Edge>(node: &Arc<Node<E>>, target: &TargetId, requests: &[Fingerprint]) {
    let now = node.now();
    let refused = node.tables().quarantine.evaluate(requests, now);
    for decision in &refused {
        node.metrics.crashes.request_quarantined();
        let [request, target] = [decision.request.to_string(), target.to_string()];
        let fields = [("fingerprint", &*request), ("target", &*target)];
        event(LogEvent::RequestQuarantined, &fields);
        tokio::spawn(store_decision(Arc::clone(node), *decision));
    }
    publish(
        node,
        refused
            .into_iter()
            .map(QuarantineMessage::Decided)
            .collect(),
    );
}

/// Records that a request got a complete response; publishes that if other instances need to know.
pub(super) fn record_served<E: Edge>(node: &Node<E>, request: Fingerprint) {
    let now = node.now();
    let message = node.tables().quarantine.record_served(request, now);
    if let Some(message) = message {
        publish(node, vec![message]);
    }
}

/// Clears the quarantine of a request for an operator; returns `false` if the request is not quarantined.
pub(super) fn clear<E: Edge>(node: &Arc<Node<E>>, request: Fingerprint) -> bool {
    let now = node.now();
    let Some(decision) = node.tables().quarantine.clear(request, now) else {
        return false;
    };
    let name = request.to_string();
    event(LogEvent::QuarantineCleared, &[("fingerprint", &name)]);
    publish(node, vec![QuarantineMessage::Decided(decision)]);
    tokio::spawn(store_decision(Arc::clone(node), decision));
    true
}

/// Sends messages to all other instances immediately, and again in the next rounds.
fn publish<E: Edge>(node: &Node<E>, messages: Vec<QuarantineMessage>) {
    if messages.is_empty() {
        return;
    }
    send(node, &Destination::Fleet, messages.clone());
    node.tables().quarantine.queue_resend(messages);
}

/// Sends messages in as few datagrams as possible.
fn send<E: Edge>(node: &Node<E>, to: &Destination, messages: Vec<QuarantineMessage>) {
    for batch in batches(messages, QuarantineMessage::estimated_bytes) {
        node.send(to.clone(), Packet::Quarantine(batch));
    }
}

/// Sends recent messages again, `elapsed` after the previous round.
pub(super) fn resend<E: Edge>(node: &Node<E>, elapsed: Duration) {
    let messages = node.tables().quarantine.messages_for_round(elapsed);
    send(node, &Destination::Fleet, messages);
}

/// Applies messages of another instance and queues the new ones for this instance's subscribers.
pub(super) fn receive<E: Edge>(node: &Node<E>, messages: &[QuarantineMessage], now: Time) {
    let mut tables = node.tables();
    let mut new_messages = Vec::new();
    for message in messages {
        if tables.quarantine.apply(message, now) {
            new_messages.push(message.clone());
        }
    }
    if tables.exchange.subscriber_count() > 0 {
        tables.quarantine.queue_forward(new_messages, now);
    }
}

/// Forwards queued messages of other instances to this instance's subscribers.
pub(super) fn forward_queued<E: Edge>(node: &Node<E>) {
    let now = node.now();
    let messages = node.tables().quarantine.take_forwarded(now);
    send(node, &Destination::Subscribers, messages);
}

/// Removes expired entries, also from the store: otherwise instances that start later would load them again.
pub(super) fn sweep<E: Edge>(node: &Arc<Node<E>>, now: Time) {
    let expired = node.tables().quarantine.sweep(now);
    if expired.is_empty() || !node.tables().follows_store(now) {
        return;
    }
    let node = Arc::clone(node);
    tokio::spawn(async move {
        for request in expired {
            // An entry that can't be removed is loaded again when the whole fleet starts, and lasts an hour more.
            let name = request.to_string();
            let _removed_or_away = node.store.remove(Kind::Verdicts, &name).await;
        }
    });
}

/// Stores all known decisions, if this instance follows the store.
pub(super) fn store_all<E: Edge>(node: &Arc<Node<E>>) {
    let now = node.now();
    let tables = node.tables();
    if !tables.follows_store(now) {
        return;
    }
    let known = tables.quarantine.decisions(now).collect::<Vec<_>>();
    drop(tables);
    for AgedDecision { decision, .. } in known {
        tokio::spawn(store_decision(Arc::clone(node), decision));
    }
}

/// Writes a decision to the store; retries until the store has it or a newer one.
async fn store_decision<E: Edge>(node: Arc<Node<E>>, decision: QuarantineDecision) {
    let name = decision.request.to_string();
    let content = Content::QuarantineDecision(decision);
    let mut backoff = STORE_BACKOFF[0];
    let mut at = None;
    loop {
        match node.store.write(Kind::Verdicts, &name, at, &content).await {
            Ok(_revision) => return,
            Err(StoreError::Conflict) => {
                let found = node.store.read(Kind::Verdicts, &name).await;
                if let Ok(Some(found)) = found {
                    let stored = match found.content {
                        Some(Content::QuarantineDecision(stored)) => Some(stored),
                        _ => None,
                    };
                    if stored.is_some_and(|stored| !decision.replaces(&stored)) {
                        return;
                    }
                    at = Some(found.revision);
                }
            }
            Err(_unavailable) => {}
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(STORE_BACKOFF[1]);
    }
}

/// Reads the stored decisions once, as soon as this instance follows the store. The other instances copy them
/// from it.
pub(super) async fn load_decisions<E: Edge>(node: Arc<Node<E>>) {
    node.wait_for_peer_list().await;
    let mut backoff = STORE_BACKOFF[0];
    loop {
        let is_following = node.tables().follows_store(node.now());
        if is_following && let Ok(listing) = node.store.list(Kind::Verdicts).await {
            apply(&node, Kind::Verdicts, listing, true);
            return;
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(STORE_BACKOFF[1]);
    }
}
