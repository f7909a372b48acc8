//! Forwards requests to peers: while this instance can't reach their targets, and to the owners of brittle targets.
//!
//! The peer sends the request to targets itself or refuses it; only to the owner of a brittle target it may forward it once
//! more. The instance that received it from the caller has authorized and charged it; the peer does the rest.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{InstanceId, ServiceId, TargetId, WorkspaceId};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::decide::call::Forward;
use crate::decide::config::RouteKind;
use crate::decide::peers::Member;
use crate::decide::retry_budget::RetryCause;
use crate::decide::stream_origins::StreamOrigin;
use crate::edge::{Edge, Protocol};

use super::attempt::MAX_BUFFERED_BYTES;
use super::caller_memory::CallerMemory;
use super::front::{Job, MIN_ATTEMPT_TIME};
use super::local_response::{ResponseBody, full_body};
use super::log::{LogEvent, event};
use super::node::Node;
use super::open_attempts::{AttemptCounts, EndedAttempt, Recipient, RunningAttempt, SentAttempt};
use super::pool::{Answer, BUF_SIZE, Connection, SendFailure};
use super::search::Step;
use super::search_outcome::SearchOutcome;
use super::sockets::connect;

/// Header of a request that an instance forwards to a peer; contains a [`ForwardedRequest`].
pub(super) const REQUEST_HEADER: HeaderName = HeaderName::from_static("peer-forwarded-request");
/// Header of the peer's response; contains a [`ForwardReport`].
pub(super) const REPORT_HEADER: HeaderName = HeaderName::from_static("peer-forward-report");
/// Timeout for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of peers to which a request is forwarded one after the other.
const MAX_PEERS: usize = 3;
/// Interval of the checks whether the peer is still live.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What a peer must know of a request that is forwarded to it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ForwardedRequest {
    /// The instance that received it from the caller.
    pub(super) origin: InstanceId,
    /// The workspace that is charged.
    pub(super) workspace: Option<WorkspaceId>,
    /// Attempts that ran or may have run.
    pub(super) runs: u32,
    /// Attempts that reached targets or may have.
    #[serde(default)]
    pub(super) sends: u32,
    /// Whether the peer counts it among the requests on which the budget of retries is based.
    #[serde(default)]
    pub(super) counts: bool,
    /// Where the stream began that the request continues.
    #[serde(default)]
    pub(super) stream: Option<StreamOrigin>,
    /// The brittle target as whose owner the peer gets it.
    #[serde(default)]
    pub(super) owned: Option<TargetId>,
}

/// What became of a request that was forwarded to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ForwardOutcome {
    /// The response is from a target.
    Answered,
    /// The peer refused it; it has not run.
    NotRun,
    /// The peer can't reach the targets either, or accepts no requests; it has not run.
    NoPath,
    /// It may have run and has no response.
    Failed,
}

impl ForwardOutcome {
    /// Short name for metrics and the log.
    const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::NoPath => "no_path",
            Self::Failed => "failed",
        }
    }
}

/// A peer's report on a forwarded request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ForwardReport {
    pub(super) outcome: ForwardOutcome,
    /// Attempts that ran or may have run, including earlier ones.
    pub(super) runs: u32,
    /// Attempts that reached targets or may have, including earlier ones.
    #[serde(default)]
    pub(super) sends: u32,
    /// Why the peer refused it; empty if it did not.
    pub(super) reason: Box<str>,
    /// Service and software version of the target that answered.
    #[serde(default)]
    pub(super) stream: Option<StreamOrigin>,
    /// Milliseconds for which the target gets no requests as whose owner the peer got the request.
    #[serde(default)]
    pub(super) rest_ms: u32,
}

fn header_value(value: &impl Serialize) -> Option<HeaderValue> {
    let text = serde_json::to_vec(value).ok()?;
    HeaderValue::from_bytes(&text).ok()
}

