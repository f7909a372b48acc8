//! Opens connections to targets, and records what they show of the paths to them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use http::StatusCode;
use http_body_util::{BodyExt, Full, Limited};
use tokio::net::TcpStream;

use crate::decide::paths::ConnectOutcome;
use crate::edge::{Edge, Protocol};

use super::node::Node;
use super::paths;
use super::pool::{BUF_SIZE, Connection, SMALL_BUF_SIZE, SendFailure};
use super::response_head::{ResponseSender, record_response_head};
use super::sockets::connect;

/// Longest time beyond its timeout that a failed connection took and still says something of the path: one
/// that took longer failed because this instance was suspended or had no processor time.
const MAX_OVERRUN: Duration = Duration::from_millis(150);

/// Timeout for a connection that shows whether a target still runs.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between two such connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for a response on such a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Max size of a report that is read so that its connection can be kept.
const MAX_REPORT_BYTES: usize = 1_024 * 1_024;

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

/// Whether the process of a target that has closed a connection still runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ProcessState {
    Runs,
    Ended,
    /// The target or the path to it is silent, or the target closes new connections.
    Unknown,
}

/// What a request to a target that has closed a connection shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    Answered,
    /// Nothing listens at the address, or another process does.
    Refused,
    /// The connection was opened, and closed without an answer: the process is ending, or has too many connections.
    Closed,
    Silent,
}

/// Returns whether a target that has just closed a connection still runs, as far as this instance can tell by the
/// time `until`.
pub(super) async fn still_runs<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    address: SocketAddr,
    until: Time,
) -> bool {
    let started = start_time(node, target);
    let state = process_state(node, target, address, until).await;
    state == ProcessState::Runs && !has_restarted(started, start_time(node, target))
}

/// Asks a target that has just closed a connection until it answers, or refuses a connection, or the time `until`.
///
/// An open connection proves nothing: the kernel accepts it for a process that is about to end.
pub(super) async fn process_state<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    address: SocketAddr,
    until: Time,
) -> ProcessState {
    let mut was_closed = false;
    loop {
        match ask(node, target, address, until).await {
            Answer::Answered => return ProcessState::Runs,
            // A process that ends closes what it has not accepted together with its listener, and then refuses. One whose
            // listener takes a connection after that closes connections because it has too many.
            Answer::Closed if was_closed => return ProcessState::Runs,
            Answer::Closed => was_closed = true,
            Answer::Refused => return ProcessState::Ended,
            Answer::Silent if node.now() + PROBE_INTERVAL >= until => return ProcessState::Unknown,
            Answer::Silent => tokio::time::sleep(PROBE_INTERVAL).await,
        }
    }
}

/// Asks a target once for a report, as a sign of life and for what it says of itself. Returns whether it has answered.
pub(super) async fn ask_for_sign<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    address: SocketAddr,
) -> bool {
    let until = node.now() + ANSWER_TIMEOUT;
    ask(node, target, address, until).await == Answer::Answered
}

/// Asks for a report. The connection is new, as a late answer to an earlier request may arrive on a kept one.
async fn ask<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    address: SocketAddr,
    until: Time,
) -> Answer {
    let connection = match open(node, target, address, PROBE_TIMEOUT).await {
        Ok(connection) => connection,
        Err(err) if err.kind() == ErrorKind::ConnectionRefused => return Answer::Refused,
        Err(err) if err.kind() == ErrorKind::ConnectionReset => return Answer::Closed,
        Err(_timed_out_or_local) => return Answer::Silent,
    };
    let born = start_time(node, target);
    let req = node.protocol.report_request(target, address).map(Full::new);
    let started = node.now();
    let timeout = ANSWER_TIMEOUT.min(until.since(started));
    let sent = tokio::time::timeout(timeout, connection.send(req)).await;
    let (res, connection) = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(SendFailure::WrongAnswer(_))) | Err(_) => return Answer::Silent,
        Ok(Err(_closed)) => return Answer::Closed,
    };
    let (parts, body) = res.into_parts();
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Answer::Refused;
    }
    paths::record_answer(node, target, node.now());
    let sender = ResponseSender { target, born };
    let head = record_response_head(node, sender, &parts, started);
    let body = Limited::new(body, MAX_REPORT_BYTES).collect();
    let read = tokio::time::timeout(PROBE_TIMEOUT, body).await;
    if matches!(read, Ok(Ok(_))) && !head.closes_connection {
        node.pool.put(target, connection, head.idle_timeout);
    }
    Answer::Answered
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
