//! The callers' port.

use std::net::SocketAddr;
use std::sync::Arc;

use bluebellstage_core::{
    CallerRequest, CallerWork, IdempotencyKey, Instance, RefusalKind, ServiceId, WorkspaceId,
};
use rocket::http::{Method, RawStr, Status};
use rocket::response::Responder;
use rocket::route::{Handler, Outcome};
use rocket::serde::json::Json;
use rocket::{Build, Data, Request, Rocket, Route, catch, catchers, get, routes};
use serde::Serialize;

use crate::process::{RequestHandle, Shell};
use crate::request::{
    CallerKey, Collected, Endpoint, Generation, Piece, Refused, Relay, ServiceRequest, Streamed,
    call, fresh_request_id, read_body,
};
use crate::settings::Settings;

use super::port::{LateShell, Live, base};

const SERVICES_PREFIX: &str = "/v1/services/";

/// Methods that are passed on to plain services.
const SERVICE_METHODS: [Method; 5] = [
    Method::Get,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
];

/// The callers' routes.
#[expect(
    clippy::redundant_type_annotations,
    reason = "they stand in the expansion of `routes!` and `catchers!`"
)]
pub(crate) fn caller_port(settings: &Settings, late: LateShell) -> Rocket<Build> {
    let services = SERVICE_METHODS
        .map(|method| Route::new(method, "/v1/services/<service>/<path..>", Work::Service));
    let generations = [Endpoint::Chat, Endpoint::Text]
        .map(|endpoint| Route::new(Method::Post, endpoint.path(), Work::Generate(endpoint)));
    base(settings.caller_address, settings.limits.flush_timeout, late)
        .mount("/", routes![entry])
        .mount("/", services)
        .mount("/", generations)
        .register("/", catchers![refuse])
}

/// The answer of `/v1/entry`.
#[derive(Debug, Serialize)]
struct Entry {
    addresses: Vec<SocketAddr>,
    max_age_ms: u128,
}

#[get("/v1/entry")]
fn entry(live: Live) -> (Status, Json<Entry>) {
    let Live(shell) = live;
    let answer = shell.read(Instance::entry);
    let status = if answer.addresses.is_empty() {
        Status::ServiceUnavailable
    } else {
        Status::Ok
    };
    let entry = Entry {
        addresses: answer.addresses,
        max_age_ms: answer.max_age.as_millis(),
    };
    (status, Json(entry))
}

#[catch(default)]
fn refuse(status: Status, _: &Request<'_>) -> (Status, Refused) {
    let refused = match status.code {
        404 => Refused::at_door(RefusalKind::NotFound),
        413 => Refused::at_door(RefusalKind::TooLarge),
        503 => Refused::at_door(RefusalKind::NoStanding),
        // A handler that panicked may have sent something before.
        500.. => Refused::in_the_middle(RefusalKind::TargetFailed),
        _ => Refused::at_door(RefusalKind::Malformed),
    };
    (status, refused)
}

/// What a route does; written as a handler of its own because it needs the request's raw parts.
#[derive(Clone, Copy, Debug)]
enum Work {
    Generate(Endpoint),
    Service,
}

#[rocket::async_trait]
impl Handler for Work {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(shell) = request
            .rocket()
            .state::<LateShell>()
            .and_then(|late| late.0.get())
        else {
            return Outcome::Error(Status::ServiceUnavailable);
        };
        let answered = match self {
            Self::Generate(endpoint) => generate(shell, *endpoint, request, data).await,
            Self::Service => serve(shell, request, data).await,
        };
        let answer = answered.unwrap_or_else(Answer::Refused);
        answer.note(shell, *self);
        Outcome::from(request, answer)
    }
}

/// What a caller gets.
#[derive(Responder)]
enum Answer {
    Streamed(Box<Streamed>),
    Collected(Collected),
    Service(crate::request::ServiceAnswer),
    Refused(Refused),
    // Nobody is there to read it.
    Gone(Status),
}

impl Answer {
    fn note(&self, shell: &Shell, work: Work) {
        let class = match work {
            Work::Generate(_) => "generation",
            Work::Service => "service",
        };
        let outcome = match self {
            Self::Streamed(_) | Self::Collected(_) | Self::Service(_) => "answered",
            Self::Refused(refused) => {
                refused.note(&shell.metrics);
                "refused"
            }
            Self::Gone(_) => "caller_gone",
        };
        shell.metrics.request_ended(class, outcome);
    }
}

