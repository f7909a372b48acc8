//! Runs the loaders of the engines in the shards whose leases this instance holds.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use crate::decide::adapters::loader::{LoadStep, Loader, Order, OrderKind, OrderOutcome};
use crate::decide::adapters::residency::ResidencyVersion;
use crate::decide::drain_state::DrainState;
use crate::decide::lease::SHARDS;
use crate::decide::rendezvous::ShortHash;
use crate::decide::tables::{LocalLoads, Tables, shard_of};
use crate::decide::target::Target;
use crate::edge::{Edge, Protocol};
use crate::packet::{AdapterRequest, AdapterRequestKind, Packet, ResidencyUpdate};

use super::http_client::{ResponseLimits, call_target};
use super::log::{LogEvent, event};
use super::node::{Destination, Node};

/// Numerator and denominator of the concurrent loads of all shard holders, relative to the number that the
/// weight store carries at full speed. The holders' state of each other is a tenth of a second old, and a
/// store that idles until the next order loses more than loads that take a quarter longer.
const LOADS_NUMERATOR: usize = 5;
const LOADS_DENOMINATOR: usize = 4;
/// Concurrent loads that every shard holder may have in any case.
const MIN_CONCURRENT_LOADS: usize = 2;
/// Limits of an engine's report. It names each run and each resident adapter.
const REPORT_LIMITS: ResponseLimits = ResponseLimits {
    body_bytes: 256 * 1_024,
    timeout: Duration::from_millis(400),
};
/// Limits of the response to an order, of which only the status counts. Engines respond in 3 ms, and a machine whose CPU quota is used up
/// is throttled for most of 100 ms. An order that takes longer is considered lost, which is safe, and the
/// adapter's requests wait no longer for it.
const ORDER_LIMITS: ResponseLimits = ResponseLimits {
    body_bytes: 16 * 1_024,
    timeout: Duration::from_millis(130),
};
/// Minimum interval between residency updates without changes. They are repeated because a datagram may be
/// lost.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_secs(4);
/// Interval between repeated updates per engine of an instance. With 750 engines, the most that an instance may
/// hold in a fleet of 3,000, each is repeated within 30 s: 25 updates or two datagrams a second to each peer.
const REPEAT_INTERVAL_PER_ENGINE: Duration = Duration::from_millis(40);
/// Max age of a load request whose sender gets the engine's residency updates immediately.
const WAITING_SENDER_TTL: Duration = Duration::from_millis(1_500);
/// Interval of the checks for engines without a loader.
const ENGINE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Max sleep of a loader.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Utilization of the slots of the engines with the base model above which an engine without a model loads it
/// from the weight store. Below it the other engines have free capacity, and the load is not worth its share
/// of the store's rate.
const MODEL_LOAD_UTILIZATION: f64 = 0.35;
/// Number of engines below which a base model is loaded at any utilization.
const MIN_ENGINES_WITH_MODEL: usize = 3;
/// Minimum interval between two orders to load the base model on the same engine.
const MODEL_ORDER_INTERVAL: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct RunningLoader {
    loader: Loader,
    born: Option<u64>,
    update_count: u64,
    last_sent: Time,
    model_requested: Option<Time>,
    /// Addresses of instances whose requests recently waited for an adapter on the engine, and when they last
    /// asked for a load.
    waiting_senders: HashMap<SocketAddr, Time>,
    /// Whether its task runs. An inactive loader is kept because it knows of orders without a response.
    is_active: bool,
}

fn repeat_interval(engines: usize) -> Duration {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    REPEAT_INTERVAL_PER_ENGINE
        .saturating_mul(engines)
        .max(MIN_REPEAT_INTERVAL)
}

/// The loaders of this instance.
#[derive(Debug, Default)]
pub(super) struct Loaders {
    running: Mutex<HashMap<TargetId, RunningLoader>>,
}

impl Loaders {
    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, RunningLoader>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes adapter requests to the loaders of their engines. Requests for engines without an active loader
    /// here are dropped, since their sender repeats them to the new holder.
    pub(super) fn record_requests(
        &self,
        requests: Vec<AdapterRequest>,
        from: Option<SocketAddr>,
        now: Time,
    ) {
        let mut running = self.lock();
        for req in requests {
            let Some(entry) = running.get_mut(&req.target).filter(|entry| entry.is_active) else {
                continue;
            };
            if let (AdapterRequestKind::Load(_), Some(from)) = (req.kind, from) {
                entry.waiting_senders.insert(from, now);
            }
            match req.kind {
                AdapterRequestKind::Load(version) => {
                    entry
                        .loader
                        .request_load_for(req.class, req.key, version, now);
                }
                AdapterRequestKind::Started => entry.loader.request_started(&req.key, now),
                AdapterRequestKind::Ended => entry.loader.request_ended(&req.key, now),
                AdapterRequestKind::Missing => entry.loader.adapter_missing(&req.key, now),
            }
        }
    }

