//! Checks whether a target crashed when runs on it were interrupted.
//!
//! A broken connection alone is no proof of a crash: it may have been reset, or the network partitioned. A
//! process that has ended refuses new connections; one that is ending may still take them, but does not answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use rand::seq::IteratorRandom;
use tokio::sync::watch;

use crate::decide::quarantine::{
    Crash, EVALUATION_DELAY, InterruptedPart, InterruptedRun, PartsAtCrash, PromptPart,
};
use crate::decide::rendezvous::ShortHash;
use crate::decide::target::Target;
use crate::edge::Edge;

use super::log::{LogEvent, event};
use super::node::Node;
use super::process::Process;
use super::quarantine;
use super::target_connection::{PROBE_TIMEOUT, connect_to_target, probe_process};

/// Number of other targets that are probed to find out whether this instance reaches any.
const PATH_PROBES: usize = 3;
/// Time during which the other runs that were interrupted with the first one are collected.
const GATHER_DELAY: Duration = Duration::from_millis(8);
/// Max wait of an interrupted request for the result of the check.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a check is doubtful.
const DOUBT_DELAY: Duration = Duration::from_millis(50);
/// Max time of a check. The runs that were interrupted are kept for longer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a check is kept, for runs whose interruption is noticed late.
const CHECK_RETENTION: Duration = Duration::from_secs(5);
/// Max number of requests, and of prompt parts, in one log line.
const MAX_LOGGED_NAMES: usize = 80;

/// Result of the check of a target on which runs were interrupted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CheckResult {
    /// The check is in progress.
    Pending,
    /// The check takes long: the target neither answers nor refuses connections.
    Doubtful,
    /// The target's process ended; its interrupted runs are not evaluated yet.
    Crashed,
    /// The target's process ended and its interrupted runs are evaluated.
    Evaluated,
    /// The target is alive, or can't be distinguished from a target that is alive.
    Alive,
}

#[derive(Debug)]
struct CrashCheck {
    started: Time,
    interrupted_runs: Vec<InterruptedRun>,
    result: watch::Sender<CheckResult>,
}

/// Crash checks by the incarnation of the target.
#[derive(Debug, Default)]
pub(super) struct CrashChecks {
    open: Mutex<HashMap<ShortHash, CrashCheck>>,
}

impl CrashChecks {
    fn lock(&self) -> MutexGuard<'_, HashMap<ShortHash, CrashCheck>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the interrupted runs that were not reported yet, and when the first run was interrupted.
    fn take_interrupted_runs(&self, incarnation: ShortHash) -> Option<(Vec<InterruptedRun>, Time)> {
        let mut open = self.lock();
        let check = open.get_mut(&incarnation)?;
        Some((std::mem::take(&mut check.interrupted_runs), check.started))
    }

    fn set_result(&self, incarnation: ShortHash, result: CheckResult) {
        let mut open = self.lock();
        if let Some(check) = open.get(&incarnation) {
            check.result.send_replace(result);
        }
        // A target that is alive may crash later and needs another check then.
        if result == CheckResult::Alive {
            open.remove(&incarnation);
        }
    }

    /// Removes expired checks.
    pub(super) fn sweep(&self, now: Time) {
        self.lock()
            .retain(|_, check| now.since(check.started) < CHECK_RETENTION);
    }
}

/// A target that was expected to serve.
#[derive(Clone, Debug)]
struct Serving {
    id: TargetId,
    incarnation: ShortHash,
    address: SocketAddr,
    born: Option<u64>,
    /// Number of live targets of its service, this target included.
    live_count: u32,
}

/// Returns the target unless it leaves, as a planned stop interrupts runs, too, or is brittle: it falls over because
/// of what it refused, not of what it ran.
fn serving<E: Edge>(node: &Node<E>, id: &TargetId) -> Option<Serving> {
    let now = node.now();
    let tables = node.tables();
    let target = tables.registry.get(id)?;
    if tables.is_leaving(target, now) || tables.brittle.max_refusals(target, now).is_some() {
        return None;
    }
    let is_live = |other: &&Target| !tables.quarantine.has_crashed(incarnation(other));
    let others = tables.registry.all().filter(|other| other.id != *id);
    let others = others.filter(|other| other.service == target.service);
    let live_count = 1 + others.filter(is_live).count();
    Some(Serving {
        id: id.clone(),
        incarnation: incarnation(target),
        address: target.address,
        born: target.born,
        live_count: u32::try_from(live_count).unwrap_or(u32::MAX),
    })
}

/// Identifies the target's incarnation. A target that does not report its start time has a single incarnation.
fn incarnation(target: &Target) -> ShortHash {
    let incarnation = target.incarnation();
    incarnation.unwrap_or_else(|| ShortHash::of(target.id.as_str()))
}

/// Records an interrupted run. Returns when it is known whether the target crashed, or after
/// `CRASH_CHECK_TIMEOUT`.
pub(super) async fn record_interruption<E: Edge>(
    node: &Arc<Node<E>>,
    target: &TargetId,
    run: InterruptedRun,
    parts: &[PromptPart],
) {
    let Some(target) = serving(node, target) else {
        return;
    };
    let mut result = join(node, &target, run);
    if *result.borrow() == CheckResult::Evaluated {
        report(node, &target);
    }
    // A first crash quarantines nothing, so a request without an earlier crash need not wait for the evaluation.
    let waits = |result: &CheckResult| match result {
        CheckResult::Pending => true,
        CheckResult::Doubtful | CheckResult::Crashed => {
            let tables = node.tables();
            tables.quarantine.is_repeated_suspect(run.request, parts)
        }
        CheckResult::Evaluated | CheckResult::Alive => false,
    };
    let known = result.wait_for(|result| !waits(result));
    let _known_or_late = tokio::time::timeout(CRASH_CHECK_TIMEOUT, known).await;
}

