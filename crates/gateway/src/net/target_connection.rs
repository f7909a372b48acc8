//! Opens connections to targets, and records what they show of the paths to them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bluebellstage_core::{TargetId, Time};
use http::StatusCode;
use http_body_util::{BodyExt, Full, Limited};
use tokio::net::TcpStream;

use crate::decide::paths::ConnectOutcome;
use crate::edge::{Edge, Protocol};

use super::node::Node;
use super::paths;
use super::pool::{BUF_SIZE, Connection, SMALL_BUF_SIZE, SendFailure};
use super::process::Process;
use super::process_sign::ProcessSign;
use super::response_head::{ResponseSender, record_response_head};
use super::sockets::connect;

/// Longest time beyond its timeout that a failed connection took and still says something of the path: one
/// that took longer failed because this instance was suspended or had no processor time.
const MAX_OVERRUN: Duration = Duration::from_millis(150);

/// Timeout for a connection that shows whether a target still runs.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between two such connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest pause between two connections to a target that closes all of them: each is one more at a target that has too
/// many.
const MAX_CLOSED_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout for a response on such a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time from the first check after which the connections of a process that has ended are closed here, too; allows for one
/// retransmission of a lost packet.
const ALL_ENDED_AFTER: Duration = Duration::from_millis(250);
/// Time for which a request that may go on elsewhere waits while its target closes all connections.
const MAX_CLOSED_WAIT: Duration = Duration::from_millis(500);
/// Max size of a report.
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
    let registered = registered_start(node, target);
    let born = registered.map(|registered| node.told_starts.current(target, registered));
    let stream = connect_to_target(node, target, address, timeout).await?;
    let buf_size = match node.memory {
        Some(_) => SMALL_BUF_SIZE,
        None => BUF_SIZE,
    };
    let connection = Connection::handshake(stream, buf_size).await;
    let mut connection = connection.map_err(std::io::Error::other)?;
    connection.born = born;
    Ok(connection)
}

/// What a request for a report shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    /// The target answered, and named its start time or not.
    Answered(Option<u64>),
    /// Nothing listens at the address.
    Refused,
    /// Another target listens there.
    OfAnother,
    /// The connection was opened, and closed without an answer.
    Closed,
    Silent,
}

impl Answer {
    /// Returns what it shows of a process.
    fn sign_of(self, process: Process<'_>) -> ProcessSign {
        match (self, process.born) {
            (Self::Answered(None), _) => ProcessSign::Unnamed,
            (Self::Answered(Some(_)), None) => ProcessSign::Unregistered,
            (Self::Answered(Some(named)), Some(born)) if named == born => ProcessSign::SameStart,
            (Self::Answered(Some(_)), Some(_)) | (Self::OfAnother, _) => ProcessSign::OtherProcess,
            (Self::Refused, _) => ProcessSign::Refused,
            (Self::Closed, _) => ProcessSign::Closed,
            (Self::Silent, _) => ProcessSign::Silent,
        }
    }
}

/// A request whose response has ended with its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedRequest<'a> {
    /// The process that got it.
    pub(super) process: Process<'a>,
    pub(super) sent: Instant,
    /// Until when the end may be confirmed.
    pub(super) until: Time,
    /// Whether another target may run it again or go on with it. If so, it is not kept waiting for a target that closes
    /// all connections.
    pub(super) may_go_on_elsewhere: bool,
}

