//! Datagrams between instances: state in rounds, wishes for adapters, holdings of engines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Time};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::decide::peers::{GONE_AFTER, Peer};
use crate::decide::rendezvous::ShortHash;
use crate::decide::tables::{Tables, shard_of};
use crate::edge::Edge;
use crate::packet::{MAX_DATAGRAM_BYTES, Packet, Status, Wish};

use super::log::{LogEvent, event};
use super::node::{Node, Outgoing, Receiver};
use super::words;

/// Span after its start in which an instance introduces itself in each round.
const NEW_FOR: Duration = Duration::from_millis(1_500);
/// Pause between introductions later: a peer that missed them asks.
const INTRODUCE_EVERY: Duration = Duration::from_secs(5);
/// Age of news that is still told, so that a lost datagram is made up for.
const NEWS_LASTS: Duration = Duration::from_millis(1_500);
/// Pause between two rounds even when there is news: a release of many targets is a change in each
/// of their heartbeats.
const LEAST_ROUND: Duration = Duration::from_millis(100);
/// Pause between sends of wishes; a request that misses its adapter waits for it.
const WISH_ROUND: Duration = Duration::from_millis(4);

/// Sends and receives datagrams until the process ends.
pub(super) async fn run<E: Edge>(
    node: Arc<Node<E>>,
    socket: UdpSocket,
    packets: mpsc::Receiver<Outgoing>,
) {
    let socket = Arc::new(socket);
    tokio::join!(
        receive(&node, &socket),
        rounds(&node, &socket),
        send_queued(&node, &socket, packets),
        send_wishes(&node),
        words::run(&node),
    );
}

async fn rounds<E: Edge>(node: &Node<E>, socket: &UdpSocket) {
    let started = node.now();
    let mut introduced = started;
    loop {
        let now = node.now();
        let new = now.since(started) < NEW_FOR;
        if new || now.since(introduced) > INTRODUCE_EVERY {
            introduced = now;
            node.send(Receiver::All, introduction(node));
        }
        tell_status(node, socket, false).await;
        let pause = node.tables().peers.round(now);
        tokio::time::sleep(pause.min(LEAST_ROUND)).await;
        let rest = pause.saturating_sub(LEAST_ROUND);
        // Others learn from these rounds that there is something to copy.
        let _news_or_time = tokio::time::timeout(rest, node.news.notified()).await;
    }
}

fn introduction<E: Edge>(node: &Node<E>) -> Packet {
    Packet::Introduction(Box::new(node.settings.member.clone()))
}

/// Tells all peers how this instance is.
pub(super) async fn tell_status<E: Edge>(node: &Node<E>, socket: &UdpSocket, ended: bool) {
    let (status, addresses) = {
        let tables = node.tables();
        (status(&tables, ended, node.now()), addresses(&tables, node))
    };
    let buf = encode(&Packet::Status(status));
    for address in &addresses {
        send_to(socket, &buf, *address).await;
    }
}

fn addresses<E: Edge>(tables: &Tables, node: &Node<E>) -> Vec<SocketAddr> {
    let now = node.now();
    let peers = tables.peers.all();
    let known = peers.filter(|peer| peer.heard.is_none() || peer.heard_within(GONE_AFTER, now));
    known.map(|peer| peer.member.gossip).collect()
}

fn status(tables: &Tables, ended: bool, now: Time) -> Status {
    Status {
        from: ShortHash::of(tables.me.name.as_str()),
        life: tables.me.incarnation.0,
        ready: tables.ready() && !ended,
        store_answers: tables.registry.store_answers(now),
        ended,
        config: tables.routes.version(),
        targets: tables.registry.revision(),
        targets_digest: tables.registry.digest(),
        versions: tables.versions.total(),
        spent: tables.quotas.spent_lately(NEWS_LASTS, now).collect(),
        in_flight: tables
            .own_loads()
            .map(|(target, load)| (ShortHash::of(target.as_str()), load))
            .collect(),
        loads: tables.loads.under_way,
        waiting_loads: tables.loads.waiting,
        places: tables
            .loads
            .places
            .iter()
            .map(|(hash, places)| (*hash, *places))
            .collect(),
        shards: tables.shards.clone(),
        claims: tables.claims.clone(),
    }
}

fn encode(packet: &Packet) -> Vec<u8> {
    match bincode::serialize(packet) {
        Ok(buf) => buf,
        Err(err) => {
            event(LogEvent::DatagramMalformed, &[("cause", &err.to_string())]);
            Vec::new()
        }
    }
}

async fn send_to(socket: &UdpSocket, buf: &[u8], address: SocketAddr) {
    // A datagram that can't be sent is like one that is lost on its way: the next round repeats it.
    let _lost = socket.send_to(buf, address).await;
}

