//! The lagging report, and the engine's controls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rocket::serde::json::Json;
use rocket::{Route, State, get, post, routes};
use serde::{Deserialize, Serialize};

use super::state::{EngineState, Inner};
use crate::reply::Reply;
use crate::{CallKind, Faults, SeenRequest};

/// Time between two samples of what is reported late.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

type Held = State<Arc<EngineState>>;

/// What the engine says of itself.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Report {
    boot: u64,
    resident: Vec<ReportedAdapter>,
    in_use: Vec<ReportedAdapter>,
    running: usize,
    waiting: usize,
    prefill_tokens: usize,
    leaving: bool,
}

#[derive(Clone, Debug, Serialize)]
struct ReportedAdapter {
    id: Box<str>,
    version: u64,
}

impl ReportedAdapter {
    fn parse(adapter: &str) -> Option<Self> {
        let (id, version) = adapter.split_once('@')?;
        Some(Self {
            id: id.into(),
            version: version.parse().ok()?,
        })
    }
}

impl Inner {
    fn report(&self) -> Report {
        let jobs = self.running.iter().chain(self.waiting.values());
        Report {
            boot: self.log.boot,
            // What is in the slots, not what was ordered into them.
            resident: self
                .slots
                .names()
                .filter_map(|name| ReportedAdapter::parse(self.slots.weights(name)?))
                .collect(),
            in_use: self
                .in_use()
                .iter()
                .filter_map(|name| ReportedAdapter::parse(name))
                .collect(),
            running: self.running.len(),
            waiting: self.waiting.len(),
            prefill_tokens: jobs.map(|job| job.prefill_left).sum(),
            leaving: self.draining,
        }
    }

    /// Keeps the report of now, and of the past just what a report that lags by `lag` shows.
    fn sample(&mut self, lag: Duration) {
        let report = self.report();
        self.reports.push_back((Instant::now(), report));
        let old = |at: &Instant| at.elapsed() > lag;
        while self.reports.get(1).is_some_and(|(at, _)| old(at)) {
            self.reports.pop_front();
        }
    }
}

/// Samples what is reported late.
pub(super) async fn sample(state: Arc<EngineState>) {
    let lag = state.cfg.report_lag;
    if lag.is_zero() {
        return;
    }
    loop {
        state.lock().sample(lag);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

impl EngineState {
    fn lagging_report(&self) -> Report {
        let inner = self.lock();
        if self.cfg.report_lag.is_zero() {
            return inner.report();
        }
        let oldest = inner.reports.front().map(|(_, report)| report.clone());
        oldest.unwrap_or_else(|| inner.report())
    }
}

#[expect(clippy::redundant_type_annotations, reason = "the macro writes them")]
pub(super) fn routes() -> Vec<Route> {
    routes![load, log, restart, drain, swap]
}

#[get("/load")]
async fn load(held: &Held, faults: &State<Arc<Faults>>, seen: SeenRequest) -> Reply {
    held.see(seen);
    let effect = async { Reply::ok(&held.lagging_report()) };
    faults.guard(CallKind::Report, effect).await
}

#[get("/control/log")]
fn log(held: &Held) -> Reply {
    Reply::ok(&held.log())
}

#[post("/control/restart")]
fn restart(held: &Held) -> Reply {
    held.restart();
    Reply::empty()
}

#[post("/control/drain")]
fn drain(held: &Held) -> Reply {
    held.drain();
    Reply::empty()
}

#[derive(Deserialize)]
struct Swap {
    adapter: Box<str>,
    weights: Box<str>,
}

#[post("/control/swap", data = "<swap>")]
#[expect(
    clippy::needless_pass_by_value,
    reason = "a route takes its data by value"
)]
fn swap(held: &Held, swap: Json<Swap>) -> Reply {
    held.swap_weights(&swap.adapter, &swap.weights);
    Reply::empty()
}
