//! Sends a forwarded request to a peer, and the peer's response.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::InstanceId;
use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::decide::peers::Member;
use crate::decide::streams::origins::StreamOrigin;
use crate::edge::Edge;

use super::forwarded_request::{ForwardOutcome, ForwardReport};
use super::node::Node;
use super::open_attempts::AttemptCounts;
use super::pool::{Answer, BUF_SIZE, Connection, SendFailure};
use super::sockets::connect;

/// Timeout for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Counts a request as forwarded to a peer until it is dropped.
#[derive(Debug)]
struct InFlightAtPeer<E: Edge> {
    node: Arc<Node<E>>,
    peer: InstanceId,
}

impl<E: Edge> InFlightAtPeer<E> {
    fn begin(node: &Arc<Node<E>>, peer: &InstanceId) -> Self {
        node.tables().partitions.start_forwarded(peer);
        Self {
            node: Arc::clone(node),
            peer: peer.clone(),
        }
    }
}

impl<E: Edge> Drop for InFlightAtPeer<E> {
    fn drop(&mut self) {
        self.node.tables().partitions.end_forwarded(&self.peer);
    }
}

/// A peer's response whose body has not been read.
#[derive(Debug)]
pub(super) struct PeerResponse<E: Edge> {
    pub(super) parts: response::Parts,
    pub(super) report: ForwardReport,
    pub(super) stream: PeerStream<E>,
}

impl<E: Edge> PeerResponse<E> {
    /// Whether a target answered the request, not with a failure of its own.
    pub(super) fn is_answered(&self) -> bool {
        let is_answered = self.report.outcome == ForwardOutcome::Answered;
        is_answered && !self.parts.status.is_server_error()
    }

    /// Returns the attempts that the peer has made, or may have, since it got the request with these counts.
    pub(super) fn attempts_since(&self, before: AttemptCounts) -> AttemptCounts {
        self.report.attempts_since(before, self.parts.status)
    }

    /// Whether a target answered the request with success.
    pub(super) fn is_successful(&self) -> bool {
        self.report.outcome == ForwardOutcome::Answered && self.parts.status.is_success()
    }
}

/// The body of a peer's response.
#[derive(Debug)]
pub(super) struct PeerStream<E: Edge> {
    pub(super) body: Incoming,
    /// Service and software version of the target that sends it.
    pub(super) origin: Option<StreamOrigin>,
    connection: Connection,
    in_flight: InFlightAtPeer<E>,
}

impl<E: Edge> PeerStream<E> {
    /// Handles the regular end of the body: returns the connection to the pool.
    pub(super) fn finish(self) {
        let node = &self.in_flight.node;
        let idle_timeout = node.tables().routes.config().limits.idle_timeout;
        node.peer_pool
            .put(&self.in_flight.peer, self.connection, Some(idle_timeout));
    }

    /// Whether the peer is heard.
    pub(super) fn is_peer_live(&self) -> bool {
        let InFlightAtPeer { node, peer } = &self.in_flight;
        node.tables().peers.is_live(peer, node.now())
    }

    pub(super) fn peer(&self) -> &InstanceId {
        &self.in_flight.peer
    }
}

/// What became of a request at one peer.
pub(super) enum PeerAttempt<E: Edge> {
    Response(Box<PeerResponse<E>>),
    /// It was not sent, or the peer is of a release that does not accept forwarded requests.
    NotSent,
    /// It was sent, and there is no response, or none that tells what became of it.
    Broken,
}

/// Sends a forwarded request to a peer and waits for the head of its response.
pub(super) async fn exchange<E: Edge>(
    node: Arc<Node<E>>,
    peer: &Member,
    req: Request<Full<Bytes>>,
    reuse: bool,
    time_left: Duration,
) -> PeerAttempt<E> {
    let in_flight = InFlightAtPeer::begin(&node, &peer.name);
    let sending = send(&node, peer, req, reuse);
    match tokio::time::timeout(time_left, sending).await {
        Ok(Ok((response, connection))) => {
            let (mut parts, body) = response.into_parts();
            let report = match ForwardReport::take_from(&mut parts.headers) {
                Some(Ok(report)) => report,
                None if parts.status.is_client_error() => return PeerAttempt::NotSent,
                Some(Err(_)) | None => return PeerAttempt::Broken,
            };
            let stream = PeerStream {
                body,
                origin: report.stream.clone(),
                connection,
                in_flight,
            };
            PeerAttempt::Response(Box::new(PeerResponse {
                parts,
                report,
                stream,
            }))
        }
        Ok(Err(SendFailure::NotSent(_))) => PeerAttempt::NotSent,
        Ok(Err(_)) | Err(_) => PeerAttempt::Broken,
    }
}

/// Sends a request to a peer, on a kept connection if it may.
async fn send<E: Edge>(
    node: &Node<E>,
    peer: &Member,
    req: Request<Full<Bytes>>,
    reuse: bool,
) -> Result<Answer, SendFailure> {
    let sent = if reuse {
        node.peer_pool.send(&peer.name, req).await
    } else {
        Err(SendFailure::NotSent(Box::new(req)))
    };
    match sent {
        Err(SendFailure::NotSent(req)) => match open(peer).await {
            Some(connection) => connection.send(*req).await,
            None => Err(SendFailure::NotSent(req)),
        },
        sent => sent,
    }
}

async fn open(peer: &Member) -> Option<Connection> {
    let stream = connect(peer.control, CONNECT_TIMEOUT).await.ok()?;
    Connection::handshake(stream, BUF_SIZE).await.ok()
}
