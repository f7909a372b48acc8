//! The state of an instance, and the decisions that depend on several parts of it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{Revision, ServiceId, TargetId, Time};

use super::adapters::adapter::{AdapterKey, RequestedModel};
use super::adapters::loader::AdapterSlots;
use super::adapters::residency::Residency;
use super::adapters::versions::Versions;
use super::brittle::BrittleTargets;
use super::call::Call;
use super::config::Config;
use super::departures::Departures;
use super::dump::RetryDump;
use super::evacuations::Evacuations;
use super::exchange::Exchange;
use super::fair_share::FairShares;
use super::health::Health;
use super::lease::SHARDS;
use super::limits::Limits;
use super::owner::Owners;
use super::pace::{Pace, PaceTarget};
use super::partition::Partitions;
use super::paths::Paths;
use super::peers::{Load, Member, Peer, Peers};
use super::picking::LOAD_TARGET_TTL;
use super::prompt_queues::{PromptQueues, WaitingKey};
use super::quarantine::Quarantine;
use super::quota::Quotas;
use super::ranked_tokens::RankClass;
pub use super::refusal::Refusal;
use super::registry::Registry;
use super::rendezvous::{ShortHash, name_hash};
use super::rests::Rests;
use super::retry_budget::{RetryBudget, RetryCounts, RetryShare};
use super::routes::RouteTable;
use super::store::calls::StoreCalls;
use super::streams::origins::StreamOrigins;
use super::streams::times::EventGap;
pub use super::ticket::Ticket;
use super::wait_queue::WaitQueue;

/// Loads on the engines whose shards this instance holds.
#[derive(Clone, Debug, Default)]
pub struct LocalLoads {
    /// Loads from the weight store in progress.
    pub active: u16,
    /// Adapters that wait for a load.
    pub waiting: u16,
    /// Adapter slots of each engine.
    pub adapter_slots: HashMap<ShortHash, AdapterSlots>,
}

/// The state of an instance.
#[derive(Debug)]
pub struct Tables {
    /// Registration of this instance.
    pub local: Member,
    /// When the process started.
    pub started: Time,
    /// The configuration in force.
    pub routes: Arc<RouteTable>,
    /// Registered targets.
    pub registry: Registry,
    /// Other instances.
    pub peers: Peers,
    /// Quotas of workspaces.
    pub quotas: Quotas,
    /// Counts of requests and retries.
    pub retries: RetryCounts,
    /// Health of targets.
    pub health: Health,
    /// Paths to targets.
    pub paths: Paths,
    /// Services whose targets this instance can't reach.
    pub partitions: Partitions,
    /// Request limits that targets report.
    pub limits: Limits,
    /// Targets that report that they leave.
    pub departures: Departures,
    /// Targets that fall over when they have to refuse too many requests.
    pub brittle: BrittleTargets,
    /// Targets that ask this instance for rest.
    pub rests: Rests,
    /// Requests under which targets crash.
    pub quarantine: Quarantine,
    /// Resident adapters of engines.
    pub residency: Residency,
    /// Newest versions of adapters.
    pub versions: Versions,
    /// Evacuated failure domains.
    pub evacuations: Evacuations,
    /// Where streams began.
    pub origins: StreamOrigins,
    /// Prompts that engines have not started.
    pub queues: PromptQueues,
    /// Speed of targets.
    pub pace: Pace,
    /// Requests that wait for a place.
    pub wait_queue: WaitQueue,
    /// Shares of workspaces in services that are short of room.
    pub fair_shares: FairShares,
    /// Shards for which this instance may order loads.
    pub shards: Vec<u8>,
    /// Shards whose leases this instance holds, including those for which it may not order loads
    /// yet.
    pub claims: Vec<u8>,
    /// Loads on the engines whose shards this instance holds.
    pub loads: LocalLoads,
    /// Calls to the store by kind of objects.
    pub store_calls: StoreCalls,
    /// Exchange of state with other instances.
    pub exchange: Exchange,
    /// Whether a planned stop was requested.
    pub stopping: bool,
    /// Whether no other process is known to have run under the name of this instance.
    pub is_first_process: bool,
    /// Whether targets are still to be asked what they report about themselves before requests are sent.
    pub awaits_first_reports: bool,
    /// Since when too few preferred instances follow the store.
    pub(super) follower_missing_since: Option<Time>,
    budget: RetryBudget,
    in_flight: HashMap<TargetId, u32>,
    /// Requests suspected of crashing targets that this instance has at each target.
    pub(super) suspects_at: HashMap<TargetId, u32>,
    /// Owners of brittle targets.
    pub(super) owners: Owners,
    /// The engine last chosen to load each adapter, so that all requests for an adapter wait at one
    /// engine.
    pub(super) recent_engines: HashMap<AdapterKey, (TargetId, Time)>,
}

