//! A call to a plain service, passed on once.

use std::io::Cursor;
use std::net::SocketAddr;
use std::sync::Arc;

use bluebellstage_core::{
    Finish, IdempotencyKey, Refusal, RefusalKind, RequestAction, RequestId, ServiceCall, ServiceId,
    StoredResponse, Tokens,
};
use reqwest::Method;
use rocket::http::Status;
use rocket::response::{Responder, Response, Result as RocketResult};
use rocket::{Request, response};
use sha2::{Digest, Sha256};
use tokio::time::{Instant, timeout};

use crate::connection::read_body;
use crate::process::{RequestHandle, Shell, log_event};

use super::Refused;
use super::generation::first_eight;
use super::service_end::{ends_with_connection, still_runs};
use super::target_report::record_target_report;

/// Longest answer that is kept for repeats of a call.
const KEPT_ANSWER_BYTES: usize = 16 * 1_024;

/// What an answer without a content type counts as.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// Marks the answer of an earlier run of the same call.
const REPLAYED_HEADER: &str = "Idempotent-Replayed";
/// Marks an answer whose body was too large to keep.
const NOT_KEPT_HEADER: &str = "Bluebellstage-Answer-Not-Kept";

/// A caller's call: all of it that a service gets to see.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRequest {
    pub(crate) service: ServiceId,
    pub(crate) method: Method,
    /// Path below the service's, with the query.
    pub(crate) target: Box<str>,
    pub(crate) content_type: Option<Box<str>>,
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    pub(crate) body: Vec<u8>,
}

/// A service's answer on its way to the caller.
#[derive(Debug)]
pub(crate) struct ServiceAnswer {
    request: RequestId,
    status: u16,
    content_type: Box<str>,
    body: Vec<u8>,
    origin: Origin,
}

/// Where an answer comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    /// The service, just now.
    Service,
    /// An earlier run of the same call.
    Earlier,
    /// An earlier run whose body was too large to keep.
    EarlierWithoutBody,
}

impl ServiceRequest {
    /// Whether the call may be repeated: reading may.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.method == Method::GET || self.method == Method::HEAD
    }

    /// What the decision core needs to know of it.
    pub(crate) fn work(&self) -> ServiceCall {
        ServiceCall {
            service: self.service.clone(),
            idempotent: self.is_idempotent(),
            idempotency_key: self.idempotency_key.clone(),
            fingerprint: self.fingerprint(),
        }
    }

    /// Stable over versions of this program: it is kept in the platform with the call's outcome.
    fn fingerprint(&self) -> u64 {
        let mut hash = Sha256::new();
        for part in [self.method.as_str(), &self.target] {
            hash.update(part);
            hash.update([0]);
        }
        hash.update(&self.body);
        first_eight(&hash.finalize())
    }
}

/// Passes a call on, as often and where the core says, and gives its answer.
///
/// # Errors
/// The refusal that the core decided on.
pub(crate) async fn call(
    mut handle: RequestHandle,
    request: &ServiceRequest,
) -> Result<ServiceAnswer, Refused> {
    loop {
        match handle.action().await {
            RequestAction::Call { address, .. } => {
                // Right before the send: the process may have been frozen since the decision.
                if !handle.shell().may_send(handle.id()) {
                    handle.finished(Finish::NotSent);
                    continue;
                }
                if let Some(answer) = dispatch(&mut handle, request, address).await? {
                    return Ok(answer);
                }
            }
            RequestAction::Replay(stored) => {
                return Ok(ServiceAnswer::earlier(handle.id(), stored));
            }
            RequestAction::Refuse(refusal) | RequestAction::Interrupt(refusal) => {
                return Err(Refused::new(refusal, handle.id()));
            }
            // Only generations get this.
            RequestAction::Generate { .. } => {
                let refusal = Refusal::not_run(RefusalKind::NoTarget);
                return Err(Refused::new(refusal, handle.id()));
            }
        }
    }
}

