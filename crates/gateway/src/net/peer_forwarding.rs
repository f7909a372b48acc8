//! Forwards requests to peers: while this instance can't reach their targets, and to the owners of brittle targets.
//!
//! The peer sends the request to targets itself or refuses it; only to the owner of a brittle target it may forward it once
//! more. The instance that received it from the caller has authorized and charged it; the peer does the rest.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{InstanceId, TargetId, Time};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use rand::Rng;

use crate::decide::availability::Availability;
use crate::decide::call::Forward;
use crate::decide::config::RouteKind;
use crate::decide::peers::Member;
use crate::decide::placement::Pick;
use crate::decide::retry_budget::RetryCause;
use crate::decide::target::Target;
use crate::edge::{Edge, Protocol};

use super::attempt::MAX_BUFFERED_BYTES;
use super::caller_memory::CallerMemory;
use super::forwarded_request::{ForwardOutcome, ForwardedRequest, REQUEST_HEADER, header_value};
use super::front::{Job, MIN_ATTEMPT_TIME};
use super::local_response::full_body;
use super::log::{LogEvent, event};
use super::open_attempts::{AttemptCounts, EndedAttempt, Recipient, RunningAttempt, SentAttempt};
use super::peer_exchange::{PeerAttempt, PeerResponse, exchange};
use super::reported_response::ReportedResponse;
use super::search::Step;
use super::search_outcome::SearchOutcome;

/// Number of peers to which a request is forwarded one after the other.
const MAX_PEERS: usize = 3;
/// Number of owners to which a request is forwarded one after the other before it waits.
const MAX_OWNERS: usize = 3;
/// Time for which a request waits at the last of these owners.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(40);

/// What becomes of a peer's response.
pub(super) enum PeerResult<E: Edge> {
    /// It is forwarded to the caller.
    Response(ReportedResponse),
    /// It is a stream that is forwarded event by event.
    Stream(Box<PeerResponse<E>>),
    /// It was interrupted; the request is sent again.
    Retry,
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

    /// Whether the request is returned to the instance that forwarded it to the owner of a target, which gets no request
    /// now: the owner of another target may have room.
    pub(super) fn returns_from_owner(&self, pick: &Pick) -> bool {
        if !self.is_for_owner() || *pick != Pick::Full {
            return false;
        }
        self.owner_wait_end()
            .is_some_and(|end| self.node.now() >= end)
    }

    /// Whether no owner of another target is asked after that of `owned` before the request waits.
    fn is_last_owner(&self, owned: Option<&TargetId>) -> bool {
        if self.owners_asked + 1 == MAX_OWNERS {
            return true;
        }
        let now = self.node.now();
        let tables = self.node.tables();
        let left_out = [&self.tried, &self.refused, &self.returned];
        let is_left = |target: &&Target| {
            Some(&target.id) != owned
                && self.ticket.allows(target)
                && tables.availability(target, now) == Availability::Open
                && !left_out.iter().any(|targets| targets.contains(&target.id))
        };
        !tables.registry.all().any(|target| is_left(&target))
    }

    /// Returns until when the request waits for the target as whose owner this instance got it; `None` if a caller sent
    /// it.
    pub(super) fn owner_wait_end(&self) -> Option<Time> {
        let forwarded = self.forwarded.as_ref()?;
        forwarded.owned.as_ref()?;
        Some(if forwarded.waits_for_owned {
            self.arrived + MAX_OWNER_WAIT
        } else {
            self.arrived
        })
    }

    /// Lets the request go to the owners of targets again after it has waited.
    pub(super) fn ask_owners_again(&mut self) {
        if self.forwarded.is_none() {
            self.returned.clear();
            self.owners_asked = 0;
            self.ticket.may_go_to_owner = true;
        }
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
        self.owners_asked += 1;
        self.ticket.may_go_to_owner = self.owners_asked < MAX_OWNERS;
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
        let waits_for_owned = self.is_last_owner(owned.as_ref());
        let forwarded = ForwardedRequest {
            origin: self.node.settings.member.name.clone(),
            workspace: self.ticket.workspace.clone(),
            runs: self.runs,
            sends: self.sends,
            counts: counted_at.is_some(),
            stream: self.ticket.stream_origin(),
            owned,
            waits_for_owned,
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
            PeerAttempt::Response(response) => {
                let attempts = response.attempts_since(before);
                self.count_at_peer(attempts);
                self.settle_peer_response(response, owned, attempts)
            }
            PeerAttempt::NotSent => {
                self.runs -= 1;
                self.sends -= 1;
                if owned.is_some() {
                    let now = self.node.now();
                    self.node.tables().record_owner_unreached(peer, now);
                }
                Step::GoOn
            }
            PeerAttempt::Broken if self.may_retry() => Step::GoOn,
            PeerAttempt::Broken => Step::Found(SearchOutcome::MayHaveRun(
                "the peer that it was forwarded to gave no whole answer",
            )),
        }
    }

    /// Decides what a peer's response means after which the request may have run so often there. A peer that got it as the
    /// owner of a target may refuse it while other targets have room.
    fn settle_peer_response(
        &mut self,
        response: Box<PeerResponse<E>>,
        owned: Option<TargetId>,
        attempts: AttemptCounts,
    ) -> Step<E> {
        match response.report.outcome {
            ForwardOutcome::Answered | ForwardOutcome::Failed => {
                Step::Found(SearchOutcome::PeerResponse(response))
            }
            ForwardOutcome::NotRun | ForwardOutcome::NoPath
                if attempts.runs > 0 && !self.may_retry() =>
            {
                Step::Found(SearchOutcome::MayHaveRun(
                    "the peer that it was forwarded to refused it after a run",
                ))
            }
            ForwardOutcome::NotRun if owned.is_none() && attempts.runs == 0 => {
                Step::Found(SearchOutcome::PeerResponse(response))
            }
            ForwardOutcome::NotRun | ForwardOutcome::NoPath => {
                self.returned.extend(owned);
                Step::GoOn
            }
        }
    }

    /// Counts what a peer has sent in place of the one attempt that was counted when the request was forwarded.
    fn count_at_peer(&mut self, attempts: AttemptCounts) {
        self.runs = self.runs - 1 + attempts.runs;
        self.sends = self.sends - 1 + attempts.sends;
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
