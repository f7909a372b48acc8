//! Records what targets report about themselves in the heads of their responses.

use bluebellstage_core::{TargetId, Time};
use http::{StatusCode, response};

use crate::decide::brittle::ReportedBrittleness;
use crate::decide::call::ResponseHead;
use crate::decide::departures::ReportedDeparture;
use crate::decide::rests::ReportedRest;
use crate::decide::tables::Tables;
use crate::decide::target::Target;
use crate::edge::{Edge, Protocol};

use super::log::{LogEvent, event};
use super::node::Node;
use super::unknown_headers::record_unknown_headers;

/// The incarnation of a target to which a request was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseSender<'a> {
    pub(super) target: &'a TargetId,
    pub(super) born: Option<u64>,
}

impl<'a> ResponseSender<'a> {
    pub(super) fn of(target: &'a Target) -> Self {
        Self {
            target: &target.id,
            born: target.born,
        }
    }
}

/// Decodes the head of a response to a request that was sent at `sent`, and records what its target reports about itself,
/// whatever the request, the status and whatever becomes of the response.
pub(super) fn record_response_head<E: Edge>(
    node: &Node<E>,
    sender: ResponseSender<'_>,
    parts: &response::Parts,
    sent: Time,
) -> ResponseHead {
    record_unknown_headers(node, sender.target, &parts.headers);
    let head = node.protocol.response_head(parts);
    record_departure(node, sender, head.departure, parts);
    record_rest(node, sender, head.rest);
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        record_brittleness(node, sender, head.brittleness, sent);
    }
    head
}

/// Records whether a target reports that it is brittle in its response to a request that was sent at `sent`.
fn record_brittleness<E: Edge>(
    node: &Node<E>,
    sender: ResponseSender<'_>,
    reported: ReportedBrittleness,
    sent: Time,
) {
    if reported == ReportedBrittleness::Malformed {
        node.metrics.malformed_header("brittleness");
        let fields = [("target", sender.target.as_str())];
        event(LogEvent::BrittlenessMalformed, &fields);
    }
    let now = node.now();
    let mut tables = node.tables();
    let Tables {
        registry, brittle, ..
    } = &mut *tables;
    let Some(known) = registry.get(sender.target) else {
        return;
    };
    let is_new = brittle.record(known, sender.born, reported, sent, now);
    drop(tables);
    if let ReportedBrittleness::Brittle(max_refusals) = reported
        && is_new
    {
        log_brittle(LogEvent::TargetBrittle, sender.target, max_refusals);
    }
}

/// Records that a target has refused a request.
pub(super) fn record_refusal<E: Edge>(
    node: &Node<E>,
    sender: ResponseSender<'_>,
    head: &ResponseHead,
) {
    let now = node.now();
    let mut tables = node.tables();
    let known = tables.registry.get(sender.target);
    let borne = known.and_then(|known| tables.brittle.max_refusals(known, now));
    if head.rest == ReportedRest::None {
        tables.record_refusal(sender.target, now);
    }
    drop(tables);
    if let Some(max_refusals) = borne {
        node.metrics.brittle.target_refused();
        log_brittle(LogEvent::BrittleRefused, sender.target, max_refusals);
    }
}

fn log_brittle(log_event: LogEvent, target: &TargetId, max_refusals: u32) {
    let max_refusals = max_refusals.to_string();
    let fields = [("target", target.as_str()), ("max_refusals", &max_refusals)];
    event(log_event, &fields);
}

fn record_rest<E: Edge>(node: &Node<E>, sender: ResponseSender<'_>, reported: ReportedRest) {
    match reported {
        ReportedRest::None => {}
        ReportedRest::Malformed => {
            node.metrics.malformed_header("rest");
            let fields = [("target", sender.target.as_str())];
            event(LogEvent::RestMalformed, &fields);
        }
        ReportedRest::For(rest) => {
            node.metrics.rest_reported();
            let now = node.now();
            let is_new = node
                .tables()
                .rests
                .record(sender.target, sender.born, rest, now);
            if is_new {
                let rest_ms = rest.as_millis().to_string();
                let fields = [("target", sender.target.as_str()), ("rest_ms", &rest_ms)];
                event(LogEvent::RestBegun, &fields);
            }
        }
    }
}

/// Records that a target took a request that was sent at `sent`.
pub(super) fn record_taken<E: Edge>(node: &Node<E>, target: &TargetId, sent: Time) {
    if node.tables().rests.record_taken(target, sent) {
        event(LogEvent::RestEnded, &[("target", target.as_str())]);
        node.changed.notify_waiters();
    }
}

fn record_departure<E: Edge>(
    node: &Node<E>,
    sender: ResponseSender<'_>,
    reported: ReportedDeparture,
    parts: &response::Parts,
) {
    match reported {
        ReportedDeparture::None => {}
        ReportedDeparture::Malformed => {
            node.metrics.malformed_header("departure");
            let fields = [("target", sender.target.as_str())];
            event(LogEvent::DepartureMalformed, &fields);
        }
        ReportedDeparture::Leaving => {
            let now = node.now();
            let is_new = node
                .tables()
                .departures
                .record(sender.target, sender.born, now);
            if is_new {
                node.metrics.departure_reported();
                let fields = [
                    ("target", sender.target.as_str()),
                    ("status", parts.status.as_str()),
                ];
                event(LogEvent::DepartureReported, &fields);
                node.changed.notify_waiters();
            }
        }
    }
}