impl ForwardedRequest {
    /// Reads the header of a request; `None` if it is absent or malformed.
    pub(super) fn of(headers: &HeaderMap) -> Option<Self> {
        serde_json::from_slice(headers.get(REQUEST_HEADER)?.as_bytes()).ok()
    }
}

impl ForwardReport {
    /// Adds the report to a response.
    pub(super) fn add_to(&self, headers: &mut HeaderMap) {
        if let Some(value) = header_value(self) {
            headers.insert(REPORT_HEADER, value);
        }
    }

    fn take_from(headers: &mut HeaderMap) -> Option<Self> {
        serde_json::from_slice(headers.remove(REPORT_HEADER)?.as_bytes()).ok()
    }
}

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

    /// Whether the request is not sent elsewhere after it: a peer that got it as the owner of a target may refuse it while
    /// other targets have room.
    fn ends_search(&self, to_owner: bool) -> bool {
        match self.report.outcome {
            ForwardOutcome::NoPath => false,
            ForwardOutcome::NotRun => !to_owner,
            ForwardOutcome::Answered | ForwardOutcome::Failed => true,
        }
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

/// What becomes of a peer's response.
pub(super) enum PeerResult<E: Edge> {
    /// It is forwarded to the caller.
    Response(Response<ResponseBody>),
    /// It is a stream that is forwarded event by event.
    Stream(Box<PeerResponse<E>>),
    /// It was interrupted; the request is sent again.
    Retry,
}

/// What became of a request at one peer.
pub(super) enum PeerAttempt<E: Edge> {
    Response(Box<PeerResponse<E>>),
    /// It was not sent, or the peer is of a release that does not accept forwarded requests.
    NotSent,
    /// It was sent, and there is no response.
    Broken,
}

impl<E: Edge> Job<E> {
    /// Whether no target of the request can be reached from here, as far as known.
    pub(super) fn is_path_lost(&mut self) -> bool {
        let unreached_at = self.unreached_at.take();
        let service = &self.ticket.service;
        let now = self.node.now();
        let tables = self.node.tables();
        let is_in_doubt = |sent| tables.is_path_in_doubt(service, &self.tried, sent, now);
        tables.is_partitioned_from(service) || unreached_at.is_some_and(is_in_doubt)
    }

    /// Forwards the request to a peer that may reach its targets; one that a peer forwarded is returned to it. The search
    /// goes on here if no peer takes it.
    pub(super) fn forward_or_return(&mut self) -> Step<E> {
        match &self.forwarded {
            None => self.forward_to_peer(),
            Some(forwarded) if self.runs == forwarded.runs => Step::Found(SearchOutcome::NoPath),
            Some(_) => Step::GoOn,
        }
    }

    /// Whether a peer forwarded the request to this instance as the owner of a target.
    pub(super) fn is_for_owner(&self) -> bool {
        let forwarded = self.forwarded.as_ref();
        forwarded.is_some_and(|forwarded| forwarded.owned.is_some())
    }

    /// Forwards the request to a peer that it was not forwarded to before.
    fn forward_to_peer(&mut self) -> Step<E> {
        while self.tried_peers.len() < MAX_PEERS && self.time_left() > MIN_ATTEMPT_TIME {
            let service = &self.ticket.service;
            let sample = rand::rng().random_range(0..usize::MAX);
            let now = self.node.now();
            let peer = self
                .node
                .tables()
                .choose_peer(service, &self.tried_peers, sample, now);
            let Some(peer) = peer else {
                return Step::GoOn;
            };
            if let Some(step) = self.forward(&peer, None) {
                return step;
            }
        }
        Step::GoOn
    }

    /// Forwards the request to the owner of a brittle target.
    pub(super) fn forward_to_owner(&mut self, owner: &Member, target: TargetId) -> Step<E> {
        let step = self.forward(owner, Some(target.clone()));
        self.ticket.may_go_to_owner = self.tried_peers.len() < MAX_PEERS;
        step.unwrap_or_else(|| {
            self.refused.push(target);
            Step::GoOn
        })
    }

    /// Forwards the request to a peer, as the owner of a target if it is one. `None` if it can't be encoded.
    fn forward(&mut self, peer: &Member, owned: Option<TargetId>) -> Option<Step<E>> {
        let now = self.node.now();
        let service = &self.ticket.service;
        let counted_at = self.ticket.counted_at.take();
        if let Some(counted_at) = counted_at {
            let retries = &mut self.node.tables().retries;
            retries.forget_request(service, counted_at);
        }
        self.tried_peers.push(peer.name.clone());
        let forwarded = ForwardedRequest {
            origin: self.node.settings.member.name.clone(),
            workspace: self.ticket.workspace.clone(),
            runs: self.runs,
            sends: self.sends,
            counts: counted_at.is_some(),
            stream: self.ticket.stream_origin(),
            owned,
        };
        let running = self.open_peer_attempt(peer, forwarded)?;
        // It may run from now on, also if the search is dropped before it has ended. If it was sent before, the peer
        // takes a retry when it sends it.
        self.runs += 1;
        self.sends += 1;
        Some(Step::Sent(SentAttempt {
            recipient: Recipient::Peer(peer.name.clone()),
            sent: now,
            running,
        }))
    }

    /// Decides what the end of an attempt at a peer means, which got it as the owner of `owned` if that is set.
    pub(super) fn settle_at_peer(
        &mut self,
        peer: &InstanceId,
        before: AttemptCounts,
        owned: Option<TargetId>,
        attempt: PeerAttempt<E>,
    ) -> Step<E> {
        self.retry_cause = RetryCause::Peer;
        self.record_forwarded(peer, owned.as_ref(), &attempt);
        if let (Some(target), PeerAttempt::Response(response)) = (&owned, &attempt) {
            let rest = Duration::from_millis(u64::from(response.report.rest_ms));
            let now = self.node.now();
            self.node.tables().record_rest_at_owner(target, rest, now);
        }
        match attempt {
            PeerAttempt::Response(response) if !response.ends_search(owned.is_some()) => {
                self.count_at_peer(before, &response.report);
                self.refused.extend(owned);
                Step::GoOn
            }
            PeerAttempt::NotSent => {
                self.runs -= 1;
                self.sends -= 1;
                self.refused.extend(owned);
                Step::GoOn
            }
            PeerAttempt::Response(response) => {
                self.count_at_peer(before, &response.report);
                Step::Found(SearchOutcome::PeerResponse(response))
            }
            PeerAttempt::Broken if self.may_retry() => Step::GoOn,
            PeerAttempt::Broken => Step::Found(SearchOutcome::MayHaveRun(
                "the peer that it was forwarded to gave no whole answer",
            )),
        }
    }

    /// Counts what a peer has sent in place of the one attempt that was counted when the request was forwarded.
    fn count_at_peer(&mut self, before: AttemptCounts, report: &ForwardReport) {
        self.runs = self.runs - 1 + report.runs.saturating_sub(before.runs);
        self.sends = self.sends - 1 + report.sends.saturating_sub(before.sends);
    }

    /// Forwards a peer's response to the caller, or decides that the request is sent again.
    pub(super) async fn finish_at_peer(&mut self, response: PeerResponse<E>) -> PeerResult<E> {
        let is_answered = response.report.outcome == ForwardOutcome::Answered;
        if self.ticket.route().kind.streams() && response.is_successful() {
            return PeerResult::Stream(Box::new(response));
        }
        let PeerResponse {
            parts,
            report,
            mut stream,
        } = response;
        let reading = Limited::new(&mut stream.body, MAX_BUFFERED_BYTES).collect();
        let read = tokio::time::timeout(self.time_left(), reading).await;
        let Ok(Ok(body)) = read else {
            if self.may_retry() {
                return PeerResult::Retry;
            }
            let broken = SearchOutcome::MayHaveRun("the peer's answer broke off");
            return PeerResult::Response(self.local_response(&broken));
        };
        let mut body = body.to_bytes();
        if let Some(caller) = self.head.extensions.get::<Arc<CallerMemory>>() {
            body = caller.buffered(body);
        }
        let body = full_body(body);
        let peer = stream.peer().clone();
        stream.finish();
        PeerResult::Response(if is_answered {
            self.forward_response(&parts, body)
        } else {
            self.forward_refusal(&parts, &report, &peer, body)
        })
    }

    fn record_forwarded(
        &self,
        peer: &InstanceId,
        owned: Option<&TargetId>,
        attempt: &PeerAttempt<E>,
    ) {
        let outcome = match attempt {
            PeerAttempt::Response(response) => response.report.outcome.name(),
            PeerAttempt::NotSent => "not_sent",
            PeerAttempt::Broken => "broken",
        };
        self.node.metrics.request_forwarded(outcome);
        let fields = [
            ("request", &*self.call.id),
            ("peer", peer.as_str()),
            ("outcome", outcome),
            ("owner_of", owned.map_or("", TargetId::as_str)),
            ("ms", &*self.elapsed_ms()),
        ];
        event(LogEvent::RequestForwarded, &fields);
    }

    /// Forwards the request to a peer; `None` if it can't be encoded.
    fn open_peer_attempt(
        &self,
        peer: &Member,
        forwarded: ForwardedRequest,
    ) -> Option<RunningAttempt<E>> {
        let req = self.peer_request(peer, &forwarded)?;
        let node = Arc::clone(&self.node);
        let reuse = self.ticket.route().kind != RouteKind::Unsafe;
        let time_left = self.time_left();
        let peer = peer.clone();
        let before = AttemptCounts {
            runs: forwarded.runs,
            sends: forwarded.sends,
        };
        Some(Box::pin(async move {
            let attempt = exchange(node, &peer, req, reuse, time_left).await;
            EndedAttempt::AtPeer {
                peer: peer.name,
                before,
                owned: forwarded.owned,
                attempt,
            }
        }))
    }

    fn peer_request(
        &self,
        peer: &Member,
        forwarded: &ForwardedRequest,
    ) -> Option<Request<Full<Bytes>>> {
        let forward = Forward {
            time_left: self.time_left(),
            target: peer.name.as_str(),
            workspace: self.ticket.workspace.as_ref(),
            adapter_version: None,
            priority: None,
            resume_after: self.call.resume_after,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = self.node.protocol.forward_headers(&self.head, &forward);
        req.headers_mut()
            .insert(REQUEST_HEADER, header_value(forwarded)?);
        Some(req)
    }
}

/// Sends a forwarded request to a peer and waits for the head of its response.
async fn exchange<E: Edge>(
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
            let Some(report) = ForwardReport::take_from(&mut parts.headers) else {
                return PeerAttempt::NotSent;
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

/// Why a peer is not expected to answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PeerDoubt {
    /// It was killed, or is suspended or partitioned from this instance.
    Down,
    /// It reports that it can't reach the service's targets either.
    PathLost,
}

impl PeerDoubt {
    /// Short name for the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Down => "peer_down",
            Self::PathLost => "peer_path_lost",
        }
    }
}

/// Returns when a peer is not expected to answer a request for a service any more.
pub(super) async fn until_doubted<E: Edge>(
    node: &Node<E>,
    peer: &InstanceId,
    service: &ServiceId,
) -> PeerDoubt {
    loop {
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
        let now = node.now();
        let tables = node.tables();
        if !tables.peers.is_live(peer, now) {
            return PeerDoubt::Down;
        }
        if tables.has_peer_lost(service, peer, now) {
            return PeerDoubt::PathLost;
        }
    }
}
