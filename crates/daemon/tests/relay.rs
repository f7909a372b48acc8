//! Generations, from caller to engine and back, through failures on the way.

mod support;

use std::time::Duration;

use bluebellstage_standin::engine::RunEnd;
use bluebellstage_standin::{CallKind, Fault, FaultKind};
use reqwest::Method;
use serde_json::{Value, json};
use support::{BenchBuilder, Events, KEY, chat, expected, quick_engine};

/// For how long a sound engine answers nothing, in milliseconds.
const ENGINE_SILENCE_MS: u64 = 3_000;

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_arrives_whole_through_any_instance() {
    let bench = BenchBuilder::instances(3)
        .engine(quick_engine("e1"))
        .start()
        .await;
    for at in 0..3 {
        let answer = bench.chat(at, &chat("letters", 40, true)).await;
        assert_eq!(answer.status(), 200);
        let events = Events::parse(&answer.text().await.unwrap());
        assert_eq!(events.text, expected("letters@2", 40));
        assert_eq!(events.ids, (1..=40).collect::<Vec<_>>());
        assert!(events.done);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_not_streamed_is_one_json_document() {
    let bench = BenchBuilder::instances(1)
        .engine(quick_engine("e1"))
        .start()
        .await;
    let answer = bench.chat(0, &chat("letters@1", 12, false)).await;
    assert_eq!(answer.status(), 200);
    let answer: Value = answer.json().await.unwrap();
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected("letters@1", 12)
    );
    assert_eq!(answer["usage"]["completion_tokens"], 12);
    assert_eq!(answer["model"], "letters@1");
}

/// A caller would see a draft with a hole or a doubled part: the connection to the engine breaks
/// after seven tokens, twice, while the engine goes on. The rest is asked for by number.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_connection_to_the_engine_is_resumed_without_a_gap() {
    let bench = BenchBuilder::instances(1)
        .engine(quick_engine("e1"))
        .start()
        .await;
    let engine = &bench.engines[0];
    engine.faults().add(
        Fault::new(CallKind::Generate, FaultKind::Cut)
            .after_tokens(7)
            .times(1),
    );
    engine.faults().add(
        Fault::new(CallKind::Resume, FaultKind::Cut)
            .after_tokens(7)
            .times(1),
    );
    let answer = bench.chat(0, &chat("letters", 60, true)).await;
    let events = Events::parse(&answer.text().await.unwrap());
    assert_eq!(events.text, expected("letters@2", 60));
    assert_eq!(events.ids, (1..=60).collect::<Vec<_>>());
    assert!(events.done);
    assert_eq!(engine.log().runs.len(), 1);
}

/// Guards against a run that is cancelled because its engine is silent for seconds after the connection broke.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_connection_to_an_engine_that_is_silent_for_seconds_is_resumed() {
    let engine = bluebellstage_standin::engine::EngineConfig {
        stream_kept: Duration::from_hours(1),
        ..quick_engine("e1")
    };
    let bench = BenchBuilder::instances(1).engine(engine).start().await;
    let engine = &bench.engines[0];
    engine.faults().add(
        Fault::new(CallKind::Generate, FaultKind::Cut)
            .after_tokens(7)
            .times(1),
    );
    let silent = Fault::new(CallKind::Resume, FaultKind::Delay).times(1);
    engine.faults().add(silent.delay_ms(ENGINE_SILENCE_MS));
    let answer = bench.chat(0, &chat("letters", 60, true)).await;
    let events = Events::parse(&answer.text().await.unwrap());
    assert_eq!(events.text, expected("letters@2", 60));
    assert_eq!(events.ids, (1..=60).collect::<Vec<_>>());
    assert!(events.done);
    assert_eq!(engine.log().runs.len(), 1);
}

/// A parent at a counter would see a clause stop in mid-sentence: the engine restarts and forgets
/// what it ran. The answer goes on at another engine from the token after the last delivered one.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_goes_on_elsewhere_when_its_engine_restarts() {
    let slow = |name| bluebellstage_standin::engine::EngineConfig {
        decode: Duration::from_millis(5),
        ..quick_engine(name)
    };
    let bench = BenchBuilder::instances(1)
        .engine(slow("e1"))
        .engine(slow("e2"))
        .start()
        .await;
    let mut answer = bench.chat(0, &chat("letters", 200, true)).await;
    let mut body = answer.chunk().await.unwrap().unwrap().to_vec();
    let has_run = |at: usize| {
        bench.engines[at]
            .log()
            .runs
            .iter()
            .any(|run| run.produced > 10)
    };
    bench.until(|| async { has_run(0) || has_run(1) }).await;
    let first = usize::from(!has_run(0));
    bench.engines[first].restart();
    while let Some(chunk) = answer.chunk().await.unwrap() {
        body.extend_from_slice(&chunk);
    }
    let events = Events::parse(std::str::from_utf8(&body).unwrap());
    assert_eq!(events.error, None);
    assert_eq!(events.text, expected("letters@2", 200));
    assert_eq!(events.ids, (1..=200).collect::<Vec<_>>());
    assert!(events.done);
}

