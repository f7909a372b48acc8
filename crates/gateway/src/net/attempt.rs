//! One attempt of a request at one target.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{AdapterVersion, TargetId, Time};
use bytes::Bytes;
use http::{Request, request, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::decide::adapter::AdapterKey;
use crate::decide::call::{Call, Forward, ResponseHead};
use crate::decide::health::TargetOutcome;
use crate::decide::limits::{Change, ReportedLimit};
use crate::decide::prompt_queues::WaitingKey;
use crate::decide::tables::Tables;
use crate::edge::{Edge, Protocol};
use crate::packet::{Wish, WishKind};

use super::log::{LogEvent, event};
use super::node::Node;
use super::pool::Connection;
use super::sockets::connect;

/// Time for a connection; a full queue of new connections would cost a second.
const CONNECT_WITHIN: Duration = Duration::from_millis(250);
/// Longest answer that is read whole before it goes on.
const LONGEST_BUFFERED: usize = 4 * 1_024 * 1_024;

/// Counts a request at a target while it is there.
#[derive(Debug)]
pub(super) struct Flight<E: Edge> {
    node: Arc<Node<E>>,
    pub(super) target: TargetId,
    adapter: Option<AdapterKey>,
    /// Its place in the engine's queue; none once it has begun, and at plain targets.
    waiting: Option<WaitingKey>,
    sent: Time,
    /// The request was on a target that ended.
    suspect: bool,
    /// When it began to answer.
    answers_since: Option<Time>,
    judged: bool,
}

impl<E: Edge> Flight<E> {
    fn begin(node: &Arc<Node<E>>, target: &TargetId, sending: Sending<'_>) -> Self {
        let mut tables = node.tables();
        tables.start_request(target);
        if sending.suspect {
            tables.start_suspect(target);
        }
        if sending.trial {
            tables.health.start_trial(target);
        }
        let now = node.now();
        if let Some(key) = Tables::adapter_of(sending.call) {
            tables.residency.record_sent(target, key, now);
        }
        let call = sending.call;
        let prompts = call.wanted.is_some();
        let waiting = prompts.then(|| tables.record_prompt(target, call, now));
        drop(tables);
        let flight = Self {
            node: Arc::clone(node),
            target: target.clone(),
            adapter: Tables::adapter_of(sending.call).cloned(),
            waiting,
            sent: now,
            suspect: sending.suspect,
            answers_since: None,
            judged: false,
        };
        flight.tell_loader(WishKind::Begun);
        flight
    }

    fn tell_loader(&self, kind: WishKind) {
        if let Some(key) = &self.adapter {
            self.node.wish(Wish {
                target: self.target.clone(),
                key: key.clone(),
                kind,
            });
        }
    }

    /// The engine has begun: it answers with the first event.
    fn begun(&mut self) {
        self.answers_since = Some(self.node.now());
        if let Some(waiting) = self.waiting.take() {
            self.node
                .tables()
                .queues
                .record_started(waiting, self.node.now());
        }
    }

    /// Notes what the request met; the first word counts.
    pub(super) fn met(&mut self, met: TargetOutcome) {
        if std::mem::replace(&mut self.judged, true) {
            return;
        }
        self.judge(met);
    }

    fn judge(&self, met: TargetOutcome) {
        let now = self.node.now();
        let ejected = self
            .node
            .tables()
            .health
            .record_outcome(&self.target, met, now);
        if ejected {
            self.node.metrics.ejected();
            let target = self.target.to_string();
            let met = format!("{met:?}");
            event(
                LogEvent::TargetEjected,
                &[("target", &target), ("met", &met)],
            );
        }
    }

    /// Notes a failure, also after a good beginning.
    pub(super) fn failed(&mut self) {
        self.judged = true;
        self.judge(TargetOutcome::Failure);
    }

    fn failed_by(&self, failure: Failure) -> Attempt<E> {
        let ran = self.ran();
        Attempt::Failed(CutShort { failure, ran })
    }

    /// Time since the request was sent.
    pub(super) fn age(&self) -> Duration {
        self.node.now().since(self.sent)
    }

    /// Time since the target began to answer, or since the request was sent if it did not.
    pub(super) fn ran(&self) -> Duration {
        let since = self.answers_since.unwrap_or(self.sent);
        self.node.now().since(since)
    }
}

impl<E: Edge> Drop for Flight<E> {
    fn drop(&mut self) {
        let mut tables = self.node.tables();
        tables.end_request(&self.target);
        if self.suspect {
            tables.end_suspect(&self.target);
        }
        if let Some(waiting) = self.waiting.take() {
            tables.queues.remove(waiting);
        }
        if !self.judged {
            tables.health.cancel_trial(&self.target);
        }
        drop(tables);
        self.tell_loader(WishKind::Ended);
    }
}

/// An answer whose body is still to come.
#[derive(Debug)]
pub(super) struct Answer<E: Edge> {
    pub(super) parts: response::Parts,
    pub(super) head: ResponseHead,
    pub(super) body: Incoming,
    pub(super) flight: Flight<E>,
    connection: Connection,
}

/// Why an attempt failed though it may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// The connection broke.
    Broken,
    /// No answer in time.
    Silent,
    /// It had not begun when its adapter's version went out of date.
    Outdated,
    /// An answer that isn't the target's own, or belongs to another request.
    WrongAnswer,
}

