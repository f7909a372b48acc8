//! Time until work goes on after an instance was killed.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::Figure;
use super::deployment::{self, KEY, Size, draft};
use crate::caller::{Caller, Outcome, ServiceCall, Trace, Work};
use crate::clock::now;
use crate::load::{Programs, Times};

/// Instances of the fleet; each is killed once.
const INSTANCES: usize = 6;

/// Adapters in use; their engines are at home on several instances.
const ADAPTERS: usize = 6;

/// How long work is sent before a kill, and after it.
const BEFORE: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(8);

/// Time between two pieces of work of one caller.
const PACE: Duration = Duration::from_millis(50);

/// How long a caller goes on trying.
const PATIENCE: Duration = Duration::from_secs(30);

pub(super) async fn run(programs: &Programs, dir: &Path) -> eyre::Result<Vec<Figure>> {
    let size = Size {
        instances: INSTANCES,
        engines: 3,
        max_batch: 64,
        decode_ms: 2.0,
    };
    let mut fleet = deployment::start(size, programs, dir).await?;
    deployment::write_catalogue(&mut fleet, ADAPTERS).await?;
    deployment::warm_up(&fleet, ADAPTERS).await?;
    let (mut drafts, mut filings) = (Times::default(), Times::default());
    let mut rate_refusals = 0;
    let mut broken = 0;
    for killed in 0..INSTANCES {
        let (begun, mut tasks) = (Instant::now(), JoinSet::new());
        for lane in 0..=ADAPTERS {
            // Callers start somewhere else each; all know all instances.
            let caller = Caller::new(fleet.caller_addresses(), lane as u64)?;
            tasks.spawn(send(Arc::new(caller), killed, lane, begun));
        }
        tokio::time::sleep(BEFORE).await;
        fleet.kill_instance(killed).await;
        let at = now();
        while let Some(joined) = tasks.join_next().await {
            let (lane, traces) = joined?;
            let slowest = slowest_since(&traces, at);
            if lane == ADAPTERS {
                filings.add(slowest);
            } else {
                drafts.add(slowest);
            }
            rate_refusals += refusals(&traces, "rate_exceeded");
            broken += traces.iter().filter(|trace| is_broken(trace)).count();
        }
        fleet.start_instance(killed).await?;
        fleet.wait_ready().await?;
        tokio::time::sleep(BEFORE).await;
    }
    fleet.stop().await;
    let (drafts, filings) = (drafts.quantiles(), filings.quantiles());
    Ok(vec![
        Figure::new(
            "an instance killed: slowest draft of a lane, p50",
            "ms",
            drafts.p50_ms,
        ),
        Figure::new("an instance killed: slowest draft", "ms", drafts.max_ms).goal("<= 5000"),
        Figure::new(
            "an instance killed: slowest filing of a round, p50",
            "ms",
            filings.p50_ms,
        ),
        Figure::new("an instance killed: slowest filing", "ms", filings.max_ms).goal("<= 5000"),
        Figure::new(
            "an instance killed: refusals by rate",
            "refusals",
            float(rate_refusals),
        )
        .goal("0"),
        Figure::new(
            "an instance killed: requests whose connection broke",
            "requests",
            float(broken),
        ),
    ])
}

/// Drafts of one adapter, or filings, one after the other.
async fn send(
    caller: Arc<Caller>,
    round: usize,
    lane: usize,
    begun: Instant,
) -> (usize, Vec<Trace>) {
    let mut traces = Vec::new();
    let mut number = 0;
    while begun.elapsed() < BEFORE + AFTER {
        let work = if lane == ADAPTERS {
            filing(&format!("filing-{round}-{number}"))
        } else {
            draft(lane, &format!("Plan {round}.{number}."), 8)
        };
        traces.push(caller.run(KEY, &work, PATIENCE).await);
        tokio::time::sleep(PACE).await;
        number += 1;
    }
    (lane, traces)
}

fn filing(name: &str) -> Work {
    Work::Call(ServiceCall {
        service: "court".into(),
        path: "filings".into(),
        idempotency_key: Some(name.into()),
    })
}

/// Longest time from when a piece of work was wanted to its end, of those that ended after the kill.
fn slowest_since(traces: &[Trace], at: u64) -> u64 {
    let ended = traces
        .iter()
        .filter_map(|trace| Some((trace, trace.last()?.ended)));
    let after = ended.filter(|(_, ended)| *ended >= at);
    let times = after.map(|(trace, ended)| ended - trace.wanted.max(at));
    times.max().unwrap_or(0)
}

fn refusals(traces: &[Trace], kind: &str) -> usize {
    let attempts = traces.iter().flat_map(|trace| &trace.attempts);
    let refused = attempts.filter(
        |attempt| matches!(&attempt.outcome, Outcome::Refused(refused) if &*refused.kind == kind),
    );
    refused.count()
}

fn is_broken(trace: &Trace) -> bool {
    let mut attempts = trace.attempts.iter();
    attempts.any(|attempt| attempt.outcome == Outcome::Broken)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "there are a few hundred requests"
)]
const fn float(count: usize) -> f64 {
    count as f64
}
