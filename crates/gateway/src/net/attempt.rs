//! Sends one attempt of a request to one target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bluebellstage_core::{AdapterVersion, TargetId, Time};
use bytes::Bytes;
use http::{StatusCode, request, response};
use hyper::body::Incoming;

use crate::decide::call::{Call, Forward, ResponseHead};
use crate::decide::health::TargetOutcome;
use crate::decide::limits::{Change, ReportedLimit};
use crate::decide::quarantine::Fingerprint;
use crate::decide::ranked_tokens::RankClass;
use crate::decide::rests::ReportedRest;
use crate::decide::tables::Tables;
use crate::edge::Edge;

use super::framing::Framing;
use super::in_flight::InFlight;
use super::log::{LogEvent, event};
use super::memory::BytesAtTarget;
use super::node::Node;
use super::pool::Connection;
use super::process::Process;
use super::quarantine::until_refused;
use super::response_head::{ResponseSender, record_refusal, record_response_head, record_taken};
use super::target_connection::open;
use super::target_exchange::{Exchange, exchange};
use super::target_response::{CollectedResponse, TargetResponse};

/// Max size of a response body that is no stream.
pub(super) const MAX_BUFFERED_BYTES: usize = 4 * 1_024 * 1_024;

/// Why an attempt failed that may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// The connection broke.
    Broken,
    /// No response before the timeout.
    Silent,
    /// The request had not started when its adapter's version became outdated.
    Outdated,
    /// The response is not from the target, or belongs to another request.
    WrongAnswer,
    /// The response is longer than an answer may be.
    TooLong,
    /// No response yet, and the request or a part of its prompt is quarantined.
    Quarantined,
}

/// A run whose response was incomplete or missing.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedRun {
    pub(super) failure: Failure,
    /// How long the request may have run.
    pub(super) run_time: Duration,
}

/// Why a target did not run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NotRunReason {
    /// It is not the requested target or does not have the requested adapter.
    Misdirected,
    /// It refused the request.
    Refused,
    /// It refused the request and asks for rest.
    AsksForRest,
}

impl NotRunReason {
    /// Short name for the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Misdirected => "misdirected",
            Self::Refused => "refused",
            Self::AsksForRest => "asks_for_rest",
        }
    }
}

/// Outcome of an attempt.
#[derive(Debug)]
pub(super) enum Attempt<E: Edge> {
    /// The target responded with a stream.
    Response(Box<TargetResponse<E>>),
    /// The target responded with something else.
    Collected(Box<CollectedResponse<E>>),
    /// The target reports that it did not run the request.
    NotRun(NotRunReason),
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// Nothing was sent, since the target holds as many bytes of requests as it may.
    Busy,
    /// The attempt failed and may have run.
    Failed(FailedRun),
}

/// What an attempt without a response records of its target when the request's time is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AtDeadline {
    /// That it is silent.
    RecordSilence,
    /// Nothing: its silence was recorded when another target was looked for.
    Nothing,
}

/// Use of connections that were idle. Their target may close them while a request is in transit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reuse {
    Never,
    /// The request is not sent again.
    Once,
    /// The request is sent once more, on a new connection, if there was no answer.
    Repeat,
}

/// Parameters of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendParams<'a> {
    pub(super) head: &'a request::Parts,
    pub(super) body: &'a Bytes,
    pub(super) call: &'a Call,
    /// Class of the request's rank among those of the service.
    pub(super) class: RankClass,
    pub(super) fingerprint: Fingerprint,
    pub(super) reuse: Reuse,
    pub(super) trial: bool,
    /// The request was in flight at a target that crashed.
    pub(super) suspect: bool,
    /// The requested version of the adapter.
    pub(super) version: Option<AdapterVersion>,
    pub(super) at_deadline: AtDeadline,
    /// Since when the request counts as one that a brittle target may refuse.
    pub(super) charged_at: Option<Time>,
    /// Time that is left to the request: the response head is awaited, and the response's end confirmed, until then.
    pub(super) max_wait: Duration,
}

