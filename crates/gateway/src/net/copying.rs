//! Takes what peers know of the store and this instance doesn't.

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

use super::caller::call;
use super::control::{COPY_PATH, Copy, Have};
use super::log::{LogEvent, event};
use super::node::Node;
use super::sync::{adopt, announce};

/// Pause between two copies taken from peers.
const COPY_PAUSE: Duration = Duration::from_millis(300);
/// Time for a peer's copy; another peer is asked after it.
const COPY_WITHIN: Duration = Duration::from_millis(600);
/// Peers that are asked in turn.
const COPY_SOURCES: usize = 4;
/// First and longest pause between two rounds of questions of an instance without a configuration.
const START_PAUSE: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];
/// Peers among which the first one to ask is drawn: all that start at once would ask the same one.
const START_SOURCES: usize = 8;

/// Takes newer state from peers until the process ends.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    node.met().await;
    let mut start_pause = START_PAUSE[0];
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
                    take(&node, copy, address);
                    event(LogEvent::PeerCopyTaken, &[("peer", &address.to_string())]);
                    if node.tables().configured() {
                        break;
                    }
                }
                Err(err) => event(
                    LogEvent::PeerCopyFailed,
                    &[("peer", &address.to_string()), ("cause", &err.to_string())],
                ),
            }
        }
        if !configured {
            let told = node.peer_is_newer.notified();
            let _told_or_time = tokio::time::timeout(start_pause, told).await;
            start_pause = (start_pause * 2).min(START_PAUSE[1]);
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
        let away = peer.member.failure_domain != tables.local.failure_domain;
        (!peer.store_reachable, away)
    });
    let addresses = newer.iter().map(|peer| peer.member.control);
    addresses.take(COPY_SOURCES).collect()
}

/// Whom an instance without a configuration asks for one.
fn starters<E: Edge>(node: &Node<E>) -> Vec<SocketAddr> {
    let seeds = node.terms().seeds.clone();
    let tables = node.tables();
    let mut givers = tables.copy_sources(node.now());
    let first = givers.len().min(START_SOURCES);
    givers[..first].shuffle(&mut rand::rng());
    givers.truncate(COPY_SOURCES);
    givers.extend(seeds);
    let me = tables.local.control;
    givers.retain(|giver| *giver != me);
    givers
}

fn have(tables: &Tables) -> Have {
    Have {
        config: tables.routes.version(),
        targets: tables.registry.copied_revision(),
        targets_digest: tables.registry.digest(),
        versions: tables.versions.total(),
        verdicts_digest: tables.quarantine.digest(),
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

fn take<E: Edge>(node: &Node<E>, copy: Copy, peer: SocketAddr) {
    let now = node.now();
    if let Some(config) = copy.config {
        adopt(node, config);
    }
    for news in &copy.versions {
        announce(node, &news.adapter, news.age, &peer.to_string());
    }
    let mut tables = node.tables();
    for AgedDecision { decision, age } in copy.verdicts {
        tables.quarantine.adopt(decision, age, now);
    }
    for member in copy.members {
        if member.name != tables.local.name {
            tables.peers.register(member);
        }
    }
    if let Some(targets) = copy.targets {
        let holding = targets.targets.iter().map(|(_, target)| target);
        for target in holding.filter(|target| !target.adapters.is_empty()) {
            tables.residency.apply_registration(target, now);
        }
        tables.registry.apply_copy(targets, now);
    }
    drop(tables);
    node.changed.notify_waiters();
}
