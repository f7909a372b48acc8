//! Time to the first token that an instance adds.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use eyre::{WrapErr, ensure};
use reqwest::Client;
use serde_json::{Value, json};

use super::Figure;
use super::deployment::{self, KEY, Size, adapter};
use crate::load::{Programs, Quantiles, Times};

/// Requests each way.
const REQUESTS: usize = 500;

/// Pause between two requests: they are measured one at a time.
const PAUSE: Duration = Duration::from_millis(2);

pub(super) async fn run(programs: &Programs, dir: &Path) -> eyre::Result<Vec<Figure>> {
    let size = Size {
        instances: 1,
        engines: 1,
        max_batch: 64,
        decode_ms: 0.0,
    };
    let mut fleet = deployment::start(size, programs, dir).await?;
    deployment::write_catalogue(&mut fleet, 1).await?;
    deployment::warm_up(&fleet, 1).await?;
    let http = crate::pod::client()?;
    let instance = fleet.instances[0].caller_address;
    let engine = fleet.engines[0].address;
    let (mut through, mut alone) = (Times::default(), Times::default());
    // In turn, so that what else the machine does meets both alike.
    for _ in 0..REQUESTS {
        through.add(first_token(&http, instance, &adapter(0)).await?);
        tokio::time::sleep(PAUSE).await;
        alone.add(first_token(&http, engine, &format!("{}@1", adapter(0))).await?);
        tokio::time::sleep(PAUSE).await;
    }
    fleet.stop().await;
    let (through, alone) = (through.quantiles(), alone.quantiles());
    Ok(vec![
        added("time to first token added, p50", through, alone, |q| {
            q.p50_ms
        })
        .goal("<= 1"),
        added("time to first token added, p99", through, alone, |q| {
            q.p99_ms
        })
        .goal("<= 5"),
        Figure::new("time to first token, p50", "ms", through.p50_ms).beside(alone.p50_ms),
        Figure::new("time to first token, p99", "ms", through.p99_ms).beside(alone.p99_ms),
    ])
}

fn added(name: &str, through: Quantiles, alone: Quantiles, at: fn(&Quantiles) -> f64) -> Figure {
    Figure::new(name, "ms", at(&through) - at(&alone))
}

async fn first_token(http: &Client, address: SocketAddr, model: &str) -> eyre::Result<u64> {
    let begun = Instant::now();
    let response = http
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(KEY)
        .json(&body(model))
        .send()
        .await;
    let mut response = response.wrap_err("a draft got no answer")?;
    ensure!(
        response.status().is_success(),
        "a draft was refused: {}",
        response.text().await?
    );
    let first = response.chunk().await?;
    let elapsed = begun.elapsed();
    ensure!(first.is_some(), "a draft got an empty answer");
    while response.chunk().await?.is_some() {}
    Ok(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

fn body(model: &str) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": "A short plan." }],
        "max_tokens": 4,
        "stream": true,
    })
}
