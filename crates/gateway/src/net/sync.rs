//! Follows the store, and peers while the store turns this instance away.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Revision, TargetId};
use bytes::Bytes;
use http::{Request, header};
use rand::Rng;
use rand::seq::SliceRandom;

use crate::decide::tables::Tables;
use crate::decide::target::Target;
use crate::edge::{Content, Edge, Kind, Listing, Object, ObjectStore};
use crate::error::{GatewayError, StoreError};

use super::caller::call;
use super::control::{COPY_PATH, Copy, Have};
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
/// Pause between two copies taken from peers.
const COPY_PAUSE: Duration = Duration::from_millis(300);
/// Time for a peer's copy; another peer is asked after it.
const COPY_WITHIN: Duration = Duration::from_millis(600);
/// Peers that are asked in turn.
const COPY_SOURCES: usize = 4;
/// Time that the store has at the start before peers are asked.
const STORE_FIRST: Duration = Duration::from_millis(400);

/// Instances that may list all targets at once after a start: a list of 1,000 is two calls, and the
/// store reads 2,000 a second.
const LIST_AT_ONCE: usize = 100;
/// Time over which the lists of a larger fleet are spread, for each instance. Of 300 that had started
/// at once each listed 3,000 targets in six calls; the store turned most of them away, lists that
/// broke off began anew, and callers were served again after 30 s.
const SPREAD_LISTS: Duration = Duration::from_millis(5);
/// Looks for the list of instances, and the pause between them: the store answers in some 8 ms, and a
/// fleet that starts for the first time has no list.
const MEMBER_LOOKS: u32 = 5;
const MEMBER_LOOK: Duration = Duration::from_millis(10);
/// Pause between looks whether a peer has told the targets meanwhile.
const COPY_LOOK: Duration = Duration::from_millis(50);

/// Waits for this instance's turn to list the targets. Gives the revision to follow them from, if a
/// peer told them first.
async fn first_targets<E: Edge>(node: &Node<E>) -> Option<Revision> {
    let fleet = known_fleet(node).await;
    if fleet < LIST_AT_ONCE {
        return None;
    }
    let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
    let turn = SPREAD_LISTS.saturating_mul(fleet);
    let turn = node.now() + turn.mul_f64(rand::rng().random_range(0.0..1.0));
    while node.now() < turn {
        let known = node.tables().registry.revision();
        if known > Revision::default() {
            return Some(known);
        }
        tokio::time::sleep(COPY_LOOK).await;
    }
    None
}

/// Size of the fleet as the store's list of instances tells it, which is one call.
async fn known_fleet<E: Edge>(node: &Node<E>) -> usize {
    for _ in 0..MEMBER_LOOKS {
        let fleet = node.tables().peers.all().count();
        if fleet > 0 {
            return fleet;
        }
        tokio::time::sleep(MEMBER_LOOK).await;
    }
    0
}

