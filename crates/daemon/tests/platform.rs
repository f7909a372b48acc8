//! The platform refuses, loses answers, or is away.

mod support;

use std::time::Duration;

use bluebellstage_standin::{CallKind, Fault, FaultKind};
use reqwest::{Method, Response};
use serde_json::{Value, json};
use support::{Bench, BenchBuilder, Events, chat, quick_engine};
use tokio::time::sleep;

/// Past the time for which a proof of standing from before holds.
const PAST_STANDING: Duration = Duration::from_secs(4);

async fn raise_rate(bench: &Bench, rate: u64) -> Response {
    let entry = json!({ "id": "kochi", "rate": rate, "burst": 1_000_000 });
    let change = json!({
        "id": format!("rate-{rate}"),
        "expected": null,
        "changes": [{ "put_workspace": entry }],
    });
    let call = bench
        .admin(0, Method::POST, "/admin/v1/changes")
        .json(&change);
    call.send().await.unwrap()
}

async fn revision(bench: &Bench) -> u64 {
    let status = bench.status(0).await;
    status["catalogue"]["revision"].as_u64().unwrap()
}

async fn file(bench: &Bench, at: usize, name: &str) -> (u16, Value) {
    let call = bench.call(at, Method::POST, "/v1/services/filings/x");
    let answer = call
        .header("Idempotency-Key", name)
        .body("{}")
        .send()
        .await
        .unwrap();
    (answer.status().as_u16(), answer.json().await.unwrap())
}

/// An operator would be told that nothing was changed, and the change be in force: the platform did
/// the writes and lost the answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_answers_are_lost_applies_once_and_is_said_to() {
    let bench = BenchBuilder::instances(1).start().await;
    let before = revision(&bench).await;
    bench
        .platform
        .faults()
        .add(Fault::new(CallKind::Put, FaultKind::LoseAnswer).times(2));
    assert_eq!(raise_rate(&bench, 2_000_000).await.status(), 200);
    assert_eq!(revision(&bench).await, before + 1);
    assert_eq!(raise_rate(&bench, 2_000_001).await.status(), 200);
    assert_eq!(revision(&bench).await, before + 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_the_platform_refuses_is_said_to_be_undone_and_is() {
    let bench = BenchBuilder::instances(1).start().await;
    let before = revision(&bench).await;
    bench
        .platform
        .faults()
        .add(Fault::new(CallKind::Put, FaultKind::Refuse));
    let refused = raise_rate(&bench, 2_000_000).await;
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.text().await.unwrap(), "\"unavailable\"");
    bench.platform.faults().clear();
    assert_eq!(revision(&bench).await, before);
    assert_eq!(raise_rate(&bench, 2_000_001).await.status(), 200);
    assert_eq!(revision(&bench).await, before + 1);
}

/// A counter would stand still for as long as the platform is away. Drafts and lookups go on past
/// the last proof of standing, by a majority's word; a filing can't be recorded, so it is refused
/// as not run, and runs once the platform is back.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_drafts_and_lookups_go_on_and_filings_wait() {
    let bench = BenchBuilder::instances(3)
        .engine(quick_engine("e1"))
        .start()
        .await;
    assert_eq!(file(&bench, 0, "before").await.0, 200);
    bench
        .platform
        .faults()
        .add(Fault::new(CallKind::All, FaultKind::Refuse));
    sleep(PAST_STANDING).await;
    for at in 0..3 {
        let draft = bench.chat(at, &chat("letters", 5, true)).await;
        assert_eq!(draft.status(), 200);
        assert!(Events::parse(&draft.text().await.unwrap()).done);
        let lookup = bench
            .call(at, Method::GET, "/v1/services/filings/status")
            .send();
        assert_eq!(lookup.await.unwrap().status(), 200);
        let (status, refused) = file(&bench, at, "during").await;
        assert_eq!(status, 503);
        assert_eq!(refused["error"]["kind"], "platform_unavailable");
        assert_eq!(refused["error"]["ran"], "no");
    }
    bench.platform.faults().clear();
    bench
        .until(|| async { file(&bench, 1, "during").await.0 == 200 })
        .await;
    let runs = bench.services[0].log().runs;
    let filed = runs
        .iter()
        .filter(|run| run.idempotency_key.as_deref() == Some("during"));
    assert_eq!(filed.count(), 1);
}
