//! Measures one instance: time added to the first token, streamed tokens and short calls a second.
//!
//! Starts a platform, a bare engine that answers at once, and the daemon's release build as a
//! process of its own, all on loopback:
//!
//! ```console
//! $ cargo build --release -p bluebellstage-daemon
//! $ cargo run --release -p bluebellstage-daemon --example relay_speed
//! ```

use std::net::SocketAddr;
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bluebellstage_standin::Pod;
use bluebellstage_standin::platform::{Platform, PlatformConfig};
use futures::StreamExt;
use futures::future::join_all;
use reqwest::Client;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{MissedTickBehavior, interval, sleep};

const KEY: &str = "bbs_speed";
const TOKEN: &str = "speed";
const TOKEN_DIGEST: &str = "bbccb9c002d5ed5994789fd8d38a8af3825f7691e10c44cac9b07dc54b15c2ee";

/// Requests whose first token is timed.
const TIMED: usize = 2_000;
/// Streams at once, and the time between two tokens of each: 120,000 tokens a second in all.
const STREAMS: usize = 240;
const TOKEN_INTERVAL: Duration = Duration::from_millis(2);
const TOKENS_PER_STREAM: u64 = 3_000;
/// Callers of short requests, and the calls that each makes one after the other.
const CALLERS: usize = 32;
const CALLS: usize = 500;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    bluebellstage_daemon::init_logger();
    let platform = Platform::start(PlatformConfig {
        list_lag: Duration::ZERO,
        keep_requests: false,
        ..PlatformConfig::default()
    })
    .await?;
    let target = bare_target().await?;
    platform.put_pod(engine_pod(target));
    platform.put_pod(service_pod(target));
    platform.put_pod(Pod::new("i1", "bluebellstage"));
    let bench = Bench::start(&platform, target).await?;
    bench.first_token().await?;
    bench.tokens().await?;
    bench.short_calls().await
}

fn engine_pod(target: SocketAddr) -> Pod {
    Pod::target("e1", target.port(), "a", "engine")
        .annotate("bluebellstage/base-model", "base")
        .annotate("bluebellstage/slots", 4)
        .annotate("bluebellstage/max-batch", 1_000)
        .annotate("bluebellstage/checks-fencing", true)
}

fn service_pod(target: SocketAddr) -> Pod {
    Pod::target("s1", target.port(), "a", "service")
        .annotate("bluebellstage/service", "files")
        .annotate("bluebellstage/concurrency", 1_000)
}

/// The daemon's process; ended with this value.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ended_already = self.0.kill();
        let _ended = self.0.wait();
    }
}

struct Bench {
    daemon: Daemon,
    caller: SocketAddr,
    target: SocketAddr,
    http: Client,
}

impl Bench {
    async fn start(platform: &Platform, target: SocketAddr) -> eyre::Result<Self> {
        let mut ports = vec![];
        for _ in 0..3 {
            ports.push(TcpListener::bind("127.0.0.1:0").await?.local_addr()?);
        }
        let settings = format!(
            "instance: i1\nfailure_domain: a\ncaller_address: {}\npeer_address: {}\nadmin_address: {}\nadmin_tokens: [{TOKEN_DIGEST}]\nplatform: {{url: \"http://{}\"}}\n",
            ports[0],
            ports[1],
            ports[2],
            platform.address()
        );
        let file = std::env::temp_dir().join(format!("relay-speed-{}.yaml", std::process::id()));
        std::fs::write(&file, settings)?;
        let program = std::env::current_exe()?.with_file_name("../bluebellstaged");
        let daemon = Daemon(Command::new(program).arg("--settings").arg(&file).spawn()?);
        let bench = Self {
            daemon,
            caller: ports[0],
            target,
            http: Client::builder().no_proxy().build()?,
        };
        bench.found(ports[2]).await?;
        std::fs::remove_file(&file)?;
        Ok(bench)
    }

