//! The platform's HTTP interface.

use std::sync::Arc;
use std::time::Duration;

use rocket::data::Data;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Route, State, delete, get, patch, post, put, routes};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::calls::Counted;
use super::objects::{Object, Written};
use super::state::PlatformState;
use super::watch::WatchCursor;
use crate::reply::{Reply, StreamKind};
use crate::{CallKind, Faults, Pod, SeenRequest};

/// Time that a watch stays open when it names none, in seconds.
const WATCH_SECONDS: u64 = 30;

type Held = State<Arc<PlatformState>>;
type HeldFaults = State<Arc<Faults>>;

#[expect(clippy::redundant_type_annotations, reason = "the macro writes them")]
pub(super) fn routes() -> Vec<Route> {
    routes![
        read,
        create,
        update,
        remove,
        watch_objects,
        list_pods,
        patch_pod,
        put_pod,
        remove_pod,
        set_lag,
        calls,
        log
    ]
}

#[get("/api/v1/namespaces/<ns>/configmaps/<name>")]
async fn read(held: &Held, faults: &HeldFaults, seen: SeenRequest, ns: &str, name: &str) -> Reply {
    held.see(Counted::Get, seen);
    let effect = async {
        held.get(ns, name)
            .map_or_else(|| Reply::not_found(name), |object| Reply::ok(&object))
    };
    faults.guard(CallKind::Get, effect).await
}

#[post("/api/v1/namespaces/<ns>/configmaps", data = "<data>")]
async fn create(
    held: &Held,
    faults: &HeldFaults,
    mut seen: SeenRequest,
    ns: &str,
    data: Data<'_>,
) -> Reply {
    let complete = seen.read_body(data).await;
    let parsed = parse::<Object>(&seen, complete);
    held.see(Counted::Create, seen);
    let effect = async {
        match parsed {
            Ok(new) => written(Status::Created, held.create(ns, new)),
            Err(reply) => reply,
        }
    };
    faults.guard(CallKind::Put, effect).await
}

#[put("/api/v1/namespaces/<ns>/configmaps/<name>", data = "<data>")]
async fn update(
    held: &Held,
    faults: &HeldFaults,
    mut seen: SeenRequest,
    ns: &str,
    name: &str,
    data: Data<'_>,
) -> Reply {
    let complete = seen.read_body(data).await;
    let parsed = parse::<Object>(&seen, complete);
    held.see(Counted::Update, seen);
    let effect = async {
        match parsed {
            Ok(new) => written(Status::Ok, held.update(ns, name, new)),
            Err(reply) => reply,
        }
    };
    faults.guard(CallKind::Put, effect).await
}

#[delete("/api/v1/namespaces/<ns>/configmaps/<name>")]
async fn remove(
    held: &Held,
    faults: &HeldFaults,
    seen: SeenRequest,
    ns: &str,
    name: &str,
) -> Reply {
    held.see(Counted::Delete, seen);
    let effect = async {
        if held.remove(ns, name) {
            return Reply::empty();
        }
        Reply::not_found(name)
    };
    faults.guard(CallKind::Put, effect).await
}

#[get("/api/v1/namespaces/<ns>/configmaps?<watch>&<resourceVersion>&<timeoutSeconds>")]
#[expect(non_snake_case, reason = "the object API names its parameters so")]
async fn watch_objects(
    held: &Held,
    faults: &HeldFaults,
    seen: SeenRequest,
    ns: &str,
    watch: bool,
    resourceVersion: Option<u64>,
    timeoutSeconds: Option<u64>,
) -> Reply {
    held.see(Counted::Watch, seen);
    if !watch {
        return Reply::error(
            Status::BadRequest,
            "no_watch",
            "only watches are offered: set watch=true",
        );
    }
    let versions = held.versions();
    let after = resourceVersion.unwrap_or_else(|| *versions.borrow());
    let open_for = Duration::from_secs(timeoutSeconds.unwrap_or(WATCH_SECONDS));
    let effect = async {
        if held.changes_after(ns, after).is_none() {
            return Reply::error(
                Status::Gone,
                "expired",
                "the version is too old: list again",
            );
        }
        let cursor = WatchCursor {
            held: Arc::clone(held),
            faults: Arc::clone(faults),
            versions,
            namespace: ns.into(),
            after,
            until: Instant::now() + open_for,
        };
        Reply::Stream {
            kind: StreamKind::Lines,
            length: None,
            body: cursor.lines(),
        }
    };
    faults.guard(CallKind::Watch, effect).await
}

