//! Responses to the caller of a request, and their log lines.

use std::time::Duration;

use bluebellstage_core::{InstanceId, SoftwareVersion, TargetId};
use http::{Response, StatusCode};

use crate::decide::call::ResumedAttempt;
use crate::decide::quarantine::Suspect;
use crate::decide::rendezvous::ShortHash;
use crate::decide::streams::origins::StreamOrigin;
use crate::decide::tables::Tables;
use crate::edge::{Edge, Protocol};

use super::attempt::NotRunReason;
use super::forwarded_request::{ForwardOutcome, ForwardReport};
use super::front::Job;
use super::local_response::{
    ResponseBody, error_response, late_retry_after, rest_retry_after, room_retry_after,
    share_retry_after, spread_retry_after,
};
use super::log::{LogEvent, event};
use super::reported_response::ReportedResponse;
use super::search_outcome::SearchOutcome;

impl<E: Edge> Job<E> {
    pub(super) fn log_not_run(&self, target: &TargetId, reason: NotRunReason) {
        let target = target.to_string();
        event(
            LogEvent::RequestNotRun,
            &[
                ("request", &self.call.id),
                ("target", &target),
                ("reason", reason.name()),
            ],
        );
    }

    pub(super) fn log_failed_attempt(&self, target: &TargetId, cause: &str) {
        let [target, runs] = [target.to_string(), self.runs.to_string()];
        let adapter = Tables::adapter_of(&self.call).map(ToString::to_string);
        let adapter = adapter.unwrap_or_default();
        event(
            LogEvent::AttemptFailed,
            &[
                ("request", &self.call.id),
                ("target", &target),
                ("cause", cause),
                ("runs", &runs),
                ("adapter", &adapter),
            ],
        );
    }

    /// Tells that another target is looked for although an attempt has not ended.
    pub(super) fn log_silence(&self, sender: &str, cause: &'static str, silent: Duration) {
        let silent_ms = silent.as_millis().to_string();
        event(
            LogEvent::RunSilent,
            &[
                ("request", &self.call.id),
                ("target", sender),
                ("cause", cause),
                ("silent_ms", &silent_ms),
            ],
        );
    }

    /// Tells that nothing replaces a silent run, which is awaited.
    pub(super) fn log_not_replaced(&self, search: &'static str, took: Duration) {
        let search_ms = took.as_millis().to_string();
        event(
            LogEvent::RunNotReplaced,
            &[
                ("request", &self.call.id),
                ("search", search),
                ("search_ms", &search_ms),
            ],
        );
    }

    pub(super) fn record_response(&self, status: StatusCode) {
        let after = self.node.now().since(self.arrived);
        let kind = self.ticket.route().kind;
        self.node
            .metrics
            .request_answered(kind, status.as_u16(), after);
    }

    /// Returns the log fields of a request that continues a stream: the attempt that it names, and the last event
    /// that the caller has.
    fn continued_stream(&self) -> Vec<(&'static str, String)> {
        let resumes = match &self.call.resumes {
            ResumedAttempt::Unnamed => None,
            ResumedAttempt::Id(id) => Some(id.to_string()),
            ResumedAttempt::Malformed => Some("malformed".into()),
        };
        let resumes = resumes.map(|id| ("resumes", id));
        let after = self.call.resume_after;
        let after = after.map(|after| ("resume_after", after.to_string()));
        let source = self.origin_source;
        let source = source.map(|source| ("origin_from", source.to_owned()));
        let age = self.origin_age.map(|age| age.as_millis().to_string());
        let age = age.map(|age| ("origin_age_ms", age));
        let fields = resumes.into_iter().chain(after);
        fields.chain(source).chain(age).collect()
    }

    pub(super) fn elapsed_ms(&self) -> String {
        self.node.now().since(self.arrived).as_millis().to_string()
    }

