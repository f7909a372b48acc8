//! Streamed tokens and short requests a second through one instance.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bluebellstage_core::EngineReport;
use eyre::ensure;
use reqwest::{Client, RequestBuilder, Response};
use serde_json::json;

use super::Figure;
use super::deployment::{self, KEY, Size, adapter};
use crate::fleet::{Fleet, Process};
use crate::load::Programs;

/// Engines that give tokens as fast as the machine lets them.
const ENGINES: usize = 4;

/// Adapters, so that each engine has some.
const ADAPTERS: usize = 8;

/// Streams at once.
const STREAMS: usize = 64;

/// Tokens of a stream.
const STREAM_TOKENS: usize = 2_000;

/// Short requests at once.
const SHORT_AT_ONCE: usize = 64;

/// How long each is measured.
const SPAN: Duration = Duration::from_secs(5);

pub(super) async fn run(programs: &Programs, dir: &Path) -> eyre::Result<Vec<Figure>> {
    let size = Size {
        instances: 1,
        engines: ENGINES,
        max_batch: 64,
        decode_ms: 0.0,
    };
    let mut fleet = deployment::start(size, programs, dir).await?;
    deployment::write_catalogue(&mut fleet, ADAPTERS).await?;
    deployment::warm_up(&fleet, ADAPTERS).await?;
    let http = crate::pod::client()?;
    let instance = fleet.instances[0].caller_address;
    let service = fleet.services[0].address;
    let cpu = |fleet: &Fleet| {
        let process = fleet.instances[0].process.as_ref();
        process
            .and_then(Process::usage)
            .unwrap_or_default()
            .cpu_seconds
    };
    let before = cpu(&fleet);
    let tokens = streams(&http, through(instance)).await;
    let between = cpu(&fleet);
    let short = short(
        &http,
        format!("http://{instance}/v1/services/court/cases/1"),
    )
    .await;
    let after = cpu(&fleet);
    let tokens_alone = streams(&http, straight(&fleet).await?).await;
    let short_alone = self::short(&http, format!("http://{service}/cases/1")).await;
    fleet.stop().await;
    let span = SPAN.as_secs_f64();
    Ok(vec![
        Figure::new("streamed tokens through one instance", "tokens/s", tokens)
            .beside(tokens_alone)
            .goal(">= 100000"),
        Figure::new(
            "processors of the instance meanwhile",
            "cores",
            (between - before) / span,
        ),
        Figure::new("short requests through one instance", "requests/s", short)
            .beside(short_alone)
            .goal(">= 2000"),
        Figure::new(
            "processors of the instance meanwhile",
            "cores",
            (after - between) / span,
        ),
    ])
}

/// Where each stream goes, and what it asks for there.
#[derive(Debug)]
struct Place {
    address: SocketAddr,
    model: String,
}

/// All streams through one instance.
fn through(instance: SocketAddr) -> Vec<Place> {
    let places = (0..STREAMS).map(|index| Place {
        address: instance,
        model: adapter(index % ADAPTERS),
    });
    places.collect()
}

/// The same streams straight to the engines that hold their adapters.
async fn straight(fleet: &Fleet) -> eyre::Result<Vec<Place>> {
    let mut held = Vec::new();
    for engine in &fleet.engines {
        let report: EngineReport = engine.get("/load").await?;
        held.extend(report.resident.iter().map(|adapter| Place {
            address: engine.address,
            model: adapter.to_string(),
        }));
    }
    ensure!(!held.is_empty(), "no engine holds an adapter");
    let places = held.iter().cycle().take(STREAMS).map(|place| Place {
        address: place.address,
        model: place.model.clone(),
    });
    Ok(places.collect())
}

async fn streams(http: &Client, places: Vec<Place>) -> f64 {
    let requests = places.into_iter().enumerate().map(|(index, place)| {
        let body = json!({
            "model": place.model,
            "messages": [{ "role": "user", "content": format!("A long plan {index}.") }],
            "max_tokens": STREAM_TOKENS,
            "stream": true,
        });
        let request = http.post(format!("http://{}/v1/chat/completions", place.address));
        request.bearer_auth(KEY).json(&body)
    });
    count(requests.collect(), events).await
}

async fn short(http: &Client, url: String) -> f64 {
    let requests = (0..SHORT_AT_ONCE).map(|_| http.get(&url).bearer_auth(KEY));
    count(requests.collect(), whole).await
}

/// Sends each request again and again; what its answers count, a second.
async fn count<C>(
    requests: Vec<RequestBuilder>,
    counted: impl Fn(Response, Arc<AtomicU64>) -> C,
) -> f64
where
    C: Future<Output = ()> + Send + 'static,
{
    let counted = &counted;
    let total = Arc::new(AtomicU64::new(0));
    let begun = Instant::now();
    let loops = requests.into_iter().map(|request| {
        let total = Arc::clone(&total);
        async move {
            while begun.elapsed() < SPAN {
                let Some(request) = request.try_clone() else {
                    return;
                };
                if let Ok(response) = request.send().await
                    && response.status().is_success()
                {
                    counted(response, Arc::clone(&total)).await;
                }
            }
        }
    });
    let all = futures::future::join_all(loops);
    let _late = tokio::time::timeout(SPAN, all).await;
    float(total.load(Ordering::Relaxed)) / begun.elapsed().as_secs_f64()
}

/// Counts the events of a stream as they come.
async fn events(mut response: Response, total: Arc<AtomicU64>) {
    while let Ok(Some(bytes)) = response.chunk().await {
        let ids = bytes.windows(4).filter(|part| part == b"id: ").count();
        total.fetch_add(ids as u64, Ordering::Relaxed);
    }
}

async fn whole(response: Response, total: Arc<AtomicU64>) {
    if response.bytes().await.is_ok() {
        total.fetch_add(1, Ordering::Relaxed);
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of seconds are far below 2^52"
)]
const fn float(count: u64) -> f64 {
    count as f64
}
