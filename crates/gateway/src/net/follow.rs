//! Follows the store.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{Revision, Time};
use rand::Rng;
use tokio::time::Instant;

use crate::decide::follower::{Follower, StoreRequest};
use crate::decide::kind::Kind;
use crate::edge::{Edge, Listing, ObjectStore};
use crate::error::StoreError;

use super::log::{LogEvent, event};
use super::node::Node;
use super::sync::apply;

/// Pause between looks whether this instance is to follow the store.
const ROLE_LOOK: Duration = Duration::from_millis(150);
/// Factor of pauses after a failure, so that instances that were turned away together don't ask
/// together again.
const SPREAD: Range<f64> = 0.5..1.5;

/// Follows one kind of objects until the process ends, whenever this instance is to.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>, kind: Kind) {
    // Of two that start at once, the one that lists last finds the other one's registration, and makes
    // itself known to it.
    match kind {
        Kind::Members => node.registered().await,
        _ => node.met().await,
    }
    let mut follower = Follower::new(kind, None);
    let mut lost = false;
    let mut told = None;
    loop {
        // Who the others are is listed once by each.
        if kind != Kind::Members || follower.after().is_some() {
            let follows = is_followed(&node, kind);
            if told.replace(follows) != Some(follows) {
                let fields = [("kind", kind.name()), ("follows", word(follows))];
                event(LogEvent::FollowChanged, &fields);
            }
            if !follows {
                tokio::time::sleep(ROLE_LOOK).await;
                continue;
            }
            if kind == Kind::Targets && follower.after().is_none() {
                follower.record_copy(node.tables().registry.revision());
            }
        }
        let begun = Instant::now();
        let pause = match call(&node, kind, follower.next_request()).await {
            Ok(listing) => {
                if std::mem::take(&mut lost) {
                    event(LogEvent::StoreBack, &[("kind", kind.name())]);
                }
                take(&node, &mut follower, listing)
            }
            Err(StoreError::HistoryGone) => {
                follower.record_history_gone();
                Duration::ZERO
            }
            Err(err) => {
                if !std::mem::replace(&mut lost, true) {
                    let cause = err.to_string();
                    let fields = [("kind", kind.name()), ("cause", &cause)];
                    event(LogEvent::StoreLost, &fields);
                }
                miss(&node, &mut follower, begun.elapsed())
            }
        };
        if kind == Kind::Members {
            node.meet();
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Takes in what the store told; gives the pause until the next call.
fn take<E: Edge>(node: &Node<E>, follower: &mut Follower, listing: Listing) -> Duration {
    let kind = follower.kind();
    if kind == Kind::Targets {
        let now = node.now();
        node.tables().registry.record_store_response(now);
    }
    let whole = follower.after().is_none();
    let pause = follower.record_response(listing.revision, !listing.objects.is_empty());
    apply(node, kind, listing, whole);
    pause
}

/// Notes a call that failed after so long; gives the pause until the next one.
fn miss<E: Edge>(node: &Node<E>, follower: &mut Follower, took: Duration) -> Duration {
    if follower.kind() == Kind::Targets {
        let now = node.now();
        node.tables().registry.record_store_failure(now);
    }
    follower.record_failure(took, rand::rng().random_range(SPREAD))
}

/// Whether this instance follows the store now; the list of targets keeps since when.
fn is_followed<E: Edge>(node: &Node<E>, kind: Kind) -> bool {
    let now = node.now();
    let mut tables = node.tables();
    let follows = tables.follows_store(now);
    if kind == Kind::Targets {
        tables.registry.set_following(follows, now);
    }
    follows
}

async fn call<E: Edge>(
    node: &Node<E>,
    kind: Kind,
    ask: StoreRequest,
) -> Result<Listing, StoreError> {
    let asked = node.now();
    node.tables().store_calls.record_start(kind, asked);
    let news = match ask {
        StoreRequest::List => node.store.list(kind).await,
        StoreRequest::Watch { after, wait } => node.store.watch(kind, after, wait).await,
    };
    tell_ended(node, kind, ask, &news, asked);
    news
}

const fn word(yes: bool) -> &'static str {
    if yes { "true" } else { "false" }
}

/// Tells that a call has ended: how long it was open and with what outcome.
fn tell_ended<E: Edge>(
    node: &Node<E>,
    kind: Kind,
    ask: StoreRequest,
    news: &Result<Listing, StoreError>,
    asked: Time,
) {
    let now = node.now();
    let outcome = match news {
        Ok(_) => "answered",
        Err(StoreError::HistoryGone) => "history_gone",
        Err(_) => "failed",
    };
    node.metrics.store_called(kind, outcome);
    let answered = matches!(news, Ok(_) | Err(StoreError::HistoryGone));
    node.tables().store_calls.record_end(kind, answered, now);
    let (call, after) = match ask {
        StoreRequest::List => ("list", Revision::default()),
        StoreRequest::Watch { after, .. } => ("watch", after),
    };
    let after = after.to_string();
    let waited = now.since(asked).as_millis().to_string();
    let objects = news.as_ref().map_or(0, |listing| listing.objects.len());
    let objects = objects.to_string();
    event(
        LogEvent::StoreCallEnded,
        &[
            ("kind", kind.name()),
            ("call", call),
            ("after", &after),
            ("waited_ms", &waited),
            ("outcome", outcome),
            ("objects", &objects),
        ],
    );
}
