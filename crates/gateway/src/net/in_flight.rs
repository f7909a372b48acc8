//! A request in flight at a target, and what becomes of it there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bluebellstage_core::{SoftwareVersion, TargetId, Time};

use crate::decide::adapters::adapter::AdapterKey;
use crate::decide::health::TargetOutcome;
use crate::decide::paths::ANSWER_INTERVAL;
use crate::decide::prompt_queues::WaitingKey;
use crate::decide::quarantine::RunKey;
use crate::decide::ranked_tokens::RankClass;
use crate::decide::silence::SenderNews;
use crate::decide::streams::times::EventGap;
use crate::decide::tables::Tables;
use crate::decide::wait_queue::Room;
use crate::edge::Edge;
use crate::packet::{AdapterRequest, AdapterRequestKind};

use super::attempt::{Attempt, FailedRun, Failure, Reuse, SendParams};
use super::framing::Framing;
use super::log::{LogEvent, event};
use super::memory::BytesAtTarget;
use super::node::Node;
use super::paths::record_answer;
use super::pool::Connection;
use super::process::Process;
use super::process_sign::ProcessSign;
use super::target_connection::{EndedRequest, find_process_sign};

/// Counts a request as in flight at a target until it is dropped.
#[derive(Debug)]
pub(super) struct InFlight<E: Edge> {
    pub(super) node: Arc<Node<E>>,
    pub(super) target: TargetId,
    /// Software version of the target when the request was sent.
    pub(super) software: SoftwareVersion,
    address: SocketAddr,
    /// Start time of the process that got the request, as known before its connection was opened.
    pub(super) born: Option<u64>,
    adapter: Option<AdapterKey>,
    /// Its entry in the engine's queue; `None` once the request has started, and at plain targets.
    waiting: Option<WaitingKey>,
    /// Its run, if its prompt has shared parts.
    run: Option<RunKey>,
    pub(super) sent: Time,
    began_at: Instant,
    /// An idle connection that was open before the request was sent: its state shows afterwards whether the same
    /// process still runs.
    pub(super) check_connection: Option<Connection>,
    /// Until when its end may be confirmed.
    end_by: Time,
    /// Whether another target may run it again or go on with it.
    may_go_on_elsewhere: bool,
    /// The request was in flight at a target that crashed.
    suspect: bool,
    /// Since when it counts as one that a brittle target may refuse.
    charged_at: Option<Time>,
    /// When the target began to respond.
    responding_since: Option<Time>,
    is_outcome_recorded: bool,
    /// When it was last recorded that something arrived from the target.
    answer_recorded_at: Option<Time>,
    /// The bytes of the request, if memory is limited.
    pub(super) bytes_at_target: Option<Box<BytesAtTarget>>,
}

impl<E: Edge> InFlight<E> {
    pub(super) fn begin(
        node: &Arc<Node<E>>,
        target: &TargetId,
        (address, software): (SocketAddr, SoftwareVersion),
        params: SendParams<'_>,
    ) -> Self {
        let now = node.now();
        let mut tables = node.tables();
        tables.start_request(target, now);
        if params.suspect {
            tables.start_suspect(target);
        }
        if params.trial {
            tables.health.start_trial(target);
        }
        if let Some(key) = Tables::adapter_of(params.call) {
            tables.residency.record_sent(target, key, now);
        }
        let call = params.call;
        let prompts = call.wanted.is_some();
        let waiting = prompts.then(|| tables.record_prompt(target, params.class, call, now));
        let runs = &mut tables.quarantine.runs;
        let run = runs.send(target, params.fingerprint, &call.prompt_parts, now);
        drop(tables);
        let in_flight = Self {
            node: Arc::clone(node),
            target: target.clone(),
            software,
            address,
            born: None,
            adapter: Tables::adapter_of(params.call).cloned(),
            waiting,
            run,
            sent: now,
            began_at: Instant::now(),
            check_connection: None,
            end_by: now + params.max_wait,
            may_go_on_elsewhere: params.reuse == Reuse::Repeat,
            suspect: params.suspect,
            charged_at: params.charged_at,
            responding_since: None,
            is_outcome_recorded: false,
            answer_recorded_at: None,
            bytes_at_target: None,
        };
        in_flight.notify_loader(AdapterRequestKind::Started);
        in_flight
    }

    fn notify_loader(&self, kind: AdapterRequestKind) {
        if let Some(key) = &self.adapter {
            self.node.queue_adapter_request(AdapterRequest {
                target: self.target.clone(),
                key: key.clone(),
                kind,
                class: RankClass::default(),
            });
        }
    }

