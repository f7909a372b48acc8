//! Carries out the quarantine of requests under which targets end: tells the others, keeps verdicts in the store.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use crate::decide::quarantine::{Crash, Fingerprint, QuarantineDecision, QuarantineMessage};
use crate::edge::{Content, Edge, Kind, ObjectStore};
use crate::error::StoreError;
use crate::packet::Packet;

use super::batches::batches;
use super::log::{LogEvent, event};
use super::node::{Node, Receiver};
use super::sync::apply;

/// First and longest pause between two tries to reach the store.
const STORE_PAUSE: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];

/// A target ended under requests of this instance.
pub(super) fn ended<E: Edge>(node: &Node<E>, ended: &Crash) {
    let now = node.now();
    let words = node.tables().quarantine.record_crash(ended, now);
    tell(node, words);
}

/// Judges requests of this instance that were on a target when it ended.
pub(super) fn judge<E: Edge>(node: &Arc<Node<E>>, target: &TargetId, requests: &[Fingerprint]) {
    let now = node.now();
    let refused = node.tables().quarantine.evaluate(requests, now);
    for verdict in &refused {
        node.metrics.request_quarantined();
        let [request, target] = [verdict.request.to_string(), target.to_string()];
        let fields = [("fingerprint", &*request), ("target", &*target)];
        event(LogEvent::RequestQuarantined, &fields);
        tokio::spawn(keep(Arc::clone(node), *verdict));
    }
    tell(
        node,
        refused
            .into_iter()
            .map(QuarantineMessage::Decided)
            .collect(),
    );
}

/// A request was answered whole.
pub(super) fn served<E: Edge>(node: &Node<E>, request: Fingerprint) {
    let now = node.now();
    let word = node.tables().quarantine.record_served(request, now);
    if let Some(word) = word {
        tell(node, vec![word]);
    }
}

/// An operator lets a request through again; false if it is not refused.
pub(super) fn clear<E: Edge>(node: &Arc<Node<E>>, request: Fingerprint) -> bool {
    let now = node.now();
    let Some(verdict) = node.tables().quarantine.clear(request, now) else {
        return false;
    };
    let name = request.to_string();
    event(LogEvent::QuarantineCleared, &[("fingerprint", &name)]);
    tell(node, vec![QuarantineMessage::Decided(verdict)]);
    tokio::spawn(keep(Arc::clone(node), verdict));
    true
}

/// Tells all others at once, and again with the next rounds.
fn tell<E: Edge>(node: &Node<E>, words: Vec<QuarantineMessage>) {
    if words.is_empty() {
        return;
    }
    send(node, &Receiver::Fleet, words.clone());
    node.tables().quarantine.queue_resend(words);
}

/// Sends words in as few datagrams as hold them.
fn send<E: Edge>(node: &Node<E>, to: &Receiver, words: Vec<QuarantineMessage>) {
    for batch in batches(words, QuarantineMessage::estimated_bytes) {
        node.send(to.clone(), Packet::Quarantine(batch));
    }
}

/// Tells again what was told lately, `passed` after the round before.
pub(super) fn tell_again<E: Edge>(node: &Node<E>, passed: Duration) {
    let words = node.tables().quarantine.messages_for_round(passed);
    send(node, &Receiver::Fleet, words);
}

/// Takes in what another instance told, and passes what is new on to those that ask this one for news.
pub(super) fn take<E: Edge>(node: &Node<E>, words: &[QuarantineMessage], now: Time) {
    let mut tables = node.tables();
    let mut news = Vec::new();
    for word in words {
        if tables.quarantine.apply(word, now) {
            news.push(word.clone());
        }
    }
    if tables.exchange.subscriber_count() > 0 {
        tables.quarantine.queue_forward(news, now);
    }
}

/// Passes on what others told lately to those that ask this instance for news.
pub(super) fn pass_on<E: Edge>(node: &Node<E>) {
    let now = node.now();
    let words = node.tables().quarantine.take_forwarded(now);
    send(node, &Receiver::Readers, words);
}

/// Forgets what is long ago, in the store as well: whoever starts later would take it up again.
pub(super) fn sweep<E: Edge>(node: &Arc<Node<E>>, now: Time) {
    let over = node.tables().quarantine.sweep(now);
    if over.is_empty() || !node.tables().follows_store(now) {
        return;
    }
    let node = Arc::clone(node);
    tokio::spawn(async move {
        for request in over {
            // One that stays is taken up again by a fleet that starts, and lasts an hour more.
            let name = request.to_string();
            let _removed_or_away = node.store.remove(Kind::Verdicts, &name).await;
        }
    });
}

/// Writes a verdict to the store, until it is there or a newer one is.
async fn keep<E: Edge>(node: Arc<Node<E>>, verdict: QuarantineDecision) {
    let name = verdict.request.to_string();
    let content = Content::Verdict(verdict);
    let mut pause = STORE_PAUSE[0];
    let mut at = None;
    loop {
        match node.store.write(Kind::Verdicts, &name, at, &content).await {
            Ok(_revision) => return,
            Err(StoreError::Conflict) => {
                let found = node.store.read(Kind::Verdicts, &name).await;
                if let Ok(Some(found)) = found {
                    let known = match found.content {
                        Some(Content::Verdict(known)) => Some(known),
                        _ => None,
                    };
                    if known.is_some_and(|known| !verdict.replaces(&known)) {
                        return;
                    }
                    at = Some(found.revision);
                }
            }
            Err(_away) => {}
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(STORE_PAUSE[1]);
    }
}

/// Reads the verdicts that the store keeps, once, as soon as this instance is one of those that ask the store.
/// The others copy them from it.
pub(super) async fn read_verdicts<E: Edge>(node: Arc<Node<E>>) {
    node.met().await;
    let mut pause = STORE_PAUSE[0];
    loop {
        let follows = node.tables().follows_store(node.now());
        if follows && let Ok(listing) = node.store.list(Kind::Verdicts).await {
            apply(&node, Kind::Verdicts, listing, true);
            return;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(STORE_PAUSE[1]);
    }
}