    /// Whether the caller's workspace is not charged, as nothing ran. An instance that got the request from a peer has
    /// charged nothing.
    fn is_refunded(&self, found: &SearchOutcome<E>) -> bool {
        match found {
            SearchOutcome::Quarantined(_) => self.runs == 0,
            SearchOutcome::NoPath
            | SearchOutcome::MayHaveRun(_)
            | SearchOutcome::TimedOut
            | SearchOutcome::Response(_)
            | SearchOutcome::Collected(_)
            | SearchOutcome::PeerResponse(_) => false,
            _ => true,
        }
    }

    /// Returns the status of the response, and when the caller may come back.
    fn status_of(&self, found: &SearchOutcome<E>) -> (StatusCode, Option<Duration>) {
        let timeout = self.call.timeout;
        let after = match found {
            SearchOutcome::NotRun(_) | SearchOutcome::OriginUnknown | SearchOutcome::NoPath => {
                spread_retry_after()
            }
            SearchOutcome::NoTarget | SearchOutcome::VersionGone => late_retry_after(timeout),
            SearchOutcome::QueueTooLong(excess) => room_retry_after(*excess, timeout),
            SearchOutcome::Cold(left) => *left + spread_retry_after(),
            SearchOutcome::Resting(left) => rest_retry_after(*left, timeout),
            SearchOutcome::BeyondShare(back_in) => {
                self.node.metrics.request_refused("beyond_share");
                share_retry_after(*back_in, timeout)
            }
            SearchOutcome::MayHaveRun(_) | SearchOutcome::Quarantined(_) => {
                return (StatusCode::BAD_GATEWAY, None);
            }
            SearchOutcome::TimedOut
            | SearchOutcome::Response(_)
            | SearchOutcome::Collected(_)
            | SearchOutcome::PeerResponse(_) => return (StatusCode::GATEWAY_TIMEOUT, None),
        };
        (StatusCode::SERVICE_UNAVAILABLE, Some(after))
    }

    pub(super) fn local_response(&self, found: &SearchOutcome<E>) -> ReportedResponse {
        self.record_want_of_room(found);
        if self.is_refunded(found) {
            self.node.tables().refund(&self.ticket);
        }
        let message = found.reason();
        let (status, after) = self.status_of(found);
        self.record_response(status);
        let [sends, config] = [self.sends.to_string(), self.ticket.config().to_string()];
        let ms = self.elapsed_ms();
        let workspace = self.ticket.workspace.as_ref().map(ToString::to_string);
        let workspace = workspace.unwrap_or_default();
        let mut fields = vec![
            ("request", &*self.call.id),
            ("route", &*self.ticket.route().name),
            ("workspace", &*workspace),
            ("status", status.as_str()),
            ("reason", message),
            ("sends", &*sends),
            ("config", &*config),
            ("ms", &*ms),
        ];
        let continued = self.continued_stream();
        fields.extend(continued.iter().map(|(name, value)| (*name, &**value)));
        let suspect = match found {
            SearchOutcome::Quarantined(Suspect::Request(request)) => {
                Some(("fingerprint", request.to_string()))
            }
            SearchOutcome::Quarantined(Suspect::Part(part)) => Some(("part", part.to_string())),
            _ => None,
        };
        fields.extend(suspect.iter().map(|(name, value)| (*name, &**value)));
        if let Some(forwarded) = &self.forwarded {
            fields.push(("origin", forwarded.origin.as_str()));
        }
        event(LogEvent::RequestRefused, &fields);
        let res = error_response(&self.node.protocol, status, message, after);
        let outcome = match found {
            SearchOutcome::NoPath => ForwardOutcome::NoPath,
            _ if status == StatusCode::SERVICE_UNAVAILABLE => ForwardOutcome::NotRun,
            _ => ForwardOutcome::Failed,
        };
        let report = self.report(outcome, message);
        ReportedResponse { res, report }
    }