    /// Returns the residency update of an engine, if one is due, and the addresses of instances that wait for it.
    fn next_update(
        &self,
        id: &TargetId,
        fencing: u64,
        now: Time,
    ) -> Option<(ResidencyUpdate, Vec<SocketAddr>)> {
        let mut running = self.lock();
        let engines = running.len();
        let entry = running.get_mut(id)?;
        let is_due = now.since(entry.last_sent) > repeat_interval(engines);
        if !entry.loader.take_changed() && !is_due {
            return None;
        }
        entry.last_sent = now;
        entry.update_count += 1;
        let order = ResidencyVersion {
            fencing,
            count: entry.update_count,
        };
        let adapters = entry.loader.usable_adapters(now);
        entry
            .waiting_senders
            .retain(|_, requested| now.since(*requested) < WAITING_SENDER_TTL);
        let waiting_senders = entry.waiting_senders.keys().copied().collect();
        Some((
            ResidencyUpdate::new(id.clone(), order, adapters),
            waiting_senders,
        ))
    }

    fn local_loads(&self, now: Time) -> LocalLoads {
        let (in_progress, waiting) = self.load_counts();
        let running = self.lock();
        let active = running.iter().filter(|(_, entry)| entry.is_active);
        let adapter_slots_by_engine = active.map(|(id, entry)| {
            let hash = ShortHash::of(id.as_str());
            (hash, entry.loader.adapter_slots(now))
        });
        LocalLoads {
            active: u16::try_from(in_progress).unwrap_or(u16::MAX),
            waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
            adapter_slots: adapter_slots_by_engine.collect(),
        }
    }

    /// Returns the number of loads in progress and of adapters that wait for a load.
    fn load_counts(&self) -> (usize, usize) {
        let running = self.lock();
        let active = running.values().filter(|entry| entry.is_active);
        let loaders = active.map(|entry| &entry.loader);
        loaders.fold((0, 0), |(loading, waiting), loader| {
            (
                loading + loader.store_loads_in_progress(),
                waiting + loader.waiting_adapters(),
            )
        })
    }
}

/// Starts a loader for each engine of the held shards, until the process ends.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    loop {
        for target in engines_without_loader(&node) {
            tokio::spawn(run_loader(Arc::clone(&node), target));
        }
        node.tables().loads = node.loaders.local_loads(node.now());
        tokio::time::sleep(ENGINE_CHECK_INTERVAL).await;
    }
}

fn engines_without_loader<E: Edge>(node: &Node<E>) -> Vec<TargetId> {
    let settled_incarnations =
        (0..SHARDS).flat_map(|shard| node.leases.settled_incarnations(shard));
    let settled_incarnations = settled_incarnations.collect::<HashSet<_>>();
    let tables = node.tables();
    let mut running = node.loaders.lock();
    running.retain(|id, entry| entry.is_active || tables.registry.get(id).is_some());
    let mut found = Vec::new();
    for target in tables.registry.all() {
        let Some(slots) = adapter_slots(&tables, target) else {
            continue;
        };
        let previous = running.get(&target.id);
        let is_active = previous.is_some_and(|entry| entry.is_active);
        if is_active || !tables.shards.contains(&shard_of(&target.id)) {
            continue;
        }
        let is_settled = target
            .incarnation()
            .is_some_and(|incarnation| settled_incarnations.contains(&incarnation));
        let seen_at = tables.registry.incarnation_seen_at(&target.id);
        let seen_at = seen_at.filter(|_| !is_settled);
        let host_copies = running
            .values()
            .map(|entry| entry.loader.host_copies())
            .min();
        let mut loader = Loader::new(slots);
        if let Some(seen_at) = seen_at {
            loader = loader.with_incarnation_since(seen_at);
        }
        if let Some(host_copies) = host_copies {
            loader = loader.with_host_copies(host_copies);
        }
        if let Some(previous) = previous {
            loader = loader.with_previous_incarnation(&previous.loader);
        }
        let entry = RunningLoader {
            loader,
            is_active: true,
            born: target.born,
            update_count: 0,
            last_sent: Time::default(),
            model_requested: None,
            waiting_senders: HashMap::new(),
        };
        running.insert(target.id.clone(), entry);
        found.push(target.id.clone());
    }
    found
}

fn adapter_slots(tables: &Tables, target: &Target) -> Option<usize> {
    let service = tables.routes.config().service(&target.service)?;
    let engine = service.engine.as_ref()?;
    usize::try_from(engine.adapter_slots).ok()
}

