//! An admitted request, from its admission to its response.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{InstanceId, SoftwareVersion, TargetId, Time};
use bytes::Bytes;
use http::{Response, request};

use crate::decide::call::Call;
use crate::decide::quarantine::{Fingerprint, Suspect};
use crate::decide::tables::Ticket;
use crate::edge::Edge;

use super::attempt::TargetResponse;
use super::local_response::{ResponseBody, full_body};
use super::node::Node;
use super::origins::Continuation;
use super::pass_through::Collected;
use super::peer_forwarding::{ForwardedRequest, PeerResponse, PeerResult};
use super::stream;

/// Time reserved for a local response to reach the caller before the caller's timeout.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Minimum remaining time for which an attempt is sent.
pub(super) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(15);
/// Message for a request that is rejected because it would wait in a queue for too long.
pub(super) const TOO_LATE: &str = "engines would begin it too late: try again";
/// Message for a request that no known target can run.
pub(super) const NO_TARGET: &str = "no target can run it: try again";
/// Message for a request that continues a stream of a software version without targets.
pub(super) const VERSION_GONE: &str =
    "no target has the software version that began the stream: begin a new one";
/// Message for a request that continues a stream of unknown software version.
pub(super) const ORIGIN_UNKNOWN: &str =
    "the software version that began the stream is not known: try again, or begin a new one";
/// Message for a request that is rejected because all targets are cold.
pub(super) const ALL_COLD: &str = "all targets have just started: try again";
/// Message for a request that may not be sent again because the budget for retries is used up.
pub(super) const NO_RETRY_BUDGET: &str = "the budget for repeats is used up";
/// Message for a forwarded request whose targets can't be reached from here either.
pub(super) const NO_PATH: &str = "no target can be reached from here: use another instance";
/// Message for a request that is rejected because all targets have asked for rest.
pub(super) const ALL_RESTING: &str = "all targets have asked for rest: try again";
/// Message for a request that is rejected because all targets are full.
pub(super) const ALL_FULL: &str = "all targets are full";
/// Message for a request that is rejected because its adapter was not loaded in time.
pub(super) const NOT_LOADED: &str = "its adapter could not be loaded in time";
/// Message for a request whose workspace spends far more than its share.
pub(super) const BEYOND_SHARE: &str =
    "workspace beyond its fair share while targets are short of room: try again later";

/// A request and the state that its attempts share.
#[derive(Debug)]
pub(super) struct Job<E: Edge> {
    pub(super) node: Arc<Node<E>>,
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    pub(super) call: Call,
    /// Identifies the request when it is sent again.
    pub(super) fingerprint: Fingerprint,
    pub(super) ticket: Ticket,
    pub(super) arrived: Time,
    /// Targets that are excluded for this request.
    pub(super) tried: Vec<TargetId>,
    /// Attempts that ran or may have run.
    pub(super) runs: u32,
    /// Attempts that were sent.
    pub(super) sends: u32,
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
}

/// Outcome of the search for a target that responds.
pub(super) enum SearchOutcome<E: Edge> {
    /// A target responded.
    Response(Box<TargetResponse<E>>),
    /// A peer to which it was forwarded responded.
    PeerResponse(Box<PeerResponse<E>>),
    /// The request has not run: it was forwarded to this instance, which can't reach its targets either.
    NoPath,
    /// The request has not run and will not run.
    NotRun(&'static str),
    /// The request has not run: no target is known that could run it.
    NoTarget,
    /// The request has not run: it continues a stream, and it is not known at which software version that began.
    OriginUnknown,
    /// The request has not run: no target of the software version that began its stream may get requests.
    VersionGone,
    /// The request has not run: every engine that could run it would start it too late, by this duration.
    QueueTooLong(Duration),
    /// The request has not run: every target that could run it is cold for this long.
    Cold(Duration),
    /// The request has not run: every target that could run it has asked for rest, the first for this long.
    Resting(Duration),
    /// The request has not run: its workspace is far beyond its share, which is back after this time.
    BeyondShare(Duration),
    /// The request may have run.
    MayHaveRun(&'static str),
    /// The request, or a part of its prompt, is quarantined because targets crash under it; it is not sent any more.
    Quarantined(Suspect),
    /// The request timed out; it may have run.
    TimedOut,
}

impl<E: Edge> Job<E> {
    pub(super) async fn run(mut self) -> Response<ResponseBody> {
        let kind = self.ticket.route().kind;
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
        loop {
            let found = self.find_response().await;
            let response = match found {
                SearchOutcome::Response(response) => response,
                SearchOutcome::PeerResponse(response) => match self.finish_at_peer(*response).await
                {
                    PeerResult::Response(response) => return response,
                    PeerResult::Stream(response) => {
                        return stream::forward_from_peer(self, response);
                    }
                    PeerResult::Retry => continue,
                },
                other => {
                    return match fallback.take() {
                        Some((parts, body)) => self.forward_response(&parts, full_body(body)),
                        None => self.local_response(&other),
                    };
                }
            };
            if kind.streams() && response.parts.status.is_success() {
                return stream::forward(self, *response);
            }
            let target = response.in_flight.target.clone();
            match response.collect(self.time_left()).await {
                Ok(Collected::PassedThrough(parts, body)) => {
                    return self.forward_response(&parts, body);
                }
                Ok(Collected::Whole(parts, body)) => {
                    self.record_served();
                    let should_retry = parts.status.is_server_error() && self.may_retry();
                    if !should_retry {
                        return self.forward_response(&parts, full_body(body));
                    }
                    fallback = Some((parts, body));
                    self.tried.push(target);
                }
                Err(failed_run) => {
                    self.log_failed_attempt(&target, &format!("{:?} in body", failed_run.failure));
                    self.check_for_crash(&target, failed_run).await;
                    if !self.may_retry() {
                        return self.local_response(&SearchOutcome::MayHaveRun(
                            "the target's answer broke off",
                        ));
                    }
                    self.tried.push(target);
                }
            }
        }
    }

    /// Whether another attempt may follow the attempt that ran.
    pub(super) fn may_retry(&self) -> bool {
        let route = self.ticket.route();
        route.kind.repeatable()
            && self.runs < route.max_attempts
            && self.time_left() > MIN_ATTEMPT_TIME
    }

    /// Remaining time before the caller's timeout, less the margin for the response.
    pub(super) fn time_left(&self) -> Duration {
        let passed = self.node.now().since(self.arrived);
        self.time_limit().saturating_sub(passed + RESPONSE_MARGIN)
    }

    /// Time after its arrival until which the request may take: the caller's timeout or the route's.
    pub(super) fn time_limit(&self) -> Duration {
        let route = self.ticket.route().timeout;
        self.call.timeout.map_or(route, |own| own.min(route))
    }
}
