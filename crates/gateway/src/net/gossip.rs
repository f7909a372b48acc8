//! Datagrams between instances: state in rounds, wishes for adapters, holdings of engines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Time};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::decide::peers::{GONE_AFTER, Member, Peer};
use crate::decide::tables::{Tables, shard_of, short_hash};
use crate::edge::Edge;
use crate::packet::{MAX_DATAGRAM_BYTES, Packet, Status, Wish};

use super::log::{LogEvent, event};
use super::node::{Node, Outgoing};

/// Pause between rounds in a small fleet. Quotas lag by it, and a dead peer is noticed after
/// several.
const ROUND: Duration = Duration::from_millis(100);
/// Pause added for each peer beyond the first ten, so that a round of 75 instances costs no more
/// than 2 % of a core.
const ROUND_PER_PEER: Duration = Duration::from_millis(2);
/// Pause between sends of wishes; a request that misses its adapter waits for it.
const WISH_ROUND: Duration = Duration::from_millis(4);
/// Instances beyond which rounds are slower.
const SMALL_FLEET: usize = 10;

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
    );
}

async fn rounds<E: Edge>(node: &Node<E>, socket: &UdpSocket) {
    loop {
        let peers = tell_status(node, socket, false).await;
        let more = u32::try_from(peers.saturating_sub(SMALL_FLEET)).unwrap_or(0);
        tokio::time::sleep(ROUND + ROUND_PER_PEER * more).await;
    }
}

/// Tells all peers how this instance is; gives their number.
pub(super) async fn tell_status<E: Edge>(
    node: &Node<E>,
    socket: &UdpSocket,
    ended: bool,
) -> usize {
    let (status, addresses) = {
        let tables = node.tables();
        (status(&tables, ended, node.now()), addresses(&tables, node))
    };
    let buf = encode(&Packet::Status(Box::new(status)));
    for address in &addresses {
        send_to(socket, &buf, *address).await;
    }
    addresses.len()
}

fn addresses<E: Edge>(tables: &Tables, node: &Node<E>) -> Vec<SocketAddr> {
    let now = node.now();
    let peers = tables.peers.all();
    let known = peers.filter(|peer| peer.heard.is_none() || peer.heard_within(GONE_AFTER, now));
    known.map(|peer| peer.member.gossip).collect()
}

fn status(tables: &Tables, ended: bool, now: Time) -> Status {
    let spent = tables.quotas.spent();
    let in_flight = tables.all_in_flight();
    Status {
        member: tables.me.clone(),
        ready: tables.ready() && !ended,
        store_answers: !tables.registry.store_away(now),
        ended,
        config: tables.routes.version(),
        targets: tables.registry.revision(),
        spent: spent.map(|(name, spent)| (name.clone(), spent)).collect(),
        in_flight: in_flight
            .map(|(target, count)| {
                let count = u16::try_from(count).unwrap_or(u16::MAX);
                (short_hash(target), count)
            })
            .collect(),
        loads: tables.loads,
        shards: tables.shards.clone(),
    }
}

fn encode(packet: &Packet) -> Vec<u8> {
    match bincode::serialize(packet) {
        Ok(buf) => buf,
        Err(err) => {
            event(
                LogEvent::DatagramMalformed,
                &[("cause", &err.to_string())],
            );
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
                Some(name) => {
                    let peer = tables.peers.get(name);
                    peer.map(|peer| peer.member.gossip).into_iter().collect()
                }
                None => addresses(&tables, node),
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
                None => node.loaders.take(batch, node.now()),
                Some(name) => {
                    for part in batch.chunks(WISHES_IN_A_DATAGRAM) {
                        node.send(Some(name.clone()), Packet::Wishes(part.to_vec()));
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
    let mut buf = vec![0; MAX_DATAGRAM_BYTES * 4];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => match bincode::deserialize::<Packet>(&buf[..len]) {
                Ok(packet) => take(node, packet),
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

fn take<E: Edge>(node: &Arc<Node<E>>, packet: Packet) {
    match packet {
        Packet::Status(status) => take_status(node, *status),
        Packet::Wishes(wishes) => {
            node.loaders.take(wishes, node.now());
            node.loader_work.notify_waiters();
        }
        Packet::Holdings(word) => {
            let now = node.now();
            let news =
                node.tables()
                    .residency
                    .told(&word.target, word.order, &word.adapters, now);
            if news {
                node.changed.notify_waiters();
            }
        }
    }
}

fn take_status<E: Edge>(node: &Arc<Node<E>>, status: Status) {
    let now = node.now();
    let mut tables = node.tables();
    if status.member.name == tables.me.name {
        return;
    }
    for (workspace, spent) in &status.spent {
        let Member {
            name, incarnation, ..
        } = &status.member;
        tables.quotas.heard(name, *incarnation, workspace, *spent);
    }
    if status.ended {
        tables.peers.ended(&status.member.name);
        return;
    }
    let newer = status.config > tables.routes.version() || status.targets > tables.registry.revision();
    tables.peers.heard(Peer {
        member: status.member,
        heard: Some(now),
        ready: status.ready,
        store_answers: status.store_answers,
        config: status.config,
        targets: status.targets,
        in_flight: status.in_flight.into_iter().collect(),
        loads: status.loads,
        shards: status.shards,
    });
    drop(tables);
    if newer {
        node.peer_is_newer.notify_one();
    }
}
