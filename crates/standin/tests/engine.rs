//! The engine speaks docs/TARGETS.md.

mod support;

use std::time::Duration;

use bluebellstage_standin::engine::{Answer, Engine, EngineConfig, OrderResult, RunEnd};
use bluebellstage_standin::store::{Store, StoreConfig};
use bluebellstage_standin::{CallKind, Fault, FaultKind};
use reqwest::{Method, Response};
use serde_json::{Value, json};
use support::{Caller, Events, generation, read_broken};

const CHAT: &str = "/v1/chat/completions";

fn quick() -> EngineConfig {
    EngineConfig {
        prefill_per_token: Duration::from_micros(1),
        decode: Duration::from_millis(1),
        report_lag: Duration::ZERO,
        slots: 2,
        ..EngineConfig::default()
    }
}

async fn engine(cfg: EngineConfig) -> (Engine, Caller) {
    let engine = Engine::start(cfg).await.expect("a free port");
    let caller = Caller::new(engine.address());
    (engine, caller)
}

async fn order(caller: &Caller, order: &str, adapter: &str, fencing: u64) -> (u16, Value) {
    let response = caller
        .request(Method::POST, &format!("/v1/{order}_lora_adapter"))
        .header("X-Fencing-Token", fencing)
        .json(&json!({"lora_name": adapter}))
        .send()
        .await;
    Caller::answer(response).await
}

async fn generate(caller: &Caller, id: &str, body: &Value) -> reqwest::Result<Response> {
    caller
        .request(Method::POST, CHAT)
        .header("X-Request-Id", id)
        .json(body)
        .send()
        .await
}

#[tokio::test]
async fn generation_streams_the_answer_that_follows_from_adapter_and_prompt() {
    let (engine, caller) = engine(quick()).await;
    let body = generation("a@3", "a plan", 20);
    let (status, error) = Caller::answer(generate(&caller, "r1", &body).await).await;
    assert_eq!(
        (status, &error["error"]["code"]),
        (404, &json!("adapter_not_loaded"))
    );

    assert_eq!(order(&caller, "load", "a@3", 1).await.0, 200);
    let response = generate(&caller, "r2", &body).await.expect("an answer");
    let events = Events::parse(&response.text().await.expect("a whole body"));
    let answer = Answer::new("a@3", "a plan", 20);
    assert_eq!(events.text, answer.text());
    assert_eq!(events.ids, (1..=answer.len()).collect::<Vec<_>>());
    assert!(events.ran.iter().all(|ran| ran == "a@3"));
    assert!(events.done);
    assert_ne!(answer.text(), Answer::new("a@2", "a plan", 20).text());
    assert_ne!(answer.text(), Answer::new("a@3", "b plan", 20).text());

    let mut whole = body.clone();
    whole["stream"] = json!(false);
    let (_, whole) = Caller::answer(generate(&caller, "r3", &whole).await).await;
    assert_eq!(whole["choices"][0]["message"]["content"], answer.text());
    assert_eq!(whole["usage"]["completion_tokens"], answer.len());

    let log = engine.log();
    let runs = log
        .runs
        .iter()
        .map(|run| (&*run.request_id, &*run.ran, run.end));
    let complete = Some(RunEnd::Complete);
    assert_eq!(
        runs.collect::<Vec<_>>(),
        [("r2", "a@3", complete), ("r3", "a@3", complete)]
    );
}

#[tokio::test]
async fn cut_stream_resumes_without_a_gap() {
    let (engine, caller) = engine(quick()).await;
    order(&caller, "load", "a@1", 1).await;
    let cut = Fault::new(CallKind::Generate, FaultKind::Cut).after_tokens(5);
    engine.faults().add(cut.times(1));

    let body = generation("a@1", "a plan", 20);
    let response = generate(&caller, "r1", &body).await.expect("an answer");
    let (head, broken) = read_broken(response).await;
    let head = Events::parse(&head);
    assert!(broken && !head.done);
    let delivered = head.ids.len();
    assert!(delivered <= 5);
    assert_eq!(head.ids, (1..=delivered).collect::<Vec<_>>());

    let resume = caller
        .request(Method::GET, "/v1/streams/r1")
        .header("Last-Event-ID", delivered);
    let rest = resume.send().await.expect("an answer");
    let rest = Events::parse(&rest.text().await.expect("a whole body"));
    assert_eq!(rest.ids.first(), Some(&(delivered + 1)));
    assert!(rest.done);
    let answer = Answer::new("a@1", "a plan", 20);
    assert_eq!(format!("{}{}", head.text, rest.text), answer.text());
    assert_eq!(engine.log().runs.len(), 1);
}