    /// Records that something arrived from the target, so that a path leads there.
    pub(super) fn record_answer(&mut self) {
        let now = self.node.now();
        let recorded_at = self.answer_recorded_at;
        if recorded_at.is_some_and(|at| now.since(at) < ANSWER_INTERVAL) {
            return;
        }
        self.answer_recorded_at = Some(now);
        record_answer(&self.node, &self.target, now);
    }

    /// Records whether the target refused the request for want of room. Without an answer it may still do so.
    pub(super) fn record_refusal(&mut self, is_refused: bool) {
        let Some(charged_at) = self.charged_at.take() else {
            return;
        };
        let now = self.node.now();
        let brittle = &mut self.node.tables().brittle;
        if is_refused {
            brittle.record_refused(&self.target, charged_at, now);
        } else {
            brittle.record_taken(&self.target, charged_at);
        }
    }

    /// Records that the engine has started the request. Engines send the response head with the first event.
    pub(super) fn record_started(&mut self) {
        let now = self.node.now();
        self.responding_since = Some(now);
        let mut tables = self.node.tables();
        if let Some(run) = self.run {
            tables.quarantine.runs.begin(run, now);
        }
        if let Some(waiting) = self.waiting.take() {
            tables.record_started(waiting, now);
        }
        drop(tables);
        self.node.room_came(&Room::At(self.target.clone()));
    }

    /// Records events of the response's stream. A gap longer than `target_gap` is long.
    pub(super) fn record_events(&self, gap: EventGap, target_gap: Option<Duration>) {
        let now = self.node.now();
        let is_long = target_gap.is_some_and(|target_gap| gap.gap > target_gap);
        let mut tables = self.node.tables();
        tables.record_events(&self.target, gap, is_long, now);
    }

    /// Records that the response was complete.
    pub(super) fn record_complete(&self) {
        if let Some(run) = self.run {
            self.node.tables().quarantine.runs.complete(run);
        }
    }

    /// Records the outcome of the request; only the first outcome counts.
    pub(super) fn record_outcome(&mut self, outcome: TargetOutcome) {
        if std::mem::replace(&mut self.is_outcome_recorded, true) {
            return;
        }
        self.apply_outcome(outcome);
    }

    /// Records that the target broke under the requests that it holds.
    pub(super) fn record_broken(&self) {
        if let Some(bytes) = &self.bytes_at_target {
            bytes.record_broken();
        }
    }

    fn apply_outcome(&self, outcome: TargetOutcome) {
        if let TargetOutcome::Answer(_) = outcome
            && let Some(bytes) = &self.bytes_at_target
        {
            bytes.record_borne();
        }
        record_target_outcome(&self.node, &self.target, outcome);
    }

    /// Returns what an attempt that failed shows of the target.
    pub(super) const fn failure_outcome(&self, failure: Failure) -> TargetOutcome {
        match failure {
            Failure::Silent => TargetOutcome::Silent(self.sent),
            _ => TargetOutcome::Failure,
        }
    }

    /// Returns what is known of the target besides the silence of this request.
    pub(super) fn news(&self) -> SenderNews {
        let heard_again = self.node.tables().health.heard_again(&self.target);
        heard_again.map_or(SenderNews::Unknown, SenderNews::HeardAgain)
    }

    /// Records that the target has been silent since then. The request goes on, and its outcome is recorded later.
    pub(super) fn record_silence(&self, since: Time) {
        record_target_outcome(&self.node, &self.target, TargetOutcome::Silent(since));
    }

    /// Records a failure, even if an outcome was recorded before.
    pub(super) fn record_failure(&mut self) {
        self.is_outcome_recorded = true;
        self.record_broken();
        self.apply_outcome(TargetOutcome::Failure);
    }

    pub(super) fn failed_attempt(&self, failure: Failure) -> Attempt<E> {
        if failure == Failure::Broken {
            self.record_broken();
        }
        let run_time = self.run_time();
        Attempt::Failed(FailedRun { failure, run_time })
    }

    /// Returns the software version of the process that responds.
    ///
    /// A target may have restarted with another one just before the request was sent: its registration then changes
    /// while the response arrives.
    pub(super) fn current_software(&self) -> SoftwareVersion {
        let tables = self.node.tables();
        self.registered_software(&tables).clone()
    }

    /// Whether the process that responds has this software version.
    pub(super) fn runs(&self, software: &SoftwareVersion) -> bool {
        let tables = self.node.tables();
        self.registered_software(&tables) == software
    }