async fn send_queued<E: Edge>(
    node: &Node<E>,
    socket: &UdpSocket,
    mut packets: mpsc::Receiver<Outgoing>,
) {
    while let Some((to, packet)) = packets.recv().await {
        let buf = encode(&packet);
        let addresses = {
            let tables = node.tables();
            match &to {
                Receiver::Peer(name) => {
                    let peer = tables.peers.get(name);
                    peer.map(|peer| peer.member.gossip).into_iter().collect()
                }
                Receiver::Address(address) => vec![*address],
                Receiver::All => addresses(&tables, node),
            }
        };
        for address in addresses {
            send_to(socket, &buf, address).await;
        }
    }
}

async fn send_wishes<E: Edge>(node: &Node<E>) {
    loop {
        tokio::time::sleep(WISH_ROUND).await;
        let wishes = node.take_wishes();
        if wishes.is_empty() {
            continue;
        }
        let mut by_holder = HashMap::<Option<InstanceId>, Vec<Wish>>::new();
        {
            let tables = node.tables();
            let now = node.now();
            for wish in wishes {
                let shard = shard_of(&wish.target);
                let holder = if tables.shards.contains(&shard) {
                    None
                } else {
                    match tables.peers.holder(shard, now) {
                        Some(peer) => Some(peer.member.name.clone()),
                        None => continue,
                    }
                };
                let batch = by_holder.entry(holder).or_default();
                batch.push(wish);
            }
        }
        for (holder, batch) in by_holder {
            match holder {
                None => node.loaders.take(batch, None, node.now()),
                Some(name) => {
                    for part in batch.chunks(WISHES_IN_A_DATAGRAM) {
                        let wishes = Packet::Wishes(part.to_vec());
                        node.send(Receiver::Peer(name.clone()), wishes);
                    }
                }
            }
        }
        node.loader_work.notify_waiters();
    }
}

/// Wishes that fit into one datagram.
const WISHES_IN_A_DATAGRAM: usize = 16;

async fn receive<E: Edge>(node: &Arc<Node<E>>, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => match bincode::deserialize::<Packet>(&buf[..len]) {
                Ok(packet) => {
                    if let Some(reply) = take(node, packet, from) {
                        send_to(socket, &encode(&reply), from).await;
                    }
                }
                Err(err) => event(
                    LogEvent::DatagramMalformed,
                    &[("from", &from.to_string()), ("cause", &err.to_string())],
                ),
            },
            // A peer whose port is closed: the system tells so on the next receive.
            Err(_refused) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
}

/// Takes a datagram in; gives what is to be answered.
fn take<E: Edge>(node: &Arc<Node<E>>, packet: Packet, from: SocketAddr) -> Option<Packet> {
    match packet {
        Packet::Status(status) => return take_status(node, status),
        Packet::WhoIsThere => return Some(introduction(node)),
        Packet::Introduction(member) => {
            let mut tables = node.tables();
            if member.name != tables.me.name {
                tables.peers.introduced(*member);
            }
        }
        Packet::Wishes(wishes) => {
            node.loaders.take(wishes, Some(from), node.now());
            node.loader_work.notify_waiters();
        }
        Packet::Holdings(words) => {
            let now = node.now();
            let mut tables = node.tables();
            let mut news = false;
            for word in words {
                let adapters = word.adapters();
                let residency = &mut tables.residency;
                news |= residency.told(&word.target, word.order, &adapters, now);
            }
            drop(tables);
            if news {
                node.changed.notify_waiters();
            }
        }
    }
    None
}

fn take_status<E: Edge>(node: &Arc<Node<E>>, status: Status) -> Option<Packet> {
    let now = node.now();
    let mut tables = node.tables();
    if status.from == ShortHash::of(tables.me.name.as_str()) {
        return None;
    }
    let Some(member) = tables.peers.member(status.from, status.life).cloned() else {
        return Some(Packet::WhoIsThere);
    };
    for (workspace, spent) in status.spent {
        let life = member.incarnation;
        tables
            .quotas
            .heard(&member.name, life, workspace, spent, now);
    }
    if status.ended {
        tables.peers.ended(&member.name);
        return None;
    }
    let peer = Peer {
        member,
        heard: Some(now),
        ready: status.ready,
        store_answers: status.store_answers,
        config: status.config,
        targets: status.targets,
        targets_digest: status.targets_digest,
        versions: status.versions,
        in_flight: status.in_flight.into_iter().collect(),
        loads: status.loads,
        waiting_loads: status.waiting_loads,
        places: status.places.into_iter().collect(),
        shards: status.shards,
        claims: status.claims,
    };
    let behind = tables.is_behind(&peer);
    tables.peers.heard(peer);
    drop(tables);
    if behind {
        node.peer_is_newer.notify_one();
    }
    None
}
