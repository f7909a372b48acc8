//! Targets that break off, restart, leave or lose their answers, with real processes before them.
//!
//! Each test is bounded in time and ends with what must always hold, by what the fakes saw.

mod support;

use std::time::Duration;

use bluebellstage_core::engines::GroupSummary;
use bluebellstage_standin::caller::Outcome;
use bluebellstage_standin::{CallKind, Fault, FaultKind};
use serde_json::{Value, json};
use support::bench::{Bench, all_answered, ask, bounded};
use support::content::{KEY, draft, filing};
use support::traffic::Traffic;

/// Pause between two looks at a state that is waited for.
const POLL: Duration = Duration::from_millis(50);

/// A caller sees one whole answer although the engine's connection was cut in its middle: the
/// instance resumes the stream from the last token that it delivered, or the answer would have a
/// gap or a doubled piece.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_streams_arrive_whole() {
    bounded(async {
        let bench = Bench::start("cut").await;
        for (number, engine) in bench.fleet.engines.iter().enumerate() {
            let cut = Fault::new(CallKind::Generate, FaultKind::Cut);
            let after = 3 + 4 * u64::try_from(number).expect("a few engines");
            engine
                .fault(&cut.after_tokens(after))
                .await
                .expect("a fault");
        }
        let mut traces = Vec::new();
        for number in 0..12 {
            let work = draft(number, &format!("Plan {number}."), 40);
            traces.push(ask(&bench, KEY, work).await);
        }
        all_answered(&traces);
        bench.finish(&traces).await;
    })
    .await;
}

/// A caller sees one whole answer although its engine restarted in mid-answer and forgot the stream:
/// the draft goes on at another engine, on the same adapter, from what was delivered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_engines_leave_whole_answers() {
    bounded(async {
        let bench = Bench::start("restart").await;
        let traffic = Traffic::start(&bench, 6);
        for round in 0..6 {
            traffic.more(8).await;
            bench.fleet.engines[round % 3]
                .restart()
                .await
                .expect("a restart");
        }
        traffic.more(10).await;
        let traces = traffic.stop().await;
        all_answered(&traces);
        bench.finish(&traces).await;
    })
    .await;
}

/// An engine refuses new work because it is leaving. Its drafts go on elsewhere, and no caller sees
/// more of it than a moment's wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_engine_loses_no_draft() {
    bounded(async {
        let bench = Bench::start("leaving").await;
        let traffic = Traffic::start(&bench, 6);
        traffic.more(20).await;
        let leaving = &bench.fleet.engines[0];
        leaving
            .post("/control/drain", &())
            .await
            .expect("it drains");
        traffic.more(40).await;
        let traces = traffic.stop().await;
        all_answered(&traces);
        bench.finish(&traces).await;
    })
    .await;
}

/// The platform marks an engine as leaving; its list lags, and the engine itself says nothing. From
/// when the engine's home has seen it no new draft reaches the engine, or its stop would cut one off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_marked_as_leaving_gets_no_new_work() {
    bounded(async {
        let bench = Bench::start("marked").await;
        let traffic = Traffic::start(&bench, 6);
        traffic.more(20).await;
        let marked = &bench.fleet.engines[0];
        mark_as_leaving(&bench, &marked.name).await;
        while !is_seen_leaving(&bench, &marked.name).await {
            tokio::time::sleep(POLL).await;
        }
        let before = bench.engine_logs().await[0].runs.len();
        traffic.more(40).await;
        let traces = traffic.stop().await;
        assert_eq!(bench.engine_logs().await[0].runs.len(), before);
        all_answered(&traces);
        bench.finish(&traces).await;
    })
    .await;
}

async fn mark_as_leaving(bench: &Bench, name: &str) {
    let path = "/api/v1/namespaces/load/pods?labelSelector=app%3Dbluebellstage-target";
    let list: Value = bench
        .fleet
        .platform
        .get(path)
        .await
        .expect("the list of targets");
    let pods = list["items"].as_array().expect("pods");
    let found = pods.iter().find(|pod| pod["metadata"]["name"] == name);
    let mut pod = found.expect("the engine's pod").clone();
    pod["metadata"]["deletionTimestamp"] = json!("2026-01-01T00:00:00Z");
    let platform = support::Caller::new(bench.fleet.platform.address);
    let answer = platform.put(&format!("/control/pods/{name}"), &pod).await;
    assert!(answer.expect("the platform answers").status().is_success());
}

/// Whether the engine's home goes by the mark.
async fn is_seen_leaving(bench: &Bench, name: &str) -> bool {
    for instance in &bench.fleet.instances {
        let status = instance.admin.read("status").await.expect("a status");
        let groups: Vec<GroupSummary> =
            serde_json::from_value(status["groups"].clone()).expect("groups of engines");
        let schedules = groups.into_iter().filter_map(|group| group.schedule);
        let mut engines = schedules.flat_map(|schedule| schedule.engines);
        if engines.any(|engine| engine.id.as_str() == name && engine.leaving) {
            return true;
        }
    }
    false
}

/// A service files and dies before it answers. Nobody knows whether the filing ran; the caller is
/// told so, and repeats under the same key at every instance never send it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn filing_whose_answer_is_lost_stays_in_doubt() {
    bounded(async {
        let bench = Bench::start("doubt").await;
        for service in &bench.fleet.services {
            let lose = Fault::new(CallKind::Call, FaultKind::LoseAnswer);
            service.fault(&lose).await.expect("a fault");
        }
        let attempt = bench.caller(0).attempt(KEY, &filing("filing-lost")).await;
        let Outcome::Refused(refused) = &attempt.outcome else {
            panic!("the service gave no answer: {attempt:?}");
        };
        assert_eq!(&*refused.ran, "unknown");
        for service in &bench.fleet.services {
            service.heal().await.expect("the service answers again");
        }
        for index in 0..3 {
            let work = filing("filing-lost");
            let again = bench.caller_of(index).attempt(KEY, &work).await;
            let Outcome::Refused(refused) = &again.outcome else {
                panic!("in doubt: {again:?}");
            };
            assert_eq!((&*refused.kind, &*refused.ran), ("in_doubt", "unknown"));
        }
        assert_eq!(bench.service_runs().await.get("filing-lost"), Some(&1));
        bench.finish(&[]).await;
    })
    .await;
}
