//! A small deployment of separate processes: three instances, engines, a service.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bluebellstage_core::catalogue::{
    AdapterEntry, Change, KeyEntry, ServiceEntry, WorkClass, WorkspaceEntry,
};
use bluebellstage_core::{
    AdapterId, AdapterVersion, BaseModel, KeyDigest, KeyId, Rate, ServiceId, Tokens, WorkspaceId,
};
use bluebellstage_standin::SeenRequest;
use bluebellstage_standin::caller::{Attempt, Caller, Draft, Outcome, ServiceCall, Trace, Work};
use bluebellstage_standin::engine::EngineLog;
use bluebellstage_standin::fleet::{
    Control, DaemonProgram, EngineSpec, Fleet, FleetConfig, InstanceSpec, ServiceSpec, StoreSpec,
};
use bluebellstage_standin::platform::PlatformLog;
use bluebellstage_standin::service::ServiceLog;
use bluebellstage_standin::store::StoreLog;
use serde_json::json;
use tokio::task::JoinSet;

/// The key of workspace `one`, which owns the adapters `one-0` to `one-3`.
pub const KEY: &str = "key-of-workspace-one-5d1f";
/// The key of workspace `two`, which owns the adapter `two-0`.
pub const OTHER_KEY: &str = "key-of-workspace-two-77ab";

/// How long a caller goes on trying: longer than any takeover.
pub const PATIENCE: Duration = Duration::from_secs(45);

/// Adapters of workspace `one`.
const ADAPTERS: usize = 4;

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
            settings: json!({ "timing": { "list_ms": 300, "entry_max_age_ms": 500 } }),
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

/// A piece of work with all that became of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub work: Work,
    pub trace: Trace,
}

impl Sent {
    pub fn last(&self) -> &Attempt {
        self.trace.last().expect("at least one attempt")
    }

    pub fn refusals(&self) -> impl Iterator<Item = &str> {
        self.trace
            .attempts
            .iter()
            .filter_map(|attempt| match &attempt.outcome {
                Outcome::Refused(refused) => Some(&*refused.kind),
                _ => None,
            })
    }
}

/// What all stand-ins saw.
struct Evidence {
    seen: Vec<SeenRequest>,
    ran: HashSet<Box<str>>,
    filings: BTreeMap<Box<str>, usize>,
    evicted_in_use: u64,
}

impl Evidence {
    async fn gather(fleet: &Fleet) -> Self {
        let mut evidence = Self {
            seen: Vec::new(),
            ran: HashSet::new(),
            filings: BTreeMap::new(),
            evicted_in_use: 0,
        };
        for engine in &fleet.engines {
            let log: EngineLog = read(engine).await;
            let started = log.runs.into_iter().filter(|run| run.started.is_some());
            evidence.ran.extend(started.map(|run| run.request_id));
            evidence.evicted_in_use += log.violations;
            evidence.seen.extend(log.seen);
        }
        for service in &fleet.services {
            let log: ServiceLog = read(service).await;
            for run in log.runs {
                evidence.ran.extend(run.request_id);
                if let Some(name) = run.idempotency_key {
                    *evidence.filings.entry(name).or_default() += 1;
                }
            }
            evidence.seen.extend(log.seen);
        }
        evidence
            .seen
            .extend(read::<StoreLog>(&fleet.store).await.seen);
        evidence
            .seen
            .extend(read::<PlatformLog>(&fleet.platform).await.seen);
        evidence
    }

    fn check(&self, traces: &[Sent]) {
        for seen in &self.seen {
            for key in [KEY, OTHER_KEY] {
                assert!(!seen.contains(key), "a key reached a stand-in: {seen:?}");
            }
        }
        assert_eq!(self.evicted_in_use, 0, "adapters evicted while in use");
        let twice: Vec<_> = self
            .filings
            .iter()
            .filter(|(_, count)| **count > 1)
            .collect();
        assert!(twice.is_empty(), "filings run more than once: {twice:?}");
        for sent in traces {
            for attempt in &sent.trace.attempts {
                self.check_claim(sent, attempt);
            }
            check_answer(sent);
        }
    }

    /// A refusal that says "not run" must be true of its own attempt.
    fn check_claim(&self, sent: &Sent, attempt: &Attempt) {
        let Outcome::Refused(refused) = &attempt.outcome else {
            return;
        };
        let ran = attempt
            .request_id
            .as_ref()
            .is_some_and(|id| self.ran.contains(id));
        assert!(
            &*refused.ran != "no" || !ran,
            "refused as not run, but it ran: {sent:?}"
        );
    }
}

async fn read<T: serde::de::DeserializeOwned>(control: &Control) -> T {
    control.heal().await.expect("the stand-in answers");
    control.log().await.expect("a log")
}

