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
use super::picking::ASKED_LASTS;
use super::prompt_queues::{PromptQueues, WaitingKey};
use super::quarantine::Quarantine;
use super::quota::{ChargeOutcome, PeerVisibility, Quotas};
pub use super::refusal::Refusal;
use super::registry::Registry;
use super::rendezvous::{ShortHash, name_hash};
use super::residency::Residency;
use super::retry_budget::{RetryBudget, RetryCounts};
use super::routes::{RouteTable, Routed, pick_service};
use super::store_waits::StoreWaits;
use super::versions::Versions;

/// Part of a route's target latency for which a request waits for its workspace's quota: a refused
/// caller would lose more on its way back, and an engine still answers in the rest.
const QUOTA_PAUSE_PART: f64 = 0.4;
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
    pub(super) suspects_at: HashMap<TargetId, u32>,
    /// Where adapters were asked for lately, so that all that wait for one wait at one engine.
    pub(super) asked: HashMap<AdapterKey, (TargetId, Time)>,
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
            let sharing = PeerVisibility {
                silent_fraction: self.unheard_share(now),
                staleness: self.news_age(now),
            };
            let longest_pause = routes.route(route).target_latency.mul_f64(QUOTA_PAUSE_PART);
            let name = &workspace.name;
            let quotas = &mut self.quotas;
            match quotas.charge(name, quota, charge, sharing, longest_pause, now) {
                ChargeOutcome::Accepted => {}
                ChargeOutcome::AcceptedAfter(wait) => pause = wait,
                ChargeOutcome::Rejected {
                    retry_after,
                    remaining,
                } => {
                    return Err(Refusal::OverQuota {
                        workspace: name.clone(),
                        retry_after: retry_after.min(LONGEST_RETRY_AFTER),
                        remaining,
                        charge,
                        rate: quota.rate,
                    });
                }
            }
        }
        self.retries.record_request(service, now);
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
            self.quotas.refund(workspace, ticket.charge);
        }
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
        self.retries.take_retry(service, self.budget, sharing, now)
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
            .sent(target, call.prompt_tokens.0, u64::from(others), now)
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
        for target in self
            .limits
            .remove_gone(|target| registry.get(target).is_none())
        {
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

/// The loader shard that an engine belongs to; never changes.
#[must_use]
pub fn shard_of(target: &TargetId) -> u8 {
    u8::try_from(name_hash(target.as_str()) % u64::from(SHARDS)).unwrap_or(0)
}
