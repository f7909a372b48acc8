//! Bad input: each kind gets a typed answer, and nothing of it reaches a target.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Method, RequestBuilder};
use serde_json::{Value, json};
use support::{Bench, BenchBuilder, KEY, OTHER_KEY, chat, quick_engine};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CHAT: &str = "/v1/chat/completions";
const FILING: &str = "/v1/services/filings/claims";
const BODY_LIMIT: u64 = 4_096;

async fn bench() -> Bench {
    let limits = |limits: &mut bluebellstage_daemon::settings::Limits| {
        limits.body_bytes = BODY_LIMIT;
        limits.body_timeout = Duration::from_millis(300);
    };
    let builder = BenchBuilder::instances(1).engine(quick_engine("e1"));
    builder.limits(limits).start().await
}

/// Status, headers that matter and the error, as one line.
async fn answer(request: RequestBuilder) -> String {
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    let body: Value = response.json().await.unwrap();
    let error = &body["error"];
    format!("{status} {} ran={}", error["kind"], error["ran"])
}

fn without_key(bench: &Bench) -> RequestBuilder {
    let url = format!("http://{}{CHAT}", bench.daemons[0].caller_address());
    bench.http.post(url)
}

/// A kind of bad input with the request that shows it.
type Case = (&'static str, RequestBuilder);

fn key_cases(bench: &Bench) -> Vec<Case> {
    let body = chat("letters", 3, false);
    let without = || without_key(bench).json(&body);
    let two = without().bearer_auth(KEY).bearer_auth(KEY);
    vec![
        ("no key", without()),
        ("two keys", two),
        ("another scheme", without().basic_auth("user", Some(KEY))),
        ("unknown key", without().bearer_auth("bbs_guessed")),
    ]
}

fn generation_cases(bench: &Bench) -> Vec<Case> {
    let post = || bench.call(0, Method::POST, CHAT);
    let asking = |model: &str, tokens: u64| post().json(&chat(model, tokens, false));
    let with = |field: &str, value: Value| {
        let mut body = chat("letters", 3, false);
        body[field] = value;
        post().json(&body)
    };
    let no_role = json!([{ "content": "x" }]);
    let key_in_prompt = json!([{ "role": "user", "content": KEY }]);
    vec![
        ("another workspace's adapter", asking("plans", 3)),
        ("unknown adapter", asking("nothing", 3)),
        ("unknown version", asking("letters@9", 3)),
        ("malformed version", asking("letters@new", 3)),
        ("too long an answer", asking("letters", 5_001)),
        ("answer of no token", asking("letters", 0)),
        ("body over the limit", post().body("x".repeat(5_000))),
        ("broken JSON", post().body("{\"model\":")),
        ("no messages", post().json(&json!({ "model": "letters" }))),
        ("message without a role", with("messages", no_role)),
        ("key in the prompt", with("messages", key_in_prompt)),
        ("key in a passed field", with("stop", json!([KEY]))),
        (
            "unknown path",
            bench.call(0, Method::POST, "/v1/embeddings"),
        ),
    ]
}

fn service_cases(bench: &Bench) -> Vec<Case> {
    let file = |path: &str, name: &str| {
        let call = bench.call(0, Method::POST, path);
        call.header("Idempotency-Key", name).body("{}")
    };
    let with_key_in_query = format!("{FILING}?k={KEY}");
    let with_key_in_path = format!("/v1/services/filings/{KEY}");
    vec![
        ("unknown service", file("/v1/services/nothing/x", "n")),
        ("filing without a name", bench.call(0, Method::POST, FILING)),
        ("filing with a malformed name", file(FILING, "a b")),
        ("key in a query", file(&with_key_in_query, "n")),
        (
            "key in a path",
            bench.call(0, Method::GET, &with_key_in_path),
        ),
        ("key in a body", file(FILING, "n").body(KEY)),
        ("key as a name", file(FILING, KEY)),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_bad_input_gets_its_typed_answer() {
    let bench = bench().await;
    let cases = [
        key_cases(&bench),
        generation_cases(&bench),
        service_cases(&bench),
    ];
    let mut table = vec![];
    for (case, request) in cases.into_iter().flatten() {
        table.push(format!("{case}: {}", answer(request).await));
    }
    insta::assert_snapshot!(table.join("\n"));
    assert_no_target_saw_a_key(&bench);
    let runs = bench.engines[0].log().runs.len() + bench.services[0].log().runs.len();
    assert_eq!(runs, 0);
}

/// A header that looks like a key's, or would be one to another server, stays here.
#[tokio::test(flavor = "multi_thread")]
async fn headers_that_smuggle_a_key_towards_a_target_are_dropped() {
    let bench = bench().await;
    let call = bench
        .call(0, Method::POST, FILING)
        .header("Idempotency-Key", "filing-1")
        .header("Content-Type", "application/json")
        .header("X-Api-Key", KEY)
        .header("Proxy-Authorization", KEY)
        .header("Cookie", KEY)
        .header("X-Forwarded-Authorization", KEY)
        .body("{\"claim\":1}");
    assert_eq!(call.send().await.unwrap().status(), 200);
    assert_no_target_saw_a_key(&bench);
    let log = bench.services[0].log();
    let filed = log
        .seen
        .iter()
        .find(|request| &*request.method == "POST")
        .unwrap();
    let mut names: Vec<_> = filed
        .headers
        .iter()
        .map(|header| header.name.to_lowercase())
        .collect();
    names.sort_unstable();
    insta::assert_json_snapshot!(names, @r#"
    [
      "accept",
      "content-length",
      "content-type",
      "host",
      "idempotency-key",
      "x-request-id"
    ]
    "#);
}

/// A caller that sends its body a byte at a time would hold memory and a connection for as long as
/// it likes. After the stated time it gets 408; the first bytes go to the HTTP library, which looks
/// at them on its own, so the clock starts once they are there.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_sender_gets_408() {
    let bench = bench().await;
    let text = raw(bench.daemons[0].caller_address(), &format!(
        "POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 1000\r\n\r\n{{\"model\": \"letters\", \"messages\""
    )).await;
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(text.contains("sender_timeout"), "{text}");
}

/// A prompt that broke off on its way would be answered as if it were whole: the body ends before
/// the length that was stated.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_breaks_off_is_not_taken_for_a_whole_one() {
    let bench = bench().await;
    let whole = chat("letters", 3, false).to_string();
    let mut stream = TcpStream::connect(bench.daemons[0].caller_address())
        .await
        .unwrap();
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{whole}",
        whole.len() + 10
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut text = String::new();
    let _reset = stream.read_to_string(&mut text).await;
    assert!(!text.starts_with("HTTP/1.1 200"), "{text}");
    assert_eq!(bench.engines[0].log().runs.len(), 0);
}

/// The limit itself fits, one byte more is refused before it is read.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_of_exactly_the_limit_is_read() {
    let bench = bench().await;
    let mut body = chat("letters", 3, false);
    body["padding"] = json!("");
    let padding = usize::try_from(BODY_LIMIT).unwrap() - body.to_string().len();
    body["padding"] = json!("x".repeat(padding));
    let fits = bench.call(0, Method::POST, CHAT).body(body.to_string());
    assert_eq!(fits.send().await.unwrap().status(), 200);
    body["padding"] = json!("x".repeat(padding + 1));
    let over = bench.call(0, Method::POST, CHAT).body(body.to_string());
    assert_eq!(over.send().await.unwrap().status(), 413);
    let text = raw(bench.daemons[0].caller_address(), &format!(
        "POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 99999999\r\n\r\n0123456789abcdef"
    )).await;
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
}

/// Sends text and reads until the other end has answered; it never sends the rest.
async fn raw(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = vec![];
    while !String::from_utf8_lossy(&answer).contains('}') {
        if stream.read_buf(&mut answer).await.unwrap() == 0 {
            break;
        }
    }
    String::from_utf8_lossy(&answer).into()
}

fn assert_no_target_saw_a_key(bench: &Bench) {
    let engines = bench.engines.iter().flat_map(|engine| engine.log().seen);
    let services = bench.services.iter().flat_map(|service| service.log().seen);
    for request in engines.chain(services) {
        assert!(
            !request.contains(KEY) && !request.contains(OTHER_KEY),
            "{}",
            request.path
        );
    }
}