/// A workspace would read a draft in another version's voice: an engine's slot holds other weights
/// than the order named. What ran stands in each event, and nothing of it reaches the caller.
#[tokio::test(flavor = "multi_thread")]
async fn what_another_adapter_wrote_does_not_reach_the_caller() {
    let bench = BenchBuilder::instances(1)
        .engine(quick_engine("e1"))
        .start()
        .await;
    let warm = bench.chat(0, &chat("letters", 2, true)).await;
    assert!(Events::parse(&warm.text().await.unwrap()).done);
    bench.engines[0].swap_weights("letters@2", "letters@1");
    let answer = bench.chat(0, &chat("letters", 20, true)).await;
    let events = Events::parse(&answer.text().await.unwrap());
    // Loaded anew, or refused: never the other version's text.
    assert!(expected("letters@2", 20).starts_with(&events.text));
    assert!(events.done || events.error.is_some());
}

/// An engine would go on writing for a caller who hung up: the connection closes in mid-stream.
/// Engines keep a stream whose connection closed, so only a cancel ends the work.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_caller_who_hung_up_is_cancelled() {
    let engine = bluebellstage_standin::engine::EngineConfig {
        stream_kept: Duration::from_hours(1),
        decode: Duration::from_millis(5),
        ..quick_engine("e1")
    };
    let bench = BenchBuilder::instances(1).engine(engine).start().await;
    let mut answer = bench.chat(0, &chat("letters", 5_000, true)).await;
    answer.chunk().await.unwrap().unwrap();
    drop(answer);
    let is_cancelled = || {
        let runs = bench.engines[0].log().runs;
        runs.iter().any(|run| run.end == Some(RunEnd::Cancelled))
    };
    bench.until(|| async { is_cancelled() }).await;
    bench
        .until(|| async { bench.status(0).await["requests"] == 0 })
        .await;
}

/// The same while no token flows: the engine is frozen, so no write to the caller fails. A comment
/// is written to the stream from time to time; for an answer that is not streamed the kernel's
/// table of connections says it.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_hangs_up_is_noticed_while_no_token_flows() {
    for stream in [true, false] {
        let bench = BenchBuilder::instances(1)
            .engine(quick_engine("e1"))
            .start()
            .await;
        let warm = bench.chat(0, &chat("letters", 2, true)).await;
        assert!(Events::parse(&warm.text().await.unwrap()).done);
        bench.engines[0]
            .faults()
            .add(Fault::new(CallKind::Generate, FaultKind::Freeze));
        let call = bench.call(0, Method::POST, "/v1/chat/completions");
        let sending = tokio::spawn(call.json(&chat("letters", 50, stream)).send());
        bench
            .until(|| async { bench.status(0).await["requests"] == 1 })
            .await;
        sending.abort();
        bench
            .until(|| async { bench.status(0).await["requests"] == 0 })
            .await;
    }
}

/// A clerk whose key was withdrawn would go on reading: the stream was open before. It ends with an
/// error, and the engine's work with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_ends_its_open_stream() {
    let engine = bluebellstage_standin::engine::EngineConfig {
        decode: Duration::from_millis(5),
        stream_kept: Duration::from_hours(1),
        ..quick_engine("e1")
    };
    let bench = BenchBuilder::instances(2).engine(engine).start().await;
    let mut answer = bench.chat(1, &chat("letters", 5_000, true)).await;
    answer.chunk().await.unwrap().unwrap();
    assert_eq!(bench.withdraw("k-kochi").await, 200);
    let events = Events::parse(&answer.text().await.unwrap());
    assert_eq!(events.error.unwrap()["kind"], "key_refused");
    assert!(!events.done);
    let ends = || {
        bench.engines[0]
            .log()
            .runs
            .iter()
            .filter_map(|run| run.end)
            .collect::<Vec<_>>()
    };
    bench
        .until(|| async { ends() == [RunEnd::Cancelled] })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn only_named_fields_reach_the_engine_and_never_the_key() {
    let bench = BenchBuilder::instances(1)
        .engine(quick_engine("e1"))
        .start()
        .await;
    let mut body = chat("letters", 3, true);
    body["temperature"] = json!(0.5);
    body["user"] = json!("someone");
    body["authorization"] = json!("Bearer of something");
    let call = bench
        .call(0, Method::POST, "/v1/chat/completions")
        .json(&body);
    let call = call.header("X-Api-Key", KEY).header("Cookie", KEY);
    assert_eq!(call.send().await.unwrap().status(), 200);
    let log = bench.engines[0].log();
    assert!(log.seen.iter().all(|request| !request.contains(KEY)));
    let generated = log
        .seen
        .iter()
        .find(|request| &*request.path == "/v1/chat/completions");
    let sent: Value = serde_json::from_str(&generated.unwrap().body).unwrap();
    let mut names: Vec<_> = sent.as_object().unwrap().keys().collect();
    names.sort_unstable();
    insta::assert_json_snapshot!(names, @r#"
    [
      "max_tokens",
      "messages",
      "model",
      "priority",
      "stream",
      "temperature"
    ]
    "#);
}
