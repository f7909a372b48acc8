//! Small deployments to measure.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use bluebellstage_core::catalogue::{
    AdapterEntry, Change, KeyEntry, ServiceEntry, WorkClass, WorkspaceEntry,
};
use bluebellstage_core::{
    AdapterId, AdapterVersion, BaseModel, KeyDigest, KeyId, Rate, ServiceId, Tokens, WorkspaceId,
};
use eyre::ensure;
use serde_json::json;

use crate::caller::{Caller, Draft, ServiceCall, Work};
use crate::fleet::{EngineSpec, Fleet, FleetConfig, InstanceSpec, ServiceSpec, StoreSpec};
use crate::load::Programs;

/// The key of the workspace that everything is measured with.
pub(super) const KEY: &str = "key-of-the-benchmark";

/// The workspace that everything is measured with.
const WORKSPACE: &str = "measured";

/// A rate and burst that nothing measured here comes near.
const UNLIMITED: u64 = 1_000_000_000_000;

/// The longest answer that an adapter gives.
const MAX_ANSWER: u64 = 1_000_000;

/// How long a caller goes on trying while a deployment warms up.
const WARM_UP: Duration = Duration::from_secs(30);

/// Sizes of a deployment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    pub(super) instances: usize,
    pub(super) engines: usize,
    pub(super) max_batch: u32,
    /// Time of a token; zero for as fast as the machine goes.
    pub(super) decode_ms: f64,
}

/// Starts a deployment whose engines take no time to prefill.
pub(super) async fn start(size: Size, programs: &Programs, dir: &Path) -> eyre::Result<Fleet> {
    let domains = ["a", "b", "c"];
    let domain = |index: usize| domains[index % domains.len()].to_owned();
    let cfg = FleetConfig {
        standin: programs.standin.clone(),
        daemon: programs.daemon.clone(),
        dir: dir.into(),
        admin_token: "operator-of-the-benchmark".into(),
        instances: (0..size.instances)
            .map(|index| InstanceSpec {
                name: format!("instance-{}", index + 1),
                failure_domain: domain(index),
            })
            .collect(),
        settings: json!({}),
        engines: (0..size.engines)
            .map(|index| EngineSpec {
                name: format!("engine-{}", index + 1),
                failure_domain: domain(index),
                max_batch: size.max_batch,
                decode_ms: size.decode_ms,
                decode_us_per_request: 0,
                prefill_us_per_token: 0,
                ..EngineSpec::default()
            })
            .collect(),
        services: vec![ServiceSpec {
            name: "court-1".into(),
            service: "court".into(),
            concurrency: 1_024,
            latency_ms: 0,
            ..ServiceSpec::default()
        }],
        store: StoreSpec {
            loads_per_second: 1_000,
            in_flight: 1_000,
            load_ms: 5,
        },
        list_lag_ms: 0,
    };
    Fleet::start(cfg).await
}

/// Writes a catalogue of so many adapters and warms the deployment up.
pub(super) async fn write_catalogue(fleet: &mut Fleet, adapters: usize) -> eyre::Result<()> {
    let workspace = WorkspaceId::try_from(WORKSPACE)?;
    let mut changes = vec![
        Change::PutWorkspace(WorkspaceEntry {
            id: workspace.clone(),
            rate: Rate(UNLIMITED),
            burst: Tokens(UNLIMITED),
        }),
        issue(KEY)?,
        Change::PutService(ServiceEntry {
            id: ServiceId::try_from("court")?,
            workspaces: BTreeSet::from([workspace.clone()]),
            charge: Tokens(1),
        }),
    ];
    for index in 0..adapters {
        changes.push(Change::PutAdapter(AdapterEntry {
            id: AdapterId::try_from(&*adapter(index))?,
            owner: workspace.clone(),
            base_model: BaseModel::try_from("base")?,
            current: AdapterVersion(1),
            also: BTreeSet::new(),
            class: WorkClass::Urgent,
            max_answer: Tokens(MAX_ANSWER),
        }));
    }
    fleet.apply(&changes).await
}

/// Adds a key; its name is the key itself.
pub(super) fn issue(key: &str) -> eyre::Result<Change> {
    Ok(Change::IssueKey(KeyEntry {
        id: KeyId::try_from(key)?,
        workspace: WorkspaceId::try_from(WORKSPACE)?,
        digest: KeyDigest::of(key),
    }))
}

/// Lets every instance serve each of so many adapters and the service once.
pub(super) async fn warm_up(fleet: &Fleet, adapters: usize) -> eyre::Result<()> {
    for instance in &fleet.instances {
        let caller = Caller::new(vec![instance.caller_address], 0)?;
        let drafts = (0..adapters).map(|index| draft(index, "Warm up.", 1));
        for work in drafts.chain([reading()]) {
            let trace = caller.run(KEY, &work, WARM_UP).await;
            ensure!(
                trace.is_answered(),
                "the warm-up is not answered: {trace:?}"
            );
        }
    }
    Ok(())
}

pub(super) fn adapter(index: usize) -> String {
    format!("adapter-{index}")
}

pub(super) fn draft(adapter: usize, prompt: &str, max_tokens: usize) -> Work {
    Work::Draft(Draft {
        model: self::adapter(adapter),
        prompt: prompt.into(),
        max_tokens,
    })
}

pub(super) fn reading() -> Work {
    Work::Call(ServiceCall {
        service: "court".into(),
        path: "cases/1".into(),
        idempotency_key: None,
    })
}
