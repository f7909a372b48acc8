//! Runs an admitted request: choice of a target, retries.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{AdapterVersion, InstanceId, SoftwareVersion, TargetId, Time};
use bytes::Bytes;
use http::{Response, request};
use rand::Rng;

use crate::decide::call::{Call, Forward};
use crate::decide::config::RouteKind;
use crate::decide::health::MAX_SILENCE;
use crate::decide::load_wait::{LOAD_REQUEST_INTERVAL, LoadWaitAction, load_wait};
use crate::decide::placement::Pick;
use crate::decide::quarantine::{Fingerprint, InterruptedRun, Suspect};
use crate::decide::tables::{Tables, Ticket};
use crate::edge::Edge;
use crate::packet::{AdapterRequest, AdapterRequestKind};

use super::attempt::{Attempt, FailedRun, Failure, NotRunReason, SendParams, TargetResponse, send};
use super::crash_check::record_interruption;
use super::local_response::{ResponseBody, full_body};
use super::log::{LogEvent, event};
use super::node::Node;
use super::origins::Continuation;
use super::pass_through::Collected;
use super::peer_forwarding::{ForwardedRequest, PeerResponse, PeerResult};
use super::quarantine;
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
/// Delay before another check for free capacity at plain targets.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(15);
/// Max wait for the response head of a plain target, as a multiple of the route's target latency, before a
/// repeatable request is retried at another target.
const PLAIN_WAIT_FACTOR: u32 = 3;
/// The same factor for the response head of a stream.
const STREAM_WAIT_FACTOR: u32 = 3;
/// Minimum of the wait for a plain target. It is shorter than a sound target may be silent: a read is repeated
/// within the retry budget rather than answered late.
const MIN_RESPONSE_WAIT: Duration = Duration::from_millis(250);

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
        let route = self.ticket.route().timeout;
        let limit = self.call.timeout.map_or(route, |own| own.min(route));
        let passed = self.node.now().since(self.arrived);
        limit.saturating_sub(passed + RESPONSE_MARGIN)
    }

    /// Sends the request to targets until one responds or no further attempt is possible.
    pub(super) async fn find_response(&mut self) -> SearchOutcome<E> {
        let route_latency = self.ticket.route().target_latency;
        let started = self.node.now();
        let full_until = self.node.now() + route_latency / 2;
        loop {
            if self.time_left() < MIN_ATTEMPT_TIME {
                return self.out_of_time();
            }
            if let Some(found) = self.forward_if_partitioned().await {
                return found;
            }
            let now = self.node.now();
            let draw = rand::rng().random_range(0.0..1.0);
            if let Some(refused) = self.refused_suspect() {
                return SearchOutcome::Quarantined(refused);
            }
            match self.pick(draw, now) {
                Pick::Send {
                    target,
                    version,
                    trial,
                    load_at,
                } => {
                    self.request_loads(load_at);
                    if let Some(found) = self.try_target(target, version, trial).await {
                        return found;
                    }
                }
                Pick::Load(target) => {
                    match self.load_wait(started, now) {
                        LoadWaitAction::RequestLoad => {
                            self.send_adapter_request(target, self.load_request());
                        }
                        LoadWaitAction::Wait => {}
                        LoadWaitAction::Refuse => {
                            self.log_failed_attempt(&target, "adapter not loaded in time");
                            return self.unserved("its adapter could not be loaded in time");
                        }
                    }
                    self.node.loader_work.notify_waiters();
                    let changed = self.node.changed.notified();
                    let _woken = tokio::time::timeout(LOAD_REQUEST_INTERVAL, changed).await;
                    self.load_waited += self.node.now().since(now);
                }
                Pick::Late { excess, load_at } => {
                    self.request_loads(load_at);
                    return self.late(excess);
                }
                Pick::Cold { left } => return self.cold(left),
                Pick::Resting { left } if now + left < full_until => {
                    tokio::time::sleep(left).await;
                }
                Pick::Resting { left } => return self.resting(left),
                Pick::Full if now < full_until => tokio::time::sleep(FULL_RETRY_DELAY).await,
                Pick::Full => return self.unserved("all targets are full"),
                Pick::NoTarget if self.is_version_gone(now) => return self.version_gone(),
                Pick::NoTarget if self.runs == 0 => return SearchOutcome::NoTarget,
                Pick::NoTarget => return self.unserved(NO_TARGET),
            }
        }
    }

    /// Returns why the request must not be sent: itself, or a part of its prompt.
    fn refused_suspect(&self) -> Option<Suspect> {
        quarantine::refused_suspect(&self.node, self.fingerprint, &self.call)
    }

    fn pick(&self, draw: f64, now: Time) -> Pick {
        let request = self.fingerprint;
        let mut tables = self.node.tables();
        tables.pick_apart(request, &self.ticket, &self.call, &self.tried, draw, now)
    }

    fn load_wait(&self, started: Time, now: Time) -> LoadWaitAction {
        let route = self.ticket.route();
        let is_congested = self.node.tables().is_loading_congested(&self.ticket, now);
        load_wait(
            now.since(started),
            self.call.timeout.unwrap_or(route.timeout),
            route.target_latency,
            is_congested,
        )
    }

    fn late(&self, excess: Duration) -> SearchOutcome<E> {
        if self.runs == 0 {
            SearchOutcome::QueueTooLong(excess)
        } else {
            SearchOutcome::MayHaveRun(TOO_LATE)
        }
    }

    fn cold(&self, left: Duration) -> SearchOutcome<E> {
        if self.runs == 0 {
            SearchOutcome::Cold(left)
        } else {
            SearchOutcome::MayHaveRun(ALL_COLD)
        }
    }

    fn resting(&self, left: Duration) -> SearchOutcome<E> {
        if self.runs == 0 {
            SearchOutcome::Resting(left)
        } else {
            SearchOutcome::MayHaveRun(ALL_RESTING)
        }
    }

    fn is_version_gone(&self, now: Time) -> bool {
        let is_held = self.ticket.software.is_some();
        is_held && !self.node.tables().has_serving_target(&self.ticket, now)
    }

    /// Reports that no target of the version that began the stream may get requests.
    fn version_gone(&self) -> SearchOutcome<E> {
        self.node.metrics.streams.version_was_gone();
        let software = self.ticket.software.as_ref().map(ToString::to_string);
        event(
            LogEvent::SoftwareGone,
            &[
                ("request", &self.call.id),
                ("service", self.ticket.service.as_str()),
                ("software", &software.unwrap_or_default()),
            ],
        );
        if self.runs == 0 {
            SearchOutcome::VersionGone
        } else {
            SearchOutcome::MayHaveRun(VERSION_GONE)
        }
    }

    pub(super) fn unserved(&self, why: &'static str) -> SearchOutcome<E> {
        if self.runs == 0 {
            SearchOutcome::NotRun(why)
        } else {
            SearchOutcome::MayHaveRun(why)
        }
    }

    fn out_of_time(&self) -> SearchOutcome<E> {
        if self.runs == 0 {
            SearchOutcome::NotRun("no target took it in time")
        } else {
            SearchOutcome::TimedOut
        }
    }

    fn load_request(&self) -> AdapterRequestKind {
        let key = Tables::adapter_of(&self.call);
        let newest = key.and_then(|key| self.node.tables().versions.newest(key));
        AdapterRequestKind::Load(newest)
    }

    fn request_loads(&self, targets: Vec<TargetId>) {
        for target in targets {
            self.send_adapter_request(target, self.load_request());
        }
    }

    fn send_adapter_request(&self, target: TargetId, kind: AdapterRequestKind) {
        if let Some(key) = Tables::adapter_of(&self.call) {
            let key = key.clone();
            self.node
                .queue_adapter_request(AdapterRequest { target, key, kind });
        }
    }

    fn max_wait(&self) -> Duration {
        let route = self.ticket.route();
        let time_left = self.time_left();
        if !route.kind.repeatable() || self.runs + 1 >= route.max_attempts {
            return time_left;
        }
        let times = if route.kind.streams() {
            STREAM_WAIT_FACTOR
        } else {
            PLAIN_WAIT_FACTOR
        };
        let min_wait = if route.kind.streams() {
            MAX_SILENCE
        } else {
            MIN_RESPONSE_WAIT
        };
        (route.target_latency * times).max(min_wait).min(time_left)
    }

    async fn try_target(
        &mut self,
        target: TargetId,
        version: Option<AdapterVersion>,
        trial: bool,
    ) -> Option<SearchOutcome<E>> {
        let service = &self.ticket.service;
        let now = self.node.now();
        if self.sends > 0 && !self.node.tables().take_retry(service, now) {
            return Some(self.unserved(NO_RETRY_BUDGET));
        }
        let kind = self.ticket.route().kind;
        let forward = Forward {
            time_left: self.time_left(),
            target: target.as_str(),
            workspace: self.ticket.workspace.as_ref(),
            adapter_version: version.map(|version| version.0),
            priority: self.call.wanted.is_some().then(|| self.ticket.rank.min(9)),
            resume_after: self.call.resume_after,
        };
        let params = SendParams {
            head: &self.head,
            body: &self.body,
            call: &self.call,
            fingerprint: self.fingerprint,
            reuse: kind != RouteKind::Unsafe,
            service,
            max_wait_without_path: kind
                .repeatable()
                .then(|| self.ticket.route().target_latency),
            trial,
            suspect: self.node.tables().quarantine.crash_count(self.fingerprint) > 0,
            version,
            max_wait: self.max_wait(),
        };
        self.sends += 1;
        self.last_send = Some((target.clone(), now));
        let attempt = send(&self.node, &target, params, &forward).await;
        let service = self.ticket.service.clone();
        match attempt {
            Attempt::Response(response) => {
                self.runs += 1;
                self.software = Some(response.in_flight.software.clone());
                if let Some(key) = Tables::adapter_of(&self.call) {
                    self.node.tables().residency.record_success(&target, key);
                    self.node.changed.notify_waiters();
                }
                Some(SearchOutcome::Response(response))
            }
            Attempt::NotRun(reason) => {
                self.log_not_run(&target, reason);
                if reason == NotRunReason::Misdirected && Tables::adapter_of(&self.call).is_some() {
                    // The adapter is not loaded yet or was evicted. The engine may still serve the request
                    // later, so it is not excluded.
                    self.record_missing_adapter(&target);
                } else {
                    self.tried.push(target);
                }
                None
            }
            Attempt::Busy => {
                self.sends -= 1;
                let fields = [("request", &*self.call.id), ("target", target.as_str())];
                event(LogEvent::TargetBytesFull, &fields);
                self.tried.push(target);
                None
            }
            Attempt::Unreachable => {
                self.sends -= 1;
                self.log_failed_attempt(&target, "no connection");
                self.tried.push(target);
                let is_doubtful = {
                    let tables = self.node.tables();
                    tables.is_path_in_doubt(&service, now, self.node.now())
                };
                if is_doubtful {
                    return self.forward_or_return(&service).await;
                }
                None
            }
            Attempt::Failed(failed_run) => {
                self.runs += 1;
                self.log_failed_attempt(&target, &format!("{:?}", failed_run.failure));
                self.check_for_crash(&target, failed_run).await;
                if !self.may_retry() {
                    return Some(SearchOutcome::MayHaveRun("the target gave no whole answer"));
                }
                self.tried.push(target);
                None
            }
        }
    }

    /// Checks whether the target crashed, if the failed run ended with a broken connection.
    pub(super) async fn check_for_crash(&self, target: &TargetId, failed_run: FailedRun) {
        if failed_run.failure != Failure::Broken {
            return;
        }
        let run = InterruptedRun::new(self.fingerprint, failed_run.run_time);
        record_interruption(&self.node, target, run, &self.call.prompt_parts).await;
    }

    /// Records that a target sent a complete response.
    pub(super) fn record_served(&self) {
        quarantine::record_served(&self.node, self.fingerprint);
    }

    fn record_missing_adapter(&self, target: &TargetId) {
        if let Some(key) = Tables::adapter_of(&self.call) {
            let now = self.node.now();
            self.node
                .tables()
                .residency
                .record_missing(target, key, now);
        }
        self.send_adapter_request(target.clone(), AdapterRequestKind::Missing);
    }
}
