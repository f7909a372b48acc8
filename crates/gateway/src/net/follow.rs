//! Follows the store: lists objects and watches for changes.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{Revision, Time};
use rand::Rng;
use tokio::time::Instant;

use crate::decide::store::follower::{Follower, StoreRequest};
use crate::decide::store::kind::Kind;
use crate::decide::store::position::StorePosition;
use crate::edge::{Edge, Listing, ObjectStore};
use crate::error::StoreError;

use super::log::{LogEvent, event};
use super::node::Node;
use super::sync::apply;

/// Interval of the checks whether this instance should follow the store.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Random factor of the backoff after a failure, so that instances that were rejected at the same time
/// do not retry at the same time.
const BACKOFF_JITTER: Range<f64> = 0.5..1.5;

/// Follows one kind of objects until the process ends, while this instance is a follower of the store.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>, kind: Kind) {
    // Members are listed after the registration: of two instances that start at the same time, the one that
    // lists last finds the registration of the other and announces itself to it.
    match kind {
        Kind::Members => node.wait_for_registration().await,
        _ => node.wait_for_peer_list().await,
    }
    let mut follower = Follower::new(kind, None);
    let mut is_store_lost = false;
    let mut last_logged = None;
    loop {
        // Every instance lists the members once, whether it follows the store or not.
        if kind != Kind::Members || follower.after().is_some() {
            let is_following = is_followed(&node, kind);
            if last_logged.replace(is_following) != Some(is_following) {
                let fields = [("kind", kind.name()), ("follows", bool_name(is_following))];
                event(LogEvent::FollowChanged, &fields);
            }
            if !is_following {
                tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            if kind == Kind::Targets && follower.after().is_none() {
                follower.record_copy(node.tables().registry.revision());
            }
        }
        // One kind suffices to find out whether the store responds to a new instance.
        if kind != Kind::Members && !node.is_store_reached() && !node.tables().informed() {
            node.wait_for_store(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let started = Instant::now();
        let delay = match call(&node, kind, follower.next_request()).await {
            Ok(listing) => {
                node.mark_store_reached();
                if std::mem::take(&mut is_store_lost) {
                    event(LogEvent::StoreBack, &[("kind", kind.name())]);
                }
                apply_listing(&node, &mut follower, listing, started.elapsed())
            }
            Err(StoreError::HistoryGone) => {
                follower.record_history_gone(started.elapsed(), spread())
            }
            // The same watch would have the same response.
            Err(StoreError::Unread(cause)) if follower.after().is_some() => {
                let fields = [("kind", kind.name()), ("cause", &*cause)];
                event(LogEvent::WatchUnread, &fields);
                follower.record_unread(started.elapsed(), spread())
            }
            Err(err) => {
                if !std::mem::replace(&mut is_store_lost, true) {
                    let cause = err.to_string();
                    let fields = [("kind", kind.name()), ("cause", &cause)];
                    event(LogEvent::StoreLost, &fields);
                }
                record_failure(&node, &mut follower, started.elapsed())
            }
        };
        if kind == Kind::Members {
            node.mark_peers_listed();
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}

/// Applies the store's response to a call that took this long; returns the delay until the next call.
fn apply_listing<E: Edge>(
    node: &Node<E>,
    follower: &mut Follower,
    listing: Listing,
    took: Duration,
) -> Duration {
    let kind = follower.kind();
    if kind == Kind::Targets {
        let now = node.now();
        node.tables()
            .registry
            .record_store_response(listing.revision, now);
    }
    let is_full_list = follower.after().is_none();
    let delay = follower.record_response(listing.revision, !listing.objects.is_empty(), took);
    apply(node, kind, listing, is_full_list);
    delay
}

/// Records a call that failed after `took`; returns the delay until the next call.
fn record_failure<E: Edge>(node: &Node<E>, follower: &mut Follower, took: Duration) -> Duration {
    if follower.kind() == Kind::Targets || !node.is_store_reached() {
        let now = node.now();
        node.tables().registry.record_store_failure(now);
    }
    follower.record_failure(took, spread())
}

fn spread() -> f64 {
    rand::rng().random_range(BACKOFF_JITTER)
}

/// Returns whether this instance follows the store now, and records that for the registry of targets.
fn is_followed<E: Edge>(node: &Node<E>, kind: Kind) -> bool {
    let now = node.now();
    let mut tables = node.tables();
    let is_following = tables.follows_store(now);
    if kind == Kind::Targets {
        tables.registry.set_following(is_following, now);
    }
    is_following
}

async fn call<E: Edge>(
    node: &Node<E>,
    kind: Kind,
    request: StoreRequest,
) -> Result<Listing, StoreError> {
    let started = node.now();
    node.tables().store_calls.record_start(kind, started);
    let listing = match request {
        StoreRequest::List => node.store.list(kind).await,
        StoreRequest::Watch { after, wait } => node.store.watch(kind, after, wait).await,
    };
    record_call_end(node, kind, request, &listing, started);
    listing
}

const fn bool_name(yes: bool) -> &'static str {
    if yes { "true" } else { "false" }
}

/// Records and logs the end of a call: its duration and outcome.
fn record_call_end<E: Edge>(
    node: &Node<E>,
    kind: Kind,
    request: StoreRequest,
    listing: &Result<Listing, StoreError>,
    started: Time,
) {
    let now = node.now();
    let outcome = match listing {
        Ok(_) => "answered",
        Err(StoreError::HistoryGone) => "history_gone",
        Err(StoreError::Unread(_)) => "unread",
        Err(_) => "failed",
    };
    node.metrics.store_call_ended(kind, outcome);
    let has_responded = matches!(
        listing,
        Ok(_) | Err(StoreError::HistoryGone | StoreError::Unread(_))
    );
    node.tables()
        .store_calls
        .record_end(kind, has_responded, now);
    let (call, after) = match request {
        StoreRequest::List => ("list", Revision::default()),
        StoreRequest::Watch { after, .. } => ("watch", after),
    };
    let after = StorePosition::from(after).to_string();
    let elapsed = now.since(started).as_millis().to_string();
    let objects = listing.as_ref().map_or(0, |listing| listing.objects.len());
    let objects = objects.to_string();
    event(
        LogEvent::StoreCallEnded,
        &[
            ("kind", kind.name()),
            ("call", call),
            ("after", &after),
            ("waited_ms", &elapsed),
            ("outcome", outcome),
            ("objects", &objects),
        ],
    );
}
