//! Runs the loaders of the engines whose shards this instance holds.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use crate::decide::lease::SHARDS;
use crate::decide::loader::{LoadStep, Loader, Order, OrderKind, OrderOutcome};
use crate::decide::rendezvous::ShortHash;
use crate::decide::residency::ResidencyVersion;
use crate::decide::tables::{LocalLoads, Tables, shard_of};
use crate::decide::target::Target;
use crate::edge::{Edge, Protocol};
use crate::packet::{Holdings, Packet, Wish, WishKind};

use super::caller::call_target;
use super::log::{LogEvent, event};
use super::node::{Node, Receiver};

/// Loads that the holders together allow themselves, as a fraction of those at full speed: what
/// they know of each other is a tenth of a second old, and a store that waits for an order loses
/// more than loads that run a quarter longer.
const BEYOND_FULL_SPEED: usize = 5;
const FULL_SPEED: usize = 4;
/// Loads that every holder may have under way.
const LEAST_AT_ONCE: usize = 2;
/// Longest wait for an engine's report.
const REPORT_WITHIN: Duration = Duration::from_millis(400);
/// Longest wait for the answer to an order. Engines answer in 3 ms, and a machine whose processor
/// share is used up stands still for most of 100 ms. An order that takes longer than this is taken
/// for lost, which is safe, and the adapter's requests wait no longer.
const ORDER_WITHIN: Duration = Duration::from_millis(130);
/// Least pause between words on holdings that did not change: a datagram may be lost.
const REPEAT_WORD: Duration = Duration::from_secs(4);
/// The same for each engine of an instance: 750 engines, as many as it may hold before 3,000, are
/// told of again within 30 s, 25 words or two datagrams a second to each peer.
const REPEAT_PER_ENGINE: Duration = Duration::from_millis(40);
/// Age of a wish up to which its sender is told at once what the engine holds.
const ASKED_LATELY: Duration = Duration::from_millis(1_500);
/// Pause between looks for engines without a loader.
const LOOK: Duration = Duration::from_millis(100);
/// Longest sleep of a loader.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);
/// Load of the fleet, in parts of its slots, above which an engine that comes empty gets its base
/// model from the weight store. Below it the others have room, and the load is not worth its
/// place in the store's rate.
const FETCH_MODEL_ABOVE: f64 = 0.35;
/// Engines with the base model that are kept in any case.
const LEAST_WITH_MODEL: usize = 3;
/// Pause between two orders for the same engine's base model.
const MODEL_PAUSE: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct Running {
    loader: Loader,
    born: Option<u64>,
    word: u64,
    told: Time,
    model_asked: Option<Time>,
    /// Where instances are whose requests waited for an adapter of it lately.
    askers: HashMap<SocketAddr, Time>,
    /// Its task runs; one that doesn't is kept for what it knows of unanswered orders.
    active: bool,
}

fn repeat_word(engines: usize) -> Duration {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    REPEAT_PER_ENGINE.saturating_mul(engines).max(REPEAT_WORD)
}

/// The loaders that run here.
#[derive(Debug, Default)]
pub(super) struct Loaders {
    running: Mutex<HashMap<TargetId, Running>>,
}

impl Loaders {
    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in wishes for engines whose loaders run here; others are dropped, as their sender
    /// repeats them to the new holder.
    pub(super) fn take(&self, wishes: Vec<Wish>, from: Option<SocketAddr>, now: Time) {
        let mut running = self.lock();
        for wish in wishes {
            let Some(entry) = running.get_mut(&wish.target).filter(|entry| entry.active) else {
                continue;
            };
            if let (WishKind::Load(_), Some(from)) = (wish.kind, from) {
                entry.askers.insert(from, now);
            }
            match wish.kind {
                WishKind::Load(version) => entry.loader.request_load(wish.key, version, now),
                WishKind::Begun => entry.loader.request_started(&wish.key, now),
                WishKind::Ended => entry.loader.request_ended(&wish.key, now),
                WishKind::Missing => entry.loader.adapter_missing(&wish.key, now),
            }
        }
    }

