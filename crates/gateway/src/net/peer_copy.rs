//! Copies newer state of the store from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use rand::seq::SliceRandom;

use crate::decide::quarantine::AgedDecision;
use crate::decide::tables::Tables;
use crate::edge::Edge;
use crate::error::GatewayError;

use super::control::{COPY_PATH, KnownState, StateCopy};
use super::http_client::{ResponseLimits, call};
use super::log::{LogEvent, event};
use super::node::Node;
use super::sync::{adopt_config, announce, record_evacuations};

/// Interval between two copies from peers.
const COPY_INTERVAL: Duration = Duration::from_millis(300);
/// Limits of a peer's copy; then the next peer is tried.
const COPY_LIMITS: ResponseLimits = ResponseLimits {
    body_bytes: 8 * 1_024 * 1_024,
    timeout: Duration::from_millis(600),
};
/// Max number of peers that are tried in turn.
const MAX_COPY_SOURCES: usize = 4;
/// Initial and max backoff between two rounds of copy requests of an instance without a configuration.
const START_BACKOFF: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(400)];
/// Number of peers whose order is shuffled: otherwise all instances that start at the same time would ask the
/// same peer first.
const FIRST_SOURCE_CANDIDATES: usize = 8;

/// Copies newer state from peers until the process ends.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    node.wait_for_peer_list().await;
    let mut start_backoff = START_BACKOFF[0];
    loop {
        let is_informed = node.tables().informed();
        let sources = if is_informed {
            node.peer_is_newer.notified().await;
            tokio::time::sleep(COPY_INTERVAL).await;
            newer_peers(&node)
        } else {
            startup_sources(&node)
        };
        for address in sources {
            let known = known_state(&node.tables());
            match fetch_copy(address, known).await {
                Ok(copy) => {
                    apply_copy(&node, copy, address);
                    event(LogEvent::PeerCopyTaken, &[("peer", &address.to_string())]);
                    if node.tables().informed() {
                        break;
                    }
                }
                Err(err) => event(
                    LogEvent::PeerCopyFailed,
                    &[("peer", &address.to_string()), ("cause", &err.to_string())],
                ),
            }
        }
        if !is_informed {
            let notified = node.peer_is_newer.notified();
            let _notified_or_elapsed = tokio::time::timeout(start_backoff, notified).await;
            start_backoff = (start_backoff * 2).min(START_BACKOFF[1]);
        }
    }
}

/// Returns peers that have newer state of the store than this instance. Peers of the local failure
/// domain come first, so that a copy crosses between two failure domains only once.
fn newer_peers<E: Edge>(node: &Node<E>) -> Vec<SocketAddr> {
    let tables = node.tables();
    let now = node.now();
    let newer = tables.peers.live(now).filter(|peer| tables.is_behind(peer));
    let mut newer = newer.collect::<Vec<_>>();
    // With a fixed order, all instances would ask the first peer at once and it would answer none in time.
    newer.shuffle(&mut rand::rng());
    // A peer that has just lost the store still lists targets for a while that others know to be removed.
    newer.sort_by_key(|peer| {
        let is_remote = peer.member.failure_domain != tables.local.failure_domain;
        (!peer.store_reachable, is_remote)
    });
    let addresses = newer.iter().map(|peer| peer.member.control);
    addresses.take(MAX_COPY_SOURCES).collect()
}

/// Returns the addresses that an instance without a configuration asks for a copy.
fn startup_sources<E: Edge>(node: &Node<E>) -> Vec<SocketAddr> {
    let seeds = node.reloadable_settings().seeds.clone();
    let tables = node.tables();
    let mut sources = tables.copy_sources(node.now());
    let first = sources.len().min(FIRST_SOURCE_CANDIDATES);
    sources[..first].shuffle(&mut rand::rng());
    sources.truncate(MAX_COPY_SOURCES);
    sources.extend(seeds);
    let local = tables.local.control;
    sources.retain(|source| *source != local);
    sources
}

fn known_state(tables: &Tables) -> KnownState {
    KnownState {
        config: tables.routes.version(),
        targets: tables.registry.copied_revision(),
        targets_digest: tables.registry.digest(),
        versions: tables.versions.total(),
        evacuations: tables.evacuations.version().revision,
        decisions_digest: tables.quarantine.digest(),
        members: tables.peers.all().next().is_some(),
    }
}

async fn fetch_copy(address: SocketAddr, known: KnownState) -> Result<StateCopy, GatewayError> {
    let req = Request::get(format!("{COPY_PATH}?{known}"))
        .header(header::HOST, address.to_string())
        .body(Bytes::new())
        .map_err(|err| GatewayError::Exchange {
            address,
            cause: err.to_string().into(),
        })?;
    let res = call(address, req, COPY_LIMITS).await?;
    bincode::deserialize(res.body()).map_err(|err| GatewayError::Unreadable {
        from: address.to_string().into(),
        what: "a copy of its state",
        cause: err.to_string().into(),
    })
}

fn apply_copy<E: Edge>(node: &Node<E>, copy: StateCopy, peer: SocketAddr) {
    let now = node.now();
    if let Some(config) = copy.config {
        adopt_config(node, config);
    }
    for announcement in &copy.versions {
        announce(
            node,
            &announcement.adapter,
            announcement.age,
            &peer.to_string(),
        );
    }
    if let Some(evacuations) = copy.evacuations {
        let changes = node.tables().evacuations.apply_copy(evacuations, now);
        record_evacuations(node, &changes, &peer.to_string());
    }
    let mut tables = node.tables();
    for AgedDecision { decision, age } in copy.decisions {
        tables.quarantine.adopt(decision, age, now);
    }
    for member in copy.members {
        if member.name != tables.local.name {
            tables.peers.register(member);
        }
    }
    if let Some(targets) = copy.targets {
        let with_adapters = targets.targets.iter().map(|(_, target)| target);
        for target in with_adapters.filter(|target| !target.adapters.is_empty()) {
            tables.residency.apply_registration(target, now);
        }
        tables.registry.apply_copy(targets, now);
    }
    drop(tables);
    node.changed.notify_waiters();
}