#[derive(Serialize)]
struct PodList {
    items: Vec<Pod>,
}

#[get("/api/v1/namespaces/<_ns>/pods?<labelSelector>")]
#[expect(non_snake_case, reason = "the object API names its parameters so")]
async fn list_pods(
    held: &Held,
    faults: &HeldFaults,
    seen: SeenRequest,
    _ns: &str,
    labelSelector: &str,
) -> Reply {
    held.see(Counted::List, seen);
    let effect = async {
        let Some((label, value)) = labelSelector.split_once('=') else {
            return Reply::error(
                Status::BadRequest,
                "no_selector",
                "set labelSelector=name=value",
            );
        };
        Reply::ok(&PodList {
            items: held.list(label, value),
        })
    };
    faults.guard(CallKind::List, effect).await
}

#[patch("/api/v1/namespaces/<_ns>/pods/<name>", data = "<data>")]
async fn patch_pod(
    held: &Held,
    faults: &HeldFaults,
    mut seen: SeenRequest,
    _ns: &str,
    name: &str,
    data: Data<'_>,
) -> Reply {
    let complete = seen.read_body(data).await;
    let parsed = parse::<Pod>(&seen, complete);
    held.see(Counted::Patch, seen);
    let effect = async {
        match parsed {
            Ok(patch) if held.patch_pod(name, &patch) => Reply::empty(),
            Ok(_) => Reply::not_found(name),
            Err(reply) => reply,
        }
    };
    faults.guard(CallKind::Put, effect).await
}

#[put("/control/pods/<name>", data = "<pod>")]
fn put_pod(held: &Held, name: &str, pod: Json<Pod>) -> Reply {
    let mut pod = pod.into_inner();
    pod.metadata.name = name.into();
    held.put_pod(pod);
    Reply::empty()
}

#[delete("/control/pods/<name>")]
fn remove_pod(held: &Held, name: &str) -> Reply {
    held.remove_pod(name);
    Reply::empty()
}

#[derive(Deserialize)]
struct Lag {
    list_ms: u64,
}

#[post("/control/lag", data = "<lag>")]
#[expect(
    clippy::needless_pass_by_value,
    reason = "a route takes its data by value"
)]
fn set_lag(held: &Held, lag: Json<Lag>) -> Reply {
    held.set_list_lag(Duration::from_millis(lag.list_ms));
    Reply::empty()
}

#[get("/control/calls")]
fn calls(held: &Held) -> Reply {
    Reply::ok(&held.calls())
}

#[get("/control/log")]
fn log(held: &Held) -> Reply {
    Reply::ok(&held.log())
}

fn parse<T: for<'de> Deserialize<'de>>(seen: &SeenRequest, complete: bool) -> Result<T, Reply> {
    if !complete {
        return Err(Reply::error(
            Status::PayloadTooLarge,
            "too_large",
            "send less",
        ));
    }
    serde_json::from_str(&seen.body)
        .map_err(|err| Reply::error(Status::BadRequest, "malformed", &err.to_string()))
}

fn written(done: Status, written: Written) -> Reply {
    match written {
        Written::Done(object) => Reply::json(done, &object),
        Written::Conflict => Reply::error(Status::Conflict, "conflict", "read it again"),
        Written::Missing => Reply::not_found("there is no such object"),
        Written::TooLarge => Reply::error(
            Status::PayloadTooLarge,
            "too_large",
            "a value holds at most a megabyte: split it",
        ),
        Written::Malformed => Reply::error(
            Status::BadRequest,
            "malformed",
            "the name or the version is missing or malformed",
        ),
    }
}
