//! Applies objects and changes from the store, and registers this instance there.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{FailureDomain, InstanceId, Revision, TargetId};

use crate::decide::adapters::adapter::VersionedAdapter;
use crate::decide::adapters::versions::MAX_ANNOUNCEMENT_AGE;
use crate::decide::evacuations::EvacuationChange;
use crate::decide::target::Target;
use crate::edge::{Content, Edge, Kind, Listing, Object, ObjectStore};
use crate::error::StoreError;

use super::log::{LogEvent, event};
use super::node::Node;

/// Initial and max backoff between attempts to register.
const REGISTER_BACKOFF: [Duration; 2] = [Duration::from_millis(150), Duration::from_secs(1)];

/// Applies a full list, or changes, of one kind of objects.
pub(super) fn apply<E: Edge>(node: &Node<E>, kind: Kind, listing: Listing, is_full_list: bool) {
    let revision = listing.revision;
    if is_full_list && kind == Kind::Targets {
        let targets = listing
            .objects
            .into_iter()
            .filter_map(|object| target_of(node, object));
        let targets = targets.collect();
        replace_targets(node, targets, revision);
        return;
    }
    if kind == Kind::Evacuations {
        apply_evacuations(node, listing, is_full_list);
        return;
    }
    // A list does not say when its objects were announced.
    let age = if is_full_list {
        MAX_ANNOUNCEMENT_AGE
    } else {
        Duration::ZERO
    };
    for object in listing.objects {
        apply_one(node, kind, object, age);
    }
    if kind == Kind::Targets {
        node.tables().registry.advance_revision(revision);
    }
    node.changed.notify_waiters();
}

fn target_of<E: Edge>(node: &Node<E>, object: Object) -> Option<Target> {
    match object.content? {
        Content::Target(target) => Some(*target),
        Content::Malformed(cause) => {
            record_malformed(node, Kind::Targets, &object.name, &cause);
            None
        }
        _ => None,
    }
}

pub(super) fn record_malformed<E: Edge>(node: &Node<E>, kind: Kind, name: &str, cause: &str) {
    node.metrics.malformed_object(kind);
    event(
        LogEvent::ObjectMalformed,
        &[("object", name), ("cause", cause)],
    );
}

fn replace_targets<E: Edge>(node: &Node<E>, targets: Vec<Target>, revision: Revision) {
    let now = node.now();
    let mut tables = node.tables();
    for target in &targets {
        tables.residency.apply_registration(target, now);
    }
    tables.registry.replace(targets, revision, now);
    drop(tables);
    node.changed.notify_waiters();
}

fn apply_one<E: Edge>(node: &Node<E>, kind: Kind, object: Object, age: Duration) {
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
        Some(Content::Config(config)) => adopt_config(node, *config),
        Some(Content::Target(target)) => apply_target(node, *target, revision),
        Some(Content::AdapterVersion(announcement)) => {
            announce(node, &announcement, age, "store");
        }
        Some(Content::Member(member)) => {
            let mut tables = node.tables();
            if member.name != tables.local.name {
                tables.peers.register(*member);
            }
        }
        Some(Content::Malformed(cause)) => {
            record_malformed(node, kind, &name, &cause);
            if kind == Kind::Targets {
                remove(node, kind, &name, revision);
            }
        }
        Some(Content::QuarantineDecision(decision)) => {
            let now = node.now();
            // The store does not report the decision's age.
            node.tables()
                .quarantine
                .adopt(decision, Duration::ZERO, now);
        }
        Some(Content::Evacuation(_) | Content::Lease(_) | Content::Streams(_)) | None => {}
    }
}

/// Applies the store's list of evacuations, or changes of them.
fn apply_evacuations<E: Edge>(node: &Node<E>, listing: Listing, is_full_list: bool) {
    let changes = listing
        .objects
        .into_iter()
        .filter_map(|object| evacuation_of(node, object));
    let changes = changes.collect::<Vec<_>>();
    let now = node.now();
    let revision = listing.revision;
    let mut tables = node.tables();
    let changes = if is_full_list {
        let listed = changes.into_iter().filter(|(_, evacuated)| *evacuated);
        let listed = listed.map(|(domain, _)| domain).collect();
        tables.evacuations.replace(&listed, revision, now)
    } else {
        tables.evacuations.apply_changes(changes, revision, now)
    };
    drop(tables);
    record_evacuations(node, &changes, "store");
    node.changed.notify_waiters();
}