async fn generate(
    shell: &Arc<Shell>,
    endpoint: Endpoint,
    request: &Request<'_>,
    data: Data<'_>,
) -> Result<Answer, Refused> {
    let (key, workspace) = known_key(shell, request)?;
    let mut hold = shell.bodies.open(&workspace);
    let body = read_body(request, data, &shell.settings.limits, &mut hold).await?;
    let work = Generation::parse(endpoint, &body).map_err(Refused::at_door)?;
    drop(body);
    // A prompt is passed on as it is, and no target may see a key.
    if work.holds(&key) {
        return Err(Refused::at_door(RefusalKind::Malformed));
    }
    let arriving = CallerRequest {
        key: key.digest(),
        work: work.work(),
    };
    let handle = RequestHandle::open(shell, fresh_request_id(), arriving);
    let is_streamed = work.is_streamed;
    let mut relay = Relay::new(handle, work, hold, request.remote());
    if !is_streamed {
        let collected = Collected::read(relay).await?;
        return Ok(collected.map_or(Answer::Gone(Status::RequestTimeout), Answer::Collected));
    }
    loop {
        match relay.next().await {
            Piece::Started => return Ok(Answer::Streamed(Box::new(Streamed(relay)))),
            Piece::Failed(refused) => return Err(refused),
            Piece::CallerGone => return Ok(Answer::Gone(Status::RequestTimeout)),
            Piece::KeepAlive | Piece::Events(_) | Piece::End => {}
        }
    }
}

async fn serve(
    shell: &Arc<Shell>,
    request: &Request<'_>,
    data: Data<'_>,
) -> Result<Answer, Refused> {
    let (key, workspace) = known_key(shell, request)?;
    // Dropped once the service has answered, which gets the body until then.
    let mut hold = shell.bodies.open(&workspace);
    let body = read_body(request, data, &shell.settings.limits, &mut hold).await?;
    let passed = service_request(request, body).map_err(Refused::at_door)?;
    if holds_key(&passed, &key) {
        return Err(Refused::at_door(RefusalKind::Malformed));
    }
    let arriving = CallerRequest {
        key: key.digest(),
        work: CallerWork::Call(passed.work()),
    };
    let handle = RequestHandle::open(shell, fresh_request_id(), arriving);
    call(handle, &passed).await.map(Answer::Service)
}

/// Returns the key of a request and whose it is, before anything of its body is held.
fn known_key<'r>(
    shell: &Shell,
    request: &'r Request<'_>,
) -> Result<(CallerKey<'r>, WorkspaceId), Refused> {
    let key = CallerKey::from_header(request.headers().get("Authorization"));
    let key = key.map_err(Refused::at_door)?;
    let digest = key.digest();
    let workspace = shell.read(|core, now| {
        let known = core.check_key(now, &digest);
        known.map(|known| known.workspace.clone())
    });
    Ok((key, workspace.map_err(Refused::unnamed)?))
}

fn service_request(request: &Request<'_>, body: Vec<u8>) -> Result<ServiceRequest, RefusalKind> {
    let uri = request.uri();
    let path = uri.path().as_str();
    let below = path
        .strip_prefix(SERVICES_PREFIX)
        .ok_or(RefusalKind::NotFound)?;
    let (service, rest) = below.split_once('/').unwrap_or((below, ""));
    let service: ServiceId = service.parse().map_err(|_no_id| RefusalKind::NotFound)?;
    let target = match uri.query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    let key = request.headers().get_one("Idempotency-Key");
    let idempotency_key = key.map(str::parse).transpose();
    Ok(ServiceRequest {
        service,
        method: method(request, &body)?,
        target: target.into(),
        content_type: request.headers().get_one("Content-Type").map(Into::into),
        idempotency_key: idempotency_key.map_err(|_no_id| RefusalKind::Malformed)?,
        body,
    })
}

/// The method that the caller sent.
///
/// The library takes a form that begins with `_method=` for one that wants another method, and
/// changes it. A service is to get what was sent, and that was a POST.
fn method(request: &Request<'_>, body: &[u8]) -> Result<reqwest::Method, RefusalKind> {
    let seen = request.method().as_str();
    let is_form = request
        .content_type()
        .is_some_and(|content| content.is_form());
    let wanted = body.strip_prefix(b"_method=").unwrap_or_default();
    if is_form && wanted.to_ascii_uppercase().starts_with(seen.as_bytes()) {
        return Ok(reqwest::Method::POST);
    }
    seen.parse().map_err(|_unknown| RefusalKind::Malformed)
}

/// Whether anything that the service would see holds the caller's key.
fn holds_key(passed: &ServiceRequest, key: &CallerKey<'_>) -> bool {
    let decoded = RawStr::new(&passed.target).percent_decode_lossy();
    let name = passed.idempotency_key.as_ref().map(IdempotencyKey::as_str);
    let texts = [
        Some(&*passed.target),
        Some(&decoded),
        name,
        passed.content_type.as_deref(),
    ];
    texts.into_iter().flatten().any(|text| key.is_in(text)) || key.is_in_bytes(&passed.body)
}
