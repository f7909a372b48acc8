//! An admitted request, from its admission to its response.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{InstanceId, SoftwareVersion, TargetId, Time};
use bytes::Bytes;
use http::request;

use crate::decide::call::Call;
use crate::decide::quarantine::Fingerprint;
use crate::decide::retry_budget::RetryCause;
use crate::decide::tables::Ticket;
use crate::edge::Edge;

use super::forwarded_request::ForwardedRequest;
use super::node::Node;
use super::open_attempts::OpenAttempts;
use super::origins::Continuation;
use super::peer_forwarding::PeerResult;
use super::reported_response::ReportedResponse;
use super::search::Reach;
use super::search_outcome::SearchOutcome;
use super::stream;

/// Time reserved for a local response to reach the caller before the caller's timeout.
pub(super) const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Minimum remaining time for which an attempt is sent.
pub(super) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(15);
/// A request and the state that its attempts share.
#[derive(Debug)]
pub(super) struct Job<E: Edge> {
    pub(super) node: Arc<Node<E>>,
    pub(super) head: Arc<request::Parts>,
    pub(super) body: Bytes,
    pub(super) call: Arc<Call>,
    /// Identifies the request when it is sent again.
    pub(super) fingerprint: Fingerprint,
    pub(super) ticket: Ticket,
    pub(super) arrived: Time,
    /// Targets that are excluded for this request.
    pub(super) tried: Vec<TargetId>,
    /// Targets that refused it in the present search. A later search may ask them again.
    pub(super) refused: Vec<TargetId>,
    /// Attempts that ran or may have run.
    pub(super) runs: u32,
    /// Attempts that reached targets or may have, here or at peers. Each but the first takes a retry.
    pub(super) sends: u32,
    /// Why it would be sent once more.
    pub(super) retry_cause: RetryCause,
    /// When the last attempt began that could not connect, until it is known whether a path is lost.
    pub(super) unreached_at: Option<Time>,
    /// Time spent waiting for the request's adapter.
    pub(super) load_waited: Duration,
    /// Target and send time of the last attempt.
    pub(super) last_send: Option<(TargetId, Time)>,
    /// Software version of the target that responded last.
    pub(super) software: Option<SoftwareVersion>,
    /// How the origin of the stream was found that the request continues.
    pub(super) origin_source: Option<&'static str>,
    /// Time since that origin was recorded.
    pub(super) origin_age: Option<Duration>,
    /// Set if a peer forwards it to this instance.
    pub(super) forwarded: Option<ForwardedRequest>,
    /// Peers to which it was forwarded.
    pub(super) tried_peers: Vec<InstanceId>,
    /// Brittle targets whose owners have returned it since it last waited.
    pub(super) returned: Vec<TargetId>,
    /// Number of owners of brittle targets to which it was forwarded since it last waited.
    pub(super) owners_asked: usize,
}

impl<E: Edge> Job<E> {
    pub(super) async fn run(mut self) -> ReportedResponse {
        if let Some(refused) = self.refused_suspect() {
            return self.local_response(&SearchOutcome::Quarantined(refused));
        }
        if !self.ticket.quota_wait.is_zero() {
            tokio::time::sleep(self.ticket.quota_wait).await;
        }
        if let Continuation::Refused = self.hold_to_origin().await {
            return self.local_response(&SearchOutcome::OriginUnknown);
        }
        let mut fallback = None;
        let mut open = OpenAttempts::default();
        loop {
            let found = self.find_response(Reach::All, &mut open).await;
            match found {
                SearchOutcome::Response(response) => return stream::forward(self, *response).await,
                SearchOutcome::Collected(response) => {
                    let is_whole = response.body.is_whole();
                    if is_whole {
                        self.record_served();
                    }
                    let may_go_on = self.may_retry() || !open.is_empty();
                    let is_error = is_whole && response.parts.status.is_server_error();
                    if !(is_error && may_go_on) {
                        return self.forward_response(&response.parts, response.body.into_body());
                    }
                    self.exclude(response.target.clone());
                    fallback = Some(response);
                }
                SearchOutcome::PeerResponse(response) => match self.finish_at_peer(*response).await
                {
                    PeerResult::Response(response) => return response,
                    PeerResult::Stream(response) => {
                        return stream::forward_from_peer(self, response).await;
                    }
                    PeerResult::Retry => {}
                },
                other => {
                    return match fallback.take() {
                        Some(response) => {
                            self.forward_response(&response.parts, response.body.into_body())
                        }
                        None => self.local_response(&other),
                    };
                }
            }
        }
    }

    /// Whether another attempt may follow the attempt that ran.
    pub(super) fn may_retry(&self) -> bool {
        self.may_follow(self.runs) && self.time_left() > MIN_ATTEMPT_TIME
    }

    /// Whether another attempt may follow so many that ran or may have run.
    pub(super) fn may_follow(&self, runs: u32) -> bool {
        let route = self.ticket.route();
        route.kind.repeatable() && runs < route.max_attempts
    }

    /// Remaining time before the caller's timeout, less the margin for the response.
    pub(super) fn time_left(&self) -> Duration {
        let passed = self.node.now().since(self.arrived);
        self.time_limit().saturating_sub(passed + RESPONSE_MARGIN)
    }

    /// Time after its arrival until which the request may take: the caller's timeout or the route's.
    pub(super) fn time_limit(&self) -> Duration {
        time_limit(&self.call, &self.ticket)
    }
}

/// Time after its arrival until which a request may take: the caller's timeout or the route's.
pub(super) fn time_limit(call: &Call, ticket: &Ticket) -> Duration {
    let route = ticket.route().timeout;
    call.timeout.map_or(route, |own| own.min(route))
}