/// Returns the failure domain that an object names, and whether the object says that it is evacuated.
fn evacuation_of<E: Edge>(node: &Node<E>, object: Object) -> Option<(FailureDomain, bool)> {
    if object.removed {
        let domain = FailureDomain::try_from(&*object.name).ok()?;
        return Some((domain, false));
    }
    match object.content? {
        Content::Evacuation(domain) => Some((domain, true)),
        Content::Malformed(cause) => {
            record_malformed(node, Kind::Evacuations, &object.name, &cause);
            None
        }
        _ => None,
    }
}

/// Records changes of the evacuated domains, and logs them with their `source`: the store or a peer.
pub(super) fn record_evacuations<E: Edge>(
    node: &Node<E>,
    changes: &[EvacuationChange],
    source: &str,
) {
    let now = node.now();
    node.tables().record_evacuations(changes, now);
    for change in changes {
        let (log_event, domain) = match change {
            EvacuationChange::Begun(domain) => (LogEvent::EvacuationBegun, domain),
            EvacuationChange::Lifted(domain) => (LogEvent::EvacuationLifted, domain),
        };
        let fields = [("domain", domain.as_str()), ("from", source)];
        event(log_event, &fields);
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
                node.tables().peers.unregister(&name, now);
            }
        }
        Kind::Config
        | Kind::AdapterVersions
        | Kind::Evacuations
        | Kind::Leases
        | Kind::Verdicts
        | Kind::Streams => {}
    }
}

pub(super) fn adopt_config<E: Edge>(node: &Node<E>, config: crate::decide::config::Config) {
    let version = config.version.to_string();
    let malformed = config.malformed.clone();
    let now = node.now();
    if node.tables().adopt(config, now) {
        event(LogEvent::ConfigAdopted, &[("version", &version)]);
        for part in malformed {
            let fields = [
                ("version", &*version),
                ("part", part.kind.name()),
                ("name", &part.name),
                ("cause", &part.cause),
            ];
            event(LogEvent::ConfigPartMalformed, &fields);
        }
        node.changed.notify_waiters();
    }
}

/// Applies an adapter version that was announced `age` ago, and logs its `source`: the store or a peer.
pub(super) fn announce<E: Edge>(
    node: &Node<E>,
    announcement: &VersionedAdapter,
    age: Duration,
    source: &str,
) {
    let now = node.now();
    if !node.tables().versions.announce(announcement, age, now) {
        return;
    }
    let [adapter, version] = [
        announcement.key.to_string(),
        announcement.version.to_string(),
    ];
    let age = age.as_millis().to_string();
    let fields = [
        ("adapter", &*adapter),
        ("version", &*version),
        ("from", source),
        ("age_ms", &*age),
    ];
    event(LogEvent::VersionAnnounced, &fields);
    node.loader_work.notify_waiters();
}

fn apply_target<E: Edge>(node: &Node<E>, target: Target, revision: Revision) {
    let now = node.now();
    let mut tables = node.tables();
    let previous = tables.registry.get(&target.id);
    let log_event = match previous {
        None => Some(LogEvent::TargetAdded),
        Some(previous) if !previous.leaving && target.leaving => Some(LogEvent::TargetLeaving),
        Some(_) => None,
    };
    if let Some(log_event) = log_event {
        let [id, address] = [target.id.to_string(), target.address.to_string()];
        event(log_event, &[("target", &id), ("address", &address)]);
    }
    tables.residency.apply_registration(&target, now);
    tables.registry.put(target, revision, now);
}

/// Registers this instance; retries until that succeeds or the process stops.
pub(super) async fn register<E: Edge>(node: Arc<Node<E>>) {
    let member = node.settings.member.clone();
    let name = member.name.to_string();
    let content = Content::Member(Box::new(member));
    let mut backoff = REGISTER_BACKOFF[0];
    let mut expected_revision = None;
    let mut is_first_process = true;
    while !node.is_stopping() {
        let written = node
            .store
            .write(Kind::Members, &name, expected_revision, &content)
            .await;
        node.mark_registration_tried();
        match written {
            Ok(_revision) => {
                // The list of instances tells with how many the budgets are shared.
                node.wait_for_peer_list().await;
                node.tables().is_first_process = is_first_process;
                return;
            }
            Err(StoreError::Conflict) => {
                is_first_process = false;
                let previous = node.store.read(Kind::Members, &name).await;
                expected_revision = previous.ok().flatten().map(|object| object.revision);
            }
            Err(_unavailable) => {
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(REGISTER_BACKOFF[1]);
            }
        }
    }
}