/// Sends the call and tells the core how it ended; none if the core is to say how to go on.
async fn dispatch(
    handle: &mut RequestHandle,
    request: &ServiceRequest,
    address: SocketAddr,
) -> Result<Option<ServiceAnswer>, Refused> {
    let id = handle.id();
    let shell = Arc::clone(handle.shell());
    let limit = shell.settings.limits.service_timeout;
    let begun = Instant::now();
    let sending = timeout(limit, send(&shell, request, address, id));
    let sent = if request.is_idempotent() {
        tokio::select! {
            sent = sending => sent,
            // Only its key's withdrawal can come meanwhile.
            action = handle.action() => return Err(cut(action, id)),
        }
    } else {
        sending.await
    };
    let delivered = Tokens(0);
    match sent.unwrap_or(Err(Finish::Interrupted { delivered })) {
        Ok(answer) => {
            log_event!(
                RequestEnded,
                "request" = id,
                "tokens" = 0,
                "ms" = begun.elapsed().as_millis()
            );
            let stored = (!request.is_idempotent()).then(|| answer.to_store());
            handle.finished(Finish::Complete {
                answer: Tokens(0),
                stored,
            });
            Ok(Some(answer))
        }
        Err(finish) => {
            handle.finished(finish);
            Ok(None)
        }
    }
}

fn cut(action: RequestAction, id: RequestId) -> Refused {
    match action {
        RequestAction::Interrupt(refusal) | RequestAction::Refuse(refusal) => {
            Refused::new(refusal, id)
        }
        RequestAction::Call { .. } | RequestAction::Generate { .. } | RequestAction::Replay(_) => {
            Refused::new(Refusal::unknown(RefusalKind::TargetFailed), id)
        }
    }
}

/// Sends the call, once.
async fn send(
    shell: &Arc<Shell>,
    request: &ServiceRequest,
    address: SocketAddr,
    id: RequestId,
) -> Result<ServiceAnswer, Finish> {
    let broken = Finish::Interrupted {
        delivered: Tokens(0),
    };
    let url = format!("http://{address}{}", request.target);
    let client = if request.is_idempotent() {
        &shell.targets.pooled
    } else {
        &shell.targets.fresh
    };
    let mut outgoing = client
        .request(request.method.clone(), url)
        .header("X-Request-Id", id.to_string())
        .body(request.body.clone());
    if let Some(content_type) = &request.content_type {
        outgoing = outgoing.header("Content-Type", &**content_type);
    }
    if let Some(key) = &request.idempotency_key {
        outgoing = outgoing.header("Idempotency-Key", key.as_str());
    }
    let response = match outgoing.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Err(Finish::Unreachable),
        Err(error) if error.is_builder() => return Err(Finish::NotSent),
        Err(_) => return Err(broken),
    };
    let report = record_target_report(shell, id, &response);
    // Nothing proves that a refused call did not run, so only a read goes to another replica.
    if report.rest.is_some() && request.is_idempotent() {
        let leaving = report.is_leaving;
        return Err(Finish::Rejected { leaving });
    }
    let status = response.status().as_u16();
    let content_type = response.headers().get("Content-Type");
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or(DEFAULT_CONTENT_TYPE).into();
    let is_end_doubtful = ends_with_connection(&response);
    let body = read_body(response, shell.settings.limits.service_answer_bytes)
        .await
        .ok_or(broken.clone())?;
    if is_end_doubtful && !still_runs(address).await {
        return Err(broken);
    }
    Ok(ServiceAnswer {
        request: id,
        status,
        content_type,
        body,
        origin: Origin::Service,
    })
}

impl ServiceAnswer {
    fn earlier(request: RequestId, stored: StoredResponse) -> Self {
        let origin = if stored.body.is_some() {
            Origin::Earlier
        } else {
            Origin::EarlierWithoutBody
        };
        Self {
            request,
            status: stored.status,
            content_type: stored.content_type,
            body: stored
                .body
                .map(String::from)
                .unwrap_or_default()
                .into_bytes(),
            origin,
        }
    }

    fn to_store(&self) -> StoredResponse {
        let text = std::str::from_utf8(&self.body).ok();
        let kept = text.filter(|text| text.len() <= KEPT_ANSWER_BYTES);
        StoredResponse {
            status: self.status,
            content_type: self.content_type.clone(),
            body: kept.map(Into::into),
        }
    }
}

impl<'r> Responder<'r, 'static> for ServiceAnswer {
    fn respond_to(self, _: &'r Request<'_>) -> RocketResult<'static> {
        let mut response: response::Builder<'_> = Response::build();
        response
            .status(Status::new(self.status))
            .raw_header("Content-Type", self.content_type.into_string())
            .raw_header("X-Request-Id", self.request.to_string())
            .sized_body(self.body.len(), Cursor::new(self.body));
        match self.origin {
            Origin::Service => {}
            Origin::Earlier => {
                response.raw_header(REPLAYED_HEADER, "true");
            }
            Origin::EarlierWithoutBody => {
                response.raw_header(REPLAYED_HEADER, "true");
                response.raw_header(NOT_KEPT_HEADER, "true");
            }
        }
        response.ok()
    }
}
