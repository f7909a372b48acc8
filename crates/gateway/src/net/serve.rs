//! Admits requests of callers and peers, and reads them.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::Time;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::Rng;

use crate::decide::call::Call;
use crate::decide::quarantine::Fingerprint;
use crate::decide::tables::{Refusal, Ticket};
use crate::edge::{Edge, Protocol};

use super::caller_memory::CallerMemory;
use super::front::Job;
use super::local_response::{ResponseBody, error_response, refusal_response, spread_retry_after};
use super::log::{LogEvent, event};
use super::node::Node;
use super::peer_forwarding::{
    ForwardOutcome, ForwardReport, ForwardedRequest, REPORT_HEADER, REQUEST_HEADER,
};
use super::request_body::{BodyFailure, read_body};

/// Serves one request of a caller.
pub(super) async fn serve<E: Edge>(
    node: Arc<Node<E>>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    serve_from(node, req, None).await
}

/// Serves one request that a peer forwards.
pub(super) async fn serve_forwarded<E: Edge>(
    node: Arc<Node<E>>,
    mut req: Request<Incoming>,
) -> Response<ResponseBody> {
    let Some(forwarded) = ForwardedRequest::of(req.headers()) else {
        let status = StatusCode::BAD_REQUEST;
        return error_response(&node.protocol, status, "malformed forwarded request", None);
    };
    req.headers_mut().remove(REQUEST_HEADER);
    let runs = forwarded.runs;
    let mut res = serve_from(node, req, Some(forwarded)).await;
    if !res.headers().contains_key(REPORT_HEADER) {
        let report = ForwardReport {
            outcome: ForwardOutcome::NoPath,
            runs,
            reason: "refused before it was read".into(),
            stream: None,
        };
        report.add_to(res.headers_mut());
    }
    res
}

async fn serve_from<E: Edge>(
    node: Arc<Node<E>>,
    req: Request<Incoming>,
    forwarded: Option<ForwardedRequest>,
) -> Response<ResponseBody> {
    let arrived = node.now();
    let (head, body) = req.into_parts();
    let call = match node.protocol.call(&head) {
        Ok(call) => call,
        Err(bad) => {
            let status = StatusCode::BAD_REQUEST;
            return error_response(&node.protocol, status, &bad.to_string(), None);
        }
    };
    let ticket = match admit(&node, &call, forwarded.as_ref(), arrived) {
        Ok(ticket) => ticket,
        Err(refusal) => {
            node.metrics.request_refused(refusal.name());
            log_refusal(&node, &call, &refusal);
            return refusal_response(&node.protocol, &refusal, call.timeout);
        }
    };
    let caller = head.extensions.get::<Arc<CallerMemory>>();
    if let Some(caller) = caller {
        caller.start_request(ticket.workspace.as_ref());
    }
    let limit = node.tables().routes.config().limits.body_bytes;
    let body = match read_body(body, caller, limit).await {
        Ok(body) => body,
        Err(failure) => {
            node.tables().refund(&ticket);
            return unread_response(&node, &call, &ticket, failure);
        }
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = Fingerprint::of(ticket.workspace.as_ref(), path, &body);
    let job = Job {
        node,
        head: Arc::new(head),
        body,
        call: Arc::new(call),
        fingerprint,
        ticket,
        arrived,
        tried: Vec::new(),
        refused: Vec::new(),
        runs: forwarded.as_ref().map_or(0, |forwarded| forwarded.runs),
        sends: 0,
        unreached_at: None,
        load_waited: Duration::ZERO,
        last_send: None,
        software: None,
        origin_source: None,
        origin_age: None,
        forwarded,
        tried_peers: Vec::new(),
    };
    job.run().await
}

fn log_refusal<E: Edge>(node: &Node<E>, call: &Call, refusal: &Refusal) {
    let routes = Arc::clone(&node.tables().routes);
    let inputs = refusal.inputs();
    let inputs = inputs.iter().map(|(name, value)| (*name, value.as_str()));
    let fields = [("request", &*call.id), ("reason", refusal.name())];
    let fields = fields.into_iter().chain(routes.names(call)).chain(inputs);
    event(LogEvent::RequestRefused, &fields.collect::<Vec<_>>());
}

fn admit<E: Edge>(
    node: &Node<E>,
    call: &Call,
    forwarded: Option<&ForwardedRequest>,
    arrived: Time,
) -> Result<Ticket, Refusal> {
    if node.is_closing() {
        return Err(Refusal::Stopping);
    }
    let draw = rand::rng().random();
    let mut tables = node.tables();
    match forwarded {
        None => tables.admit(call, draw, arrived),
        Some(forwarded) => {
            let workspace = forwarded.workspace.as_ref();
            let mut ticket = tables.admit_forwarded(call, workspace, draw, arrived)?;
            if let Some(origin) = &forwarded.stream {
                ticket.hold_to(origin);
            }
            Ok(ticket)
        }
    }
}

/// Returns the response to a request whose body was not read.
fn unread_response<E: Edge>(
    node: &Node<E>,
    call: &Call,
    ticket: &Ticket,
    failure: BodyFailure,
) -> Response<ResponseBody> {
    let (message, after) = match failure {
        BodyFailure::TooLong | BodyFailure::Cut => ("the body is too long or cut", None),
        BodyFailure::OutOfMemory => {
            record_out_of_memory(node, call, ticket);
            let message = "this instance is short of memory: try again, or use another one";
            (message, Some(spread_retry_after()))
        }
    };
    error_response(&node.protocol, failure.status(), message, after)
}

fn record_out_of_memory<E: Edge>(node: &Node<E>, call: &Call, ticket: &Ticket) {
    node.metrics.request_refused("memory_short");
    node.metrics.memory.request_refused();
    let workspace = ticket.workspace.as_ref().map(ToString::to_string);
    let fields = [
        ("request", &*call.id),
        ("route", &*ticket.route().name),
        ("workspace", &*workspace.unwrap_or_default()),
        ("status", "503"),
        ("reason", "memory_short"),
    ];
    event(LogEvent::RequestRefused, &fields);
    if let Some(memory) = &node.memory {
        let dump = memory.dump();
        let [held, budget] = [dump.held(), dump.budget].map(|bytes| bytes.to_string());
        let fields = [("request", &*call.id), ("held", &held), ("budget", &budget)];
        event(LogEvent::MemoryRefused, &fields);
    }
}