    /// Returns the report for the peer that forwarded the request, if one did.
    fn report(&self, outcome: ForwardOutcome, reason: &str) -> ForwardReport {
        let now = self.node.now();
        let owned = self.forwarded.as_ref();
        let owned = owned.and_then(|forwarded| forwarded.owned.as_ref());
        let rest = owned.map_or(Duration::ZERO, |target| {
            self.node.tables().rest_left(target, now)
        });
        ForwardReport {
            outcome,
            runs: self.runs,
            sends: self.sends,
            reason: reason.into(),
            stream: self.software.clone().map(|software| StreamOrigin {
                service: ShortHash::of(self.ticket.service.as_str()),
                software,
            }),
            rest_ms: u32::try_from(rest.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Passes a peer's refusal or failure on to the caller.
    pub(super) fn forward_refusal(
        &self,
        parts: &http::response::Parts,
        report: &ForwardReport,
        peer: &InstanceId,
        body: ResponseBody,
    ) -> ReportedResponse {
        if report.outcome == ForwardOutcome::NotRun {
            self.node.tables().refund(&self.ticket);
        }
        let mut res = Response::new(body);
        *res.status_mut() = parts.status;
        *res.headers_mut() = self.node.protocol.response_headers(parts);
        self.record_response(parts.status);
        let workspace = self.ticket.workspace.as_ref().map(ToString::to_string);
        event(
            LogEvent::RequestRefused,
            &[
                ("request", &self.call.id),
                ("route", &self.ticket.route().name),
                ("workspace", &workspace.unwrap_or_default()),
                ("status", parts.status.as_str()),
                ("reason", &report.reason),
                ("peer", peer.as_str()),
                ("sends", &self.sends.to_string()),
                ("config", &self.ticket.config().to_string()),
                ("ms", &self.elapsed_ms()),
            ],
        );
        let report = self.report(report.outcome, &report.reason);
        ReportedResponse { res, report }
    }

    /// Forwards a target's response to the caller.
    pub(super) fn forward_response(
        &self,
        parts: &http::response::Parts,
        body: ResponseBody,
    ) -> ReportedResponse {
        let mut res = Response::new(body);
        *res.status_mut() = parts.status;
        *res.headers_mut() = self.node.protocol.response_headers(parts);
        let workspace = self.ticket.workspace.as_ref().map(ToString::to_string);
        let workspace = workspace.unwrap_or_default();
        self.record_response(parts.status);
        let (target, at_target) = match &self.last_send {
            Some((target, sent)) => (target.to_string(), self.node.now().since(*sent)),
            None => (String::new(), Duration::ZERO),
        };
        let millis = |span: Duration| span.as_millis().to_string();
        let charge = self.ticket.charge.to_string();
        let sends = self.sends.to_string();
        let pause = millis(self.ticket.quota_wait);
        let load = millis(self.load_waited);
        let at_target = millis(at_target);
        let aim = millis(self.ticket.route().target_latency);
        let ms = self.elapsed_ms();
        let mut fields = vec![
            ("request", &*self.call.id),
            ("route", &*self.ticket.route().name),
            ("status", parts.status.as_str()),
            ("workspace", &*workspace),
            ("charge", &*charge),
            ("sends", &*sends),
            ("target", &*target),
            ("pause_ms", &*pause),
            ("load_ms", &*load),
            ("target_ms", &*at_target),
            ("aim_ms", &*aim),
            ("ms", &*ms),
        ];
        let software = self.software.as_ref().map(SoftwareVersion::as_str);
        fields.extend(software.map(|software| ("software", software)));
        let continued = self.continued_stream();
        fields.extend(continued.iter().map(|(name, value)| (*name, &**value)));
        if let Some(forwarded) = &self.forwarded {
            fields.push(("origin", forwarded.origin.as_str()));
        }
        if let Some(peer) = self.tried_peers.last() {
            fields.push(("peer", peer.as_str()));
        }
        event(LogEvent::RequestAnswered, &fields);
        let report = self.report(ForwardOutcome::Answered, "");
        ReportedResponse { res, report }
    }
}