    /// Writes the catalogue and the key once the instance is ready.
    async fn found(&self, admin: SocketAddr) -> eyre::Result<()> {
        let ready = format!("http://{admin}/ready");
        while !self
            .http
            .get(&ready)
            .send()
            .await
            .is_ok_and(|answer| answer.status().is_success())
        {
            sleep(Duration::from_millis(20)).await;
        }
        let digest = bluebellstage_core::KeyDigest::of(KEY);
        let changes = json!({ "id": "found", "expected": null, "changes": [
            { "put_workspace": { "id": "w", "rate": 1_000_000_000, "burst": 1_000_000_000 } },
            { "put_adapter": { "id": "a", "owner": "w", "base_model": "base", "current": 1, "max_answer": 100_000 } },
            { "put_service": { "id": "files", "workspaces": ["w"] } },
            { "issue_key": { "id": "k", "workspace": "w", "digest": digest } },
        ] });
        let url = format!("http://{admin}/admin/v1/changes");
        let answer = self
            .http
            .post(url)
            .bearer_auth(TOKEN)
            .json(&changes)
            .send()
            .await?;
        eyre::ensure!(answer.status().is_success(), "the catalogue was refused");
        Ok(())
    }

    async fn first_token(&self) -> eyre::Result<()> {
        let mut through = vec![];
        let mut alone = vec![];
        for _ in 0..TIMED {
            through.push(self.time_to_first(self.caller).await?);
            alone.push(self.time_to_first(self.target).await?);
        }
        let (through, alone) = (sorted(through), sorted(alone));
        for (name, at) in [("p50", TIMED / 2), ("p99", TIMED * 99 / 100)] {
            let added = through[at].saturating_sub(alone[at]);
            println!(
                "time to first token, {name}: engine alone {:?}, through the instance {:?}, added {added:?}",
                alone[at], through[at]
            );
        }
        Ok(())
    }

    async fn time_to_first(&self, address: SocketAddr) -> eyre::Result<Duration> {
        let begun = Instant::now();
        let mut chunks = self.generate(address, 1).await?.bytes_stream();
        chunks.next().await;
        let took = begun.elapsed();
        while chunks.next().await.is_some() {}
        Ok(took)
    }

    async fn tokens(&self) -> eyre::Result<()> {
        for (name, address) in [
            ("engine alone", self.target),
            ("through the instance", self.caller),
        ] {
            let busy = self.daemon_seconds()?;
            let begun = Instant::now();
            let streams = (0..STREAMS).map(|_| self.stream(address));
            let counts = join_all(streams).await;
            let took = begun.elapsed();
            let total: u64 = counts.into_iter().sum::<eyre::Result<u64>>()?;
            let rate = per_second(total, took);
            let cores = (self.daemon_seconds()? - busy) / took.as_secs_f64();
            println!(
                "{STREAMS} streams, {name}: {total} tokens, {rate} a second, daemon on {cores:.2} cores"
            );
        }
        Ok(())
    }

    async fn stream(&self, address: SocketAddr) -> eyre::Result<u64> {
        let mut chunks = self
            .generate(address, TOKENS_PER_STREAM)
            .await?
            .bytes_stream();
        let mut count = 0;
        while let Some(chunk) = chunks.next().await {
            let lines = chunk?;
            count += lines
                .split(|byte| *byte == b'\n')
                .filter(|line| line.starts_with(b"id:"))
                .count() as u64;
        }
        Ok(count)
    }

    async fn generate(&self, address: SocketAddr, tokens: u64) -> eyre::Result<reqwest::Response> {
        let body = json!({
            "model": "a@1",
            "stream": true,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": "a letter" }],
        });
        let url = format!("http://{address}/v1/chat/completions");
        let answer = self
            .http
            .post(url)
            .bearer_auth(KEY)
            .json(&body)
            .send()
            .await?;
        Ok(answer.error_for_status()?)
    }

