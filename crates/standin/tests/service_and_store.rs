//! The plain service and the weight store speak docs/TARGETS.md.

mod support;

use bluebellstage_standin::platform::{Platform, PlatformConfig};
use bluebellstage_standin::service::{Service, ServiceConfig};
use bluebellstage_standin::store::{Store, StoreConfig, StoreOutcome};
use bluebellstage_standin::{CallKind, Fault, FaultKind};
use reqwest::Method;
use serde_json::json;
use support::Caller;

#[tokio::test]
async fn service_counts_its_runs_and_keeps_their_names() {
    let service = Service::start(ServiceConfig::default())
        .await
        .expect("a free port");
    let caller = Caller::new(service.address());
    let file = || {
        caller
            .request(Method::POST, "/court/filings?district=3")
            .header("Idempotency-Key", "filing-1")
            .header("X-Request-Id", "r1")
            .json(&json!({"case": 7}))
            .send()
    };
    let (status, first) = Caller::answer(file().await).await;
    assert_eq!((status, &first["run"]["number"]), (200, &json!(1)));
    assert_eq!(first["run"]["path"], "/court/filings");
    let (_, second) = Caller::answer(file().await).await;
    assert_eq!(second["run"]["number"], 2);

    let log = service.log();
    assert!(
        log.runs
            .iter()
            .all(|run| run.idempotency_key.as_deref() == Some("filing-1"))
    );
    assert!(log.seen.iter().all(|seen| seen.contains("district=3")));
}

#[tokio::test]
async fn service_that_loses_its_answer_has_run() {
    let service = Service::start(ServiceConfig::default())
        .await
        .expect("a free port");
    let caller = Caller::new(service.address());
    service
        .faults()
        .add(Fault::new(CallKind::Call, FaultKind::LoseAnswer).times(1));
    let lost = caller.post("/filings", &json!({})).await;
    lost.expect_err("the answer is lost");
    assert_eq!(service.log().runs.len(), 1);

    service
        .faults()
        .add(Fault::new(CallKind::Call, FaultKind::Refuse).times(1));
    let (status, _) = Caller::answer(caller.post("/filings", &json!({})).await).await;
    assert_eq!(status, 503);
    assert_eq!(service.log().runs.len(), 1);
}

#[tokio::test]
async fn service_puts_its_pod_to_the_platform() {
    let platform = Platform::start(PlatformConfig {
        list_lag: std::time::Duration::ZERO,
        ..PlatformConfig::default()
    })
    .await
    .expect("a free port");
    let service = Service::start(ServiceConfig {
        platform: Some(platform.address()),
        ..ServiceConfig::default()
    })
    .await
    .expect("a free port");
    let caller = Caller::new(platform.address());
    let list = "/api/v1/namespaces/ns/pods?labelSelector=app%3Dbluebellstage-target";
    let (_, list) = Caller::answer(caller.get(list).await).await;
    let annotations = &list["items"][0]["metadata"]["annotations"];
    assert_eq!(annotations["bluebellstage/service"], "filings");
    assert_eq!(
        annotations["bluebellstage/port"],
        service.address().port().to_string()
    );
}

#[tokio::test]
async fn store_refuses_loads_over_its_rate() {
    let store = Store::start(StoreConfig {
        loads_per_second: 2,
        load_ms: 1,
        ..StoreConfig::default()
    })
    .await
    .expect("a free port");
    let caller = Caller::new(store.address());
    let mut refused = 0;
    // At two loads a second, ten at once can't all be within the rate on any machine.
    let reads = (0..10).map(|version| {
        let caller = &caller;
        async move { caller.get(&format!("/weights/a/{version}")).await }
    });
    for response in futures::future::join_all(reads).await {
        let (status, _) = Caller::answer(response).await;
        refused += usize::from(status == 429);
    }
    let log = store.log();
    let over = log
        .reads
        .iter()
        .filter(|read| read.outcome == StoreOutcome::OverRate);
    assert!(refused > 0);
    assert_eq!(over.count(), refused);
    assert_eq!(log.reads.len(), 10);
}