async fn run_loader<E: Edge>(node: Arc<Node<E>>, id: TargetId) {
    while let Some((target, fencing)) = may_load(&node, &id) {
        let woken = node.loader_work.notified();
        match step(&node, &target) {
            LoadStep::Idle => {
                let _woken = tokio::time::timeout(MAX_SLEEP, woken).await;
            }
            LoadStep::Wait(until) => {
                let pause = until.since(node.now()).clamp(MIN_SLEEP, MAX_SLEEP);
                let _woken = tokio::time::timeout(pause, woken).await;
            }
            LoadStep::Read => read(&node, &target).await,
            LoadStep::Send(order) => {
                if !send_order(&node, &target, &order, fencing).await {
                    break;
                }
            }
        }
        publish(&node, &id, fencing);
    }
    if let Some(entry) = node.loaders.lock().get_mut(&id) {
        entry.is_active = false;
    }
}

/// Minimum sleep of a loader.
const MIN_SLEEP: Duration = Duration::from_millis(2);

/// Returns the target and the fencing number, while this instance may send orders to the target and the target
/// is in the incarnation for which the loader was started.
fn may_load<E: Edge>(node: &Node<E>, id: &TargetId) -> Option<(Target, u64)> {
    let tables = node.tables();
    let target = tables.registry.get(id)?.clone();
    let shard = shard_of(id);
    if !tables.shards.contains(&shard) {
        return None;
    }
    let fencing = node.leases.may_order(shard, node.now())?;
    let running = node.loaders.lock();
    let is_same_incarnation = running
        .get(id)
        .is_some_and(|entry| entry.born == target.born);
    is_same_incarnation.then_some((target, fencing))
}

fn step<E: Edge>(node: &Node<E>, target: &Target) -> LoadStep {
    let now = node.now();
    let (local, waiting) = node.loaders.load_counts();
    let tables = node.tables();
    let store_has_capacity = local < max_concurrent_loads(&tables, target, local + waiting, now);
    let model = missing_model(&tables, target, now);
    let mut running = node.loaders.lock();
    let Some(entry) = running.get_mut(&target.id) else {
        return LoadStep::Idle;
    };
    let may_request_model = entry
        .model_requested
        .is_none_or(|requested| now.since(requested) > MODEL_ORDER_INTERVAL);
    if let Some(model) = model
        && may_request_model
    {
        entry.model_requested = Some(now);
        entry.loader.request_model_load(model);
    }
    if target.models.is_empty() && entry.model_requested.is_none() {
        return LoadStep::Idle;
    }
    entry
        .loader
        .step(|key| tables.versions.newest(key), store_has_capacity, now)
}