#[tokio::test]
async fn stream_that_nobody_reads_is_dropped() {
    let (engine, caller) = engine(EngineConfig {
        stream_kept: Duration::ZERO,
        ..quick()
    })
    .await;
    order(&caller, "load", "a@1", 1).await;
    let body = generation("a@1", "a plan", 100_000);
    let response = generate(&caller, "r1", &body).await.expect("an answer");
    drop(response);
    while engine.log().runs[0].end.is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(engine.log().runs[0].end, Some(RunEnd::Abandoned));
    let (status, _) = Caller::answer(caller.get("/v1/streams/r1").await).await;
    assert_eq!(status, 404);
}

#[tokio::test]
async fn cancel_ends_the_generation() {
    let (engine, caller) = engine(quick()).await;
    order(&caller, "load", "a@1", 1).await;
    let body = generation("a@1", "a plan", 100_000);
    let response = generate(&caller, "r1", &body).await.expect("an answer");
    let (status, _) = Caller::answer(caller.delete("/v1/streams/r1").await).await;
    assert_eq!(status, 200);
    let (_, broken) = read_broken(response).await;
    assert!(broken);
    assert_eq!(engine.log().runs[0].end, Some(RunEnd::Cancelled));
    let (status, _) = Caller::answer(caller.delete("/v1/streams/r1").await).await;
    assert_eq!(status, 404);
}

#[tokio::test]
async fn urgent_goes_before_batch_inside_the_engine() {
    let (engine, caller) = engine(EngineConfig {
        max_batch: 1,
        ..quick()
    })
    .await;
    order(&caller, "load", "a@1", 1).await;
    let body = |priority: u8, tokens| {
        let mut body = generation("a@1", "a plan", tokens);
        body["priority"] = json!(priority);
        body
    };
    let first = generate(&caller, "running", &body(10, 100_000)).await;
    while engine.log().runs[0].started.is_none() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let batch = generate(&caller, "batch", &body(10, 5)).await;
    let urgent = generate(&caller, "urgent", &body(0, 5)).await;
    caller
        .delete("/v1/streams/running")
        .await
        .expect("an answer");
    for response in [batch, urgent] {
        response
            .expect("an answer")
            .text()
            .await
            .expect("a whole body");
    }
    drop(first);
    let log = engine.log();
    let ended = |id| {
        log.runs
            .iter()
            .find(|run| &*run.request_id == id)
            .and_then(|run| run.ended)
    };
    assert!(ended("urgent") < ended("batch"));
}

#[tokio::test]
async fn slots_are_few_and_free_again_after_unload() {
    let (_engine, caller) = engine(quick()).await;
    assert_eq!(order(&caller, "load", "a@1", 1).await.0, 200);
    assert_eq!(order(&caller, "load", "b@1", 1).await.0, 200);
    let (status, error) = order(&caller, "load", "c@1", 1).await;
    assert_eq!((status, &error["error"]["code"]), (409, &json!("no_slot")));
    assert_eq!(order(&caller, "unload", "a@1", 1).await.0, 200);
    let (status, error) = order(&caller, "unload", "a@1", 1).await;
    assert_eq!(
        (status, &error["error"]["code"]),
        (404, &json!("adapter_not_loaded"))
    );
    assert_eq!(order(&caller, "load", "c@1", 1).await.0, 200);
    let (_, report) = Caller::answer(caller.get("/load").await).await;
    assert_eq!(
        report,
        json!({
            "boot": 1,
            "resident": [{"id": "b", "version": 1}, {"id": "c", "version": 1}],
            "in_use": [],
            "running": 0,
            "waiting": 0,
            "prefill_tokens": 0,
            "leaving": false,
        })
    );
}

#[tokio::test]
async fn unload_of_an_adapter_in_use_breaks_its_stream_and_is_counted() {
    let (engine, caller) = engine(quick()).await;
    order(&caller, "load", "a@1", 1).await;
    let body = generation("a@1", "a plan", 100_000);
    let response = generate(&caller, "r1", &body).await.expect("an answer");
    assert_eq!(order(&caller, "unload", "a@1", 1).await.0, 200);
    let (_, broken) = read_broken(response).await;
    assert!(broken);
    assert_eq!(engine.log().violations, 1);
    assert_eq!(engine.log().runs[0].end, Some(RunEnd::Unloaded));
}

#[tokio::test]
async fn old_fencing_number_is_refused_only_by_an_engine_that_checks() {
    let (checks, caller) = engine(quick()).await;
    assert_eq!(order(&caller, "load", "a@1", 7).await.0, 200);
    let (status, error) = order(&caller, "unload", "a@1", 6).await;
    assert_eq!((status, &error["error"]["code"]), (409, &json!("fenced")));
    assert_eq!(order(&caller, "unload", "a@1", 7).await.0, 200);
    assert_eq!(checks.log().orders[1].result, OrderResult::Fenced);

    let (ignores, caller) = engine(EngineConfig {
        checks_fencing: false,
        ..quick()
    })
    .await;
    assert_eq!(order(&caller, "load", "a@1", 7).await.0, 200);
    assert_eq!(order(&caller, "unload", "a@1", 6).await.0, 200);
    assert!(ignores.log().orders[1].stale);
}