/// Asks a target that has just ended a response with its connection for signs of the very process that sent it, until
/// some are conclusive or the time of the request is over. `check_connection` was open before the request was sent.
///
/// An answer alone proves nothing: the process may have started again under its id.
pub(super) async fn find_process_sign<E: Edge>(
    node: &Node<E>,
    request: EndedRequest<'_>,
    check_connection: &mut Option<Connection>,
) -> ProcessSign {
    let process = request.process;
    let started = node.now();
    let mut pause = PROBE_INTERVAL;
    loop {
        let answer = ask(node, process.target, process.address, request.until).await;
        let sign = answer.sign_of(process);
        let waited = node.now().since(started);
        match sign {
            ProcessSign::SameStart | ProcessSign::KeptAnswers | ProcessSign::KeptOpen => {
                return sign;
            }
            ProcessSign::OtherProcess
            | ProcessSign::Refused
            | ProcessSign::Unnamed
            | ProcessSign::Unregistered => {
                let answers = kept_connection_answers(node, request, check_connection).await;
                return if answers {
                    ProcessSign::KeptAnswers
                } else {
                    sign
                };
            }
            ProcessSign::Closed
                if waited >= ALL_ENDED_AFTER
                    && is_kept_open(node, request, check_connection.as_ref()) =>
            {
                return ProcessSign::KeptOpen;
            }
            ProcessSign::Closed if request.may_go_on_elsewhere && waited >= MAX_CLOSED_WAIT => {
                return sign;
            }
            ProcessSign::Closed if waited >= ALL_ENDED_AFTER => {
                pause = (pause * 2).min(MAX_CLOSED_INTERVAL);
            }
            ProcessSign::Closed | ProcessSign::Silent => {}
        }
        if node.now() + pause >= request.until {
            return sign;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Asks a target whose process has closed connections until it answers, or refuses a connection, or the time `until`.
///
/// An open connection proves nothing: the kernel accepts it for a process that is about to end.
pub(super) async fn probe_process<E: Edge>(
    node: &Node<E>,
    process: Process<'_>,
    until: Time,
) -> ProcessSign {
    loop {
        let answer = ask(node, process.target, process.address, until).await;
        let sign = answer.sign_of(process);
        let is_inconclusive = matches!(sign, ProcessSign::Closed | ProcessSign::Silent);
        if !is_inconclusive || node.now() + PROBE_INTERVAL >= until {
            return sign;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Asks a target once for a report, as a sign of life and for what it says of itself. Returns whether it has answered.
pub(super) async fn ask_for_sign<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    address: SocketAddr,
) -> bool {
    let until = node.now() + ANSWER_TIMEOUT;
    matches!(ask(node, target, address, until).await, Answer::Answered(_))
}

/// Asks for a report. The connection is new, as a late answer to an earlier request may arrive on a kept one.
async fn ask<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    address: SocketAddr,
    until: Time,
) -> Answer {
    let registered = registered_start(node, target);
    match open(node, target, address, PROBE_TIMEOUT).await {
        Ok(connection) => {
            let answer = ask_on(node, target, address, connection, until).await;
            record_told_start(node, target, registered, answer);
            answer
        }
        Err(err) if err.kind() == ErrorKind::ConnectionRefused => Answer::Refused,
        Err(err) if err.kind() == ErrorKind::ConnectionReset => Answer::Closed,
        Err(_timed_out_or_local) => Answer::Silent,
    }
}

/// Records the start time that a target told on a new connection, unless another one was registered meanwhile.
fn record_told_start<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    registered: Option<u64>,
    answer: Answer,
) {
    if let (Answer::Answered(Some(told)), Some(registered)) = (answer, registered)
        && registered_start(node, target) == Some(registered)
    {
        node.told_starts.record(target, registered, told);
    }
}

/// Whether a connection that was open before a request was sent still is.
fn is_kept_open<E: Edge>(
    node: &Node<E>,
    request: EndedRequest<'_>,
    check_connection: Option<&Connection>,
) -> bool {
    let EndedRequest { process, sent, .. } = request;
    let is_open = check_connection.is_some_and(|connection| connection.is_open_to(process));
    is_open || node.pool.has_open_since(process.target, process, sent)
}

/// Whether a process answers on a connection that was open before a request was sent: such a connection ends with its
/// process.
async fn kept_connection_answers<E: Edge>(
    node: &Node<E>,
    request: EndedRequest<'_>,
    check_connection: &mut Option<Connection>,
) -> bool {
    let EndedRequest {
        process,
        sent,
        until,
        ..
    } = request;
    let Process {
        target, address, ..
    } = process;
    let held = check_connection.take();
    let mut next = held.filter(|connection| connection.is_open_to(process));
    if let Some(connection) = &mut next {
        connection.mark_reused();
    }
    while let Some(kept) = next.or_else(|| node.pool.take_open_since(target, process, sent)) {
        match ask_on(node, target, address, kept, until).await {
            Answer::Answered(_) => return true,
            Answer::Silent => return false,
            Answer::Closed | Answer::Refused | Answer::OfAnother => next = None,
        }
    }
    false
}

async fn ask_on<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    address: SocketAddr,
    connection: Connection,
    until: Time,
) -> Answer {
    let (born, was_kept) = (connection.born, connection.is_reused());
    let req = node.protocol.report_request(target, address).map(Full::new);
    let started = node.now();
    let timeout = ANSWER_TIMEOUT.min(until.since(started));
    let sent = tokio::time::timeout(timeout, connection.send(req)).await;
    let (res, mut connection) = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(SendFailure::WrongAnswer(_))) | Err(_) => return Answer::Silent,
        Ok(Err(_closed)) => return Answer::Closed,
    };
    let (parts, body) = res.into_parts();
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Answer::OfAnother;
    }
    paths::record_answer(node, target, node.now());
    let head = record_response_head(node, ResponseSender { target, born }, &parts, started);
    let body = Limited::new(body, MAX_REPORT_BYTES).collect();
    let report = match tokio::time::timeout(PROBE_TIMEOUT, body).await {
        Ok(Ok(report)) => report.to_bytes(),
        Ok(Err(_cut)) => return Answer::Closed,
        Err(_elapsed) => return Answer::Silent,
    };
    // A late answer to another request.
    if was_kept && head.id.is_some() {
        return Answer::Closed;
    }
    let told = node.protocol.start_time(&report);
    if !head.closes_connection {
        // The process at the other side has told it itself.
        connection.born = born.and(told).or(born);
        node.pool.put(target, connection, head.idle_timeout);
    }
    Answer::Answered(told)
}

/// Returns when the target's process started, as far as it is registered.
fn registered_start<E: Edge>(node: &Node<E>, target: &TargetId) -> Option<u64> {
    let tables = node.tables();
    tables.registry.get(target).and_then(|known| known.born)
}