/// Sends a request to a target and waits for the response head.
pub(super) async fn send<E: Edge>(
    node: &Arc<Node<E>>,
    target: &TargetId,
    params: SendParams<'_>,
    forward: &Forward<'_>,
) -> Attempt<E> {
    let known = node
        .tables()
        .registry
        .get(target)
        .map(|known| (known.address, known.born, known.software.clone()));
    let Some((address, born, software)) = known else {
        return Attempt::Unreachable;
    };
    let sender = ResponseSender { target, born };
    let Ok(bytes_at_target) = start_at_target(node, target, params) else {
        return Attempt::Busy;
    };
    let mut in_flight = InFlight::begin(node, target, (address, software), params);
    in_flight.bytes_at_target = bytes_at_target.map(Box::new);
    let process = Process {
        target,
        address,
        born,
    };
    let mut check_connection = None;
    let exchange = async {
        check_connection = open_check_connection(node, process).await;
        exchange(node, target, address, params, forward).await
    };
    let outcome = tokio::select! {
        outcome = tokio::time::timeout(params.max_wait, exchange) => match outcome {
            Ok(outcome) => outcome,
            Err(_elapsed) => Exchange::Failed(Failure::Silent),
        },
        () = wait_until_outdated(node, params) => Exchange::Failed(Failure::Outdated),
        () = until_refused(node, params.fingerprint, params.call) => {
            Exchange::Failed(Failure::Quarantined)
        }
    };
    in_flight.check_connection = check_connection;
    node.metrics.attempt_ended(outcome.name());
    match outcome {
        Exchange::Response(parts, body, connection) => {
            in_flight.born = connection.born;
            in_flight.record_answer();
            let head = record_response_head(node, sender, &parts, in_flight.sent);
            let is_refused = head.not_run && parts.status != StatusCode::MISDIRECTED_REQUEST;
            in_flight.record_refusal(is_refused);
            if is_refused {
                record_refusal(node, sender, &head);
            }
            // A target that did not run the request may leave the limit out of its response.
            if !(head.not_run && head.limit == ReportedLimit::Unlimited) {
                record_limit(node, target, head.limit, in_flight.sent);
            }
            classify_response(params, *parts, head, body, in_flight, connection)
        }
        Exchange::Unreachable => {
            in_flight.record_outcome(TargetOutcome::Unreachable);
            in_flight.record_refusal(false);
            Attempt::Unreachable
        }
        Exchange::Failed(failure) => {
            let is_of_target = !matches!(failure, Failure::Outdated | Failure::Quarantined);
            if is_of_target {
                record_failed_attempt(&mut in_flight, failure, params);
            }
            in_flight.failed_attempt(failure)
        }
    }
}

/// Timeout for a connection that is kept idle beside a request, which waits for it.
const CHECK_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns an idle connection whose state shows afterwards whether the process that got a request still runs, if nothing
/// else will. It is opened before the request is sent: later it might lead to the next process.
async fn open_check_connection<E: Edge>(
    node: &Node<E>,
    process: Process<'_>,
) -> Option<Connection> {
    {
        let tables = node.tables();
        let service = &tables.registry.get(process.target)?.service;
        if !node.unnamed_services.contains(service) {
            return None;
        }
    }
    let now = Instant::now();
    let idle = node.pool.take_open_since(process.target, process, now);
    if idle.is_some() {
        return idle;
    }
    let opened = open(node, process.target, process.address, CHECK_CONNECT_TIMEOUT);
    opened.await.ok()
}

/// Records what an attempt that failed shows of its target.
pub(super) fn record_failed_attempt<E: Edge>(
    in_flight: &mut InFlight<E>,
    failure: Failure,
    params: SendParams<'_>,
) {
    let is_silence_new =
        params.at_deadline == AtDeadline::RecordSilence && params.max_wait > MIN_BLAMED_WAIT;
    if failure != Failure::Silent || is_silence_new {
        let outcome = in_flight.failure_outcome(failure);
        in_flight.record_outcome(outcome);
    }
}

/// A target holds as many bytes of requests as it may.
struct TargetBusy;

