//! Planned stops.

mod support;

use std::time::Duration;

use bluebellstage_standin::engine::EngineConfig;
use reqwest::Method;
use support::{BenchBuilder, Events, chat, expected, quick_engine};

/// The tokens of an answer that outlasts the HTTP library's own shutdown, which closes connections
/// five seconds after it began.
const LONG: u64 = 140;

fn slow(name: &str) -> EngineConfig {
    EngineConfig {
        decode: Duration::from_millis(50),
        ..quick_engine(name)
    }
}

/// A caseworker would lose the end of a summary when instances are rolled: the stream still runs
/// when the stop is asked for, longer than the HTTP library's shutdown would wait.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_stream() {
    let mut bench = BenchBuilder::instances(2).engine(slow("e1")).start().await;
    let mut answer = bench.chat(1, &chat("letters", LONG, true)).await;
    let mut body = answer.chunk().await.unwrap().unwrap().to_vec();
    let stopped = bench
        .admin(1, Method::POST, "/admin/v1/stop")
        .send()
        .await
        .unwrap();
    assert_eq!(stopped.status(), 202);
    let stopping = bench.daemons.remove(1);
    let waiting = tokio::spawn(stopping.wait());
    while let Some(chunk) = answer.chunk().await.unwrap() {
        body.extend_from_slice(&chunk);
    }
    let events = Events::parse(std::str::from_utf8(&body).unwrap());
    assert_eq!(events.text, expected("letters@2", 140));
    assert!(events.done);
    waiting.await.unwrap();
}

/// A caller that keeps the answer of `/v1/entry` for its stated time still comes to an instance that
/// began to stop meanwhile: it is served until that time has passed.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_instance_is_named_no_longer_and_serves_those_who_come() {
    let bench = BenchBuilder::instances(2)
        .engine(quick_engine("e1"))
        .start()
        .await;
    let address = bench.daemons[1].caller_address().to_string();
    bench.daemons[1].stop();
    let late = bench.chat(1, &chat("letters", 5, true)).await;
    let events = Events::parse(&late.text().await.unwrap());
    assert_eq!(events.text, expected("letters@2", 5));
    let entry = || async {
        let entry = bench
            .call(0, Method::GET, "/v1/entry?model=letters")
            .send()
            .await
            .unwrap();
        entry.text().await.unwrap()
    };
    bench
        .until(|| async { !entry().await.contains(&address) })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_instance_stops_and_leaves_the_map() {
    let mut bench = BenchBuilder::instances(2).start().await;
    let stopping = bench.daemons.remove(1);
    stopping.stop();
    stopping.wait().await;
    let members = bench.status(0).await["map"]["members"]
        .as_array()
        .unwrap()
        .len();
    assert_eq!(members, 1);
}
