//! The platform speaks docs/TARGETS.md.

mod support;

use std::time::Duration;

use bluebellstage_standin::platform::{Platform, PlatformConfig};
use bluebellstage_standin::{CallKind, Fault, FaultKind, Pod};
use serde_json::json;
use support::Caller;

const OBJECTS: &str = "/api/v1/namespaces/ns/configmaps";
const INSTANCES: &str =
    "/api/v1/namespaces/ns/pods?labelSelector=app%3Dbluebellstage&resourceVersion=0";

async fn platform() -> (Platform, Caller) {
    let cfg = PlatformConfig {
        list_lag: Duration::ZERO,
        ..PlatformConfig::default()
    };
    let platform = Platform::start(cfg).await.expect("a free port");
    let caller = Caller::new(platform.address());
    (platform, caller)
}

fn object(name: &str, version: Option<&str>, value: &str) -> serde_json::Value {
    json!({"metadata": {"name": name, "resourceVersion": version}, "data": {"value": value}})
}

#[tokio::test]
async fn object_is_created_once_and_updated_only_at_its_version() {
    let (_platform, caller) = platform().await;
    let path = format!("{OBJECTS}/map");

    let (status, _) = Caller::answer(caller.get(&path).await).await;
    assert_eq!(status, 404);
    let (status, created) =
        Caller::answer(caller.post(OBJECTS, &object("map", None, "a")).await).await;
    assert_eq!((status, &created["data"]["value"]), (201, &json!("a")));
    let (status, _) = Caller::answer(caller.post(OBJECTS, &object("map", None, "b")).await).await;
    assert_eq!(status, 409);

    let version = created["metadata"]["resourceVersion"].as_str();
    let (status, updated) =
        Caller::answer(caller.put(&path, &object("map", version, "c")).await).await;
    assert_eq!(status, 200);
    assert_ne!(updated["metadata"]["resourceVersion"].as_str(), version);
    let (status, _) = Caller::answer(caller.put(&path, &object("map", version, "d")).await).await;
    assert_eq!(status, 409);
    let (_, read) = Caller::answer(caller.get(&path).await).await;
    assert_eq!(read["data"]["value"], "c");

    let (status, _) = Caller::answer(caller.delete(&path).await).await;
    assert_eq!(status, 200);
    let (status, _) = Caller::answer(caller.put(&path, &object("map", version, "e")).await).await;
    assert_eq!(status, 404);
}

#[tokio::test]
async fn object_over_a_megabyte_is_refused() {
    let (_platform, caller) = platform().await;
    let limit = 1_048_576;

    let largest = object("page", None, &"x".repeat(limit));
    let (status, _) = Caller::answer(caller.post(OBJECTS, &largest).await).await;
    assert_eq!(status, 201);
    let larger = object("page-2", None, &"x".repeat(limit + 1));
    let (status, _) = Caller::answer(caller.post(OBJECTS, &larger).await).await;
    assert_eq!(status, 413);
}

#[tokio::test]
async fn watch_streams_changes_after_its_version_and_counts_as_one_call() {
    let (platform, caller) = platform().await;
    Caller::answer(caller.post(OBJECTS, &object("a", None, "1")).await).await;
    Caller::answer(caller.post(OBJECTS, &object("b", None, "1")).await).await;

    let watch = format!("{OBJECTS}?watch=true&resourceVersion=1&timeoutSeconds=30");
    let mut watch = caller.get(&watch).await.expect("a watch");
    let first = watch.chunk().await.expect("open").expect("a line");
    let first: serde_json::Value = serde_json::from_slice(&first).expect("one line");
    assert_eq!(first["type"], "ADDED");
    assert_eq!(first["object"]["metadata"]["name"], "b");

    Caller::answer(caller.delete(&format!("{OBJECTS}/a")).await).await;
    let second = watch.chunk().await.expect("open").expect("a line");
    let second: serde_json::Value = serde_json::from_slice(&second).expect("one line");
    assert_eq!(second["type"], "DELETED");
    assert_eq!(
        second["object"]["metadata"],
        json!({"name": "a", "resourceVersion": "3"})
    );

    let calls = platform.calls();
    assert_eq!(
        (calls.create, calls.delete, calls.watch, calls.total()),
        (2, 1, 1, 4)
    );
}

#[tokio::test]
async fn watch_from_a_forgotten_version_is_gone() {
    let cfg = PlatformConfig {
        kept_changes: 1,
        ..PlatformConfig::default()
    };
    let platform = Platform::start(cfg).await.expect("a free port");
    let caller = Caller::new(platform.address());
    for name in ["a", "b", "c"] {
        Caller::answer(caller.post(OBJECTS, &object(name, None, "1")).await).await;
    }
    let old = format!("{OBJECTS}?watch=true&resourceVersion=1&timeoutSeconds=1");
    let (status, _) = Caller::answer(caller.get(&old).await).await;
    assert_eq!(status, 410);
}

