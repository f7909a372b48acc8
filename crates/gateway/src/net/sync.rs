//! Follows the store and takes in what it tells.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Revision, TargetId, Time};
use rand::Rng;

use crate::decide::tables::Tables;
use crate::decide::target::Target;
use crate::edge::{Content, Edge, Kind, Listing, Object, ObjectStore};
use crate::error::StoreError;

use super::listing_turn;
use super::log::{LogEvent, event};
use super::node::Node;

/// Longest wait of a watch; each is a call that is paid for. The store keeps 20 s of history: a
/// longer wait may end in a list.
const WATCH_WAIT: Duration = Duration::from_secs(17);
/// The same for targets. They report every second or so: a watch that hears nothing for longer has
/// lost its connection, and others must follow in this instance's place.
const TARGETS_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after news of targets: their registrations change with each heartbeat, and each answer
/// costs a call. A leaving target must be known everywhere within 2 s.
const TARGETS_PAUSE: Duration = Duration::from_millis(800);
/// Pause between looks whether this instance is to follow the store.
const ROLE_LOOK: Duration = Duration::from_millis(150);
/// Pause after other news, so that a burst of changes takes one call.
const PAUSE: Duration = Duration::from_millis(100);
/// First and longest pause after a call that failed.
const RETRY_PAUSE: [Duration; 2] = [Duration::from_millis(150), Duration::from_secs(1)];

/// A pause that differs between instances that were turned away together.
fn spread(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Follows one kind of objects until the process ends, whenever this instance is to.
pub(super) async fn follow<E: Edge>(node: Arc<Node<E>>, kind: Kind) {
    let mut after = match kind {
        Kind::Targets => listing_turn::first_targets(&node).await,
        _ => None,
    };
    let mut pause = RETRY_PAUSE[0];
    let mut lost = false;
    let mut followed = None;
    let wait = if kind == Kind::Targets {
        TARGETS_WAIT
    } else {
        WATCH_WAIT
    };
    loop {
        let now = node.now();
        if after.is_some() {
            let follows = node.tables().follows_store(now);
            if followed != Some(follows) {
                followed = Some(follows);
                let fields = [("kind", kind.name()), ("follows", word(follows))];
                event(LogEvent::FollowChanged, &fields);
            }
            if kind == Kind::Targets {
                node.tables().registry.follow(follows, now);
            }
            if !follows {
                tokio::time::sleep(ROLE_LOOK).await;
                continue;
            }
        }
        let asked = node.now();
        node.tables().store_waits.asked(kind, asked);
        let news = match after {
            None => node.store.list(kind).await,
            Some(after) => node.store.watch(kind, after, wait).await,
        };
        tell_ended(&node, kind, after, &news, asked);
        match news {
            Ok(listing) => {
                if std::mem::take(&mut lost) {
                    event(LogEvent::StoreBack, &[("kind", kind.name())]);
                }
                pause = RETRY_PAUSE[0];
                if kind == Kind::Targets {
                    let now = node.now();
                    node.tables().registry.heard_store(now);
                }
                let whole = after.is_none();
                after = Some(listing.revision);
                let any = !listing.objects.is_empty();
                apply(&node, kind, listing, whole);
                if any && !whole {
                    tokio::time::sleep(pause_after(kind)).await;
                }
            }
            Err(StoreError::HistoryGone) => after = None,
            Err(err) => {
                if !std::mem::replace(&mut lost, true) {
                    let cause = err.to_string();
                    let fields = [("kind", kind.name()), ("cause", &cause)];
                    event(LogEvent::StoreLost, &fields);
                }
                if kind == Kind::Targets {
                    let now = node.now();
                    node.tables().registry.store_lost(now);
                }
                tokio::time::sleep(spread(pause)).await;
                pause = (pause * 2).min(RETRY_PAUSE[1]);
            }
        }
    }
}

const fn word(yes: bool) -> &'static str {
    if yes { "true" } else { "false" }
}

