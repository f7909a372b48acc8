//! Several `Rates` in virtual time, with scripted ownership and an unreliable network.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::rates::{Limits, RateStep, Rates, RatesMessage, Share};
use bluebellstage_core::{
    Action, Cx, InstanceId, Map, MemberRef, MemberState, PeerMessage, Rate, Refusal, RequestId,
    Tokens, Tuning, WorkspaceId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::rates_membership::{MembershipScript, SimulatedMember, adopted, instance};
use super::rates_oracle::WindowBound;

/// Faults of the simulated network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub lost_percent: u32,
    pub duplicated_percent: u32,
    pub max_delay_ms: u64,
}

impl Network {
    pub const RELIABLE: Self = Self {
        lost_percent: 0,
        duplicated_percent: 0,
        max_delay_ms: 2,
    };
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub request: RequestId,
    pub result: Result<(), Refusal>,
    pub waited: Duration,
}

struct Node {
    rates: Rates,
    member: SimulatedMember,
    limits: BTreeMap<WorkspaceId, Option<Limits>>,
    limits_due: VecDeque<(u64, WorkspaceId, Option<Limits>)>,
}

struct InFlightMessage {
    deliver_at: u64,
    from: MemberRef,
    to: InstanceId,
    message: RatesMessage,
}

struct PendingRequest {
    instance: InstanceId,
    workspace: WorkspaceId,
    charge: Tokens,
    arrived_at: u64,
}

/// Instances by name, their map, and the messages between them. Times are in microseconds.
pub struct Fleet {
    cfg: Tuning,
    pub now: u64,
    nodes: BTreeMap<InstanceId, Node>,
    script: MembershipScript,
    in_flight: Vec<InFlightMessage>,
    pub network: Network,
    rng: ChaCha8Rng,
    pending: BTreeMap<RequestId, PendingRequest>,
    charged: BTreeMap<(InstanceId, WorkspaceId), u64>,
    pub outcomes: Vec<Outcome>,
    pub bounds: BTreeMap<WorkspaceId, WindowBound>,
    next_request: u128,
    next_incarnation: u64,
    pub messages: u64,
}

pub fn workspace(number: usize) -> WorkspaceId {
    WorkspaceId::try_from(format!("w{number}").as_str()).expect("legal name")
}

pub fn limits(rate: u64, burst: u64) -> Limits {
    Limits {
        rate: Rate(rate),
        burst: Tokens(burst),
    }
}

impl Fleet {
    /// Starts `count` instances under the first map.
    pub fn new(count: usize, seed: u64, cfg: Tuning) -> Self {
        let mut fleet = Self {
            now: 1_000_000,
            nodes: BTreeMap::new(),
            script: MembershipScript::new(count, 1_000_000, &cfg),
            cfg,
            in_flight: Vec::new(),
            network: Network::RELIABLE,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pending: BTreeMap::new(),
            charged: BTreeMap::new(),
            outcomes: Vec::new(),
            bounds: BTreeMap::new(),
            next_request: 1,
            next_incarnation: 2,
            messages: 0,
        };
        for number in 0..count {
            fleet.start(instance(number), 1);
        }
        fleet
    }

    fn start(&mut self, id: InstanceId, incarnation: u64) {
        let member = SimulatedMember::new(
            &self.script,
            id.clone(),
            incarnation,
            self.now,
            &mut self.rng,
        );
        let node = Node {
            rates: Rates::new(&self.cfg),
            member,
            limits: BTreeMap::new(),
            limits_due: VecDeque::new(),
        };
        self.nodes.insert(id, node);
    }

    /// Returns the map in force.
    pub const fn map(&self) -> &Map {
        &self.script.map
    }

    /// Sets a workspace's limits, which take effect at every instance within `spread_ms`.
    pub fn set_limits(&mut self, workspace: &WorkspaceId, limits: Option<Limits>, spread_ms: u64) {
        for node in self.nodes.values_mut() {
            let delay = self.rng.random_range(0..=spread_ms * 1_000);
            let due = node
                .limits_due
                .back()
                .map_or(0, |(at, ..)| *at)
                .max(self.now + delay);
            node.limits_due.push_back((due, workspace.clone(), limits));
        }
        self.bounds.entry(workspace.clone()).or_default();
        self.follow_limits();
    }

    /// Sends a request to an instance. Its result is added to `outcomes`.
    pub fn request(
        &mut self,
        id: &InstanceId,
        workspace: &WorkspaceId,
        charge: u64,
    ) -> Option<RequestId> {
        let now = self.now;
        let node = self
            .nodes
            .get_mut(id)
            .filter(|node| node.member.is_running(now))?;
        let limits = (*node.limits.get(workspace)?)?;
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let pending = PendingRequest {
            instance: id.clone(),
            workspace: workspace.clone(),
            charge: Tokens(charge),
            arrived_at: self.now,
        };
        self.pending.insert(request, pending);
        let step = self.with_rates(id, |rates, cx| {
            rates.admit(cx, request, workspace, limits, Tokens(charge))
        });
        match step {
            RateStep::Admitted => self.record_outcome(request, Ok(())),
            RateStep::Refused(refusal) => self.record_outcome(request, Err(refusal)),
            RateStep::Waiting => {}
        }
        Some(request)
    }