    async fn short_calls(&self) -> eyre::Result<()> {
        for (name, base) in [
            ("service alone", format!("http://{}", self.target)),
            (
                "through the instance",
                format!("http://{}/v1/services/files", self.caller),
            ),
        ] {
            let busy = self.daemon_seconds()?;
            let begun = Instant::now();
            let callers = (0..CALLERS).map(|_| self.calls(&base));
            for done in join_all(callers).await {
                done?;
            }
            let took = begun.elapsed();
            let rate = per_second((CALLERS * CALLS) as u64, took);
            let cores = (self.daemon_seconds()? - busy) / took.as_secs_f64();
            println!("short calls, {name}: {rate} a second, daemon on {cores:.2} cores");
        }
        Ok(())
    }

    async fn calls(&self, base: &str) -> eyre::Result<()> {
        for _ in 0..CALLS {
            let call = self.http.get(format!("{base}/case/7")).bearer_auth(KEY);
            call.send().await?.error_for_status()?.bytes().await?;
        }
        Ok(())
    }

    /// Processor time of the daemon so far, in seconds.
    fn daemon_seconds(&self) -> eyre::Result<f64> {
        const TICKS_PER_SECOND: f64 = 100.0;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.daemon.0.id()))?;
        let fields: Vec<_> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split(' ')
            .collect();
        let ticks: f64 = fields[12].parse::<f64>()? + fields[13].parse::<f64>()?;
        Ok(ticks / TICKS_PER_SECOND)
    }
}

fn per_second(count: u64, took: Duration) -> u128 {
    u128::from(count) * 1_000 / took.as_millis().max(1)
}

fn sorted(mut times: Vec<Duration>) -> Vec<Duration> {
    times.sort_unstable();
    times
}

/// An engine and a service on bare TCP: as little work as can be beside the instance's.
async fn bare_target() -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let has_loaded = Arc::new(AtomicBool::new(false));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _best_effort = stream.set_nodelay(true);
            tokio::spawn(serve(stream, Arc::clone(&has_loaded)));
        }
    });
    Ok(address)
}

async fn serve(mut stream: TcpStream, has_loaded: Arc<AtomicBool>) -> Option<()> {
    let mut buf = vec![];
    loop {
        let request = read_request(&mut stream, &mut buf).await?;
        if request.starts_with("POST /v1/chat/completions") {
            let tokens = request.split("\"max_tokens\":").nth(1)?;
            let tokens = tokens.split([',', '}']).next()?.parse().ok()?;
            generate(&mut stream, tokens).await?;
            continue;
        }
        if request.starts_with("POST /v1/load_lora_adapter") {
            has_loaded.store(true, Ordering::Relaxed);
        }
        let resident = if has_loaded.load(Ordering::Relaxed) {
            json!([{ "id": "a", "version": 1 }])
        } else {
            json!([])
        };
        let report = json!({ "boot": 1, "resident": resident, "in_use": [], "running": 0, "waiting": 0, "prefill_tokens": 0, "leaving": false });
        let body = report.to_string();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).await.ok()?;
    }
}

async fn generate(stream: &mut TcpStream, tokens: u64) -> Option<()> {
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut ticks = interval(TOKEN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    for id in 1..=tokens {
        ticks.tick().await;
        let event = format!(
            "id: {id}\ndata: {{\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"model\":\"a@1\",\"system_fingerprint\":\"a@1\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"word \"}},\"finish_reason\":null}}]}}\n\n"
        );
        write_chunk(stream, &event).await?;
    }
    write_chunk(stream, "data: [DONE]\n\n").await?;
    stream.write_all(b"0\r\n\r\n").await.ok()
}

async fn write_chunk(stream: &mut TcpStream, text: &str) -> Option<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes()).await.ok()
}

/// Reads one whole request as text.
async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let lower = head.to_lowercase();
            let length = lower.split("content-length: ").nth(1);
            let length = length.and_then(|rest| rest.lines().next()?.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                buf.clear();
                return Some(text);
            }
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
}
