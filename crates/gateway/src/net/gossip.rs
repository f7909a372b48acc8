//! Datagrams between instances: periodic state messages, adapter requests, residency updates.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Time};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::decide::exchange::{Message, OutgoingMessage, ROUND_INTERVAL};
use crate::decide::status::Role;
use crate::decide::tables::shard_of;
use crate::edge::Edge;
use crate::packet::{AdapterRequest, MAX_DATAGRAM_BYTES, Packet, PacketError, ResidencyUpdate};

use super::fair_shares;
use super::log::{LogEvent, event};
use super::node::{Destination, Node, Outgoing};
use super::origins;
use super::quarantine;
use super::residency_updates;

/// Number of rounds after the start in which an instance announces itself to all instances. An instance that
/// missed them asks for the announcement.
const ANNOUNCEMENTS: u32 = 4;
/// Rounds between two announcements.
const ANNOUNCE_INTERVAL_ROUNDS: u32 = 4;
/// Interval between sends of adapter requests. It is short because a request that misses its adapter waits
/// for the send.
const ADAPTER_REQUEST_INTERVAL: Duration = Duration::from_millis(4);

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
        send_adapter_requests(&node),
        residency_updates::run(&node),
    );
}

async fn rounds<E: Edge>(node: &Arc<Node<E>>, socket: &UdpSocket) {
    let mut announcements = 0;
    for round in 0_u64.. {
        if announcements < ANNOUNCEMENTS && round % u64::from(ANNOUNCE_INTERVAL_ROUNDS) == 0 {
            announcements += 1;
            let member = Box::new(node.settings.member.clone());
            let packet = Packet::Exchange(Message::MemberInfo(member));
            node.send(Destination::All, packet);
        }
        let role = node.tables().exchange.role();
        let outgoing = node.tables().exchange_round(node.now());
        log_role_change(node, role);
        for OutgoingMessage { to, message } in outgoing {
            send_all(node, socket, &Packet::Exchange(message), &to).await;
        }
        fair_shares::review(node);
        quarantine::review_parts(node);
        quarantine::resend(node, ROUND_INTERVAL);
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Logs when this instance starts or stops being a relay.
fn log_role_change<E: Edge>(node: &Node<E>, before: Role) {
    let tables = node.tables();
    let role = tables.exchange.role();
    if role == before {
        return;
    }
    let live = tables.peers.live(node.now()).count().to_string();
    event(
        LogEvent::RelayChanged,
        &[("role", role.name()), ("live_peers", &live)],
    );
}

/// Notifies all peers that this instance shuts down.
pub(super) async fn send_shutdown<E: Edge>(node: &Node<E>, socket: &UdpSocket) {
    let OutgoingMessage { to, message } = node.tables().shutdown_message(node.now());
    send_all(node, socket, &Packet::Exchange(message), &to).await;
}

async fn send_all<E: Edge>(node: &Node<E>, socket: &UdpSocket, packet: &Packet, to: &[SocketAddr]) {
    if to.is_empty() {
        return;
    }
    let buf = match packet.encode() {
        Ok(buf) => buf,
        Err(err) => {
            event(LogEvent::DatagramMalformed, &[("cause", &err.to_string())]);
            return;
        }
    };
    node.metrics.record_sent(packet.name(), to.len(), buf.len());
    for address in to {
        // A datagram that can't be sent is handled like a lost datagram: the next round repeats it.
        let _lost = socket.send_to(&buf, address).await;
    }
}

async fn send_queued<E: Edge>(
    node: &Node<E>,
    socket: &UdpSocket,
    mut packets: mpsc::Receiver<Outgoing>,
) {
    while let Some((to, packet)) = packets.recv().await {
        let addresses = {
            let tables = node.tables();
            match &to {
                Destination::Peer(name) => {
                    let peer = tables.peers.get(name);
                    peer.map(|peer| peer.member.gossip).into_iter().collect()
                }
                Destination::Address(address) => vec![*address],
                Destination::All => {
                    let peers = tables.peers.all();
                    peers.map(|peer| peer.member.gossip).collect()
                }
                Destination::Fleet => tables.broadcast_addresses(node.now()),
                Destination::Subscribers => tables.subscribers(),
            }
        };
        send_all(node, socket, &packet, &addresses).await;
    }
}

async fn send_adapter_requests<E: Edge>(node: &Node<E>) {
    loop {
        tokio::time::sleep(ADAPTER_REQUEST_INTERVAL).await;
        let requests = node.take_adapter_requests();
        if requests.is_empty() {
            continue;
        }
        let mut by_holder = HashMap::<Option<InstanceId>, Vec<AdapterRequest>>::new();
        {
            let tables = node.tables();
            let now = node.now();
            for req in requests {
                let shard = shard_of(&req.target);
                let holder = if tables.shards.contains(&shard) {
                    None
                } else {
                    match tables.peers.holder(shard, now) {
                        Some(peer) => Some(peer.member.name.clone()),
                        None => continue,
                    }
                };
                let batch = by_holder.entry(holder).or_default();
                batch.push(req);
            }
        }
        for (holder, batch) in by_holder {
            match holder {
                None => node.loaders.record_requests(batch, None, node.now()),
                Some(name) => {
                    for part in batch.chunks(MAX_REQUESTS_PER_DATAGRAM) {
                        let requests = Packet::AdapterRequests(part.to_vec());
                        node.send(Destination::Peer(name.clone()), requests);
                    }
                }
            }
        }
        node.loader_work.notify_waiters();
    }
}

/// Minimum interval between two log lines about datagrams that can't be decoded.
const UNREAD_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Max number of adapter requests in one datagram.
const MAX_REQUESTS_PER_DATAGRAM: usize = 16;

async fn receive<E: Edge>(node: &Arc<Node<E>>, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut last_logged = None;
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => match Packet::decode(&buf[..len]) {
                Ok(packet) => {
                    node.metrics.record_received(packet.name(), len);
                    for reply in handle_packet(node, packet, from) {
                        send_all(node, socket, &reply, &[from]).await;
                    }
                }
                Err(err) => {
                    node.metrics.record_received("unread", len);
                    log_unread(&mut last_logged, from, &err, node.now());
                }
            },
            // A peer's port is closed: the system reports that error on the next receive.
            Err(_refused) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
}

/// Logs that a datagram can't be decoded, at most once per `UNREAD_LOG_INTERVAL`.
fn log_unread(last_logged: &mut Option<Time>, from: SocketAddr, err: &PacketError, now: Time) {
    if last_logged.is_some_and(|last_logged| now.since(last_logged) < UNREAD_LOG_INTERVAL) {
        return;
    }
    *last_logged = Some(now);
    event(
        LogEvent::DatagramMalformed,
        &[("from", &from.to_string()), ("cause", &err.to_string())],
    );
}

/// Handles a received datagram; returns the replies to send.
fn handle_packet<E: Edge>(node: &Arc<Node<E>>, packet: Packet, from: SocketAddr) -> Vec<Packet> {
    let now = node.now();
    match packet {
        Packet::Exchange(message) => {
            let mut tables = node.tables();
            let malformed = tables.wait_queue.malformed_counts();
            let replies = tables.receive_message(message, from, now);
            let is_malformed = tables.wait_queue.malformed_counts() > malformed;
            let behind = tables
                .peers
                .at(from)
                .is_some_and(|peer| tables.is_behind(peer));
            drop(tables);
            if is_malformed {
                event(
                    LogEvent::WaitingCountsMalformed,
                    &[("from", &from.to_string())],
                );
            }
            node.loads_changed.notify_one();
            if behind {
                node.peer_is_newer.notify_one();
            }
            return replies.into_iter().map(Packet::Exchange).collect();
        }
        Packet::AdapterRequests(requests) => {
            node.loaders.record_requests(requests, Some(from), now);
            node.loader_work.notify_waiters();
        }
        Packet::ResidencyUpdates(updates) => apply_residency_updates(node, updates, now),
        Packet::StreamOrigins(message) => {
            let reply = origins::receive(node, message, from);
            return reply.into_iter().map(Packet::StreamOrigins).collect();
        }
        Packet::Quarantine(updates) => quarantine::receive(node, &updates, now),
    }
    Vec::new()
}

/// Applies residency updates of engines and forwards the new ones to this instance's subscribers.
fn apply_residency_updates<E: Edge>(node: &Node<E>, updates: Vec<ResidencyUpdate>, now: Time) {
    let mut tables = node.tables();
    let mut changed = Vec::new();
    for update in updates {
        let adapters = update.adapters();
        let residency = &mut tables.residency;
        if residency.apply_loader_update(&update.target, update.order, &adapters, now) {
            changed.push(update);
        }
    }
    let has_subscribers = tables.exchange.subscriber_count() > 0;
    drop(tables);
    if changed.is_empty() {
        return;
    }
    node.changed.notify_waiters();
    if has_subscribers {
        for update in changed {
            node.residency_updates.forward(update);
        }
    }
}
