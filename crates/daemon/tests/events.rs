//! The catalogue of log events, and that neither log, dump nor metrics hold a key or a body.

mod support;

use std::collections::BTreeSet;
use std::sync::Mutex;

use bluebellstage_daemon::LogEvent;
use log::kv::{Key, Value, VisitSource};
use reqwest::Method;
use support::{BenchBuilder, KEY, OTHER_KEY, TOKEN, chat, quick_engine};

#[test]
fn the_docs_list_every_event_with_number_level_and_fields() {
    let docs = include_str!("../../../docs/EVENTS.md");
    let rows: Vec<&str> = docs
        .lines()
        .filter(|line| line.starts_with("| BS") && !line.starts_with("| BS3"))
        .collect();
    for event in LogEvent::ALL {
        let fields: Vec<_> = event
            .fields()
            .iter()
            .map(|field| format!("`{field}`"))
            .collect();
        let start = format!(
            "| BS{} | {} | {} | {} | ",
            event.code(),
            event.level(),
            event.summary(),
            fields.join(", ")
        );
        let listed = rows.iter().filter(|row| row.starts_with(&start));
        assert_eq!(
            listed.count(),
            1,
            "docs/EVENTS.md lacks a row that begins with: {start}"
        );
    }
    assert_eq!(
        rows.len(),
        LogEvent::ALL.len(),
        "docs/EVENTS.md lists an event that is not there"
    );
}

#[test]
fn no_number_is_used_twice() {
    let codes: BTreeSet<_> = LogEvent::ALL.iter().map(|event| event.code()).collect();
    assert_eq!(codes.len(), LogEvent::ALL.len());
}

#[test]
fn every_event_is_written_somewhere() {
    let mut sources = String::new();
    read_sources(std::path::Path::new("src"), &mut sources);
    let written: String = sources.split_whitespace().collect();
    for event in LogEvent::ALL {
        let call = format!("log_event!({event:?}");
        assert!(
            written.contains(&call),
            "{event:?} is in the list and never written"
        );
    }
}

fn read_sources(directory: &std::path::Path, text: &mut String) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            read_sources(&path, text);
        } else {
            text.push_str(&std::fs::read_to_string(path).unwrap());
        }
    }
}

/// Keeps every record of every library, at every level.
struct Collector;

static LINES: Mutex<Vec<String>> = Mutex::new(vec![]);

struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0 = format!("{} {key}={value}", self.0);
        Ok(())
    }
}

impl log::Log for Collector {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.target() == "bluebellstage::event"
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut fields = Fields(record.args().to_string());
        record.key_values().visit(&mut fields).unwrap();
        LINES.lock().unwrap().push(fields.0);
    }

    fn flush(&self) {}
}

/// An operator who reads a log, a dump or a metric would be able to file in a workspace's name, or
/// read a family's case: whatever passes through must stay out of all three.
#[tokio::test(flavor = "multi_thread")]
async fn no_log_dump_or_metric_holds_a_key_a_token_or_a_body() {
    log::set_logger(&Collector).unwrap();
    log::set_max_level(log::LevelFilter::Trace);
    let bench = BenchBuilder::instances(2)
        .engine(quick_engine("e1"))
        .start()
        .await;
    for key in [KEY, OTHER_KEY, "bbs_unknown_key"] {
        let call = bench
            .call(1, Method::POST, "/v1/chat/completions")
            .bearer_auth(key);
        call.json(&chat("letters", 5, true))
            .send()
            .await
            .unwrap()
            .text()
            .await
            .unwrap();
    }
    let plain = bench.http.post(format!(
        "http://{}/v1/chat/completions",
        bench.daemons[0].caller_address()
    ));
    let call = plain.bearer_auth(OTHER_KEY).json(&chat("plans", 5, false));
    assert_eq!(call.send().await.unwrap().status(), 200);
    let filing = bench
        .call(0, Method::POST, "/v1/services/filings/x")
        .header("Idempotency-Key", "n-1");
    filing
        .body("the case of a family")
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    let wrong = bench.http.get(format!(
        "http://{}/admin/v1/status",
        bench.daemons[0].admin_address()
    ));
    assert_eq!(
        wrong
            .bearer_auth("guessed-token")
            .send()
            .await
            .unwrap()
            .status(),
        401
    );
    bench.withdraw("k-kochi").await;

    let mut texts = LINES.lock().unwrap().clone();
    assert!(texts.iter().any(|line| line.contains("instance started")));
    for at in 0..2 {
        for path in [
            "/admin/v1/dump",
            "/admin/v1/status",
            "/admin/v1/in-doubt",
            "/admin/v1/catalogue",
            "/metrics",
        ] {
            let answer = bench.admin(at, Method::GET, path).send().await.unwrap();
            assert_eq!(answer.status(), 200, "{path}");
            texts.push(answer.text().await.unwrap());
        }
    }
    let secrets = [
        KEY,
        OTHER_KEY,
        TOKEN,
        "bbs_unknown_key",
        "guessed-token",
        "a letter to the terminal",
        "the case of a family",
    ];
    for text in &texts {
        for secret in secrets {
            assert!(!text.contains(secret), "{secret} stands in: {text}");
        }
    }
}