#[tokio::test]
async fn list_lags_behind_the_pods() {
    let (platform, caller) = platform().await;
    platform.put_pod(Pod::instance("one", 1));
    platform.put_pod(Pod::target("engine-1", 2, "a", "engine"));
    let (_, list) = Caller::answer(caller.get(INSTANCES).await).await;
    assert_eq!(list["items"].as_array().map(Vec::len), Some(1));

    let note = json!({"metadata": {"annotations": {"bluebellstage/incarnation": "7"}}});
    let path = "/api/v1/namespaces/ns/pods/one";
    let patched = caller.send(reqwest::Method::PATCH, path, &note).await;
    assert_eq!(Caller::answer(patched).await.0, 200);
    let (_, list) = Caller::answer(caller.get(INSTANCES).await).await;
    let annotations = &list["items"][0]["metadata"]["annotations"];
    assert_eq!(annotations["bluebellstage/incarnation"], "7");
    assert_eq!(
        list["items"][0]["metadata"]["deletionTimestamp"],
        json!(null)
    );

    // With a lag longer than the test, the list shows the time before the first pod.
    platform.set_list_lag(Duration::from_hours(1));
    let (_, list) = Caller::answer(caller.get(INSTANCES).await).await;
    assert_eq!(list["items"], json!([]));
}

#[tokio::test]
async fn probe_drops_an_instance_whose_port_refuses() {
    let cfg = PlatformConfig {
        list_lag: Duration::ZERO,
        probe: Some(Duration::from_millis(10)),
        ..PlatformConfig::default()
    };
    let platform = Platform::start(cfg).await.expect("a free port");
    let caller = Caller::new(platform.address());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let alive = listener.local_addr().expect("bound").port();
    let freed = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let gone = freed.local_addr().expect("bound").port();
    drop(freed);
    platform.put_pod(Pod::instance("alive", alive));
    platform.put_pod(Pod::instance("gone", gone));

    loop {
        let (_, list) = Caller::answer(caller.get(INSTANCES).await).await;
        let names: Vec<_> = list["items"]
            .as_array()
            .expect("a list")
            .iter()
            .map(|pod| pod["metadata"]["name"].as_str().expect("a name").to_owned())
            .collect();
        if names == ["alive"] {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn fault_refuse_writes_nothing_and_lose_answer_writes() {
    let (platform, caller) = platform().await;
    platform
        .faults()
        .add(Fault::new(CallKind::Put, FaultKind::Refuse).times(1));
    let (status, _) = Caller::answer(caller.post(OBJECTS, &object("a", None, "1")).await).await;
    assert_eq!(status, 503);
    let (status, _) = Caller::answer(caller.get(&format!("{OBJECTS}/a")).await).await;
    assert_eq!(status, 404);

    platform
        .faults()
        .add(Fault::new(CallKind::Put, FaultKind::LoseAnswer).times(1));
    let lost = caller.post(OBJECTS, &object("a", None, "1")).await;
    assert!(
        lost.is_err(),
        "the connection closes without an answer: {lost:?}"
    );
    let (status, _) = Caller::answer(caller.get(&format!("{OBJECTS}/a")).await).await;
    assert_eq!(status, 200);
}

#[tokio::test]
async fn fault_freeze_holds_calls_until_faults_are_deleted() {
    let (platform, caller) = platform().await;
    let freeze =
        json!({"calls": "get", "fault": "freeze", "delay_ms": 0, "after_tokens": 0, "count": null});
    let (status, _) = Caller::answer(caller.post("/control/faults", &freeze).await).await;
    assert_eq!(status, 200);
    let path = format!("{OBJECTS}/a");
    let frozen = tokio::time::timeout(Duration::from_millis(100), caller.get(&path)).await;
    assert!(frozen.is_err(), "no answer while frozen");

    let held = caller.get(&path);
    let thaw = async {
        tokio::task::yield_now().await;
        caller.delete("/control/faults").await
    };
    let (held, thaw) = tokio::join!(held, thaw);
    assert_eq!(Caller::answer(thaw).await.0, 200);
    assert_eq!(Caller::answer(held).await.0, 404);
    assert_eq!(platform.calls().get, 2);
}

#[tokio::test]
async fn log_keeps_headers_query_and_body() {
    let (platform, caller) = platform().await;
    let request = caller
        .request(reqwest::Method::POST, &format!("{OBJECTS}?dry=no"))
        .header("x-note", "in-header")
        .json(&object("a", None, "in-body"));
    request.send().await.expect("an answer");
    let log = platform.log();
    let [seen] = &*log.seen else {
        panic!("one request: {log:?}");
    };
    for needle in ["in-header", "in-body", "dry=no", "/configmaps"] {
        assert!(seen.contains(needle), "{needle}");
    }
    assert!(!seen.contains("elsewhere"));
}