/// Counts the bytes of a request at a target, if memory is limited.
fn start_at_target<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    params: SendParams<'_>,
) -> Result<Option<BytesAtTarget>, TargetBusy> {
    let Some(memory) = &node.memory else {
        return Ok(None);
    };
    let sharing = node.tables().sharing_count(node.now());
    let bytes = u64::try_from(params.body.len()).unwrap_or(u64::MAX);
    match memory.start_at_target(target, bytes, sharing) {
        Some(started) => Ok(Some(started)),
        None => Err(TargetBusy),
    }
}

/// Records the limit that a target reported in its response to a request that was sent at `sent`.
fn record_limit<E: Edge>(node: &Node<E>, target: &TargetId, reported: ReportedLimit, sent: Time) {
    let now = node.now();
    let change = node
        .tables()
        .record_reported_limit(target, reported, sent, now);
    let id = target.to_string();
    if reported == ReportedLimit::Malformed {
        event(LogEvent::LimitMalformed, &[("target", &id)]);
    }
    match change {
        Change::Unchanged => {}
        Change::Limited(rate) => {
            let rate = rate.to_string();
            let fields = [("target", &*id), ("rate", &*rate)];
            event(LogEvent::TargetLimited, &fields);
        }
        Change::Lifted => event(LogEvent::TargetUnlimited, &[("target", &id)]),
    }
}

/// Interval of the checks whether a newer version was announced while a request waits.
const VERSION_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Returns when the request must not start any more because its adapter's version is outdated.
async fn wait_until_outdated<E: Edge>(node: &Node<E>, params: SendParams<'_>) {
    let (Some(key), Some(version)) = (Tables::adapter_of(params.call), params.version) else {
        return std::future::pending().await;
    };
    loop {
        let deadline = node.tables().versions.start_deadline(key, version);
        let left = deadline.map_or(VERSION_CHECK_INTERVAL, |deadline| {
            deadline.since(node.now()).min(VERSION_CHECK_INTERVAL)
        });
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left).await;
    }
}

/// A timeout counts as a failure of the target only if the max wait was longer than this.
pub(super) const MIN_BLAMED_WAIT: Duration = Duration::from_millis(200);

fn classify_response<E: Edge>(
    params: SendParams<'_>,
    parts: response::Parts,
    head: ResponseHead,
    body: Incoming,
    mut in_flight: InFlight<E>,
    connection: Connection,
) -> Attempt<E> {
    let misdirected = parts.status.as_u16() == 421;
    let is_other_request = head.id.as_ref().is_some_and(|id| *id != params.call.id);
    if is_other_request {
        in_flight.record_outcome(TargetOutcome::Failure);
        return in_flight.failed_attempt(Failure::WrongAnswer);
    }
    if misdirected {
        return Attempt::NotRun(NotRunReason::Misdirected);
    }
    if head.not_run {
        return Attempt::NotRun(match head.rest {
            ReportedRest::For(_) => NotRunReason::AsksForRest,
            ReportedRest::None | ReportedRest::Malformed => NotRunReason::Refused,
        });
    }
    if parts.status != StatusCode::SERVICE_UNAVAILABLE {
        record_taken(&in_flight.node, &in_flight.target, in_flight.sent);
    }
    let is_encoded = parts.headers.contains_key(http::header::CONTENT_ENCODING);
    if parts.status.is_success() && (!head.signed || head.id.is_none() || is_encoded) {
        in_flight.record_outcome(TargetOutcome::Failure);
        return in_flight.failed_attempt(Failure::WrongAnswer);
    }
    if parts.status.is_success() {
        in_flight.record_started();
    }
    let framing = Framing::of(&parts, &body);
    match framing {
        Framing::Connection => in_flight.keep_check_connection(),
        Framing::Explicit => in_flight.leave_check_connection(),
    }
    Attempt::Response(Box::new(TargetResponse {
        framing,
        parts,
        head,
        body,
        in_flight,
        connection,
        caller: params.head.extensions.get().cloned(),
    }))
}
