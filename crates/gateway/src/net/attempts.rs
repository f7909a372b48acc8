//! Sends a request to the target that was picked, and decides what its outcome means.

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, TargetId};

use crate::decide::call::Forward;
use crate::decide::config::RouteKind;
use crate::decide::health::MAX_SILENCE;
use crate::decide::quarantine::InterruptedRun;
use crate::decide::tables::Tables;
use crate::edge::Edge;

use super::attempt::{Attempt, FailedRun, Failure, NotRunReason, SendParams, send};
use super::crash_check::record_interruption;
use super::front::Job;
use super::log::{LogEvent, event};
use super::quarantine;
use super::search_outcome::{NO_RETRY_BUDGET, SearchOutcome};

/// Max wait for the response head, as a multiple of the route's target latency, before a repeatable request is retried
/// at another target.
const RESPONSE_WAIT_FACTOR: u32 = 3;
/// Minimum of the wait for a plain target. It is shorter than a sound target may be silent: a read is repeated
/// within the retry budget rather than answered late.
const MIN_RESPONSE_WAIT: Duration = Duration::from_millis(250);

impl<E: Edge> Job<E> {
    fn max_wait(&self) -> Duration {
        let route = self.ticket.route();
        let time_left = self.time_left();
        if !route.kind.repeatable() || self.runs + 1 >= route.max_attempts {
            return time_left;
        }
        let min_wait = if route.kind.streams() {
            MAX_SILENCE
        } else {
            MIN_RESPONSE_WAIT
        };
        (route.target_latency * RESPONSE_WAIT_FACTOR)
            .max(min_wait)
            .min(time_left)
    }

    pub(super) async fn try_target(
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
            class: self.ticket.rank_class(),
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
                    tables.is_path_in_doubt(&service, &self.tried, now, self.node.now())
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
}