/// A pause that differs between instances that were turned away together.
fn spread(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Follows one kind of objects until the process ends, whenever this instance is to.
pub(super) async fn follow<E: Edge>(node: Arc<Node<E>>, kind: Kind) {
    let mut after = match kind {
        Kind::Targets => first_targets(&node).await,
        _ => None,
    };
    let mut pause = RETRY_PAUSE[0];
    let mut lost = false;
    let wait = if kind == Kind::Targets {
        TARGETS_WAIT
    } else {
        WATCH_WAIT
    };
    loop {
        let now = node.now();
        if after.is_some() {
            let follows = node.tables().follows_store(now);
            if kind == Kind::Targets {
                node.tables().registry.follow(follows, now);
            }
            if !follows {
                tokio::time::sleep(ROLE_LOOK).await;
                continue;
            }
        }
        let news = match after {
            None => node.store.list(kind).await,
            Some(after) => node.store.watch(kind, after, wait).await,
        };
        let outcome = match &news {
            Ok(_) => "answered",
            Err(StoreError::HistoryGone) => "history_gone",
            Err(_) => "failed",
        };
        node.metrics.store_called(outcome);
        match news {
            Ok(listing) => {
                if std::mem::take(&mut lost) {
                    event(LogEvent::StoreBack, &[("kind", &format!("{kind:?}"))]);
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
                    let kind = format!("{kind:?}");
                    let cause = err.to_string();
                    event(LogEvent::StoreLost, &[("kind", &kind), ("cause", &cause)]);
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

fn adopt<E: Edge>(node: &Node<E>, config: crate::decide::config::Config) {
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

/// Takes newer state from peers until the process ends.
pub(super) async fn copy_from_peers<E: Edge>(node: Arc<Node<E>>) {
    tokio::time::sleep(STORE_FIRST).await;
    loop {
        let configured = node.tables().configured();
        let sources = if configured {
            node.peer_is_newer.notified().await;
            tokio::time::sleep(COPY_PAUSE).await;
            newer_peers(&node)
        } else {
            starters(&node)
        };
        for address in sources {
            let have = have(&node.tables());
            match copy(address, have).await {
                Ok(copy) => {
                    take(&node, copy);
                    event(LogEvent::PeerCopyTaken, &[("peer", &address.to_string())]);
                    break;
                }
                Err(err) => event(
                    LogEvent::PeerCopyFailed,
                    &[("peer", &address.to_string()), ("cause", &err.to_string())],
                ),
            }
        }
        if !configured {
            tokio::time::sleep(COPY_PAUSE).await;
        }
    }
}

/// Peers that know something of the store that this instance doesn't; those of the own failure
/// domain first, so that a copy crosses between two once.
fn newer_peers<E: Edge>(node: &Node<E>) -> Vec<SocketAddr> {
    let tables = node.tables();
    let now = node.now();
    let newer = tables.peers.live(now).filter(|peer| tables.is_behind(peer));
    let mut newer = newer.collect::<Vec<_>>();
    // Whoever is first in some order would be asked by all at once, and answer none in time.
    newer.shuffle(&mut rand::rng());
    // One that has just lost the store keeps targets for a while that the others know to be gone.
    newer.sort_by_key(|peer| {
        let away = peer.member.failure_domain != tables.me.failure_domain;
        (!peer.store_answers, away)
    });
    let addresses = newer.iter().map(|peer| peer.member.control);
    addresses.take(COPY_SOURCES).collect()
}

fn starters<E: Edge>(node: &Node<E>) -> Vec<SocketAddr> {
    let seeds = node.terms().seeds.clone();
    let tables = node.tables();
    let me = tables.me.control;
    let peers = tables.peers.all().map(|peer| peer.member.control);
    seeds
        .into_iter()
        .chain(peers)
        .filter(|seed| *seed != me)
        .collect()
}

fn have(tables: &Tables) -> Have {
    Have {
        config: tables.routes.version(),
        targets: tables.registry.copied_up_to(),
        targets_digest: tables.registry.digest(),
        versions: tables.versions.total(),
        members: tables.peers.all().next().is_some(),
    }
}

async fn copy(address: SocketAddr, have: Have) -> Result<Copy, GatewayError> {
    let req = Request::get(format!("{COPY_PATH}?{have}"))
        .header(header::HOST, address.to_string())
        .body(Bytes::new())
        .map_err(|err| GatewayError::Exchange {
            address,
            cause: err.to_string().into(),
        })?;
    let (_, body) = call(address, req, COPY_WITHIN).await?;
    bincode::deserialize(&body).map_err(|err| GatewayError::Unreadable {
        from: address.to_string().into(),
        what: "a copy of its state",
        cause: err.to_string().into(),
    })
}

fn take<E: Edge>(node: &Node<E>, copy: Copy) {
    let now = node.now();
    if let Some(config) = copy.config {
        adopt(node, config);
    }
    let mut tables = node.tables();
    for news in &copy.versions {
        tables.versions.announce(news, now);
    }
    for member in copy.members {
        if member.name != tables.me.name {
            tables.peers.registered(member);
        }
    }
    if let Some(targets) = copy.targets {
        tables.registry.copy(targets, now);
    }
    drop(tables);
    node.changed.notify_waiters();
}