/// Adds a run to the check of a target; the first run starts the check.
fn join<E: Edge>(
    node: &Arc<Node<E>>,
    target: &Serving,
    run: InterruptedRun,
) -> watch::Receiver<CheckResult> {
    let mut open = node.crash_checks.lock();
    let started = node.now();
    let entry = open.entry(target.incarnation).or_insert_with(|| {
        tokio::spawn(check(Arc::clone(node), target.clone()));
        CrashCheck {
            started,
            interrupted_runs: Vec::new(),
            result: watch::Sender::new(CheckResult::Pending),
        }
    });
    entry.interrupted_runs.push(run);
    entry.result.subscribe()
}

async fn check<E: Edge>(node: Arc<Node<E>>, target: Serving) {
    let mut has_crashed = pin!(has_crashed(&node, &target));
    let known = tokio::time::timeout(DOUBT_DELAY, &mut has_crashed).await;
    let has_crashed = match known {
        Ok(has_crashed) => has_crashed,
        Err(_elapsed) => {
            node.crash_checks
                .set_result(target.incarnation, CheckResult::Doubtful);
            has_crashed.await
        }
    };
    if !has_crashed {
        node.crash_checks
            .set_result(target.incarnation, CheckResult::Alive);
        return;
    }
    node.metrics.crashes.target_crashed();
    tokio::time::sleep(GATHER_DELAY).await;
    let mut interrupted_runs = report(&node, &target);
    node.crash_checks
        .set_result(target.incarnation, CheckResult::Crashed);
    tokio::time::sleep(EVALUATION_DELAY).await;
    interrupted_runs.extend(report(&node, &target));
    let requests = interrupted_runs
        .iter()
        .map(|run| run.request)
        .collect::<Vec<_>>();
    quarantine::evaluate(&node, &target.id, &requests);
    node.crash_checks
        .set_result(target.incarnation, CheckResult::Evaluated);
}

async fn has_crashed<E: Edge>(node: &Node<E>, target: &Serving) -> bool {
    let until = node.now() + CHECK_TIMEOUT;
    let process = Process {
        target: &target.id,
        address: target.address,
        born: target.born,
    };
    let sign = probe_process(node, process, until).await;
    sign.shows_that_it_ended() && reaches_others(node, target).await
}

/// Whether another target of the service can be reached, or there is none. If none can be, the network of this
/// instance may refuse all connections.
async fn reaches_others<E: Edge>(node: &Node<E>, target: &Serving) -> bool {
    let others = other_targets(node, target);
    if others.is_empty() {
        return true;
    }
    let probes = others
        .iter()
        .map(|(id, address)| Box::pin(connect_to_target(node, id, *address, PROBE_TIMEOUT)));
    futures::future::select_ok(probes).await.is_ok()
}

fn other_targets<E: Edge>(node: &Node<E>, target: &Serving) -> Vec<(TargetId, SocketAddr)> {
    let tables = node.tables();
    let service = tables.registry.get(&target.id).map(|known| &known.service);
    let others = tables.registry.all().filter(|other| {
        other.id != target.id
            && Some(&other.service) == service
            && !tables.quarantine.has_crashed(incarnation(other))
    });
    let others = others.map(|other| (other.id.clone(), other.address));
    others.choose_multiple(&mut rand::rng(), PATH_PROBES)
}

/// Reports the runs that the target's crash interrupted and that were not reported before.
fn report<E: Edge>(node: &Node<E>, target: &Serving) -> Vec<InterruptedRun> {
    let taken = node.crash_checks.take_interrupted_runs(target.incarnation);
    let Some((interrupted_runs, at)) =
        taken.filter(|(interrupted_runs, _)| !interrupted_runs.is_empty())
    else {
        return Vec::new();
    };
    let PartsAtCrash {
        parts,
        sampled_targets,
    } = node.tables().quarantine.runs.parts_at_crash(&target.id, at);
    log_crash(target, &interrupted_runs, &parts);
    let age = node.now().since(at);
    let crash = Crash {
        parts,
        sampled_targets,
        reporter: ShortHash::of(node.settings.member.name.as_str()),
        ..Crash::new(target.incarnation, target.live_count, age, interrupted_runs)
    };
    quarantine::record_crash(node, &crash);
    crash.interrupted
}

fn log_crash(target: &Serving, runs: &[InterruptedRun], parts: &[InterruptedPart]) {
    let requests = runs.iter().take(MAX_LOGGED_NAMES);
    let requests = requests.map(|run| format!("{}:{}", run.request, run.run_ms));
    let requests = requests.collect::<Vec<_>>().join(" ");
    let parts = parts.iter().take(MAX_LOGGED_NAMES);
    let parts = parts.map(|part| {
        let waiting = if part.has_begun { "" } else { ":waiting" };
        format!("{}:{}{waiting}", part.part, part.run_ms)
    });
    let parts = parts.collect::<Vec<_>>().join(" ");
    let [id, count] = [target.id.to_string(), runs.len().to_string()];
    let fields = [
        ("target", &*id),
        ("cut", &*count),
        ("requests", &*requests),
        ("parts", &*parts),
    ];
    event(LogEvent::TargetEnded, &fields);
}
