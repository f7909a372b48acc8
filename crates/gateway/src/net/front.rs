//! Serves callers' requests.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{AdapterVersion, TargetId, Time};
use bytes::Bytes;
use http::{Request, Response, StatusCode, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::Rng;

use crate::decide::call::{Call, Forward};
use crate::decide::config::RouteKind;
use crate::decide::load_wait::{LOAD_REQUEST_INTERVAL, LoadWaitAction, load_wait};
use crate::decide::placement::Pick;
use crate::decide::quarantine::{Fingerprint, InterruptedRun};
use crate::decide::tables::{Refusal, Tables, Ticket};
use crate::edge::{Edge, Protocol};
use crate::packet::{Wish, WishKind};

use super::attempt::{Answer, Attempt, CutShort, Failure, Sending, send};
use super::ended::cut;
use super::log::{LogEvent, event};
use super::node::Node;
use super::quarantine;
use super::refuse::{AnswerBody, answer, refusal, whole};
use super::stream;

/// Time kept back for our own answer to reach the caller before it gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Least time left that makes an attempt worth sending.
const LEAST_ATTEMPT: Duration = Duration::from_millis(15);
/// Why a request is refused that would stand in too long a queue.
pub(super) const TOO_LATE: &str = "engines would begin it too late: try again";
/// Pause between looks for a free place at plain targets.
const FULL_PAUSE: Duration = Duration::from_millis(15);
/// Wait for the first sign of a plain target, in multiples of the route's target latency, before a
/// repeatable request goes elsewhere.
const PLAIN_PATIENCE: u32 = 3;
/// The same for the first event of a stream.
const STREAM_PATIENCE: u32 = 3;
/// Least of these waits.
const LEAST_PATIENCE: Duration = Duration::from_millis(250);

/// A request with all that its attempts need.
#[derive(Debug)]
pub(super) struct Job<E: Edge> {
    pub(super) node: Arc<Node<E>>,
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    pub(super) call: Call,
    /// What the request is known by when it comes again.
    pub(super) fingerprint: Fingerprint,
    pub(super) ticket: Ticket,
    pub(super) arrived: Time,
    /// Targets that are out for this request.
    pub(super) tried: Vec<TargetId>,
    /// Attempts that ran or may have run.
    pub(super) runs: u32,
    /// Attempts that were sent.
    pub(super) sends: u32,
    /// Time for which its adapter was waited for.
    pub(super) load_waited: Duration,
    /// The target of the last attempt, and when it was sent.
    pub(super) last_send: Option<(TargetId, Time)>,
}

/// How the search for an answer ended.
pub(super) enum Found<E: Edge> {
    /// A target answers.
    Answer(Box<Answer<E>>),
    /// The request has not run and won't.
    NotRun(&'static str),
    /// The same: every engine that could run it would begin too late, by so much.
    Late(Duration),
    /// It may have run.
    MayHaveRun(&'static str),
    /// Targets end under it: it is not sent any more.
    Quarantined,
    /// The time is up; it may have run.
    TimeUp,
}

/// Serves one request.
pub(super) async fn serve<E: Edge>(
    node: Arc<Node<E>>,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = node.now();
    let (head, body) = req.into_parts();
    let call = match node.protocol.call(&head) {
        Ok(call) => call,
        Err(bad) => {
            let status = StatusCode::BAD_REQUEST;
            return answer(&node.protocol, status, &bad.to_string(), None);
        }
    };
    let draw = rand::rng().random();
    let admitted = if node.closing() {
        Err(Refusal::Stopping)
    } else {
        node.tables().admit(&call, draw, arrived)
    };
    let ticket = match admitted {
        Ok(ticket) => ticket,
        Err(refused) => {
            node.metrics.refused(refused.name());
            let inputs = refused.inputs();
            let inputs = inputs.iter().map(|(name, value)| (*name, value.as_str()));
            let fields = [("request", &*call.id), ("reason", refused.name())];
            let fields = fields.into_iter().chain(inputs).collect::<Vec<_>>();
            event(LogEvent::RequestRefused, &fields);
            return refusal(&node.protocol, &refused);
        }
    };
    let body = match read_body(&node, body).await {
        Ok(body) => body,
        Err(status) => {
            node.tables().refund(&ticket);
            return answer(&node.protocol, status, "the body is too long or cut", None);
        }
    };
    if !ticket.quota_wait.is_zero() {
        tokio::time::sleep(ticket.quota_wait).await;
    }
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = Fingerprint::of(ticket.workspace.as_ref(), path, &body);
    let job = Job {
        node,
        head,
        body,
        call,
        fingerprint,
        ticket,
        arrived,
        tried: Vec::new(),
        runs: 0,
        sends: 0,
        load_waited: Duration::ZERO,
        last_send: None,
    };
    job.run().await
}

async fn read_body<E: Edge>(node: &Node<E>, body: Incoming) -> Result<Bytes, StatusCode> {
    let limit = node.tables().routes.config().limits.body_bytes;
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_cut) => Err(StatusCode::BAD_REQUEST),
    }
}

impl<E: Edge> Job<E> {
    async fn run(mut self) -> Response<AnswerBody> {
        let kind = self.ticket.route().kind;
        let mut spare = None;
        loop {
            let found = self.find().await;
            let answered = match found {
                Found::Answer(answered) => answered,
                other => {
                    return match spare.take() {
                        Some((parts, body)) => self.pass(&parts, whole(body)),
                        None => self.own_answer(&other),
                    };
                }
            };
            if kind.streams() && answered.parts.status.is_success() {
                return stream::relay(self, *answered);
            }
            let target = answered.flight.target.clone();
            match answered.collect(self.left()).await {
                Ok((parts, body)) => {
                    self.note_served();
                    let again = parts.status.is_server_error() && self.may_repeat();
                    if !again {
                        return self.pass(&parts, whole(body));
                    }
                    spare = Some((parts, body));
                    self.tried.push(target);
                }
                Err(short) => {
                    self.log_attempt(&target, &format!("{:?} in body", short.failure));
                    self.note_cut(&target, short).await;
                    if !self.may_repeat() {
                        return self
                            .own_answer(&Found::MayHaveRun("the target's answer broke off"));
                    }
                    self.tried.push(target);
                }
            }
        }
    }

    /// The attempt that ran may be followed by another one.
    pub(super) fn may_repeat(&self) -> bool {
        let route = self.ticket.route();
        route.kind.repeatable() && self.runs < route.max_attempts && self.left() > LEAST_ATTEMPT
    }

    /// Time left for the caller.
    pub(super) fn left(&self) -> Duration {
        let route = self.ticket.route().timeout;
        let limit = self.call.timeout.map_or(route, |own| own.min(route));
        let passed = self.node.now().since(self.arrived);
        limit.saturating_sub(passed + ANSWER_MARGIN)
    }

    /// Finds a target that answers.
    pub(super) async fn find(&mut self) -> Found<E> {
        let route_latency = self.ticket.route().target_latency;
        let began = self.node.now();
        let full_until = self.node.now() + route_latency / 2;
        loop {
            if self.left() < LEAST_ATTEMPT {
                return self.out_of_time();
            }
            let now = self.node.now();
            let draw = rand::rng().random_range(0.0..1.0);
            if self.node.tables().quarantine.is_refused(self.fingerprint) {
                return Found::Quarantined;
            }
            match self.pick(draw, now) {
                Pick::Send {
                    target,
                    version,
                    trial,
                    load_at,
                } => {
                    self.wish_all(load_at);
                    if let Some(found) = self.try_target(target, version, trial).await {
                        return found;
                    }
                }
                Pick::Load(target) => {
                    match self.load_wait(began, now) {
                        LoadWaitAction::RequestLoad => self.wish(target, self.load_wish()),
                        LoadWaitAction::Wait => {}
                        LoadWaitAction::Refuse => {
                            self.log_attempt(&target, "adapter not loaded in time");
                            return self.unserved("its adapter could not be loaded in time");
                        }
                    }
                    self.node.loader_work.notify_waiters();
                    let changed = self.node.changed.notified();
                    let _woken = tokio::time::timeout(LOAD_REQUEST_INTERVAL, changed).await;
                    self.load_waited += self.node.now().since(now);
                }
                Pick::Late { excess, load_at } => {
                    self.wish_all(load_at);
                    return self.late(excess);
                }
                Pick::Full if now < full_until => tokio::time::sleep(FULL_PAUSE).await,
                Pick::Full => return self.unserved("all targets are full"),
                Pick::NoTarget => return self.unserved("no target can run it"),
            }
        }
    }

    fn pick(&self, draw: f64, now: Time) -> Pick {
        let request = self.fingerprint;
        let mut tables = self.node.tables();
        tables.pick_apart(request, &self.ticket, &self.call, &self.tried, draw, now)
    }

    fn load_wait(&self, began: Time, now: Time) -> LoadWaitAction {
        let route = self.ticket.route();
        let crowded = self.node.tables().is_loading_congested(&self.ticket, now);
        load_wait(
            now.since(began),
            self.call.timeout.unwrap_or(route.timeout),
            route.target_latency,
            crowded,
        )
    }

    fn late(&self, excess: Duration) -> Found<E> {
        if self.runs == 0 {
            Found::Late(excess)
        } else {
            Found::MayHaveRun(TOO_LATE)
        }
    }

    fn unserved(&self, why: &'static str) -> Found<E> {
        if self.runs == 0 {
            Found::NotRun(why)
        } else {
            Found::MayHaveRun(why)
        }
    }

    fn out_of_time(&self) -> Found<E> {
        if self.runs == 0 {
            Found::NotRun("no target took it in time")
        } else {
            Found::TimeUp
        }
    }

    fn load_wish(&self) -> WishKind {
        let key = Tables::adapter_of(&self.call);
        let newest = key.and_then(|key| self.node.tables().versions.newest(key));
        WishKind::Load(newest)
    }

    fn wish_all(&self, places: Vec<TargetId>) {
        for place in places {
            self.wish(place, self.load_wish());
        }
    }

    fn wish(&self, target: TargetId, kind: WishKind) {
        if let Some(key) = Tables::adapter_of(&self.call) {
            let key = key.clone();
            self.node.wish(Wish { target, key, kind });
        }
    }

    fn patience(&self) -> Duration {
        let route = self.ticket.route();
        let left = self.left();
        if !route.kind.repeatable() || self.runs + 1 >= route.max_attempts {
            return left;
        }
        let times = if route.kind.streams() {
            STREAM_PATIENCE
        } else {
            PLAIN_PATIENCE
        };
        (route.target_latency * times).max(LEAST_PATIENCE).min(left)
    }

    async fn try_target(
        &mut self,
        target: TargetId,
        version: Option<AdapterVersion>,
        trial: bool,
    ) -> Option<Found<E>> {
        let service = &self.ticket.service;
        let now = self.node.now();
        if self.sends > 0 && !self.node.tables().take_retry(service, now) {
            return Some(self.unserved("the budget for repeats is used up"));
        }
        let kind = self.ticket.route().kind;
        let forward = Forward {
            time_left: self.left(),
            target: target.as_str(),
            workspace: self.ticket.workspace.as_ref(),
            adapter_version: version.map(|version| version.0),
            priority: self.call.wanted.is_some().then(|| self.ticket.rank.min(9)),
            resume_after: self.call.resume_after,
        };
        let sending = Sending {
            head: &self.head,
            body: &self.body,
            call: &self.call,
            reuse: kind != RouteKind::Unsafe,
            trial,
            suspect: self.node.tables().quarantine.crash_count(self.fingerprint) > 0,
            version,
            patience: self.patience(),
        };
        self.sends += 1;
        self.last_send = Some((target.clone(), now));
        let attempt = send(&self.node, &target, sending, &forward).await;
        match attempt {
            Attempt::Answer(answered) => {
                self.runs += 1;
                if let Some(key) = Tables::adapter_of(&self.call) {
                    self.node.tables().residency.record_success(&target, key);
                    self.node.changed.notify_waiters();
                }
                Some(Found::Answer(answered))
            }
            Attempt::NotRun { misdirected } => {
                self.log_not_run(&target, misdirected);
                if misdirected && Tables::adapter_of(&self.call).is_some() {
                    // The adapter is late or was evicted: the engine itself may serve it yet.
                    self.not_held(&target);
                } else {
                    self.tried.push(target);
                }
                None
            }
            Attempt::Unreachable => {
                self.sends -= 1;
                self.log_attempt(&target, "no connection");
                self.tried.push(target);
                None
            }
            Attempt::Failed(short) => {
                self.runs += 1;
                self.log_attempt(&target, &format!("{:?}", short.failure));
                self.note_cut(&target, short).await;
                if !self.may_repeat() {
                    return Some(Found::MayHaveRun("the target gave no whole answer"));
                }
                self.tried.push(target);
                None
            }
        }
    }

    /// A run broke off: its target may have ended.
    pub(super) async fn note_cut(&self, target: &TargetId, short: CutShort) {
        if short.failure != Failure::Broken {
            return;
        }
        let run = InterruptedRun::new(self.fingerprint, short.ran);
        cut(&self.node, target, run).await;
    }

    /// A target answered it whole.
    pub(super) fn note_served(&self) {
        quarantine::served(&self.node, self.fingerprint);
    }

    fn not_held(&self, target: &TargetId) {
        if let Some(key) = Tables::adapter_of(&self.call) {
            let now = self.node.now();
            self.node
                .tables()
                .residency
                .record_missing(target, key, now);
        }
        self.wish(target.clone(), WishKind::Missing);
    }
}
