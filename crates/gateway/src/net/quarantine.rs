//! Carries out the quarantine of requests under which targets end: tells the others, keeps verdicts in the store.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use crate::decide::quarantine::{Ended, Fingerprint, Verdict, Word};
use crate::decide::rendezvous::ShortHash;
use crate::edge::{Content, Edge, Kind, ObjectStore};
use crate::error::StoreError;
use crate::packet::Packet;

use super::log::{LogEvent, event};
use super::node::{Node, Receiver};
use super::sync::apply;

/// First and longest pause between two tries to reach the store.
const STORE_PAUSE: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];
/// Time after the start in which the verdicts are read, if the store answers.
const READS_FOR: Duration = Duration::from_secs(20);

/// A target ended under requests of this instance.
pub(super) fn ended<E: Edge>(node: &Node<E>, ended: &Ended) {
    let now = node.now();
    let words = node.tables().quarantine.ended(ended, now);
    tell(node, words);
}

/// Judges the requests that were on a target which ended [`JUDGED_AFTER`] ago.
///
/// [`JUDGED_AFTER`]: crate::decide::quarantine::JUDGED_AFTER
pub(super) fn judge<E: Edge>(node: &Arc<Node<E>>, target: &TargetId, life: ShortHash) {
    let now = node.now();
    let refused = node.tables().quarantine.judge(life, now);
    for verdict in &refused {
        node.metrics.request_quarantined();
        let [request, target] = [verdict.request.to_string(), target.to_string()];
        let fields = [("fingerprint", &*request), ("target", &*target)];
        event(LogEvent::RequestQuarantined, &fields);
        tokio::spawn(keep(Arc::clone(node), *verdict));
    }
    tell(node, refused.into_iter().map(Word::Ruled).collect());
}

/// A request was answered whole.
pub(super) fn served<E: Edge>(node: &Node<E>, request: Fingerprint) {
    let now = node.now();
    let word = node.tables().quarantine.served(request, now);
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
    tell(node, vec![Word::Ruled(verdict)]);
    tokio::spawn(keep(Arc::clone(node), verdict));
    true
}

/// Tells all others at once, and again with the next rounds.
fn tell<E: Edge>(node: &Node<E>, words: Vec<Word>) {
    if words.is_empty() {
        return;
    }
    for word in &words {
        node.send(Receiver::Fleet, Packet::Quarantine(vec![word.clone()]));
    }
    node.tables().quarantine.tell_again(words);
}

/// Tells again what was told lately, `passed` after the round before.
pub(super) fn tell_again<E: Edge>(node: &Node<E>, passed: Duration) {
    let words = node.tables().quarantine.tell_round(passed);
    for word in words {
        node.send(Receiver::Fleet, Packet::Quarantine(vec![word]));
    }
}

/// Takes in what another instance told, and passes what is new on to those that ask this one for news.
pub(super) fn take<E: Edge>(node: &Node<E>, words: &[Word], now: Time) {
    let mut tables = node.tables();
    let mut news = Vec::new();
    for word in words {
        if tables.quarantine.take(word, now) {
            news.push(word.clone());
        }
    }
    let relays = tables.exchange.readers() > 0;
    drop(tables);
    if relays && !news.is_empty() {
        node.send(Receiver::Readers, Packet::Quarantine(news));
    }
}

/// Writes a verdict to the store, until it is there or a newer one is.
async fn keep<E: Edge>(node: Arc<Node<E>>, verdict: Verdict) {
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

/// Reads the verdicts that the store keeps, once, where this instance is one of those that ask the store first.
/// The others copy them from it.
pub(super) async fn read_verdicts<E: Edge>(node: Arc<Node<E>>) {
    node.met().await;
    let mut pause = STORE_PAUSE[0];
    let began = node.now();
    while node.now().since(began) < READS_FOR {
        let follows = node.tables().follows_store(node.now());
        if follows && let Ok(listing) = node.store.list(Kind::Verdicts).await {
            apply(&node, Kind::Verdicts, listing, true);
            return;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(STORE_PAUSE[1]);
    }
}