#[tokio::test]
async fn restart_breaks_off_what_runs_and_empties_the_slots() {
    let (engine, caller) = engine(quick()).await;
    order(&caller, "load", "a@1", 1).await;
    let body = generation("a@1", "a plan", 100_000);
    let response = generate(&caller, "r1", &body).await.expect("an answer");
    caller
        .post("/control/restart", &json!({}))
        .await
        .expect("an answer");
    let (_, broken) = read_broken(response).await;
    assert!(broken);
    let (_, report) = Caller::answer(caller.get("/load").await).await;
    assert_eq!(
        (&report["boot"], &report["resident"]),
        (&json!(2), &json!([]))
    );
    assert_eq!(engine.log().runs[0].end, Some(RunEnd::Restarted));
}

#[tokio::test]
async fn report_shows_swapped_weights_and_the_run_names_them() {
    let (engine, caller) = engine(quick()).await;
    order(&caller, "load", "a@2", 1).await;
    engine.swap_weights("a@2", "a@1");
    let (_, report) = Caller::answer(caller.get("/load").await).await;
    assert_eq!(report["resident"], json!([{"id": "a", "version": 1}]));
    let response = generate(&caller, "r1", &generation("a@2", "a plan", 5)).await;
    let events = Events::parse(&response.expect("an answer").text().await.expect("a body"));
    assert!(events.ran.iter().all(|ran| ran == "a@1"));
    assert_eq!(&*engine.log().runs[0].asked, "a@2");
}

#[tokio::test]
async fn draining_engine_refuses_new_work() {
    let (engine, caller) = engine(quick()).await;
    order(&caller, "load", "a@1", 1).await;
    engine.drain();
    let body = generation("a@1", "a plan", 5);
    let (status, error) = Caller::answer(generate(&caller, "r1", &body).await).await;
    assert_eq!((status, &error["error"]["code"]), (503, &json!("draining")));
    let (_, report) = Caller::answer(caller.get("/load").await).await;
    assert_eq!(report["leaving"], true);
}

#[tokio::test]
async fn load_goes_through_the_weight_store_and_fails_over_its_rate() {
    let store = Store::start(StoreConfig {
        loads_per_second: 1,
        load_ms: 1,
        ..StoreConfig::default()
    })
    .await
    .expect("a free port");
    let (engine, caller) = engine(EngineConfig {
        store: Some(store.address()),
        ..quick()
    })
    .await;
    assert_eq!(order(&caller, "load", "team/a@1", 1).await.0, 200);
    store
        .faults()
        .add(Fault::new(CallKind::Load, FaultKind::Refuse));
    let (status, error) = order(&caller, "load", "b@1", 1).await;
    assert_eq!(
        (status, &error["error"]["code"]),
        (502, &json!("load_failed"))
    );
    let reads: Vec<_> = store
        .log()
        .reads
        .into_iter()
        .map(|read| read.adapter)
        .collect();
    assert_eq!(reads, ["team/a@1".into()]);
    assert_eq!(engine.log().loads, 1);
}

/// A caller sees one answer although its engine died half-way: another engine is asked to go on
/// from the tokens that were delivered, with what is left of the limit.
#[tokio::test]
async fn answer_goes_on_from_what_was_delivered_elsewhere() {
    let (engine, caller) = engine(quick()).await;
    order(&caller, "load", "a@1", 1).await;
    for prompt in ["a plan", "b plan", "c plan", "d plan", "e plan"] {
        let answer = Answer::new("a@1", prompt, 40);
        let begun: String = (0..10).map(|index| answer.token(index)).collect();
        let rest: String = (10..answer.len())
            .map(|index| answer.token(index))
            .collect();

        let mut chat = generation("a@1", prompt, 30);
        let messages = chat["messages"].as_array_mut().expect("a list");
        messages.push(json!({"role": "assistant", "content": begun}));
        chat["continue_final_message"] = json!(true);
        let response = generate(&caller, "chat", &chat).await.expect("an answer");
        let events = Events::parse(&response.text().await.expect("a whole body"));
        assert_eq!((&events.text, events.ids[0]), (&rest, 1));

        let text = json!({"model": "a@1", "prompt": format!("{prompt}{begun}"), "max_tokens": 30});
        let response = caller.post("/v1/completions", &text).await;
        let (_, whole) = Caller::answer(response).await;
        assert_eq!(whole["choices"][0]["text"], rest);
    }
    assert!(engine.log().runs.iter().all(|run| run.begun == 10));
}
