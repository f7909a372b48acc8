//! Reading a process's state, and stopping it.

use bluebellstage_core::journal::InDoubt;
use bluebellstage_core::{Event, Instance, RequestId, instance::Status};
use rocket::http::{ContentType, Status as HttpStatus};
use rocket::serde::json::Json;
use rocket::{get, post};
use serde_json::{Value, json};

use crate::connection::port::Live;
use crate::process::log_event;

use super::AdminError;
use super::guard::Operator;

/// The process runs.
#[get("/health")]
pub(super) const fn health() -> HttpStatus {
    HttpStatus::Ok
}

/// Callers can be served here.
#[get("/ready")]
pub(super) fn ready(live: Live) -> HttpStatus {
    let Live(shell) = live;
    if shell.read(Instance::is_ready) {
        HttpStatus::Ok
    } else {
        HttpStatus::ServiceUnavailable
    }
}

#[get("/metrics")]
pub(super) fn metrics(live: Live) -> (ContentType, String) {
    let Live(shell) = live;
    let status = shell.read(Instance::status);
    shell.metrics.standing(status.standing);
    shell.metrics.map_revision(status.map.revision.0);
    shell
        .metrics
        .catalogue_revision(status.catalogue.revision.0);
    shell
        .metrics
        .open_requests(u64::try_from(shell.open_requests()).unwrap_or(u64::MAX));
    let prometheus = ContentType::new("text", "plain").with_params(("version", "0.0.4"));
    (prometheus, shell.metrics.scrape())
}

#[get("/status")]
pub(super) fn status(operator: Operator) -> Json<Status> {
    let Operator(shell) = operator;
    Json(shell.read(Instance::status))
}

#[get("/dump")]
pub(super) fn dump(operator: Operator) -> Json<Value> {
    let Operator(shell) = operator;
    let core = shell.read(Instance::dump);
    let open = shell.open_requests();
    let addresses = json!({
        "caller": shell.settings.caller_address,
        "peer": shell.settings.peer_address,
        "admin": shell.settings.admin_address,
    });
    Json(json!({ "core": core, "shell": { "open_requests": open, "addresses": addresses } }))
}

#[get("/in-doubt")]
pub(super) fn in_doubt(operator: Operator) -> Json<Vec<InDoubt>> {
    let Operator(shell) = operator;
    Json(shell.read(|core, _now| core.in_doubt()))
}

/// What is known of one request, by the name in its `X-Request-Id`.
#[get("/requests/<id>")]
pub(super) fn request(operator: Operator, id: &str) -> Result<Json<Value>, AdminError> {
    let id: RequestId = id.parse().map_err(|_no_id| {
        AdminError::malformed("no request id: use the hex digits of `X-Request-Id`")
    })?;
    let Operator(shell) = operator;
    let (dump, in_doubt) = shell.read(|core, now| (core.dump(now), core.in_doubt()));
    let name = id.to_string();
    let flights = dump["flights"].as_array().cloned().unwrap_or_default();
    let flight = flights
        .into_iter()
        .find(|flight| flight["id"] == name.as_str());
    let in_doubt = in_doubt.into_iter().find(|call| call.intent.request == id);
    if flight.is_none() && in_doubt.is_none() {
        return Err(AdminError::new(
            404,
            "not_found",
            "this instance holds no such request: ask the one that gave its `X-Request-Id`, and the home of its workspace",
        ));
    }
    Ok(Json(
        json!({ "request": name, "under_way": flight, "in_doubt": in_doubt }),
    ))
}

/// Begins a planned stop.
#[post("/stop")]
pub(super) fn stop(operator: Operator) -> HttpStatus {
    let Operator(shell) = operator;
    log_event!(StopAsked, "by" = "operator");
    shell.feed(Event::Stop);
    HttpStatus::Accepted
}
