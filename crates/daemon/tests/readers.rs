//! Engines whose answers have no end.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bluebellstage_standin::Pod;
use reqwest::Method;
use serde_json::{Value, json};
use support::{Bench, BenchBuilder, chat};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Time for which an engine may be silent.
const ENGINE_SILENCE: Duration = Duration::from_millis(500);
/// Time in which a request ends that every engine fails: it is tried four times.
const REQUEST_TIME: Duration = Duration::from_secs(15);
/// Pause between two parts of a body that drips.
const DRIP: Duration = Duration::from_millis(50);
/// Time after an answer by which no engine's connection is read any more.
const CLOSE_TIME: Duration = Duration::from_secs(1);
/// Tokens that a caller asks for.
const MAX_TOKENS: u64 = 20;
/// Most bytes that a caller may get of an answer of [`MAX_TOKENS`], with an engine's last megabyte of comments at
/// each try.
const MAX_ANSWER_BYTES: usize = 6 << 20;

/// What an engine answers to a generation, until the connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Endless {
    /// A refusal whose body drips.
    Refusal,
    /// Comments.
    Comments,
    /// The usual events, beyond those that were asked for.
    Events,
    /// The same event.
    Repeats,
    /// Heads that announce another one.
    Heads,
}

impl Endless {
    fn head(self) -> &'static str {
        match self {
            Self::Refusal => {
                "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
            }
            Self::Comments | Self::Events | Self::Repeats => {
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
            }
            Self::Heads => "",
        }
    }

    fn part(self, number: u64) -> String {
        let event = |id: u64| {
            let data = json!({
                "system_fingerprint": "letters@2",
                "choices": [{ "delta": { "content": "x" } }],
            });
            format!("id: {id}\ndata: {data}\n\n")
        };
        match self {
            Self::Refusal => "x".into(),
            Self::Comments => format!(": {}\n\n", "x".repeat(1_000)),
            Self::Events => event(number),
            Self::Repeats => event(1),
            Self::Heads => "HTTP/1.1 102 Processing\r\n\r\n".repeat(100),
        }
    }

    /// Answers a generation until the connection is closed.
    async fn answer(self, stream: &mut TcpStream) {
        let _closed_below = stream.write_all(self.head().as_bytes()).await;
        for number in 1.. {
            if stream
                .write_all(self.part(number).as_bytes())
                .await
                .is_err()
            {
                return;
            }
            if self == Self::Refusal {
                sleep(DRIP).await;
            }
        }
    }
}

async fn serve(mut stream: TcpStream, endless: Endless, runs: &AtomicUsize) -> std::io::Result<()> {
    let mut buf = vec![0; 64 * 1_024];
    loop {
        // Requests are short, and arrive in one piece.
        let read = stream.read(&mut buf).await?;
        let request = String::from_utf8_lossy(&buf[..read]).into_owned();
        let path = request.split(' ').nth(1).unwrap_or_default();
        let body = match path {
            "" => return Ok(()),
            "/v1/chat/completions" => {
                runs.fetch_add(1, Ordering::Relaxed);
                endless.answer(&mut stream).await;
                runs.fetch_sub(1, Ordering::Relaxed);
                return Ok(());
            }
            "/load" => json!({
                "boot": 1,
                "resident": [{ "id": "letters", "version": 2 }],
                "in_use": [],
                "running": 0,
                "waiting": 0,
                "prefill_tokens": 0,
                "leaving": false,
            }),
            // An engine keeps no stream of such an answer.
            path if path.starts_with("/v1/streams/") => Value::Null,
            _ => json!({}),
        };
        let status = if body.is_null() {
            "404 Not Found"
        } else {
            "200 OK"
        };
        let body = body.to_string();
        let len = body.len();
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {len}\r\nContent-Type: application/json\r\n\r\n"
        );
        stream.write_all((head + &body).as_bytes()).await?;
    }
}

/// A bench with one engine, whose answers have no end, and the number of those that it writes.
async fn with_engine(endless: Endless) -> (Bench, Arc<AtomicUsize>) {
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    let bench = BenchBuilder::instances(1)
        .limits(|limits| limits.engine_silence = ENGINE_SILENCE)
        .start()
        .await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let port = listener.local_addr().unwrap().port();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let runs = Arc::clone(&counted);
            tokio::spawn(async move { serve(stream, endless, &runs).await });
        }
    });
    let pod = Pod::target("e1", port, "a", "engine")
        .annotate("bluebellstage/base-model", "base")
        .annotate("bluebellstage/slots", 4)
        .annotate("bluebellstage/max-batch", 4)
        .annotate("bluebellstage/checks-fencing", true);
    bench.platform.put_pod(pod);
    bench
        .until(|| async {
            let dump = bench.admin(0, Method::GET, "/admin/v1/dump").send().await;
            dump.unwrap().text().await.unwrap().contains("\"e1\"")
        })
        .await;
    (bench, runs)
}

/// Sends a generation. Returns its status, and how many connections are still read after its end.
async fn ends(endless: Endless) -> (u16, usize) {
    let (bench, runs) = with_engine(endless).await;
    let begun = Instant::now();
    let generation = async {
        let mut answer = bench.chat(0, &chat("letters", MAX_TOKENS, true)).await;
        let mut bytes = 0;
        while let Ok(Some(chunk)) = answer.chunk().await {
            bytes += chunk.len();
            assert!(
                bytes <= MAX_ANSWER_BYTES,
                "{endless:?} is passed on without end"
            );
        }
        answer.status().as_u16()
    };
    let ended = timeout(REQUEST_TIME, generation).await;
    let ended = ended.unwrap_or_else(|_| panic!("{endless:?}: no end after {:?}", begun.elapsed()));
    sleep(CLOSE_TIME).await;
    (ended, runs.load(Ordering::Relaxed))
}

/// Guards against a request that waits without end for the body of an engine's refusal.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_drips_is_given_up() {
    let (status, open) = ends(Endless::Refusal).await;
    assert!(status >= 500, "{status}");
    assert_eq!(open, 0);
}

/// Guards against comments that count as progress, and reach the caller without end.
#[tokio::test(flavor = "multi_thread")]
async fn comments_without_end_are_no_answer() {
    let (_, open) = ends(Endless::Comments).await;
    assert_eq!(open, 0);
}

/// Guards against an answer that goes on beyond what was asked for and paid, without end.
#[tokio::test(flavor = "multi_thread")]
async fn events_beyond_the_longest_answer_are_not_passed_on() {
    let (_, open) = ends(Endless::Events).await;
    assert_eq!(open, 0);
}

/// Guards against an event that is repeated without end and counts as progress.
#[tokio::test(flavor = "multi_thread")]
async fn an_event_that_repeats_is_no_progress() {
    let (_, open) = ends(Endless::Repeats).await;
    assert_eq!(open, 0);
}

/// Guards against a run of informational heads that holds a request for ever.
#[tokio::test(flavor = "multi_thread")]
async fn informational_heads_without_end_are_silence() {
    let (status, _) = ends(Endless::Heads).await;
    assert!(status >= 500, "{status}");
}

/// Guards against a connection that is read at full speed without end after its request has ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_with_informational_heads_without_end_is_closed() {
    let (_, open) = ends(Endless::Heads).await;
    assert_eq!(open, 0);
}