/// Returns how many adapters this instance may load from the weight store at the same time: its share of what
/// the store carries at full speed, in proportion to the loads requested at each holder.
fn max_concurrent_loads(tables: &Tables, target: &Target, requested: usize, now: Time) -> usize {
    let config = tables.routes.config();
    let service = config.service(&target.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let max_loads = engine.map_or(1, |engine| engine.adapter_loads_at_once);
    let max_loads = usize::try_from(max_loads).unwrap_or(1);
    let peers = tables.peers.live(now);
    let others = peers.map(|peer| usize::from(peer.loads) + usize::from(peer.waiting_loads));
    let all = requested + others.sum::<usize>();
    let share = max_loads * LOADS_NUMERATOR * requested;
    share
        .div_ceil(LOADS_DENOMINATOR * all.max(1))
        .max(MIN_CONCURRENT_LOADS)
}

/// Returns the base model that the engine should load, if any.
fn missing_model(
    tables: &Tables,
    target: &Target,
    now: Time,
) -> Option<bluebellstage_core::BaseModel> {
    let is_drained = tables.drain_state(target, now) != DrainState::Open;
    if !target.models.is_empty() || is_drained {
        return None;
    }
    let service = tables.routes.config().service(&target.service)?;
    let model = service.engine.as_ref()?.models.first()?;
    if target.cached_models.contains(model) {
        return Some(model.clone());
    }
    let holders = tables
        .registry
        .all()
        .filter(|other| other.service == target.service && !tables.is_leaving(other, now))
        .filter(|other| other.models.contains(model))
        .collect::<Vec<_>>();
    let slots = holders.iter().map(|other| other.slots).sum::<u32>();
    let busy = holders.iter().map(|other| {
        let hash = ShortHash::of(other.id.as_str());
        tables.local_in_flight(&other.id) + tables.peers.load(hash).requests
    });
    let utilization = f64::from(busy.sum::<u32>()) / f64::from(slots.max(1));
    let needed = holders.len() < MIN_ENGINES_WITH_MODEL || utilization > MODEL_LOAD_UTILIZATION;
    needed.then(|| model.clone())
}

async fn read<E: Edge>(node: &Arc<Node<E>>, target: &Target) {
    let req = node.protocol.report_request(&target.id, target.address);
    let result = call_target(node, target, req, REPORT_LIMITS).await;
    let report = match result {
        Ok(res) if res.status().is_success() => node.protocol.report(res.body()),
        Ok(_) | Err(_) => None,
    };
    let id = target.id.to_string();
    match &report {
        None => event(
            LogEvent::OrderFailed,
            &[("target", &id), ("cause", "no report")],
        ),
        Some(report) if report.unreadable_adapters > 0 => {
            let count = report.unreadable_adapters.to_string();
            event(
                LogEvent::AdaptersUnread,
                &[("target", &id), ("count", &count)],
            );
        }
        Some(_) => {}
    }
    let now = node.now();
    if let Some(entry) = node.loaders.lock().get_mut(&target.id) {
        entry.loader.apply_report(report, now);
    }
}

/// Sends an order; returns `false` if the lease does not allow it any more.
async fn send_order<E: Edge>(
    node: &Arc<Node<E>>,
    target: &Target,
    order: &Order,
    fencing: u64,
) -> bool {
    let shard = shard_of(&target.id);
    let holder = node.settings.member.name.to_string();
    let req = node.protocol.order_request(target, order, &holder, fencing);
    // The lease is checked right before the send, since it may have expired while the machine was suspended.
    if node.leases.may_order(shard, node.now()) != Some(fencing) {
        return false;
    }
    let result = call_target(node, target, req, ORDER_LIMITS).await;
    let (outcome, status) = match result {
        Ok(res) => (
            node.protocol.order_outcome(res.status()),
            res.status().to_string(),
        ),
        Err(err) => (OrderOutcome::Unknown, err.to_string()),
    };
    node.metrics.order_ended(outcome.name());
    let slowdown = slowdown(node, target);
    let [id, kind] = [target.id.to_string(), describe(&order.kind)];
    let is_accepted = matches!(outcome, OrderOutcome::Accepted | OrderOutcome::Done);
    let log_event = if is_accepted {
        LogEvent::OrderSent
    } else {
        LogEvent::OrderFailed
    };
    let expected = order.expected_accepted.to_string();
    event(
        log_event,
        &[
            ("target", &id),
            ("order", &kind),
            ("expected", &expected),
            ("answer", &status),
        ],
    );
    let now = node.now();
    if let Some(entry) = node.loaders.lock().get_mut(&target.id) {
        entry.loader.record_outcome(order, outcome, slowdown, now);
    }
    true
}

/// Returns the factor by which concurrent loads slow down a load from the weight store, from the loads known
/// to be in progress.
fn slowdown<E: Edge>(node: &Node<E>, target: &Target) -> f64 {
    let (local, _) = node.loaders.load_counts();
    let now = node.now();
    let tables = node.tables();
    let peers = tables.peers.live(now).map(|peer| usize::from(peer.loads));
    let all = local + peers.sum::<usize>() + 1;
    let config = tables.routes.config();
    let service = config.service(&target.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let max_loads = engine
        .map_or(1, |engine| engine.adapter_loads_at_once)
        .max(1);
    let all = u32::try_from(all).unwrap_or(u32::MAX);
    (f64::from(all) / f64::from(max_loads)).max(1.0)
}

fn describe(kind: &OrderKind) -> String {
    match kind {
        OrderKind::LoadModel(model) => format!("load {model}"),
        OrderKind::LoadAdapter(key, Some(version)) => format!("load {key}@{version}"),
        OrderKind::LoadAdapter(key, None) => format!("load {key}"),
        OrderKind::UnloadAdapter(key) => format!("unload {key}"),
    }
}

/// Publishes the engine's residency update after a change and periodically: immediately to the instances that
/// wait for one of its adapters, to the others with the next batch.
fn publish<E: Edge>(node: &Node<E>, id: &TargetId, fencing: u64) {
    let now = node.now();
    let Some((update, waiting_senders)) = node.loaders.next_update(id, fencing, now) else {
        return;
    };
    let adapters = update.adapters();
    let mut tables = node.tables();
    tables
        .residency
        .apply_loader_update(id, update.order, &adapters, now);
    drop(tables);
    for sender in waiting_senders {
        let packet = Packet::ResidencyUpdates(vec![update.clone()]);
        node.send(Destination::Address(sender), packet);
    }
    node.residency_updates.queue(update);
    node.changed.notify_waiters();
}