    fn registered_software<'a>(&'a self, tables: &'a Tables) -> &'a SoftwareVersion {
        let registered = tables.registry.get(&self.target);
        let registered = registered.filter(|known| known.address == self.address);
        registered.map_or(&self.software, |known| &known.software)
    }

    /// Returns the process that got the request.
    const fn process(&self) -> Process<'_> {
        Process {
            target: &self.target,
            address: self.address,
            born: self.born,
        }
    }

    /// Keeps an idle connection to the process until the end of its answer: the end alone will not show whether it
    /// still runs.
    pub(super) fn keep_check_connection(&mut self) {
        if self.check_connection.is_none() {
            let pool = &self.node.pool;
            self.check_connection =
                pool.take_open_since(&self.target, self.process(), self.began_at);
        }
    }

    /// Leaves the connection to other requests, as this one's response does not end with its connection.
    pub(super) fn leave_check_connection(&mut self) {
        if let Some(connection) = self.check_connection.take() {
            self.node.pool.put(&self.target, connection, None);
        }
    }

    /// Returns whether the end of the response's body shows that the response is complete. If the end of the
    /// connection marks it, the process that got the request must still run: a crash ends the connection alike. A target
    /// that is silent is asked again until the time of the request is over.
    pub(super) async fn confirms_end(&mut self, framing: Framing) -> bool {
        if framing == Framing::Explicit {
            return true;
        }
        let mut check_connection = self.check_connection.take();
        let ended = self.node.now();
        let request = EndedRequest {
            process: self.process(),
            sent: self.began_at,
            until: self.end_by,
            may_go_on_elsewhere: self.may_go_on_elsewhere,
        };
        let sign = find_process_sign(&self.node, request, &mut check_connection).await;
        self.check_connection = check_connection;
        self.leave_check_connection();
        self.record_unnamed_service(sign);
        self.record_end(sign, self.node.now().since(ended));
        sign.shows_that_it_runs()
    }

    /// Records that connections have to be kept beside the requests of the service.
    fn record_unnamed_service(&self, sign: ProcessSign) {
        if sign != ProcessSign::Unnamed {
            return;
        }
        let tables = self.node.tables();
        if let Some(known) = tables.registry.get(&self.target) {
            self.node.unnamed_services.record(&known.service);
        }
    }

    /// Records by which sign an answer that ended with its connection counts as whole or not.
    fn record_end(&self, sign: ProcessSign, took: Duration) {
        let is_whole = sign.shows_that_it_runs();
        let metrics = &self.node.metrics.crashes;
        metrics.unframed_response_ended(is_whole);
        let ms = took.as_millis().to_string();
        let fields = [
            ("target", self.target.as_str()),
            ("counts_as", if is_whole { "whole" } else { "broken" }),
            ("sign", sign.name()),
            ("ms", &*ms),
        ];
        event(LogEvent::AnswerEndJudged, &fields);
    }

    /// Time since the request was sent.
    pub(super) fn age(&self) -> Duration {
        self.node.now().since(self.sent)
    }

    /// Time since the target began to respond, or since the request was sent if it did not respond.
    pub(super) fn run_time(&self) -> Duration {
        let since = self.responding_since.unwrap_or(self.sent);
        self.node.now().since(since)
    }
}

/// Records an outcome of a request at a target, and tells if that ejects the target.
pub(super) fn record_target_outcome<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    outcome: TargetOutcome,
) {
    let now = node.now();
    let mut tables = node.tables();
    if outcome == TargetOutcome::Unreachable {
        tables.record_unreachable(target, now);
    }
    let ejected = tables.health.record_outcome(target, outcome, now);
    drop(tables);
    if ejected {
        node.metrics.target_ejected();
        let [target, met] = [target.to_string(), format!("{outcome:?}")];
        event(
            LogEvent::TargetEjected,
            &[("target", &target), ("met", &met)],
        );
    }
}

impl<E: Edge> Drop for InFlight<E> {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut tables = self.node.tables();
        tables.end_request(&self.target);
        if let Some(run) = self.run {
            tables.quarantine.runs.end(run, now);
        }
        if self.suspect {
            tables.end_suspect(&self.target);
        }
        if let Some(waiting) = self.waiting.take() {
            tables.queues.remove(waiting);
        }
        if !self.is_outcome_recorded {
            tables.health.cancel_trial(&self.target);
        }
        drop(tables);
        self.notify_loader(AdapterRequestKind::Ended);
        self.node.room_came(&Room::At(self.target.clone()));
    }
}
