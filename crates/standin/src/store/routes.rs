//! The weight store's HTTP interface.

use std::sync::Arc;

use rocket::http::Status;
use rocket::{Route, State, get, routes};

use super::StoreOutcome;
use super::state::StoreState;
use crate::clock::now;
use crate::reply::Reply;
use crate::{CallKind, Faults, SeenRequest};

#[expect(clippy::redundant_type_annotations, reason = "the macro writes them")]
pub(super) fn routes() -> Vec<Route> {
    routes![weights, log]
}

#[get("/weights/<adapter>/<version>")]
async fn weights(
    state: &State<Arc<StoreState>>,
    faults: &State<Arc<Faults>>,
    seen: SeenRequest,
    adapter: &str,
    version: u64,
) -> Reply {
    state.see(seen);
    faults
        .guard(CallKind::Load, read(state, format!("{adapter}@{version}")))
        .await
}

async fn read(state: &StoreState, adapter: String) -> Reply {
    let started = now();
    let Some(duration) = state.begin() else {
        state.end(adapter, started, StoreOutcome::OverRate);
        return Reply::error(
            Status::TooManyRequests,
            "over_rate",
            "too many loads a second: load fewer",
        );
    };
    tokio::time::sleep(duration).await;
    state.end(adapter, started, StoreOutcome::Read);
    Reply::empty()
}

#[get("/control/log")]
fn log(state: &State<Arc<StoreState>>) -> Reply {
    Reply::ok(&state.log())
}
