//! One run of a scenario under one variant's settings.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use serde_json::Value;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep_until, timeout};

use super::arrivals::{self, Arrival};
use super::evidence::Evidence;
use super::scenario::{Scenario, Variant};
use super::{catalogue, timeline};
use crate::caller::{Caller, Trace};
use crate::clock::now;
use crate::fleet::{DaemonProgram, EngineSpec, Fleet, FleetConfig, InstanceSpec, ServiceSpec};
use crate::hash::hash;

/// Time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the last arrival for the last answers, beyond the longest patience.
const TAIL: Duration = Duration::from_secs(25);

/// Time for instances to read a list that shows all targets, beyond the list's lag.
const SETTLE: Duration = Duration::from_secs(3);

/// A request with all that became of it.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) arrival: Arrival,
    pub(super) trace: Trace,
}

/// Where programs and files are.
#[derive(Clone, Debug)]
pub struct Programs {
    /// This program.
    pub standin: PathBuf,
    /// The daemon.
    pub daemon: DaemonProgram,
}

/// All that a run gave.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) records: Vec<Record>,
    pub(super) evidence: Evidence,
    /// When the arrivals began, as logs count.
    pub(super) begun: u64,
    /// Requests that had no end when the run was given up.
    pub(super) unfinished: usize,
}

/// Runs a variant.
///
/// # Errors
/// If the deployment can't be started or does not answer; whatever was started is ended.
pub(super) async fn run(
    scenario: &Scenario,
    variant: &Variant,
    seed: u64,
    programs: &Programs,
    dir: &Path,
) -> eyre::Result<Run> {
    let cfg = fleet_config(scenario, variant, programs, dir);
    let mut fleet = Fleet::start(cfg).await?;
    fleet.apply(&catalogue::changes(scenario)?).await?;
    tokio::time::sleep(Duration::from_millis(scenario.list_lag_ms) + SETTLE).await;
    let addresses = fleet.caller_addresses();
    let arrivals = arrivals::draw(scenario, seed);
    let callers = callers(scenario, &addresses)?;
    let before = Evidence::counters(&fleet).await?;
    let fleet = Arc::new(Mutex::new(fleet));
    let begun_at = now();
    let begun = Instant::now();
    let faults = tokio::spawn({
        let (scenario, fleet) = (scenario.clone(), Arc::clone(&fleet));
        async move { timeline::run(&scenario, fleet, begun).await }
    });
    let driven = drive(scenario, &variant.name, arrivals, &callers, begun).await;
    faults.abort();
    match faults.await {
        Ok(done) => done.wrap_err("a fault of the scenario can't be shown")?,
        // Its next turn lies beyond the end of the run.
        Err(ended) if ended.is_cancelled() => {}
        Err(panicked) => return Err(panicked.into()),
    }
    let fleet = Arc::try_unwrap(fleet)
        .map_err(|_shared| eyre::eyre!("the timeline still holds the deployment"))?
        .into_inner();
    let keys = scenario
        .workspaces
        .iter()
        .map(|one| catalogue::key(scenario, one));
    let evidence = Evidence::gather(&fleet, &before, &keys.collect::<Vec<_>>()).await;
    fleet.stop().await;
    let (records, unfinished) = driven;
    Ok(Run {
        records,
        evidence: evidence?,
        begun: begun_at,
        unfinished,
    })
}

fn callers(
    scenario: &Scenario,
    addresses: &[std::net::SocketAddr],
) -> eyre::Result<Vec<Vec<Arc<Caller>>>> {
    let caller = |workspace: &str, index: usize| {
        let seed = hash(&[workspace.as_bytes(), &index.to_le_bytes()]);
        Caller::new(addresses.to_vec(), seed).map(Arc::new)
    };
    let workspaces = scenario.workspaces.iter();
    let pools = workspaces.map(|workspace| {
        let indexes = 0..scenario.callers.max(1);
        indexes
            .map(|index| caller(&workspace.name, index))
            .collect()
    });
    pools.collect()
}

/// Open loop: each request goes out at its time, whatever became of the others.
async fn drive(
    scenario: &Scenario,
    variant: &str,
    arrivals: Vec<Arrival>,
    callers: &[Vec<Arc<Caller>>],
    begun: Instant,
) -> (Vec<Record>, usize) {
    let total = arrivals.len();
    let keys: Vec<Arc<str>> = scenario
        .workspaces
        .iter()
        .map(|workspace| catalogue::key(scenario, workspace).into())
        .collect();
    let mut tasks = JoinSet::new();
    let mut records = Vec::with_capacity(total);
    let mut progress = interval(PROGRESS_INTERVAL);
    for (number, arrival) in arrivals.into_iter().enumerate() {
        let due = begun + arrival.at;
        loop {
            tokio::select! {
                biased;
                () = sleep_until(due) => break,
                _ = progress.tick() => show(variant, begun, number, total, records.len()),
                Some(Ok(record)) = tasks.join_next(), if !tasks.is_empty() => records.push(record),
            }
        }
        let pool = &callers[arrival.workspace];
        let caller = Arc::clone(&pool[number % pool.len()]);
        let key = Arc::clone(&keys[arrival.workspace]);
        let patience = Duration::from_secs_f64(scenario.work[arrival.work].patience_seconds);
        tasks.spawn(async move {
            let trace = caller.run(&key, &arrival.asked, patience).await;
            Record { arrival, trace }
        });
    }
    let patience = scenario.work.iter().map(|work| work.patience_seconds);
    let tail = Duration::from_secs_f64(patience.fold(0.0, f64::max)) + TAIL;
    let rest = async {
        while let Some(joined) = tasks.join_next().await {
            records.extend(joined.ok());
        }
    };
    drop(timeout(tail, rest).await);
    show(variant, begun, total, total, records.len());
    eprintln!();
    let unfinished = total - records.len();
    (records, unfinished)
}

fn show(variant: &str, begun: Instant, sent: usize, total: usize, ended: usize) {
    let seconds = begun.elapsed().as_secs();
    eprint!("\r{variant}: {seconds} s, {sent} of {total} sent, {ended} ended   ");
}

fn fleet_config(
    scenario: &Scenario,
    variant: &Variant,
    programs: &Programs,
    dir: &Path,
) -> FleetConfig {
    let domains = scenario.instances.failure_domains.iter().cycle();
    let instances = domains
        .take(scenario.instances.count)
        .enumerate()
        .map(|(index, domain)| InstanceSpec {
            name: format!("instance-{}", index + 1),
            failure_domain: domain.clone(),
        });
    let engines = scenario
        .engines
        .members()
        .map(|(number, domain, each)| EngineSpec {
            name: format!("engine-{number}"),
            failure_domain: domain,
            ..each
        });
    let services = scenario.services.iter().flat_map(|group| {
        group.members().map(|(number, domain, each)| ServiceSpec {
            name: format!("{}-{number}", each.service),
            failure_domain: domain,
            ..each
        })
    });
    let mut settings = Value::Object(serde_json::Map::new());
    crate::fleet::merge(&mut settings, &scenario.settings);
    crate::fleet::merge(&mut settings, &variant.settings);
    FleetConfig {
        standin: programs.standin.clone(),
        daemon: programs.daemon.clone(),
        dir: dir.join(&variant.name),
        admin_token: format!("operator-{:016x}", hash(&[scenario.name.as_bytes()])),
        instances: instances.collect(),
        settings,
        engines: engines.collect(),
        services: services.collect(),
        store: scenario.store.clone(),
        list_lag_ms: scenario.list_lag_ms,
    }
}