    /// The word on what an engine holds, if one is due, and who waits for it.
    fn word(&self, id: &TargetId, fencing: u64, now: Time) -> Option<(Holdings, Vec<SocketAddr>)> {
        let mut running = self.lock();
        let engines = running.len();
        let entry = running.get_mut(id)?;
        let due = now.since(entry.told) > repeat_word(engines);
        if !entry.loader.take_changed() && !due {
            return None;
        }
        entry.told = now;
        entry.word += 1;
        let order = ResidencyVersion {
            fencing,
            count: entry.word,
        };
        let adapters = entry.loader.usable_adapters(now);
        entry
            .askers
            .retain(|_, asked| now.since(*asked) < ASKED_LATELY);
        let askers = entry.askers.keys().copied().collect();
        Some((Holdings::new(id.clone(), order, adapters), askers))
    }

    fn own_loads(&self, now: Time) -> LocalLoads {
        let (under_way, waiting) = self.load();
        let running = self.lock();
        let active = running.iter().filter(|(_, entry)| entry.active);
        let places = active.map(|(id, entry)| {
            let hash = ShortHash::of(id.as_str());
            (hash, entry.loader.adapter_slots(now))
        });
        LocalLoads {
            active: u16::try_from(under_way).unwrap_or(u16::MAX),
            waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
            adapter_slots: places.collect(),
        }
    }

    /// Loads under way, and adapters that wait for one.
    fn load(&self) -> (usize, usize) {
        let running = self.lock();
        let active = running.values().filter(|entry| entry.active);
        let loaders = active.map(|entry| &entry.loader);
        loaders.fold((0, 0), |(loading, waiting), loader| {
            (
                loading + loader.store_loads_in_progress(),
                waiting + loader.waiting_adapters(),
            )
        })
    }
}

/// Starts a loader for each engine of the shards held, until the process ends.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    loop {
        for target in engines_without_loader(&node) {
            tokio::spawn(load_for(Arc::clone(&node), target));
        }
        node.tables().loads = node.loaders.own_loads(node.now());
        tokio::time::sleep(LOOK).await;
    }
}

