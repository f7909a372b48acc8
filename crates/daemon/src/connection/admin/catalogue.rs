//! Reading and changing the catalogue.

use std::sync::Arc;

use bluebellstage_core::catalogue::{ApplyOutcome, Change, ChangeRequest, Document, KeyEntry};
use bluebellstage_core::{ChangeId, KeyId, Revision};
use rocket::data::{ByteUnit, Data};
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};
use rocket::{Request, delete, get, post, put};
use serde::de::DeserializeOwned;

use crate::process::Shell;

use super::document::Shown;
use super::guard::Operator;
use super::{AdminError, Applied, json};

/// Largest body of an operator's call; a catalogue of 62,000 adapters is some 12 MB.
const MAX_BODY: ByteUnit = ByteUnit::Mebibyte(64);

/// The revision named by `If-Match`; none for `*`.
pub(super) struct Expected(Option<Revision>);

/// The change's name from `X-Change-Id`, or a drawn one; the same name makes a retry idempotent.
pub(super) struct Named(ChangeId);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Expected {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        match request.headers().get_one("If-Match") {
            Some("*") => Outcome::Success(Self(None)),
            Some(raw) => match raw.trim_matches('"').parse() {
                Ok(revision) => Outcome::Success(Self(Some(revision))),
                Err(_) => Outcome::Error((Status::BadRequest, ())),
            },
            // Without it a change would overwrite what another operator just wrote.
            None => Outcome::Error((Status::PreconditionRequired, ())),
        }
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Named {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let drawn = format!("change-{:032x}", rand::random::<u128>());
        let raw = request.headers().get_one("X-Change-Id").unwrap_or(&drawn);
        match raw.parse() {
            Ok(id) => Outcome::Success(Self(id)),
            Err(_) => Outcome::Error((Status::BadRequest, ())),
        }
    }
}

/// The catalogue in force here.
pub(super) struct CatalogueAnswer(Shown);

impl<'r> rocket::response::Responder<'r, 'static> for CatalogueAnswer {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        json(200, &self.0)
            .raw_header("ETag", format!("\"{}\"", self.0.revision))
            .ok()
    }
}

#[get("/catalogue")]
pub(super) fn get(operator: Operator) -> CatalogueAnswer {
    let Operator(shell) = operator;
    let shown = shell.read(|core, _now| Shown::of(core.catalogue()));
    CatalogueAnswer(shown)
}

#[put("/catalogue", data = "<data>")]
pub(super) async fn put(
    operator: Operator,
    expected: Expected,
    named: Named,
    data: Data<'_>,
) -> Result<Applied, AdminError> {
    let document: Document = read(data).await?;
    let Operator(shell) = operator;
    let (revision, in_force) = shell.read(|core, _now| {
        let state = core.catalogue();
        (state.revision, Document::of(state))
    });
    let changes = in_force.changes_to(&document);
    // The changes were computed against this revision; at any other they would mean another thing.
    if expected.0.is_some_and(|expected| expected != revision) {
        return Ok(Applied(ApplyOutcome::Stale { revision }));
    }
    if changes.is_empty() {
        return Ok(Applied(ApplyOutcome::Accepted { revision }));
    }
    let request = ChangeRequest {
        id: named.0,
        expected: Some(revision),
        changes,
    };
    Ok(Applied(shell.change(request).await))
}

#[post("/changes", data = "<data>")]
pub(super) async fn changes(operator: Operator, data: Data<'_>) -> Result<Applied, AdminError> {
    let request: ChangeRequest = read(data).await?;
    if request.changes.is_empty() {
        return Err(AdminError::malformed(
            "`changes` is empty: name at least one",
        ));
    }
    Ok(Applied(operator.0.change(request).await))
}

#[post("/keys", data = "<data>")]
pub(super) async fn issue_key(
    operator: Operator,
    named: Named,
    data: Data<'_>,
) -> Result<Applied, AdminError> {
    let entry: KeyEntry = read(data).await?;
    Ok(change_one(&operator.0, named, Change::IssueKey(entry)).await)
}

#[delete("/keys/<id>")]
pub(super) async fn withdraw_key(
    operator: Operator,
    named: Named,
    id: &str,
) -> Result<Applied, AdminError> {
    let id: KeyId = id.parse().map_err(|error: bluebellstage_core::CoreError| {
        AdminError::malformed(&error.to_string())
    })?;
    Ok(change_one(&operator.0, named, Change::WithdrawKey(id)).await)
}

async fn change_one(shell: &Arc<Shell>, named: Named, change: Change) -> Applied {
    let request = ChangeRequest {
        id: named.0,
        expected: None,
        changes: vec![change],
    };
    Applied(shell.change(request).await)
}

async fn read<T: DeserializeOwned>(data: Data<'_>) -> Result<T, AdminError> {
    let broken = || AdminError::malformed("the body broke off: send it again");
    let body = data.open(MAX_BODY).into_bytes().await;
    let body = body.map_err(|_broken| broken())?;
    if !body.is_complete() {
        return Err(AdminError::new(
            413,
            "too_large",
            "the body is over 64 MiB: change fewer entries",
        ));
    }
    serde_json::from_slice(&body).map_err(|error| {
        AdminError::malformed(&format!("{error}: compare the body with docs/API.md"))
    })
}
