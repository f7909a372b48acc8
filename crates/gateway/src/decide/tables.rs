//! All that an instance knows, and the decisions that need several parts of it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{Revision, ServiceId, TargetId, Time, WorkspaceId};

use super::adapter::{AdapterKey, Wanted};
use super::call::Call;
use super::config::{Config, Route};
use super::exchange::Exchange;
use super::health::Health;
use super::lease::SHARDS;
use super::limits::Limits;
use super::loader::Places;
use super::peers::{Load, Member, Peer, Peers};
use super::placement::{Candidate, Known, Pick, pick_engine, pick_plain};
use super::prompt_queues::{PromptQueues, WaitingKey};
use super::quarantine::{Fingerprint, Quarantine};
use super::quota::{Charged, Quotas, Sharing};
pub use super::refusal::Refusal;
use super::registry::Registry;
use super::rendezvous::{ShortHash, name_hash};
use super::residency::Residency;
use super::retry_budget::{RetryBudget, RetryCounts};
use super::routes::{RouteTable, Routed, pick_service};
use super::store_waits::StoreWaits;
use super::versions::Versions;

/// Part of a target's connections that all instances together use: peers may not have heard yet
/// of one that has just joined.
const USED_CONNECTIONS: f64 = 0.85;
/// Part of a route's target latency for which a request waits for its workspace's quota: a refused
/// caller would lose more on its way back, and an engine still answers in the rest.
const QUOTA_PAUSE_PART: f64 = 0.4;
/// How long an adapter that was asked for at one engine isn't asked for at another one: a load from
/// the weight store comes within half of it, even if twice as many as at full speed are under way.
const ASKED_LASTS: Duration = Duration::from_secs(1);
/// Part of the loads that the weight store carries at once from which as many that wait count as a
/// crowd: those that wait for places are among them.
const CROWDED_PART: u32 = 2;
/// Longest time that a refused caller is told to wait; later it has little time left.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Loads on the engines whose shards an instance holds.
#[derive(Clone, Debug, Default)]
pub struct OwnLoads {
    /// Loads from the weight store that are under way.
    pub under_way: u16,
    /// Adapters that wait for a load.
    pub waiting: u16,
    /// Places for adapters on each engine.
    pub places: HashMap<ShortHash, Places>,
}

/// All that an instance knows.
#[derive(Debug)]
pub struct Tables {
    /// This instance.
    pub me: Member,
    /// When the process started.
    pub started: Time,
    /// The configuration in force.
    pub routes: Arc<RouteTable>,
    /// Targets.
    pub registry: Registry,
    /// Other instances.
    pub peers: Peers,
    /// Buckets of workspaces.
    pub quotas: Quotas,
    /// Requests and repeats.
    pub retries: RetryCounts,
    /// What targets proved to be.
    pub health: Health,
    /// Limits that targets name.
    pub limits: Limits,
    /// Requests under which targets end.
    pub quarantine: Quarantine,
    /// Which engine holds which adapter.
    pub residency: Residency,
    /// Newest versions of adapters.
    pub versions: Versions,
    /// Requests that engines have not begun.
    pub queues: PromptQueues,
    /// Shards on which this instance may order loads now.
    pub shards: Vec<u8>,
    /// Shards whose leases this instance holds, also while it may not order yet.
    pub claims: Vec<u8>,
    /// Loads on the engines whose shards this instance holds.
    pub loads: OwnLoads,
    /// Calls to the store by kind of objects.
    pub store_waits: StoreWaits,
    /// What is told to other instances and heard from them.
    pub exchange: Exchange,
    /// A planned stop was asked for.
    pub stopping: bool,
    budget: RetryBudget,
    in_flight: HashMap<TargetId, u32>,
    /// Suspected requests of this instance at each target.
    suspects_at: HashMap<TargetId, u32>,
    /// Where adapters were asked for lately, so that all that wait for one wait at one engine.
    asked: HashMap<AdapterKey, (TargetId, Time)>,
}

