//! Opens connections to targets, and records what they show of the paths to them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use tokio::net::TcpStream;

use crate::decide::paths::ConnectOutcome;
use crate::edge::Edge;

use super::node::Node;
use super::paths;
use super::pool::{BUF_SIZE, Connection, SMALL_BUF_SIZE};
use super::sockets::connect;

/// Longest time beyond its timeout that a failed connection took and still says something of the path: one
/// that took longer failed because this instance was suspended or had no processor time.
const MAX_OVERRUN: Duration = Duration::from_millis(150);

/// Timeout for a connection that shows whether a target still runs.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between two such connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a process that is ending has closed the connections that its listener still accepted.
const CLOSE_DELAY: Duration = Duration::from_millis(5);

/// Opens a connection to a target.
///
/// # Errors
///
/// The connection is refused, or is not open after `timeout`.
pub(super) async fn connect_to_target<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    address: SocketAddr,
    timeout: Duration,
) -> std::io::Result<TcpStream> {
    let started = node.now();
    let connected = connect(address, timeout).await;
    let now = node.now();
    let outcome = match connected {
        Ok(_) => ConnectOutcome::Opened,
        Err(_) if now.since(started) > timeout + MAX_OVERRUN => return connected,
        Err(ref err) if err.kind() == ErrorKind::ConnectionRefused => ConnectOutcome::Refused,
        Err(_) => ConnectOutcome::TimedOut,
    };
    let change = node.tables().record_connect(target, outcome, now);
    paths::record_change(node, &change);
    if outcome != ConnectOutcome::Opened {
        node.path_doubted.notify_one();
    }
    connected
}

/// Opens a connection to a target for requests.
///
/// # Errors
///
/// The connection is refused, is not open after `timeout`, or its handshake fails.
pub(super) async fn open<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    address: SocketAddr,
    timeout: Duration,
) -> std::io::Result<Connection> {
    let stream = connect_to_target(node, target, address, timeout).await?;
    let buf_size = match node.memory {
        Some(_) => SMALL_BUF_SIZE,
        None => BUF_SIZE,
    };
    let connection = Connection::handshake(stream, buf_size).await;
    connection.map_err(std::io::Error::other)
}

/// What a new connection to a target that has just closed one shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProcessState {
    Runs,
    Ended,
    /// Nothing: the target or the path to it is silent.
    Unknown,
}

/// Returns whether a target that has just closed a connection still runs, as far as this instance can tell by the
/// time `until`. A connection that shows this is kept for requests.
pub(super) async fn still_runs<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    address: SocketAddr,
    until: Time,
) -> bool {
    let started = start_time(node, target);
    loop {
        match process_state(node, target, address).await {
            ProcessState::Runs => return !has_restarted(started, start_time(node, target)),
            ProcessState::Ended => return false,
            ProcessState::Unknown if node.now() + PROBE_INTERVAL >= until => return false,
            ProcessState::Unknown => tokio::time::sleep(PROBE_INTERVAL).await,
        }
    }
}

async fn process_state<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    address: SocketAddr,
) -> ProcessState {
    match open(node, target, address, PROBE_TIMEOUT).await {
        Ok(connection) => {
            tokio::time::sleep(CLOSE_DELAY).await;
            if !connection.tx.is_closed() {
                node.pool.put(target, connection, None);
                return ProcessState::Runs;
            }
        }
        Err(err) => return state_shown_by(&err),
    }
    // A target with too many connections closes new ones, too.
    match connect_to_target(node, target, address, PROBE_TIMEOUT).await {
        Ok(_) => ProcessState::Runs,
        Err(err) => state_shown_by(&err),
    }
}

/// Returns what a connection that could not be opened shows. Only a refusal is an answer.
fn state_shown_by(err: &std::io::Error) -> ProcessState {
    match err.kind() {
        ErrorKind::ConnectionRefused => ProcessState::Ended,
        _ => ProcessState::Unknown,
    }
}

/// Whether another process has started at the target's address, if the target reports that.
fn has_restarted(before: Option<u64>, now: Option<u64>) -> bool {
    before.zip(now).is_some_and(|(before, now)| before != now)
}

/// Returns when the target's process started, if the target reports it.
fn start_time<E: Edge>(node: &Node<E>, target: &TargetId) -> Option<u64> {
    let tables = node.tables();
    tables.registry.get(target).and_then(|known| known.born)
}
