//! A small deployment of separate processes: three instances, engines, a service.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_standin::caller::{Caller, Outcome, Work};
use bluebellstage_standin::engine::EngineLog;
use bluebellstage_standin::fleet::{
    DaemonProgram, EngineSpec, Fleet, FleetConfig, InstanceSpec, ServiceSpec, Signal, StoreSpec,
};
use bluebellstage_standin::service::ServiceLog;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::content::{KEY, catalogue, draft, reading};
use super::evidence::{Evidence, Sent};

/// Bound on each test; a verdict comes long before, or never.
const LIMIT: Duration = Duration::from_mins(3);

/// Each test starts a dozen processes: a few at once are enough for a shared machine.
static AT_ONCE: Semaphore = Semaphore::const_new(2);

/// How long a caller goes on trying: longer than any takeover.
pub const PATIENCE: Duration = Duration::from_secs(45);

/// A running deployment.
pub struct Bench {
    pub fleet: Fleet,
    dir: PathBuf,
}

impl Bench {
    /// Starts it with a catalogue in force.
    pub async fn start(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("bluebellstage-{name}-{}", std::process::id()));
        let program = PathBuf::from(env!("CARGO_BIN_EXE_bluebellstage-standin"));
        let domains = ["a", "b", "c"];
        let cfg = FleetConfig {
            standin: program.clone(),
            daemon: DaemonProgram {
                path: program,
                args: vec!["instance".into()],
            },
            dir: dir.clone(),
            admin_token: "operator-of-the-bench".into(),
            instances: domains.map(instance).into(),
            settings: json!({ "timing": { "list_ms": 300, "entry_max_age_ms": 4_000 } }),
            engines: domains.map(engine).into(),
            services: domains.map(service).into(),
            store: StoreSpec {
                loads_per_second: 100,
                in_flight: 100,
                load_ms: 20,
            },
            list_lag_ms: 200,
        };
        let mut fleet = Fleet::start(cfg).await.expect("the deployment starts");
        fleet
            .apply(&catalogue())
            .await
            .expect("the catalogue is accepted");
        let bench = Self { fleet, dir };
        bench.wait_for_targets().await;
        bench
    }

    /// An instance that has not read the list of targets yet refuses all work, truly as not run.
    async fn wait_for_targets(&self) {
        for index in 0..self.fleet.instances.len() {
            for work in [reading("cases/warm-up"), draft(0, "Warm up.", 1)] {
                let trace = self.caller_of(index).run(KEY, &work, PATIENCE).await;
                assert!(trace.is_answered(), "{trace:?}");
            }
        }
    }

    /// A caller that knows all instances.
    pub fn caller(&self, seed: u64) -> Arc<Caller> {
        let caller = Caller::new(self.fleet.caller_addresses(), seed);
        Arc::new(caller.expect("an HTTP client"))
    }

    /// A caller that knows one instance only.
    pub fn caller_of(&self, index: usize) -> Arc<Caller> {
        let address = self.fleet.instances[index].caller_address;
        Arc::new(Caller::new(vec![address], 0).expect("an HTTP client"))
    }

    pub async fn service_runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for service in &self.fleet.services {
            let log: ServiceLog = service.log().await.expect("a log");
            for run in log.runs {
                if let Some(name) = run.idempotency_key {
                    *runs.entry(name.into()).or_default() += 1;
                }
            }
        }
        runs
    }

    pub async fn engine_logs(&self) -> Vec<EngineLog> {
        let mut logs = Vec::new();
        for engine in &self.fleet.engines {
            logs.push(engine.log().await.expect("a log"));
        }
        logs
    }

    /// Holds what must always hold against what the stand-ins saw, and ends everything.
    pub async fn finish(self, traces: &[Sent]) {
        let evidence = Evidence::gather(&self.fleet).await;
        evidence.check(traces);
        self.fleet.stop().await;
        drop(std::fs::remove_dir_all(&self.dir));
    }
}

pub async fn bounded(test: impl Future<Output = ()>) {
    let _permit = AT_ONCE.acquire().await.expect("it is never closed");
    timeout(LIMIT, test).await.expect("the test ends in time");
}

pub async fn ask(bench: &Bench, key: &str, work: Work) -> Sent {
    let trace = bench.caller(0).run(key, &work, PATIENCE).await;
    Sent { work, trace }
}

pub fn all_answered(traces: &[Sent]) {
    for sent in traces {
        assert_eq!(sent.last().outcome, Outcome::Answered, "{sent:?}");
    }
}

pub async fn engine_runs(bench: &Bench) -> usize {
    let logs = bench.engine_logs().await;
    logs.iter().map(|log| log.runs.len()).sum()
}

pub async fn signal(bench: &Bench, index: usize, signal: Signal) {
    let process = bench.fleet.instances[index].process.as_ref();
    let sent = process.expect("it runs").signal(signal).await;
    sent.expect("a signal");
}

fn instance(domain: &str) -> InstanceSpec {
    InstanceSpec {
        name: format!("instance-{domain}"),
        failure_domain: domain.into(),
    }
}

fn engine(domain: &str) -> EngineSpec {
    EngineSpec {
        name: format!("engine-{domain}"),
        failure_domain: domain.into(),
        slots: 4,
        decode_ms: 5.0,
        ..EngineSpec::default()
    }
}

fn service(domain: &str) -> ServiceSpec {
    ServiceSpec {
        name: format!("court-{domain}"),
        failure_domain: domain.into(),
        service: "court".into(),
        ..ServiceSpec::default()
    }
}