/// A request that may go on.
#[derive(Clone, Debug)]
pub struct Ticket {
    routes: Arc<RouteTable>,
    route: usize,
    /// The service that runs it.
    pub service: ServiceId,
    /// Who pays.
    pub workspace: Option<WorkspaceId>,
    /// What was charged.
    pub charge: u64,
    /// Time until the quota has room for it.
    pub pause: Duration,
    /// Rank, 0 first.
    pub rank: u8,
}

impl Ticket {
    /// The route.
    #[must_use]
    pub fn route(&self) -> &Route {
        self.routes.route(self.route)
    }

    /// Version of the configuration that it was admitted under.
    #[must_use]
    pub fn config(&self) -> Revision {
        self.routes.version()
    }
}

impl Tables {
    /// Knows nothing but itself.
    #[must_use]
    pub fn new(me: Member, budget: RetryBudget) -> Self {
        Self {
            me,
            started: Time::default(),
            routes: Arc::default(),
            registry: Registry::default(),
            peers: Peers::default(),
            quotas: Quotas::default(),
            retries: RetryCounts::default(),
            health: Health::default(),
            limits: Limits::default(),
            quarantine: Quarantine::default(),
            residency: Residency::default(),
            versions: Versions::default(),
            queues: PromptQueues::default(),
            shards: Vec::new(),
            claims: Vec::new(),
            loads: OwnLoads::default(),
            store_waits: StoreWaits::default(),
            exchange: Exchange::default(),
            stopping: false,
            budget,
            in_flight: HashMap::new(),
            suspects_at: HashMap::new(),
            asked: HashMap::new(),
        }
    }

    /// Puts another limit on repeats in force.
    pub fn set_retry_budget(&mut self, budget: RetryBudget) {
        self.budget = budget;
    }

    /// A configuration is known.
    #[must_use]
    pub fn configured(&self) -> bool {
        self.routes.version() > Revision::default()
    }

