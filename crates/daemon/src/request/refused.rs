//! Refusals as callers get them over HTTP.

use std::io::Cursor;
use std::time::Duration;

use bluebellstage_core::{Ran, Refusal, RefusalKind, RequestId};
use rocket::http::{ContentType, Status};
use rocket::response::{Responder, Response, Result};
use rocket::{Request, response};
use serde::Serialize;

use crate::process::{Metrics, log_event};

/// A refusal on its way to the caller.
#[derive(Clone, Debug)]
pub(crate) struct Refused {
    refusal: Refusal,
    request: Option<RequestId>,
}

#[derive(Debug, Serialize)]
struct Envelope {
    error: ErrorBody,
}

#[derive(Debug, Serialize)]
struct ErrorBody {
    kind: RefusalKind,
    message: String,
    ran: Ran,
    retry_after_ms: Option<u64>,
}

impl Refused {
    /// A refusal of a request that has a name already.
    pub(crate) const fn new(refusal: Refusal, request: RequestId) -> Self {
        Self {
            refusal,
            request: Some(request),
        }
    }

    /// A refusal of a request that has no name yet.
    pub(crate) const fn unnamed(refusal: Refusal) -> Self {
        Self {
            refusal,
            request: None,
        }
    }

    /// A refusal at the door: nothing ran.
    pub(crate) const fn at_door(kind: RefusalKind) -> Self {
        Self::unnamed(Refusal::not_run(kind))
    }

    /// A refusal of a request that may have run.
    pub(crate) const fn in_the_middle(kind: RefusalKind) -> Self {
        Self::unnamed(Refusal::unknown(kind))
    }

    /// Logs and counts it.
    pub(crate) fn note(&self, metrics: &Metrics) {
        let kind = kind_name(self.refusal.kind);
        let request = self.request.map(|request| request.to_string());
        log_event!(
            RequestRefused,
            "request" = request.unwrap_or_default(),
            "kind" = kind,
            "ran" = ran_name(self.refusal.ran)
        );
        metrics.refused(kind);
    }

    /// The JSON text.
    pub(crate) fn json(&self) -> String {
        let envelope = Envelope {
            error: ErrorBody {
                kind: self.refusal.kind,
                message: self.refusal.kind.to_string(),
                ran: self.refusal.ran,
                retry_after_ms: self.refusal.retry_after.map(millis),
            },
        };
        serde_json::to_string(&envelope).unwrap_or_default()
    }

    /// The event that ends a stream.
    pub(crate) fn sse(&self) -> String {
        format!("event: error\ndata: {}\n\n", self.json())
    }
}

impl<'r> Responder<'r, 'static> for Refused {
    fn respond_to(self, _: &'r Request<'_>) -> Result<'static> {
        let body = self.json();
        let mut response: response::Builder<'_> = Response::build();
        response
            .status(Status::new(status_of(self.refusal.kind)))
            .header(ContentType::JSON)
            .sized_body(body.len(), Cursor::new(body));
        if let Some(span) = self.refusal.retry_after {
            response.raw_header("Retry-After", whole_seconds(span).to_string());
        }
        if let Some(request) = self.request {
            response.raw_header("X-Request-Id", request.to_string());
        }
        response.ok()
    }
}

/// The HTTP status of each kind of refusal.
#[must_use]
pub const fn status_of(kind: RefusalKind) -> u16 {
    match kind {
        RefusalKind::KeyMissing | RefusalKind::KeyRefused => 401,
        RefusalKind::NotFound | RefusalKind::VersionUnknown => 404,
        RefusalKind::IdempotencyKeyMissing
        | RefusalKind::Malformed
        | RefusalKind::NeverAdmissible => 400,
        RefusalKind::TooLarge => 413,
        RefusalKind::SenderTimeout => 408,
        RefusalKind::RateExceeded => 429,
        RefusalKind::InProgress | RefusalKind::InDoubt => 409,
        RefusalKind::KeyReused => 422,
        RefusalKind::TargetFailed => 502,
        RefusalKind::Overloaded
        | RefusalKind::NoTarget
        | RefusalKind::NoStanding
        | RefusalKind::PlatformUnavailable
        | RefusalKind::Stopping => 503,
    }
}

/// The kind's name, as it stands in the JSON.
pub(crate) fn kind_name(kind: RefusalKind) -> String {
    match serde_json::to_value(kind) {
        Ok(serde_json::Value::String(name)) => name,
        Ok(_) | Err(_) => String::new(),
    }
}

const fn ran_name(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no",
        Ran::Unknown => "unknown",
    }
}

/// Rounded up: asking again earlier would be refused again.
fn whole_seconds(span: Duration) -> u64 {
    millis(span).div_ceil(1_000)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
