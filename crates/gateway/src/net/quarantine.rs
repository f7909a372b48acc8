//! Carries out the quarantine of requests and prompt parts under which targets crash: sends messages to the other instances and
//! stores the decisions.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use crate::decide::call::Call;
use crate::decide::quarantine::{
    AgedDecision, Crash, DecisionKind, Fingerprint, QuarantineDecision, QuarantineMessage, Suspect,
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

/// Evaluates requests of this instance that were in flight at a target when it crashed, and the parts of their
/// prompts.
pub(super) fn evaluate<E: Edge>(node: &Arc<Node<E>>, target: &TargetId, requests: &[Fingerprint]) {
    let now = node.now();
    let refused = node.tables().quarantine.evaluate(requests, now);
    enforce(node, refused, target.as_str());
}

/// Clears parts of suspicion with which targets outlived runs, and evaluates the others: the cause may stand out now.
pub(super) fn review_parts<E: Edge>(node: &Arc<Node<E>>) {
    let now = node.now();
    let mut tables = node.tables();
    let survivals = tables.quarantine.record_survivals(now);
    let refused = tables.quarantine.evaluate_parts(now);
    drop(tables);
    publish(node, survivals);
    enforce(node, refused, "");
}

/// Logs, stores and publishes decisions of this instance to refuse requests or parts. `target` is the one that crashed
/// last, if that led to the decision.
fn enforce<E: Edge>(node: &Arc<Node<E>>, refused: Vec<QuarantineDecision>, target: &str) {
    for decision in &refused {
        log_refused(node, decision.suspect, target);
        tokio::spawn(store_decision(Arc::clone(node), *decision));
    }
    if !refused.is_empty() {
        node.quarantine_changed.notify_waiters();
    }
    let decisions = refused.into_iter().map(QuarantineMessage::Decided);
    publish(node, decisions.collect());
}

fn log_refused<E: Edge>(node: &Node<E>, suspect: Suspect, target: &str) {
    node.metrics.crashes.quarantined(suspect);
    let (log_event, field, name) = match suspect {
        Suspect::Request(request) => (
            LogEvent::RequestQuarantined,
            "fingerprint",
            request.to_string(),
        ),
        Suspect::Part(part) => (LogEvent::PartQuarantined, "part", part.to_string()),
    };
    event(log_event, &[(field, &name), ("target", target)]);
}

/// Records that a request got a complete response; publishes that if other instances need to know.
pub(super) fn record_served<E: Edge>(node: &Node<E>, request: Fingerprint) {
    let now = node.now();
    let message = node.tables().quarantine.record_served(request, now);
    if let Some(message) = message {
        publish(node, vec![message]);
    }
}

/// Clears the quarantine of a request or a part for an operator; returns `false` if it is not quarantined.
pub(super) fn clear<E: Edge>(node: &Arc<Node<E>>, suspect: Suspect) -> bool {
    let now = node.now();
    let Some(decision) = node.tables().quarantine.clear(suspect, now) else {
        return false;
    };
    let name = suspect.to_string();
    event(LogEvent::QuarantineCleared, &[("suspect", &name)]);
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
    if new_messages.iter().any(is_refusal) {
        node.quarantine_changed.notify_waiters();
    }
    if tables.exchange.subscriber_count() > 0 {
        tables.quarantine.queue_forward(new_messages, now);
    }
}

fn is_refusal(message: &QuarantineMessage) -> bool {
    let QuarantineMessage::Decided(decision) = message else {
        return false;
    };
    decision.kind == DecisionKind::Refused
}

/// Waits until a request or a part of its prompt is refused.
pub(super) async fn until_refused<E: Edge>(node: &Node<E>, request: Fingerprint, call: &Call) {
    loop {
        let changed = node.quarantine_changed.notified();
        if refused_suspect(node, request, call).is_some() {
            return;
        }
        changed.await;
    }
}

/// Returns why a request must not be sent: itself, or a part of its prompt.
pub(super) fn refused_suspect<E: Edge>(
    node: &Node<E>,
    request: Fingerprint,
    call: &Call,
) -> Option<Suspect> {
    let tables = node.tables();
    tables
        .quarantine
        .refused_suspect(request, &call.prompt_parts)
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
        for suspect in expired {
            // An entry that can't be removed is loaded again when the whole fleet starts, and lasts an hour more.
            let name = suspect.to_string();
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
    let name = decision.suspect.to_string();
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