impl Tables {
    /// Creates the state of an instance that knows only itself.
    #[must_use]
    pub fn new(local: Member, budget: RetryBudget) -> Self {
        Self {
            local,
            started: Time::default(),
            routes: Arc::default(),
            registry: Registry::default(),
            peers: Peers::default(),
            quotas: Quotas::default(),
            retries: RetryCounts::default(),
            health: Health::default(),
            paths: Paths::default(),
            partitions: Partitions::default(),
            limits: Limits::default(),
            departures: Departures::default(),
            brittle: BrittleTargets::default(),
            rests: Rests::default(),
            quarantine: Quarantine::default(),
            residency: Residency::default(),
            versions: Versions::default(),
            evacuations: Evacuations::default(),
            origins: StreamOrigins::default(),
            queues: PromptQueues::default(),
            pace: Pace::default(),
            wait_queue: WaitQueue::default(),
            fair_shares: FairShares::default(),
            shards: Vec::new(),
            claims: Vec::new(),
            loads: LocalLoads::default(),
            store_calls: StoreCalls::default(),
            exchange: Exchange::default(),
            stopping: false,
            is_first_process: false,
            awaits_first_reports: false,
            follower_missing_since: None,
            budget,
            in_flight: HashMap::new(),
            suspects_at: HashMap::new(),
            owners: Owners::default(),
            recent_engines: HashMap::new(),
        }
    }

    /// Replaces the budget of retries.
    pub fn set_retry_budget(&mut self, budget: RetryBudget) {
        self.budget = budget;
    }

    /// Whether a configuration is known.
    #[must_use]
    pub fn configured(&self) -> bool {
        self.routes.version() > Revision::default()
    }

    /// Whether the operators' configuration and evacuations and the targets are known.
    #[must_use]
    pub fn informed(&self) -> bool {
        let knows_targets = self.registry.revision() > Revision::default();
        self.configured() && self.evacuations.is_known() && knows_targets
    }

    /// Whether this instance knows enough to send requests to targets.
    #[must_use]
    pub fn is_prepared(&self) -> bool {
        self.informed() && !self.awaits_first_reports
    }