/// An answer that did not come whole.
#[derive(Clone, Copy, Debug)]
pub(super) struct CutShort {
    pub(super) failure: Failure,
    /// How long it may have run.
    pub(super) ran: Duration,
}

impl CutShort {
    /// A connection that broke after so long.
    pub(super) const fn broken(ran: Duration) -> Self {
        Self {
            failure: Failure::Broken,
            ran,
        }
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum Attempt<E: Edge> {
    /// The target answers.
    Answer(Box<Answer<E>>),
    /// The target says that it did not run the request; `misdirected`: it isn't the one that was
    /// meant, or doesn't hold what was asked for.
    NotRun { misdirected: bool },
    /// There is no connection: nothing was sent.
    Unreachable,
    /// It may have run.
    Failed(CutShort),
}

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sending<'a> {
    pub(super) head: &'a request::Parts,
    pub(super) body: &'a Bytes,
    pub(super) call: &'a Call,
    /// Use a kept connection.
    pub(super) reuse: bool,
    pub(super) trial: bool,
    /// The request was on a target that ended.
    pub(super) suspect: bool,
    /// The adapter's version that is asked for.
    pub(super) version: Option<AdapterVersion>,
    /// Longest wait for the head of the answer.
    pub(super) patience: Duration,
}

/// Sends a request to a target and waits for the head of its answer.
pub(super) async fn send<E: Edge>(
    node: &Arc<Node<E>>,
    target: &TargetId,
    sending: Sending<'_>,
    forward: &Forward<'_>,
) -> Attempt<E> {
    let Some(address) = node
        .tables()
        .registry
        .get(target)
        .map(|known| known.address)
    else {
        return Attempt::Unreachable;
    };
    let mut flight = Flight::begin(node, target, sending);
    let exchange = exchange(node, target, address, sending, forward);
    let outcome = tokio::select! {
        outcome = tokio::time::timeout(sending.patience, exchange) => match outcome {
            Ok(outcome) => outcome,
            Err(_elapsed) => Exchange::Failed(Failure::Silent),
        },
        () = outdated(node, sending) => Exchange::Failed(Failure::Outdated),
    };
    node.metrics.attempted(outcome.name());
    match outcome {
        Exchange::Answer(parts, body, connection) => {
            let head = node.protocol.answer_head(&parts);
            // A refusal may lack what an answer says.
            if !(head.not_run && head.limit == ReportedLimit::Unlimited) {
                note_limit(node, target, head.limit, flight.sent);
            }
            judge_head(sending, *parts, head, body, flight, connection)
        }
        Exchange::Unreachable => {
            flight.met(TargetOutcome::Unreachable);
            Attempt::Unreachable
        }
        Exchange::Failed(failure) => {
            let fair = failure != Failure::Silent || sending.patience > LEAST_FAIR_WAIT;
            if fair && failure != Failure::Outdated {
                flight.met(TargetOutcome::Failure);
            }
            flight.failed_by(failure)
        }
    }
}

/// Takes in what the answer to a request that was `sent` then says of its target's limit.
fn note_limit<E: Edge>(node: &Node<E>, target: &TargetId, said: ReportedLimit, sent: Time) {
    let now = node.now();
    let change = node.tables().record_reported_limit(target, said, sent, now);
    let id = target.to_string();
    if said == ReportedLimit::Malformed {
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

/// Pause between looks whether a newer version was announced for a request that waits.
const VERSION_LOOK: Duration = Duration::from_millis(250);

/// Ends when the request must not begin any more, as its adapter's version is out of date.
async fn outdated<E: Edge>(node: &Node<E>, sending: Sending<'_>) {
    let (Some(key), Some(version)) = (Tables::adapter_of(sending.call), sending.version) else {
        return std::future::pending().await;
    };
    loop {
        let by = node.tables().versions.start_deadline(key, version);
        let left = by.map_or(VERSION_LOOK, |by| by.since(node.now()).min(VERSION_LOOK));
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left).await;
    }
}

/// A target that was waited for shorter than this isn't blamed for its silence.
const LEAST_FAIR_WAIT: Duration = Duration::from_millis(200);

fn judge_head<E: Edge>(
    sending: Sending<'_>,
    parts: response::Parts,
    head: ResponseHead,
    body: Incoming,
    mut flight: Flight<E>,
    connection: Connection,
) -> Attempt<E> {
    let misdirected = parts.status.as_u16() == 421;
    let other = head.id.as_ref().is_some_and(|id| *id != sending.call.id);
    if other {
        flight.met(TargetOutcome::Failure);
        return flight.failed_by(Failure::WrongAnswer);
    }
    if head.not_run || misdirected {
        return Attempt::NotRun { misdirected };
    }
    let encoded = parts.headers.contains_key(http::header::CONTENT_ENCODING);
    if parts.status.is_success() && (!head.signed || head.id.is_none() || encoded) {
        flight.met(TargetOutcome::Failure);
        return flight.failed_by(Failure::WrongAnswer);
    }
    if parts.status.is_success() {
        flight.begun();
    }
    Attempt::Answer(Box::new(Answer {
        parts,
        head,
        body,
        flight,
        connection,
    }))
}

enum Exchange {
    Answer(Box<response::Parts>, Incoming, Connection),
    Unreachable,
    Failed(Failure),
}

impl Exchange {
    const fn name(&self) -> &'static str {
        match self {
            Self::Answer(..) => "answer",
            Self::Unreachable => "unreachable",
            Self::Failed(Failure::Broken) => "broken",
            Self::Failed(Failure::Silent) => "silent",
            Self::Failed(Failure::Outdated) => "outdated",
            Self::Failed(Failure::WrongAnswer) => "wrong_answer",
        }
    }
}

async fn exchange<E: Edge>(
    node: &Arc<Node<E>>,
    target: &TargetId,
    address: std::net::SocketAddr,
    sending: Sending<'_>,
    forward: &Forward<'_>,
) -> Exchange {
    let kept = sending.reuse.then(|| node.pool.take(target)).flatten();
    let connection = match kept {
        Some(connection) => Some(connection),
        None => open(address).await,
    };
    let Some(mut connection) = connection else {
        return Exchange::Unreachable;
    };
    let req = target_request(node, sending, forward);
    match connection.tx.try_send_request(req).await {
        Ok(answer) => {
            let (parts, body) = answer.into_parts();
            Exchange::Answer(Box::new(parts), body, connection)
        }
        Err(mut err) => match err.take_message() {
            Some(_unsent) => Exchange::Unreachable,
            None => Exchange::Failed(Failure::Broken),
        },
    }
}

async fn open(address: std::net::SocketAddr) -> Option<Connection> {
    let stream = connect(address, CONNECT_WITHIN).await.ok()?;
    Connection::over(stream).await.ok()
}

fn target_request<E: Edge>(
    node: &Node<E>,
    sending: Sending<'_>,
    forward: &Forward<'_>,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(sending.body.clone()));
    *req.method_mut() = sending.head.method.clone();
    *req.uri_mut() = sending.head.uri.clone();
    *req.headers_mut() = node.protocol.forward_headers(sending.head, forward);
    req
}

impl<E: Edge> Answer<E> {
    /// Reads the body whole; the connection is kept if it may be.
    pub(super) async fn collect(
        self,
        within: Duration,
    ) -> Result<(response::Parts, Bytes), CutShort> {
        let Self {
            parts,
            head,
            body,
            mut flight,
            connection,
        } = self;
        let reading = Limited::new(body, LONGEST_BUFFERED).collect();
        let read = tokio::time::timeout(within, reading).await;
        let failure = match read {
            Ok(Ok(body)) => {
                let failed = parts.status.is_server_error();
                flight.met(if failed {
                    TargetOutcome::Failure
                } else {
                    TargetOutcome::Answer(flight.age())
                });
                keep(&flight, &head, connection);
                return Ok((parts, body.to_bytes()));
            }
            Ok(Err(_broken)) => Failure::Broken,
            Err(_elapsed) => Failure::Silent,
        };
        flight.met(TargetOutcome::Failure);
        let ran = flight.ran();
        Err(CutShort { failure, ran })
    }

    /// Splits the answer for streaming.
    pub(super) fn into_stream(self) -> (response::Parts, Source<E>) {
        let source = Source {
            head: self.head,
            body: self.body,
            flight: self.flight,
            connection: self.connection,
        };
        (self.parts, source)
    }
}

/// The rest of a streamed answer.
#[derive(Debug)]
pub(super) struct Source<E: Edge> {
    head: ResponseHead,
    pub(super) body: Incoming,
    pub(super) flight: Flight<E>,
    connection: Connection,
}

impl<E: Edge> Source<E> {
    /// The stream ended as it should.
    pub(super) fn finish(self) {
        keep(&self.flight, &self.head, self.connection);
    }
}

fn keep<E: Edge>(flight: &Flight<E>, head: &ResponseHead, connection: Connection) {
    if !head.closes_connection {
        let pool = &flight.node.pool;
        pool.put(&flight.target, connection, head.idle_timeout);
    }
}
