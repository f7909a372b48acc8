//! Orders to load and unload.

use std::sync::Arc;

use rocket::data::Data;
use rocket::http::Status;
use rocket::{Route, State, post, routes};
use serde::Deserialize;

use super::slots::LoadStep;
use super::state::{EngineState, Inner};
use super::{EngineOrder, OrderKind, OrderResult, RunEnd};
use crate::clock::now;
use crate::reply::Reply;
use crate::{CallKind, Faults, SeenRequest};

type Held = State<Arc<EngineState>>;
type HeldFaults = State<Arc<Faults>>;

#[expect(clippy::redundant_type_annotations, reason = "the macro writes them")]
pub(super) fn routes() -> Vec<Route> {
    routes![load, unload]
}

#[derive(Deserialize)]
struct OrderBody {
    lora_name: Box<str>,
}

#[post("/v1/load_lora_adapter", data = "<data>")]
async fn load(held: &Held, faults: &HeldFaults, seen: SeenRequest, data: Data<'_>) -> Reply {
    let order = match parse(held, OrderKind::Load, seen, data).await {
        Ok(order) => order,
        Err(reply) => return reply,
    };
    let effect = async { reply(held.load(order).await) };
    faults.guard(CallKind::Load, effect).await
}

#[post("/v1/unload_lora_adapter", data = "<data>")]
async fn unload(held: &Held, faults: &HeldFaults, seen: SeenRequest, data: Data<'_>) -> Reply {
    let order = match parse(held, OrderKind::Unload, seen, data).await {
        Ok(order) => order,
        Err(reply) => return reply,
    };
    let effect = async { reply(held.unload(order)) };
    faults.guard(CallKind::Unload, effect).await
}

async fn parse(
    held: &EngineState,
    kind: OrderKind,
    mut seen: SeenRequest,
    data: Data<'_>,
) -> Result<EngineOrder, Reply> {
    let complete = seen.read_body(data).await;
    let fencing = seen
        .header("x-fencing-token")
        .and_then(|raw| raw.parse().ok());
    let body = serde_json::from_str::<OrderBody>(&seen.body);
    let at = seen.at;
    held.see(seen);
    let (true, Ok(body)) = (complete, body) else {
        return Err(malformed());
    };
    Ok(EngineOrder {
        at,
        ended: at,
        kind,
        adapter: body.lora_name,
        fencing,
        stale: false,
        result: OrderResult::Done,
    })
}

fn malformed() -> Reply {
    Reply::error(
        Status::BadRequest,
        "malformed",
        "send {\"lora_name\":\"adapter@version\"}",
    )
}

fn reply(result: OrderResult) -> Reply {
    match result {
        OrderResult::Done | OrderResult::Already => Reply::empty(),
        OrderResult::Fenced => Reply::error(
            Status::Conflict,
            "fenced",
            "a newer fencing number was seen",
        ),
        OrderResult::NoSlot => Reply::error(
            Status::Conflict,
            "no_slot",
            "all slots are taken: unload one first",
        ),
        OrderResult::LoadFailed => Reply::error(
            Status::BadGateway,
            "load_failed",
            "the weight store did not give the weights",
        ),
        OrderResult::NotLoaded => Reply::error(
            Status::NotFound,
            "adapter_not_loaded",
            "the adapter is in no slot",
        ),
    }
}

impl EngineState {
    async fn load(&self, mut order: EngineOrder) -> OrderResult {
        let mut changes = self.slots_changed.subscribe();
        let boot = loop {
            let (boot, step) = self.begin_load(&mut order);
            match step {
                LoadStep::End(result) => return self.note(order, result),
                LoadStep::Begin => break boot,
                LoadStep::Join => drop(changes.changed().await),
            }
        };
        let loaded = self.fetch(&order.adapter).await;
        let mut inner = self.lock();
        // After a restart the slot that this load took is gone.
        let loaded = loaded && inner.log.boot == boot;
        if inner.log.boot == boot {
            inner.slots.end_load(&order.adapter, loaded);
        }
        if loaded {
            inner.log.loads += 1;
        }
        drop(inner);
        self.slots_changed.send_modify(|count| *count += 1);
        let result = if loaded {
            OrderResult::Done
        } else {
            OrderResult::LoadFailed
        };
        self.note(order, result)
    }

    fn begin_load(&self, order: &mut EngineOrder) -> (u64, LoadStep) {
        let mut inner = self.lock();
        if inner.fences(order, self.cfg.checks_fencing) {
            return (inner.log.boot, LoadStep::End(OrderResult::Fenced));
        }
        let step = inner.slots.begin_load(&order.adapter);
        (inner.log.boot, step)
    }

    async fn fetch(&self, adapter: &str) -> bool {
        let Some(store) = self.cfg.store else {
            return true;
        };
        let Some((id, version)) = adapter.split_once('@') else {
            return false;
        };
        let Ok(mut url) = reqwest::Url::parse(&format!("http://{store}")) else {
            return false;
        };
        if let Ok(mut path) = url.path_segments_mut() {
            path.extend(["weights", id, version]);
        }
        let response = self.http.get(url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    fn unload(&self, mut order: EngineOrder) -> OrderResult {
        let mut inner = self.lock();
        if inner.fences(&mut order, self.cfg.checks_fencing) {
            drop(inner);
            return self.note(order, OrderResult::Fenced);
        }
        let in_use = inner.in_use().contains(&order.adapter);
        let unloaded = inner.slots.unload(&order.adapter);
        if unloaded && in_use {
            inner.log.violations += 1;
        }
        inner.break_off(|job| job.adapter == order.adapter, RunEnd::Unloaded);
        drop(inner);
        self.slots_changed.send_modify(|count| *count += 1);
        let result = if unloaded {
            OrderResult::Done
        } else {
            OrderResult::NotLoaded
        };
        self.note(order, result)
    }

    fn note(&self, mut order: EngineOrder, result: OrderResult) -> OrderResult {
        order.ended = now();
        order.result = result;
        self.lock().log.orders.push(order);
        result
    }
}

impl Inner {
    /// Whether an order's fencing number is too old to obey.
    fn fences(&mut self, order: &mut EngineOrder, checks: bool) -> bool {
        let fencing = order.fencing.unwrap_or(0);
        order.stale = fencing < self.fencing;
        self.fencing = self.fencing.max(fencing);
        checks && order.stale
    }
}