    /// Callers may be sent here.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.configured() && !self.stopping
    }

    /// Puts a configuration in force, unless it is older; true if it is newer.
    pub fn adopt(&mut self, config: Config, now: Time) -> bool {
        if config.version <= self.routes.version() {
            return false;
        }
        let silent = self.unheard_share(now);
        for workspace in &config.workspaces {
            if let Some(quota) = workspace.quota {
                self.quotas.prepare(&workspace.name, quota, silent, now);
            }
        }
        self.routes = Arc::new(RouteTable::new(Arc::new(config)));
        true
    }

    /// Lets a request in, or says why not. `draw` is random.
    ///
    /// # Errors
    ///
    /// The refusal, if the request may not go on.
    pub fn admit(&mut self, call: &Call, draw: u64, now: Time) -> Result<Ticket, Refusal> {
        if !self.configured() {
            return Err(Refusal::NotConfigured);
        }
        let (route, workspace) = match self.routes.find(call) {
            Routed::To { route, workspace } => (route, workspace),
            Routed::NoRoute => return Err(Refusal::NoRoute),
            Routed::UnknownKey => return Err(Refusal::UnknownKey),
        };
        let routes = Arc::clone(&self.routes);
        let service = pick_service(routes.route(route), draw).ok_or(Refusal::NoTarget)?;
        let workspace = workspace.map(|idx| routes.workspace(idx));
        let mut charge = 0;
        let mut pause = Duration::ZERO;
        if let Some(workspace) = workspace
            && let Some(quota) = workspace.quota
        {
            charge = quota.unit.charge(call.tokens);
            let sharing = Sharing {
                silent: self.unheard_share(now),
                lag: self.news_age(now),
            };
            let longest_pause = routes.route(route).target_latency.mul_f64(QUOTA_PAUSE_PART);
            let name = &workspace.name;
            let quotas = &mut self.quotas;
            match quotas.charge(name, quota, charge, sharing, longest_pause, now) {
                Charged::Within => {}
                Charged::After(wait) => pause = wait,
                Charged::Over { retry_after, left } => {
                    return Err(Refusal::OverQuota {
                        workspace: name.clone(),
                        retry_after: retry_after.min(LONGEST_RETRY_AFTER),
                        left,
                        charge,
                        rate: quota.rate,
                    });
                }
            }
        }
        self.retries.request(service, now);
        let rank = workspace.and_then(|workspace| workspace.rank);
        Ok(Ticket {
            service: service.clone(),
            workspace: workspace.map(|workspace| workspace.name.clone()),
            charge,
            pause,
            rank: rank.unwrap_or(routes.route(route).rank),
            route,
            routes,
        })
    }

    /// Gives back what a request was charged that did not run.
    pub fn not_run(&mut self, ticket: &Ticket) {
        if let Some(workspace) = &ticket.workspace {
            self.quotas.give_back(workspace, ticket.charge);
        }
    }

    /// Picks the target for a request, those in `tried` left out. `draw` is random, from 0 to 1. The request is
    /// charged to the target's limit, if it names one.
    ///
    /// What a target in need takes goes to requests that nothing else can run now.
    #[must_use]
    pub fn pick(
        &mut self,
        ticket: &Ticket,
        call: &Call,
        tried: &[TargetId],
        draw: f64,
        now: Time,
    ) -> Pick {
        if self.limits.is_empty() {
            return self.pick_any(ticket, call, tried, draw, now);
        }
        let limited = self.limits.all().map(|(target, _)| target);
        let of_service = |target: &&TargetId| {
            let known = self.registry.get(target);
            known.is_some_and(|known| known.service == ticket.service)
        };
        let limited = limited.filter(of_service).cloned().collect::<Vec<_>>();
        if limited.is_empty() {
            return self.pick_any(ticket, call, tried, draw, now);
        }
        let rested = |target: &&TargetId| !self.limits.may_be_over(target, now);
        let mut left_out = tried.to_vec();
        left_out.extend(limited.iter().filter(rested).cloned());
        let first = self.pick_within_limits(ticket, call, &mut left_out, draw, now);
        if matches!(first, Pick::Send { .. }) {
            return first;
        }
        let mut left_out = tried.to_vec();
        let second = self.pick_within_limits(ticket, call, &mut left_out, draw, now);
        match (first, second) {
            (_, second @ Pick::Send { .. }) => second,
            (Pick::Nowhere, Pick::Nowhere) => Pick::Full,
            (first, _) => first,
        }
    }

    /// Picks a target whose limit has room, and charges it; those that have none are added to `left_out`.
    fn pick_within_limits(
        &mut self,
        ticket: &Ticket,
        call: &Call,
        left_out: &mut Vec<TargetId>,
        draw: f64,
        now: Time,
    ) -> Pick {
        loop {
            let pick = self.pick_any(ticket, call, left_out, draw, now);
            match &pick {
                Pick::Send { target, .. } if !self.charge_limit(target, now) => {
                    left_out.push(target.clone());
                }
                _ => return pick,
            }
        }
    }

    fn pick_any(
        &mut self,
        ticket: &Ticket,
        call: &Call,
        tried: &[TargetId],
        draw: f64,
        now: Time,
    ) -> Pick {
        let config = self.routes.config();
        let limit = config.service(&ticket.service).map_or(1, |service| {
            self.connection_limit(service.max_connections, now)
        });
        let candidates = self
            .registry
            .all()
            .filter(|target| target.service == ticket.service)
            .filter(|target| !tried.contains(&target.id))
            .map(|target| {
                let own = self.own_in_flight(&target.id);
                let others = self.peers.load(ShortHash::of(target.id.as_str()));
                let prompts = self.queues.own(&target.id) + u64::from(others.prompts);
                Candidate {
                    target,
                    in_flight: own + others.requests,
                    wait: self.queues.reading(&target.id, prompts),
                    reading: self.queues.reading(&target.id, call.prompt.0),
                    longest_wait: self.queues.longest_wait(&target.id, now),
                    connectable: own < limit,
                    // An adapter that is loaded where little is taken serves few.
                    loadable: self.loader_reachable(&target.id, now)
                        && self.limits.of(&target.id).is_none(),
                    places: self.places(&target.id, now),
                }
            })
            .collect::<Vec<_>>();
        let known = Known {
            health: &self.health,
            residency: &self.residency,
            versions: &self.versions,
            failure_domain: &self.me.failure_domain,
            target_latency: ticket.route().target_latency,
            rank: ticket.rank,
            asked: self.asked_at(call, now),
            draw,
            now,
        };
        let pick = match &call.wanted {
            Some(wanted) if is_engine(config, &ticket.service) => {
                pick_engine(&candidates, wanted, call.prompt_start, &known)
            }
            _ => pick_plain(&candidates, &known),
        };
        if let (Pick::Load(target), Some(key)) = (&pick, Self::adapter_of(call)) {
            let asked = self.asked.entry(key.clone());
            let asked = asked.or_insert_with(|| (target.clone(), now));
            if asked.0 != *target {
                *asked = (target.clone(), now);
            }
        }
        pick
    }

    /// Picks as [`Tables::pick`] does. A suspect goes apart from the others if it can.
    #[must_use]
    pub fn pick_apart(
        &mut self,
        request: Fingerprint,
        ticket: &Ticket,
        call: &Call,
        tried: &[TargetId],
        draw: f64,
        now: Time,
    ) -> Pick {
        if self.quarantine.suspicion(request) > 0 {
            let targets = self.registry.all().map(|target| &target.id);
            let others = targets.filter(|id| {
                self.suspects_at.contains_key(*id) || !self.quarantine.is_apart(request, id)
            });
            let left_out = tried.iter().chain(others).cloned().collect::<Vec<_>>();
            let pick = self.pick(ticket, call, &left_out, draw, now);
            if matches!(pick, Pick::Send { .. } | Pick::Load(_)) {
                return pick;
            }
        }
        self.pick(ticket, call, tried, draw, now)
    }

    /// The engine where the call's adapter was asked for lately.
    fn asked_at(&self, call: &Call, now: Time) -> Option<&TargetId> {
        let (target, at) = self.asked.get(Self::adapter_of(call)?)?;
        (now.since(*at) < ASKED_LASTS).then_some(target)
    }

    /// Connections to one target that this instance may have, of `most` for all.
    #[must_use]
    pub fn connection_limit(&self, most: u32, now: Time) -> u32 {
        let sharing = u32::try_from(self.peers.sharing(now)).unwrap_or(u32::MAX);
        let share = f64::from(most) * USED_CONNECTIONS / f64::from(sharing);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a u32 fits one"
        )]
        let share = share as u32;
        share.max(1)
    }

    /// Whether so many adapters wait for a load that the weight store is busy for a while.
    #[must_use]
    pub fn loads_crowded(&self, ticket: &Ticket, now: Time) -> bool {
        let service = self.routes.config().service(&ticket.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let at_once = engine.map_or(0, |engine| engine.adapter_loads_at_once);
        let others = self.peers.live(now);
        let others = others.map(|peer| u32::from(peer.waiting_loads));
        u32::from(self.loads.waiting) + others.sum::<u32>() > at_once / CROWDED_PART
    }

    /// Places for adapters on an engine, as its holder last told.
    fn places(&self, target: &TargetId, now: Time) -> Places {
        let hash = ShortHash::of(target.as_str());
        let own = self.loads.places.get(&hash);
        let told = || {
            let holder = self.peers.holder(shard_of(target), now)?;
            holder.places.get(&hash)
        };
        own.or_else(told).copied().unwrap_or_default()
    }

    fn loader_reachable(&self, target: &TargetId, now: Time) -> bool {
        let shard = shard_of(target);
        self.shards.contains(&shard) || self.peers.holder(shard, now).is_some()
    }

    /// Whether `peer` knows something of the store that this instance doesn't.
    #[must_use]
    pub fn is_behind(&self, peer: &Peer) -> bool {
        let other_targets = peer.targets > self.registry.revision()
            && peer.targets_digest != self.registry.digest();
        let newer_config = peer.config > self.routes.version();
        let other_verdicts =
            peer.verdicts_digest != 0 && peer.verdicts_digest != self.quarantine.digest();
        let newer_versions = peer.versions > self.versions.total();
        newer_config || other_targets || newer_versions || other_verdicts
    }

    /// Takes one repeat out of the service's budget; false if there is none left.
    pub fn take_retry(&mut self, service: &ServiceId, now: Time) -> bool {
        let sharing = self.peers.sharing(now);
        self.retries.take(service, self.budget, sharing, now)
    }

    /// Requests of this instance at a target.
    #[must_use]
    pub fn own_in_flight(&self, target: &TargetId) -> u32 {
        self.in_flight.get(target).copied().unwrap_or(0)
    }

    /// What this instance has at each target.
    pub fn own_loads(&self) -> impl Iterator<Item = (&TargetId, Load)> {
        self.in_flight.iter().map(|(target, requests)| {
            let load = Load {
                requests: *requests,
                prompts: u32::try_from(self.queues.own(target)).unwrap_or(u32::MAX),
            };
            (target, load)
        })
    }

    /// A request goes to an engine; it waits there until it begins.
    pub fn sent_prompt(&mut self, target: &TargetId, call: &Call, now: Time) -> WaitingKey {
        let others = self.peers.load(ShortHash::of(target.as_str())).prompts;
        self.queues
            .sent(target, call.prompt.0, u64::from(others), now)
    }

    /// A request goes to a target.
    pub fn begin(&mut self, target: &TargetId) {
        *self.in_flight.entry(target.clone()).or_default() += 1;
    }

    /// A request has left a target.
    pub fn end(&mut self, target: &TargetId) {
        if let Some(count) = self.in_flight.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(target);
            }
        }
    }

    /// A suspected request goes to a target.
    pub fn begin_suspect(&mut self, target: &TargetId) {
        *self.suspects_at.entry(target.clone()).or_default() += 1;
    }

    /// A suspected request has left a target.
    pub fn end_suspect(&mut self, target: &TargetId) {
        if let Some(count) = self.suspects_at.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.suspects_at.remove(target);
            }
        }
    }

    /// Housekeeping; called a few times a second.
    pub fn sweep(&mut self, now: Time) {
        self.registry.sweep(now);
        self.peers.sweep(now);
        self.residency.sweep(now);
        self.retries.prune(self.budget.window, now);
        let registry = &self.registry;
        self.health.keep(|target| registry.get(target).is_some());
        for target in self.limits.forget(|target| registry.get(target).is_none()) {
            self.quotas.close(&target);
        }
        self.residency.keep(|target| registry.get(target).is_some());
        self.asked.retain(|_, (_, at)| now.since(*at) < ASKED_LASTS);
        self.queues.keep(|target| registry.get(target).is_some());
    }

    /// Whether requests of this kind need an adapter loaded before they can run.
    #[must_use]
    pub fn adapter_of(call: &Call) -> Option<&super::adapter::AdapterKey> {
        match &call.wanted {
            Some(Wanted::Adapter(key)) => Some(key),
            _ => None,
        }
    }
}

fn is_engine(config: &Config, service: &ServiceId) -> bool {
    let service = config.service(service);
    service.is_some_and(|service| service.engine.is_some())
}

/// The loader shard that an engine belongs to; never changes.
#[must_use]
pub fn shard_of(target: &TargetId) -> u8 {
    u8::try_from(name_hash(target.as_str()) % u64::from(SHARDS)).unwrap_or(0)
}