    /// Finishes requests at the instance that charged them, and returns `percent` of their tokens
    /// as unused.
    pub fn give_back(&mut self, id: &InstanceId, workspace: &WorkspaceId, percent: u64) {
        if !self.is_running(id) {
            return;
        }
        let key = (id.clone(), workspace.clone());
        let charged = self.charged.remove(&key).unwrap_or(0);
        let unused = charged * percent / 100;
        self.bounds
            .entry(workspace.clone())
            .or_default()
            .refunded(self.now, unused);
        self.with_rates(id, |rates, cx| {
            rates.give_back(cx, workspace, Tokens(unused));
        });
    }

    /// Kills the process at once. [`Fleet::drop_from_map`] removes it from the map.
    pub fn kill(&mut self, id: &InstanceId) {
        self.nodes.remove(id);
        self.charged
            .retain(|(instance, _workspace), _tokens| instance != id);
        self.follow_limits();
    }

    /// Suspends the instance for `millis`, after which it resumes with its old state.
    pub fn freeze(&mut self, id: &InstanceId, millis: u64) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.member.freeze(self.now, millis, &mut self.rng);
        }
    }

    /// Partitions the instance from all others for `millis` while it keeps running.
    pub fn partition(&mut self, id: &InstanceId, millis: u64) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.member.partition(self.now, millis);
        }
    }

    /// Removes a member from the map.
    pub fn drop_from_map(&mut self, id: &InstanceId) {
        self.script.drop(self.now, id);
        self.map_changed();
    }

    /// Adds a member to the map: a new incarnation, or the same one that was removed before.
    pub fn join(&mut self, id: &InstanceId) {
        if self.script.map.member(id).is_some() {
            return;
        }
        let incarnation = match self.nodes.get(id) {
            Some(node) => node.member.own.local.incarnation.0,
            None => self.start_new_incarnation(id),
        };
        self.script.add(self.now, id, incarnation);
        self.map_changed();
    }

    fn start_new_incarnation(&mut self, id: &InstanceId) -> u64 {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let limits_elsewhere = self.nodes.values().next().map(|node| node.limits.clone());
        self.start(id.clone(), incarnation);
        let node = self.nodes.get_mut(id).expect("just started");
        for (workspace, limits) in limits_elsewhere.unwrap_or_default() {
            node.limits_due.push_back((self.now, workspace, limits));
        }
        incarnation
    }

    /// Starts a member's planned stop.
    pub fn leave(&mut self, id: &InstanceId) {
        self.script.set_state(self.now, id, MemberState::Leaving);
        self.map_changed();
    }

    fn map_changed(&mut self) {
        for node in self.nodes.values_mut() {
            node.member.schedule_adoption(self.now, &mut self.rng);
        }
    }

    /// Advances time by `millis`, in steps of 10 ms.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(10) {
            self.now += 10_000;
            self.follow_map();
            self.follow_limits();
            self.deliver();
            self.tick();
        }
    }

    fn tick(&mut self) {
        let ids: Vec<_> = self.nodes.keys().cloned().collect();
        for id in ids
            .iter()
            .filter(|id| self.is_running(id))
            .cloned()
            .collect::<Vec<_>>()
        {
            let decisions = self.with_rates(&id, Rates::tick);
            for decision in decisions {
                self.record_outcome(decision.request, decision.outcome);
            }
        }
    }

    fn is_running(&self, id: &InstanceId) -> bool {
        self.nodes
            .get(id)
            .is_some_and(|node| node.member.is_running(self.now))
    }

    fn follow_map(&mut self) {
        let adopted = adopted(&self.script, self.nodes.values().map(|node| &node.member));
        for node in self.nodes.values_mut() {
            node.member.follow(self.now, &self.script, &adopted);
        }
    }

    fn follow_limits(&mut self) {
        let now = self.now;
        let ids: Vec<_> = self.nodes.keys().cloned().collect();
        for id in ids {
            while let Some(node) = self.nodes.get_mut(&id) {
                let is_due = node.limits_due.front().is_some_and(|(at, ..)| *at <= now);
                if !is_due || !node.member.is_running(now) {
                    break;
                }
                let Some((_, workspace, limits)) = node.limits_due.pop_front() else {
                    break;
                };
                node.limits.insert(workspace.clone(), limits);
                self.with_rates(&id, |rates, cx| rates.set_limits(cx, &workspace, limits));
            }
        }
        for (workspace, bounds) in &mut self.bounds {
            let in_force = self
                .nodes
                .values()
                .map(|node| node.limits.get(workspace).copied().flatten());
            bounds.limits(now, in_force.flatten());
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut delayed = Vec::new();
        let mut due = Vec::new();
        for sent in std::mem::take(&mut self.in_flight) {
            let is_frozen = self
                .nodes
                .get(&sent.to)
                .is_some_and(|node| !node.member.is_running(now));
            if sent.deliver_at > now || is_frozen {
                delayed.push(sent);
            } else {
                due.push(sent);
            }
        }
        self.in_flight = delayed;
        due.sort_by_key(|sent| sent.deliver_at);
        for sent in due {
            let is_reachable = self
                .nodes
                .get(&sent.to)
                .is_some_and(|node| !node.member.is_partitioned(now));
            if !is_reachable {
                continue;
            }
            let decisions = self.with_rates(&sent.to, |rates, cx| {
                rates.message(cx, &sent.from.id, sent.message.clone())
            });
            for decision in decisions {
                self.record_outcome(decision.request, decision.outcome);
            }
        }
    }

    fn with_rates<R>(
        &mut self,
        id: &InstanceId,
        apply: impl FnOnce(&mut Rates, &mut Cx<'_>) -> R,
    ) -> R {
        let node = self.nodes.get_mut(id).expect("a running instance");
        let mut out = Vec::new();
        let mut cx = Cx {
            now: node.member.local(self.now),
            ownership: &node.member.own,
            out: &mut out,
        };
        let result = apply(&mut node.rates, &mut cx);
        let from = node.member.own.local.clone();
        let is_partitioned = node.member.is_partitioned(self.now);
        for action in out {
            let Action::Send { to, message } = action else {
                panic!("rates only send messages: {action:?}");
            };
            let PeerMessage::Rates(message) = *message else {
                panic!("rates only send their own messages");
            };
            self.messages += 1;
            if !is_partitioned {
                self.transmit(&from, &to, &message);
            }
        }
        result
    }

    fn transmit(&mut self, from: &MemberRef, to: &InstanceId, message: &RatesMessage) {
        let network = self.network;
        if self.rng.random_range(0..100) < network.lost_percent {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < network.duplicated_percent);
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=network.max_delay_ms * 1_000);
            self.in_flight.push(InFlightMessage {
                deliver_at: self.now + delay,
                from: from.clone(),
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    fn record_outcome(&mut self, request: RequestId, result: Result<(), Refusal>) {
        let pending = self.pending.remove(&request).expect("decided once");
        if result.is_ok() {
            let key = (pending.instance, pending.workspace.clone());
            *self.charged.entry(key).or_default() += pending.charge.0;
            let bounds = self.bounds.entry(pending.workspace).or_default();
            bounds.admitted(self.now, pending.charge.0);
        }
        self.outcomes.push(Outcome {
            request,
            result,
            waited: Duration::from_micros(self.now - pending.arrived_at),
        });
    }

    /// Returns the sum of the shares, in units, from which instances could spend.
    pub fn spendable(&self, workspace: &WorkspaceId) -> u64 {
        let members = self
            .nodes
            .values()
            .filter(|node| node.member.has_lease(self.now));
        members
            .flat_map(|node| node.rates.shares(node.member.local(self.now)))
            .filter(|held| held.workspace == *workspace)
            .map(|held| u64::from(held.share.0))
            .sum()
    }

    /// Returns the share held by one instance.
    pub fn share(&self, id: &InstanceId, workspace: &WorkspaceId) -> Share {
        let node = self.nodes.get(id).expect("a running instance");
        let mut holdings = node.rates.shares(node.member.local(self.now)).into_iter();
        let holding = holdings.find(|held| held.workspace == *workspace);
        holding.map_or(Share::NONE, |held| held.share)
    }

    /// Runs [`Fleet::check`] if the policy guarantees the bound.
    pub fn check_if(&self, is_bounded: bool) {
        if is_bounded {
            self.check();
        }
    }

    /// Checks the limits and the sum of the shares for every workspace.
    pub fn check(&self) {
        for (workspace, bounds) in &self.bounds {
            assert!(
                self.spendable(workspace) <= u64::from(Share::WHOLE.0),
                "shares of {workspace} sum to more than the whole at {}",
                self.now
            );
            assert_eq!(
                bounds.worst_excess(),
                0,
                "{workspace} exceeded its limits at {}",
                self.now
            );
        }
    }

    /// Returns the names of the running instances.
    pub fn running(&self) -> Vec<InstanceId> {
        self.nodes
            .keys()
            .filter(|id| self.is_running(id))
            .cloned()
            .collect()
    }

    /// Whether the request is still undecided.
    pub fn is_pending(&self, request: RequestId) -> bool {
        self.pending.contains_key(&request)
    }
}
