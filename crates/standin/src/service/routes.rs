//! A plain service's HTTP interface.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rocket::data::Data;
use rocket::http::Status;
use rocket::{Route, State, delete, get, patch, post, put, routes};
use serde::{Deserialize, Serialize};

use super::ServiceRun;
use super::state::{Admission, ServiceState};
use crate::reply::Reply;
use crate::{CallKind, Faults, SeenRequest};

type Held = State<Arc<ServiceState>>;
type HeldFaults = State<Arc<Faults>>;

#[expect(clippy::redundant_type_annotations, reason = "the macro writes them")]
pub(super) fn routes() -> Vec<Route> {
    routes![
        call_get,
        call_delete,
        call_post,
        call_put,
        call_patch,
        log,
        drain,
        restart
    ]
}

/// What a call answers: which run it was.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Answer<'a> {
    service: &'a str,
    replica: &'a str,
    run: ServiceRun,
    body: &'a str,
}

#[get("/<_path..>", rank = 20)]
async fn call_get(held: &Held, faults: &HeldFaults, seen: SeenRequest, _path: PathBuf) -> Reply {
    call(held, faults, seen).await
}

#[delete("/<_path..>", rank = 20)]
async fn call_delete(held: &Held, faults: &HeldFaults, seen: SeenRequest, _path: PathBuf) -> Reply {
    call(held, faults, seen).await
}

#[post("/<_path..>", data = "<data>", rank = 20)]
async fn call_post(
    held: &Held,
    faults: &HeldFaults,
    seen: SeenRequest,
    _path: PathBuf,
    data: Data<'_>,
) -> Reply {
    call_with_body(held, faults, seen, data).await
}

#[put("/<_path..>", data = "<data>", rank = 20)]
async fn call_put(
    held: &Held,
    faults: &HeldFaults,
    seen: SeenRequest,
    _path: PathBuf,
    data: Data<'_>,
) -> Reply {
    call_with_body(held, faults, seen, data).await
}

#[patch("/<_path..>", data = "<data>", rank = 20)]
async fn call_patch(
    held: &Held,
    faults: &HeldFaults,
    seen: SeenRequest,
    _path: PathBuf,
    data: Data<'_>,
) -> Reply {
    call_with_body(held, faults, seen, data).await
}

async fn call_with_body(
    held: &ServiceState,
    faults: &Faults,
    mut seen: SeenRequest,
    data: Data<'_>,
) -> Reply {
    if !seen.read_body(data).await {
        held.see(seen);
        return Reply::error(Status::BadRequest, "incomplete", "send the whole body");
    }
    call(held, faults, seen).await
}

async fn call(held: &ServiceState, faults: &Faults, seen: SeenRequest) -> Reply {
    held.see(seen.clone());
    faults.guard(CallKind::Call, run(held, &seen)).await
}

async fn run(held: &ServiceState, seen: &SeenRequest) -> Reply {
    let run = match held.begin(seen) {
        Admission::Run(run) => run,
        Admission::Full => return Reply::error(Status::TooManyRequests, "full", "come back later"),
        Admission::Draining => {
            return Reply::error(
                Status::ServiceUnavailable,
                "draining",
                "ask another replica",
            );
        }
    };
    tokio::time::sleep(Duration::from_millis(held.cfg.latency_ms)).await;
    held.end();
    Reply::ok(&Answer {
        service: &held.cfg.service,
        replica: &held.cfg.name,
        run,
        body: &seen.body,
    })
}

#[get("/control/log")]
fn log(held: &Held) -> Reply {
    Reply::ok(&held.log())
}

#[post("/control/drain")]
fn drain(held: &Held) -> Reply {
    held.drain();
    Reply::empty()
}

#[post("/control/restart")]
fn restart(held: &Held) -> Reply {
    held.restart();
    Reply::empty()
}