/// An answer must be the whole answer to its own request, from what it asked for.
fn check_answer(sent: &Sent) {
    let attempt = sent.last();
    if attempt.outcome != Outcome::Answered {
        return;
    }
    match &sent.work {
        Work::Draft(draft) => {
            let adapter = format!("{}@1", draft.model);
            assert_eq!(attempt.ran.as_deref(), Some(&*adapter), "{sent:?}");
            assert_eq!(attempt.text, draft.answer(&adapter).text(), "{sent:?}");
            assert!(!attempt.mixed, "{sent:?}");
        }
        Work::Call(call) => {
            assert!(
                attempt.text.contains(&format!("/{}\"", call.path)),
                "{sent:?}"
            );
            if let Some(name) = &call.idempotency_key {
                assert!(attempt.text.contains(&format!("\"{name}\"")), "{sent:?}");
            }
        }
    }
}

/// Callers that send one piece of work after the other until they are told to stop.
pub struct Traffic {
    going: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    tasks: JoinSet<Vec<Sent>>,
}

impl Traffic {
    pub fn start(bench: &Bench, callers: u64) -> Self {
        let going = Arc::new(AtomicBool::new(true));
        let sent = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for number in 0..callers {
            let caller = bench.caller(number);
            let (going, sent) = (Arc::clone(&going), Arc::clone(&sent));
            tasks.spawn(async move {
                let mut traces = Vec::new();
                let mut count = 0;
                while going.load(Ordering::Relaxed) {
                    let work = some_work(number, count);
                    let trace = caller.run(KEY, &work, PATIENCE).await;
                    traces.push(Sent { work, trace });
                    sent.fetch_add(1, Ordering::Relaxed);
                    count += 1;
                }
                traces
            });
        }
        Self { going, sent, tasks }
    }

    /// Waits until so many more pieces of work have ended.
    pub async fn more(&self, count: usize) {
        let until = self.sent.load(Ordering::Relaxed) + count;
        while self.sent.load(Ordering::Relaxed) < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub async fn stop(mut self) -> Vec<Sent> {
        self.going.store(false, Ordering::Relaxed);
        let mut traces = Vec::new();
        while let Some(joined) = self.tasks.join_next().await {
            traces.extend(joined.expect("callers don't panic"));
        }
        traces
    }
}

/// Drafts, readings and filings in turn.
fn some_work(caller: u64, count: usize) -> Work {
    match count % 4 {
        0 | 2 => draft(count, &format!("Plan {count} of caller {caller}."), 24),
        1 => reading(&format!("cases/{caller}-{count}")),
        _ => filing(&format!("filing-{caller}-{count}")),
    }
}

pub fn draft(adapter: usize, prompt: &str, max_tokens: usize) -> Work {
    Work::Draft(Draft {
        model: format!("one-{}", adapter % ADAPTERS),
        prompt: prompt.into(),
        max_tokens,
    })
}

pub fn filing(name: &str) -> Work {
    Work::Call(ServiceCall {
        service: "court".into(),
        path: "filings".into(),
        idempotency_key: Some(name.into()),
    })
}

pub fn reading(path: &str) -> Work {
    Work::Call(ServiceCall {
        service: "court".into(),
        path: path.into(),
        idempotency_key: None,
    })
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

fn catalogue() -> Vec<Change> {
    let one = workspace("one");
    let two = workspace("two");
    let mut changes = vec![
        put_workspace(&one),
        put_workspace(&two),
        issue("one-key", &one, KEY),
        issue("two-key", &two, OTHER_KEY),
        put_adapter("two-0", &two),
        Change::PutService(ServiceEntry {
            id: ServiceId::try_from("court").expect("a name"),
            workspaces: BTreeSet::from([one.clone()]),
            charge: Tokens(1),
        }),
    ];
    changes.extend((0..ADAPTERS).map(|index| put_adapter(&format!("one-{index}"), &one)));
    changes
}

fn workspace(name: &str) -> WorkspaceId {
    WorkspaceId::try_from(name).expect("a name")
}

fn put_workspace(id: &WorkspaceId) -> Change {
    Change::PutWorkspace(WorkspaceEntry {
        id: id.clone(),
        rate: Rate(1_000_000),
        burst: Tokens(1_000_000),
    })
}

pub fn issue(name: &str, workspace: &WorkspaceId, key: &str) -> Change {
    Change::IssueKey(KeyEntry {
        id: KeyId::try_from(name).expect("a name"),
        workspace: workspace.clone(),
        digest: KeyDigest::of(key),
    })
}

fn put_adapter(name: &str, owner: &WorkspaceId) -> Change {
    Change::PutAdapter(AdapterEntry {
        id: AdapterId::try_from(name).expect("a name"),
        owner: owner.clone(),
        base_model: BaseModel::try_from("base").expect("a name"),
        current: AdapterVersion(1),
        also: BTreeSet::new(),
        class: WorkClass::Urgent,
        max_answer: Tokens(2_000),
    })
}
