//! Admits requests of callers and peers, and reads them.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::Time;
use bytes::Bytes;
use http::{Response, StatusCode, request};
use rand::Rng;

use crate::decide::call::Call;
use crate::decide::quarantine::Fingerprint;
use crate::decide::refused_body::UploadBounds;
use crate::decide::retry_budget::RetryCause;
use crate::decide::tables::{Refusal, Ticket};
use crate::edge::{Edge, Protocol};

use super::caller_memory::CallerMemory;
use super::forwarded_request::{ForwardReport, ForwardedRequest, REQUEST_HEADER};
use super::front::{Job, RESPONSE_MARGIN, time_limit};
use super::local_response::{ResponseBody, error_response, refusal_response, spread_retry_after};
use super::log::{LogEvent, event};
use super::node::Node;
use super::reported_response::ReportedResponse;
use super::request_body::{BodyFailure, RequestBody, read_body};

/// Reason of a refusal in metrics and the log.
const MALFORMED: &str = "malformed";

/// Serves one request of a caller.
pub(super) async fn serve<E: Edge>(
    node: Arc<Node<E>>,
    head: request::Parts,
    body: &mut RequestBody,
) -> Response<ResponseBody> {
    serve_from(node, head, body, None).await.into_response()
}

/// Serves one request that a peer forwards.
pub(super) async fn serve_forwarded<E: Edge>(
    node: Arc<Node<E>>,
    mut head: request::Parts,
    body: &mut RequestBody,
) -> Response<ResponseBody> {
    let Some(forwarded) = ForwardedRequest::of(&head.headers) else {
        return malformed_response(&node, body, "malformed forwarded request");
    };
    head.headers.remove(REQUEST_HEADER);
    let served = serve_from(node, head, body, Some(forwarded)).await;
    served.into_forwarded()
}

async fn serve_from<E: Edge>(
    node: Arc<Node<E>>,
    head: request::Parts,
    body: &mut RequestBody,
    forwarded: Option<ForwardedRequest>,
) -> ReportedResponse {
    let arrived = body.arrived();
    let not_read = |res| ReportedResponse {
        res,
        report: ForwardReport::not_read(forwarded.as_ref()),
    };
    let call = match node.protocol.call(&head) {
        Ok(call) => call,
        Err(bad) => return not_read(malformed_response(&node, body, &bad.to_string())),
    };
    body.bounds = UploadBounds::of_caller(node.tables().routes.config(), call.timeout);
    let ticket = match admit(&node, &call, forwarded.as_ref(), arrived) {
        Ok(ticket) => ticket,
        Err(refusal) => {
            log_refusal(&node, &call, body, refusal.name(), &refusal.inputs());
            let res = refusal_response(&node.protocol, &refusal, call.timeout);
            return not_read(res);
        }
    };
    let caller = head.extensions.get::<Arc<CallerMemory>>();
    if let Some(caller) = caller {
        caller.start_request(ticket.workspace.as_ref());
    }
    let time_limit = time_limit(&call, &ticket);
    let body = match receive(&node, body, caller, time_limit).await {
        Ok(data) => data,
        Err(failure) => {
            node.tables().refund(&ticket);
            return not_read(unread_response(&node, &call, body, failure));
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
        sends: forwarded.as_ref().map_or(0, |forwarded| forwarded.sends),
        retry_cause: RetryCause::default(),
        unreached_at: None,
        load_waited: Duration::ZERO,
        last_send: None,
        software: None,
        origin_source: None,
        origin_age: None,
        forwarded,
        tried_peers: Vec::new(),
        returned: Vec::new(),
        owners_asked: 0,
    };
    job.run().await
}

/// Reads the body of an admitted request. It is refused once the request could not be served any more.
async fn receive<E: Edge>(
    node: &Node<E>,
    body: &mut RequestBody,
    caller: Option<&Arc<CallerMemory>>,
    time_limit: Duration,
) -> Result<Bytes, BodyFailure> {
    let limit = node.tables().routes.config().limits.body_bytes;
    let passed = node.now().since(body.arrived());
    let time_left = time_limit.saturating_sub(passed + RESPONSE_MARGIN);
    tokio::select! {
        biased;
        read = read_body(body, caller, limit) => read,
        () = until_closing(node) => Err(BodyFailure::Stopping),
        () = tokio::time::sleep(time_left) => Err(BodyFailure::Late),
    }
}

/// Returns when the instance begins to close its connections.
async fn until_closing<E: Edge>(node: &Node<E>) {
    loop {
        let stop = node.stop.notified();
        if node.is_closing() {
            return;
        }
        stop.await;
    }
}

fn malformed_response<E: Edge>(
    node: &Node<E>,
    body: &RequestBody,
    message: &str,
) -> Response<ResponseBody> {
    node.metrics.request_refused(MALFORMED);
    let fields = [("reason", MALFORMED), ("body", body.progress())];
    event(LogEvent::RequestRefused, &fields);
    error_response(&node.protocol, StatusCode::BAD_REQUEST, message, None)
}

fn log_refusal<E: Edge>(
    node: &Node<E>,
    call: &Call,
    body: &RequestBody,
    reason: &'static str,
    inputs: &[(&'static str, String)],
) {
    node.metrics.request_refused(reason);
    let routes = Arc::clone(&node.tables().routes);
    let inputs = inputs.iter().map(|(name, value)| (*name, value.as_str()));
    let fields = [
        ("request", &*call.id),
        ("reason", reason),
        ("body", body.progress()),
    ];
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
            let mut ticket =
                tables.admit_forwarded(call, workspace, forwarded.counts, draw, arrived)?;
            ticket.may_go_to_owner = forwarded.owned.is_none();
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
    body: &mut RequestBody,
    failure: BodyFailure,
) -> Response<ResponseBody> {
    let status = failure.status();
    let inputs = [("status", status.as_str().to_owned())];
    log_refusal(node, call, body, failure.name(), &inputs);
    let (message, after) = match failure {
        BodyFailure::TooLong | BodyFailure::Cut => ("the body is too long or cut", None),
        BodyFailure::Late => {
            body.bounds.time = Duration::ZERO;
            ("the body came too slowly: send it faster", None)
        }
        BodyFailure::OutOfMemory => {
            record_out_of_memory(node, call);
            let message = "this instance is short of memory: try again, or use another one";
            (message, Some(spread_retry_after()))
        }
        BodyFailure::Stopping => {
            return refusal_response(&node.protocol, &Refusal::Stopping, call.timeout);
        }
    };
    error_response(&node.protocol, status, message, after)
}

fn record_out_of_memory<E: Edge>(node: &Node<E>, call: &Call) {
    node.metrics.memory.request_refused();
    if let Some(memory) = &node.memory {
        let dump = memory.dump();
        let [held, budget] = [dump.held(), dump.budget].map(|bytes| bytes.to_string());
        let fields = [("request", &*call.id), ("held", &held), ("budget", &budget)];
        event(LogEvent::MemoryRefused, &fields);
    }
}