    /// Whether this instance accepts callers.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.is_prepared() && !self.stopping
    }

    /// Puts a configuration in force if it is newer. Returns whether it is.
    pub fn adopt(&mut self, config: Config, now: Time) -> bool {
        if config.version <= self.routes.version() {
            return false;
        }
        let unknown = self.unknown_spending_fraction(now);
        for workspace in &config.workspaces {
            if let Some(quota) = workspace.quota {
                self.quotas.prepare(&workspace.name, quota, unknown, now);
            }
        }
        self.routes = Arc::new(RouteTable::new(Arc::new(config)));
        true
    }

    /// Whether `peer` has store data that this instance lacks.
    #[must_use]
    pub fn is_behind(&self, peer: &Peer) -> bool {
        let other_targets = peer.targets > self.registry.revision()
            && peer.targets_digest != self.registry.digest();
        let newer_config = peer.config > self.routes.version();
        let other_decisions =
            peer.quarantine_digest != 0 && peer.quarantine_digest != self.quarantine.digest();
        let newer_versions = peer.versions > self.versions.total();
        let newer_evacuations = self.evacuations.is_behind(peer.evacuations);
        newer_config || other_targets || newer_versions || newer_evacuations || other_decisions
    }

    /// Takes one retry out of the service's budget. Returns false if the budget is used up.
    pub fn take_retry(&mut self, service: &ServiceId, now: Time) -> bool {
        let share = self.retry_share(now);
        self.retries.take_retry(service, self.budget, share, now)
    }

    fn retry_share(&self, now: Time) -> RetryShare {
        let uptime = now.since(self.started);
        let earned_for = if self.is_first_process {
            uptime.max(self.budget.window)
        } else {
            uptime
        };
        RetryShare {
            instances: self.sharing_count(now),
            earned_for,
        }
    }

    /// Number of instances that share budgets and connections, including this one. A new process counts those that it
    /// has not seen yet.
    #[must_use]
    pub fn sharing_count(&self, now: Time) -> usize {
        self.peers.sharing_count(self.is_new(now), now)
    }

    /// Returns the retries of each service within the window of the budget, sorted by name.
    #[must_use]
    pub fn dump_retries(&self, now: Time) -> Vec<RetryDump> {
        let mut dumped = self
            .retries
            .dump(self.budget, self.retry_share(now), now)
            .collect::<Vec<_>>();
        dumped.sort_by(|a, b| a.service.cmp(&b.service));
        dumped
    }

    /// Returns the number of requests of this instance at a target.
    #[must_use]
    pub fn local_in_flight(&self, target: &TargetId) -> u32 {
        self.in_flight.get(target).copied().unwrap_or(0)
    }

    /// Returns the load of this instance at each target.
    pub fn local_loads(&self) -> impl Iterator<Item = (&TargetId, Load)> {
        self.in_flight.iter().map(|(target, requests)| {
            let load = Load {
                requests: *requests,
                prompts: self.queues.local_tokens(target),
            };
            (target, load)
        })
    }

    /// Records a prompt that is sent to an engine and waits there until the engine starts it.
    pub fn record_prompt(
        &mut self,
        target: &TargetId,
        class: RankClass,
        call: &Call,
        now: Time,
    ) -> WaitingKey {
        let others = self.peers.load(ShortHash::of(target.as_str())).prompts;
        self.queues
            .record_sent(target, (class, call.prompt_tokens.0), others, now)
    }

    /// Records that an engine has started a request, and learns from how long that took.
    pub fn record_started(&mut self, waiting: WaitingKey, now: Time) {
        let Some(started) = self.queues.record_started(waiting, now) else {
            return;
        };
        if let Some(target) = self.registry.get(&started.target) {
            let target = PaceTarget::from(target);
            self.pace
                .record_prompt(target, started.tokens, started.elapsed, now);
        }
    }

    /// Returns the time that a target needs to process prompt tokens; zero if it is unknown.
    #[must_use]
    pub fn reading_time(&self, target: &TargetId, tokens: u64, now: Time) -> Duration {
        let known = self.registry.get(target);
        let speed = known.map(|known| self.pace.speed(PaceTarget::from(known), now));
        speed.map_or(Duration::ZERO, |speed| speed.reading_time(tokens))
    }

    /// Records events of a stream, and whether the gap before them was longer than its route's target gap.
    pub fn record_events(&mut self, target: &TargetId, gap: EventGap, is_long: bool, now: Time) {
        if let Some(target) = self.registry.get(target) {
            self.pace
                .record_events(PaceTarget::from(target), gap, is_long, now);
        }
    }

    /// Records that a request is sent to a target.
    pub fn start_request(&mut self, target: &TargetId, now: Time) {
        *self.in_flight.entry(target.clone()).or_default() += 1;
        self.rests.record_sent(target, now);
    }

    /// Records that a request at a target has ended.
    pub fn end_request(&mut self, target: &TargetId) {
        if let Some(count) = self.in_flight.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(target);
            }
        }
    }

    /// Records that a suspected request is sent to a target.
    pub fn start_suspect(&mut self, target: &TargetId) {
        *self.suspects_at.entry(target.clone()).or_default() += 1;
    }

    /// Records that a suspected request at a target has ended.
    pub fn end_suspect(&mut self, target: &TargetId) {
        if let Some(count) = self.suspects_at.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.suspects_at.remove(target);
            }
        }
    }

    /// Records that a target refused a request of this instance for want of room. A brittle one is left alone for a
    /// while.
    pub fn record_refusal(&mut self, target: &TargetId, now: Time) {
        let Some(known) = self.registry.get(target) else {
            return;
        };
        if let Some(pause) = self.brittle.pause(known, now) {
            let born = known.born;
            self.rests.record(target, born, pause, now);
        }
    }

    /// Returns for how much longer a target gets no requests because it has refused one.
    #[must_use]
    pub fn rest_left(&self, target: &TargetId, now: Time) -> Duration {
        let known = self.registry.get(target);
        known.map_or(Duration::ZERO, |known| self.rests.time_left(known, now))
    }

    /// Records for how much longer a target gets no requests from its owner.
    pub fn record_rest_at_owner(&mut self, target: &TargetId, left: Duration, now: Time) {
        if let Some(known) = self.registry.get(target).filter(|_| !left.is_zero()) {
            self.rests.record(target, known.born, left, now);
        }
    }

    /// Removes outdated state. Called a few times a second.
    pub fn sweep(&mut self, now: Time) {
        self.registry.sweep(now);
        self.peers.sweep(now);
        self.residency.sweep(now);
        self.rests.sweep(now);
        self.origins.sweep(now);
        self.retries.prune(self.budget.window, now);
        let registry = &self.registry;
        self.health
            .retain_targets(|target| registry.get(target).is_some());
        self.brittle
            .sweep(|target| registry.get(target).is_some(), now);
        self.paths
            .retain_targets(|target| registry.get(target).is_some());
        for target in self
            .limits
            .remove_gone(|target| registry.get(target).is_none())
        {
            self.quotas.close(&target);
        }
        self.residency
            .retain_targets(|target| registry.get(target).is_some());
        self.recent_engines
            .retain(|_, (_, at)| now.since(*at) < LOAD_TARGET_TTL);
        self.queues
            .retain_targets(|target| registry.get(target).is_some());
        self.pace.sweep(registry.all(), now);
        self.sweep_owners(now);
    }

    /// Returns the adapter that the request needs, if it needs one.
    #[must_use]
    pub fn adapter_of(call: &Call) -> Option<&super::adapters::adapter::AdapterKey> {
        match &call.wanted {
            Some(RequestedModel::Adapter(key)) => Some(key),
            _ => None,
        }
    }
}

/// Returns the loader shard of an engine, which never changes.
#[must_use]
pub fn shard_of(target: &TargetId) -> u8 {
    u8::try_from(name_hash(target.as_str()) % u64::from(SHARDS)).unwrap_or(0)
}
