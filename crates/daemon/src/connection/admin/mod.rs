//! The operators' port.

mod catalogue;
mod document;
mod guard;
mod state;

use bluebellstage_core::catalogue::ApplyOutcome;
use rocket::http::{ContentType, Header, Status};
use rocket::response::{Responder, Response, Result};
use rocket::{Build, Request, Rocket, catch, catchers, routes};
use serde::Serialize;

use crate::settings::Settings;

use super::port::{LateShell, base};

/// Operators wait for no stream's end: their answers are short.
const FLUSH: std::time::Duration = std::time::Duration::from_secs(1);

/// The operators' routes.
#[expect(
    clippy::redundant_type_annotations,
    reason = "they stand in the expansion of `routes!`"
)]
pub(crate) fn admin_port(settings: &Settings, late: LateShell) -> Rocket<Build> {
    base(settings.admin_address, FLUSH, late)
        .manage(guard::Tokens(settings.admin_tokens.clone()))
        .mount("/", routes![state::health, state::ready, state::metrics])
        .mount(
            "/admin/v1",
            routes![
                catalogue::get,
                catalogue::put,
                catalogue::changes,
                catalogue::issue_key,
                catalogue::withdraw_key,
                state::status,
                state::dump,
                state::in_doubt,
                state::request,
                state::stop,
            ],
        )
        .register("/", catchers![refuse])
}

/// An operator's call that failed.
#[derive(Clone, Debug, Serialize)]
struct AdminError {
    #[serde(skip)]
    status: u16,
    kind: &'static str,
    message: Box<str>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: &'a AdminError,
}

impl AdminError {
    fn new(status: u16, kind: &'static str, message: &str) -> Self {
        Self {
            status,
            kind,
            message: message.into(),
        }
    }

    fn malformed(message: &str) -> Self {
        Self::new(400, "malformed", message)
    }
}

impl<'r> Responder<'r, 'static> for AdminError {
    fn respond_to(self, _: &'r Request<'_>) -> Result<'static> {
        json(self.status, &Envelope { error: &self }).ok()
    }
}

/// The outcome of a change with the status that fits it.
struct Applied(ApplyOutcome);

impl<'r> Responder<'r, 'static> for Applied {
    fn respond_to(self, _: &'r Request<'_>) -> Result<'static> {
        let status = match &self.0 {
            ApplyOutcome::Accepted { .. } => 200,
            ApplyOutcome::Stale { .. } => 412,
            ApplyOutcome::Invalid { .. } => 422,
            ApplyOutcome::Unavailable => 503,
            ApplyOutcome::Unknown => 504,
        };
        let mut response = json(status, &self.0);
        if let ApplyOutcome::Accepted { revision } | ApplyOutcome::Stale { revision } = self.0 {
            response.header(Header::new("ETag", format!("\"{revision}\"")));
        }
        response.ok()
    }
}

fn json<T: Serialize>(status: u16, body: &T) -> rocket::response::Builder<'static> {
    let body = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::build();
    response
        .status(Status::new(status))
        .header(ContentType::JSON)
        .sized_body(body.len(), std::io::Cursor::new(body));
    response
}

#[catch(default)]
fn refuse(status: Status, _: &Request<'_>) -> AdminError {
    match status.code {
        401 => AdminError::new(
            401,
            "token_refused",
            "the token is missing or unknown: send `Authorization: Bearer TOKEN` with one of those \
             whose digest is in this instance's settings",
        ),
        404 => AdminError::new(404, "not_found", "there is no such call: see docs/API.md"),
        413 => AdminError::new(
            413,
            "too_large",
            "the body is over the limit: change fewer entries",
        ),
        503 => AdminError::new(
            503,
            "starting",
            "the instance is starting: ask again in a second",
        ),
        code => AdminError::new(
            code,
            "malformed",
            "the call does not parse: see docs/API.md",
        ),
    }
}