fn engines_without_loader<E: Edge>(node: &Node<E>) -> Vec<TargetId> {
    let settled = (0..SHARDS).flat_map(|shard| node.leases.settled(shard));
    let settled = settled.collect::<HashSet<_>>();
    let tables = node.tables();
    let mut running = node.loaders.lock();
    running.retain(|id, entry| entry.active || tables.registry.get(id).is_some());
    let mut found = Vec::new();
    for target in tables.registry.all() {
        let Some(slots) = adapter_slots(&tables, target) else {
            continue;
        };
        let former = running.get(&target.id);
        let active = former.is_some_and(|entry| entry.active);
        if active || !tables.shards.contains(&shard_of(&target.id)) {
            continue;
        }
        let known = target
            .incarnation()
            .is_some_and(|life| settled.contains(&life));
        let seen = tables.registry.incarnation_seen_at(&target.id);
        let seen = seen.filter(|_| !known);
        let shown = running
            .values()
            .map(|entry| entry.loader.host_copies())
            .min();
        let mut loader = Loader::new(slots);
        if let Some(seen) = seen {
            loader = loader.with_incarnation_since(seen);
        }
        if let Some(copies) = shown {
            loader = loader.with_host_copies(copies);
        }
        if let Some(former) = former {
            loader = loader.with_previous_incarnation(&former.loader);
        }
        let entry = Running {
            loader,
            active: true,
            born: target.born,
            word: 0,
            told: Time::default(),
            model_asked: None,
            askers: HashMap::new(),
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

async fn load_for<E: Edge>(node: Arc<Node<E>>, id: TargetId) {
    while let Some((target, fencing)) = may_load(&node, &id) {
        let woken = node.loader_work.notified();
        match step(&node, &target) {
            LoadStep::Idle => {
                let _woken = tokio::time::timeout(LONGEST_SLEEP, woken).await;
            }
            LoadStep::Wait(until) => {
                let pause = until.since(node.now()).clamp(SHORTEST_SLEEP, LONGEST_SLEEP);
                let _woken = tokio::time::timeout(pause, woken).await;
            }
            LoadStep::Read => read(&node, &target).await,
            LoadStep::Send(order) => {
                if !order_now(&node, &target, &order, fencing).await {
                    break;
                }
            }
        }
        tell(&node, &id, fencing);
    }
    if let Some(entry) = node.loaders.lock().get_mut(&id) {
        entry.active = false;
    }
}

/// Shortest sleep of a loader.
const SHORTEST_SLEEP: Duration = Duration::from_millis(2);

/// The target and the fencing number, while this instance may order on it and it lives the same
/// life.
fn may_load<E: Edge>(node: &Node<E>, id: &TargetId) -> Option<(Target, u64)> {
    let tables = node.tables();
    let target = tables.registry.get(id)?.clone();
    let shard = shard_of(id);
    if !tables.shards.contains(&shard) {
        return None;
    }
    let fencing = node.leases.may_order(shard, node.now())?;
    let running = node.loaders.lock();
    let same_life = running
        .get(id)
        .is_some_and(|entry| entry.born == target.born);
    same_life.then_some((target, fencing))
}

fn step<E: Edge>(node: &Node<E>, target: &Target) -> LoadStep {
    let now = node.now();
    let (own, waiting) = node.loaders.load();
    let tables = node.tables();
    let store_free = own < loads_at_once(&tables, target, own + waiting, now);
    let model = missing_model(&tables, target);
    let mut running = node.loaders.lock();
    let Some(entry) = running.get_mut(&target.id) else {
        return LoadStep::Idle;
    };
    let rested = entry
        .model_asked
        .is_none_or(|asked| now.since(asked) > MODEL_PAUSE);
    if let Some(model) = model
        && rested
    {
        entry.model_asked = Some(now);
        entry.loader.request_model_load(model);
    }
    if target.models.is_empty() && entry.model_asked.is_none() {
        return LoadStep::Idle;
    }
    entry
        .loader
        .step(|key| tables.versions.newest(key), store_free, now)
}

/// Adapters that this instance may have on their way from the weight store: its part of what the
/// store carries at full speed, by what is asked for at each holder.
fn loads_at_once(tables: &Tables, target: &Target, asked: usize, now: Time) -> usize {
    let config = tables.routes.config();
    let service = config.service(&target.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let most = engine.map_or(1, |engine| engine.adapter_loads_at_once);
    let most = usize::try_from(most).unwrap_or(1);
    let peers = tables.peers.live(now);
    let others = peers.map(|peer| usize::from(peer.loads) + usize::from(peer.waiting_loads));
    let all = asked + others.sum::<usize>();
    let share = most * BEYOND_FULL_SPEED * asked;
    share.div_ceil(FULL_SPEED * all.max(1)).max(LEAST_AT_ONCE)
}

/// The base model that the engine should load.
fn missing_model(tables: &Tables, target: &Target) -> Option<bluebellstage_core::BaseModel> {
    if !target.models.is_empty() || target.leaving {
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
        .filter(|other| other.service == target.service && !other.leaving)
        .filter(|other| other.models.contains(model))
        .collect::<Vec<_>>();
    let slots = holders.iter().map(|other| other.slots).sum::<u32>();
    let busy = holders.iter().map(|other| {
        let hash = ShortHash::of(other.id.as_str());
        tables.local_in_flight(&other.id) + tables.peers.load(hash).requests
    });
    let fill = f64::from(busy.sum::<u32>()) / f64::from(slots.max(1));
    let needed = holders.len() < LEAST_WITH_MODEL || fill > FETCH_MODEL_ABOVE;
    needed.then(|| model.clone())
}

async fn read<E: Edge>(node: &Arc<Node<E>>, target: &Target) {
    let req = node.protocol.report_request(target);
    let answered = call_target(node, &target.id, target.address, req, REPORT_WITHIN).await;
    let report = match answered {
        Ok((status, body)) if status.is_success() => node.protocol.report(&body),
        Ok(_) | Err(_) => None,
    };
    if report.is_none() {
        let id = target.id.to_string();
        event(
            LogEvent::OrderFailed,
            &[("target", &id), ("cause", "no report")],
        );
    }
    let now = node.now();
    if let Some(entry) = node.loaders.lock().get_mut(&target.id) {
        entry.loader.apply_report(report, now);
    }
}

/// Sends an order; false if the lease does not allow it any more.
async fn order_now<E: Edge>(
    node: &Arc<Node<E>>,
    target: &Target,
    order: &Order,
    fencing: u64,
) -> bool {
    let shard = shard_of(&target.id);
    let holder = node.settings.member.name.to_string();
    let req = node.protocol.order_request(target, order, &holder, fencing);
    // The time may have passed in a suspension: the lease is looked at right before the send.
    if node.leases.may_order(shard, node.now()) != Some(fencing) {
        return false;
    }
    let answered = call_target(node, &target.id, target.address, req, ORDER_WITHIN).await;
    let (answer, status) = match answered {
        Ok((status, _)) => (node.protocol.order_answer(status), status.to_string()),
        Err(err) => (OrderOutcome::Unknown, err.to_string()),
    };
    node.metrics.ordered(answer.name());
    let stretch = stretch(node, target);
    let [id, what] = [target.id.to_string(), describe(&order.kind)];
    let taken = matches!(answer, OrderOutcome::Accepted | OrderOutcome::Done);
    let told = if taken {
        LogEvent::OrderSent
    } else {
        LogEvent::OrderFailed
    };
    let expected = order.expected_accepted.to_string();
    event(
        told,
        &[
            ("target", &id),
            ("order", &what),
            ("expected", &expected),
            ("answer", &status),
        ],
    );
    let now = node.now();
    if let Some(entry) = node.loaders.lock().get_mut(&target.id) {
        entry.loader.record_outcome(order, answer, stretch, now);
    }
    true
}

/// How much longer a load from the weight store takes than alone, by the loads known to be under
/// way.
fn stretch<E: Edge>(node: &Node<E>, target: &Target) -> f64 {
    let (own, _) = node.loaders.load();
    let now = node.now();
    let tables = node.tables();
    let peers = tables.peers.live(now).map(|peer| usize::from(peer.loads));
    let all = own + peers.sum::<usize>() + 1;
    let config = tables.routes.config();
    let service = config.service(&target.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let at_once = engine
        .map_or(1, |engine| engine.adapter_loads_at_once)
        .max(1);
    let all = u32::try_from(all).unwrap_or(u32::MAX);
    (f64::from(all) / f64::from(at_once)).max(1.0)
}

fn describe(what: &OrderKind) -> String {
    match what {
        OrderKind::LoadModel(model) => format!("load {model}"),
        OrderKind::LoadAdapter(key, Some(version)) => format!("load {key}@{version}"),
        OrderKind::LoadAdapter(key, None) => format!("load {key}"),
        OrderKind::UnloadAdapter(key) => format!("unload {key}"),
    }
}

/// Tells the instances what the engine holds, when it changed and now and then: those at once that
/// wait for one of its adapters, the others with the next batch.
fn tell<E: Edge>(node: &Node<E>, id: &TargetId, fencing: u64) {
    let now = node.now();
    let Some((word, askers)) = node.loaders.word(id, fencing, now) else {
        return;
    };
    let adapters = word.adapters();
    let mut tables = node.tables();
    tables
        .residency
        .apply_loader_update(id, word.order, &adapters, now);
    drop(tables);
    for asker in askers {
        let packet = Packet::Holdings(vec![word.clone()]);
        node.send(Receiver::Address(asker), packet);
    }
    node.words.queue(word);
    node.changed.notify_waiters();
}