/// Tells that a call has ended: how long it was open and with what outcome.
fn tell_ended<E: Edge>(
    node: &Node<E>,
    kind: Kind,
    after: Option<Revision>,
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
    node.tables().store_waits.ended(kind, answered, now);
    let call = if after.is_some() { "watch" } else { "list" };
    let after = after.unwrap_or_default().to_string();
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

fn pause_after(kind: Kind) -> Duration {
    if kind == Kind::Targets {
        TARGETS_PAUSE
    } else {
        PAUSE
    }
}

fn apply<E: Edge>(node: &Node<E>, kind: Kind, listing: Listing, whole: bool) {
    let revision = listing.revision;
    if whole && kind == Kind::Targets {
        let targets = listing.objects.into_iter().filter_map(target_of).collect();
        replace_targets(node, targets, revision);
        return;
    }
    let before = known(&node.tables());
    for object in listing.objects {
        apply_one(node, kind, object);
    }
    if kind == Kind::Targets {
        node.tables().registry.seen(revision);
    }
    if known(&node.tables()) != before {
        node.news.notify_one();
    }
    node.changed.notify_waiters();
}

/// What peers compare to tell whether this instance knows something that they lack.
fn known(tables: &Tables) -> (Revision, u32, u64) {
    (
        tables.routes.version(),
        tables.registry.digest(),
        tables.versions.total(),
    )
}

fn target_of(object: Object) -> Option<Target> {
    match object.content? {
        Content::Target(target) => Some(*target),
        Content::Malformed(cause) => {
            tell_malformed(&object.name, &cause);
            None
        }
        _ => None,
    }
}

fn tell_malformed(name: &str, cause: &str) {
    event(
        LogEvent::ObjectMalformed,
        &[("object", name), ("cause", cause)],
    );
}

fn replace_targets<E: Edge>(node: &Node<E>, targets: Vec<Target>, revision: Revision) {
    let now = node.now();
    let mut tables = node.tables();
    for target in &targets {
        tables.residency.registered(target, now);
    }
    tables.registry.replace(targets, revision, now);
    drop(tables);
    node.changed.notify_waiters();
}

fn apply_one<E: Edge>(node: &Node<E>, kind: Kind, object: Object) {
    let now = node.now();
    let Object {
        name,
        revision,
        removed,
        content,
    } = object;
    if removed {
        remove(node, kind, &name, revision);
        return;
    }
    match content {
        Some(Content::Config(config)) => adopt(node, *config),
        Some(Content::Target(target)) => put_target(node, *target, revision),
        Some(Content::AdapterVersion(news)) => {
            if node.tables().versions.announce(&news, now) {
                let [adapter, version] = [news.key.to_string(), news.version.to_string()];
                event(
                    LogEvent::VersionAnnounced,
                    &[("adapter", &adapter), ("version", &version)],
                );
                node.loader_work.notify_waiters();
            }
        }
        Some(Content::Member(member)) => {
            let mut tables = node.tables();
            if member.name != tables.me.name {
                tables.peers.registered(*member);
            }
        }
        Some(Content::Malformed(cause)) => {
            tell_malformed(&name, &cause);
            if kind == Kind::Targets {
                remove(node, kind, &name, revision);
            }
        }
        Some(Content::Lease(_)) | None => {}
    }
}

fn remove<E: Edge>(node: &Node<E>, kind: Kind, name: &str, revision: Revision) {
    let now = node.now();
    match kind {
        Kind::Targets => {
            if let Ok(id) = TargetId::try_from(name) {
                node.tables().registry.remove(&id, revision, now);
                event(LogEvent::TargetGone, &[("target", name)]);
            }
        }
        Kind::Members => {
            if let Ok(name) = InstanceId::try_from(name) {
                node.tables().peers.unregistered(&name, now);
            }
        }
        Kind::Config | Kind::AdapterVersions | Kind::Leases => {}
    }
}

pub(super) fn adopt<E: Edge>(node: &Node<E>, config: crate::decide::config::Config) {
    let version = config.version.to_string();
    let now = node.now();
    if node.tables().adopt(config, now) {
        event(LogEvent::ConfigAdopted, &[("version", &version)]);
        node.changed.notify_waiters();
    }
}

fn put_target<E: Edge>(node: &Node<E>, target: Target, revision: Revision) {
    let now = node.now();
    let mut tables = node.tables();
    let before = tables.registry.get(&target.id);
    let told = match before {
        None => Some(LogEvent::TargetAdded),
        Some(before) if !before.leaving && target.leaving => Some(LogEvent::TargetLeaving),
        Some(_) => None,
    };
    if let Some(told) = told {
        let [id, address] = [target.id.to_string(), target.address.to_string()];
        event(told, &[("target", &id), ("address", &address)]);
    }
    tables.residency.registered(&target, now);
    tables.registry.put(target, revision, now);
}

/// Registers this instance, until it is done or the process stops.
pub(super) async fn register<E: Edge>(node: Arc<Node<E>>) {
    let member = node.settings.member.clone();
    let name = member.name.to_string();
    let content = Content::Member(Box::new(member));
    let mut pause = RETRY_PAUSE[0];
    let mut at = None;
    while !node.stopping() {
        match node.store.write(Kind::Members, &name, at, &content).await {
            Ok(_revision) => return,
            Err(StoreError::Conflict) => {
                let before = node.store.read(Kind::Members, &name).await;
                at = before.ok().flatten().map(|object| object.revision);
            }
            Err(_away) => {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY_PAUSE[1]);
            }
        }
    }
}
