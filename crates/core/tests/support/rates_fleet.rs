//! Several `Rates` in virtual time, with scripted ownership and a network that may misbehave.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::rates::{Limits, RateStep, Rates, RatesMessage, Share};
use bluebellstage_core::{
    Action, Cx, InstanceId, Map, MemberRef, MemberState, PeerMessage, Rate, Refusal, RequestId,
    Tokens, Tuning, WorkspaceId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::rates_membership::{Script, Seat, adopted, instance};
use super::rates_oracle::Windows;

/// How the network treats messages.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub lost_percent: u32,
    pub doubled_percent: u32,
    pub longest_delay_ms: u64,
}

impl Network {
    pub const GOOD: Self = Self {
        lost_percent: 0,
        doubled_percent: 0,
        longest_delay_ms: 2,
    };
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub request: RequestId,
    pub result: Result<(), Refusal>,
    pub waited: Duration,
}

struct Node {
    rates: Rates,
    seat: Seat,
    limits: BTreeMap<WorkspaceId, Option<Limits>>,
    limits_due: VecDeque<(u64, WorkspaceId, Option<Limits>)>,
}

struct Flight {
    at: u64,
    from: MemberRef,
    to: InstanceId,
    message: RatesMessage,
}

struct Asked {
    instance: InstanceId,
    workspace: WorkspaceId,
    charge: Tokens,
    at: u64,
}

/// Instances by name, their map, and the messages between them; times in microseconds.
pub struct Fleet {
    cfg: Tuning,
    pub now: u64,
    nodes: BTreeMap<InstanceId, Node>,
    script: Script,
    flights: Vec<Flight>,
    pub network: Network,
    rng: ChaCha8Rng,
    asked: BTreeMap<RequestId, Asked>,
    charged: BTreeMap<(InstanceId, WorkspaceId), u64>,
    pub outcomes: Vec<Outcome>,
    pub windows: BTreeMap<WorkspaceId, Windows>,
    next_request: u128,
    next_life: u64,
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
    /// `count` instances under the first map there ever was.
    pub fn new(count: usize, seed: u64, cfg: Tuning) -> Self {
        let mut fleet = Self {
            now: 1_000_000,
            nodes: BTreeMap::new(),
            script: Script::new(count, 1_000_000, &cfg),
            cfg,
            flights: Vec::new(),
            network: Network::GOOD,
            rng: ChaCha8Rng::seed_from_u64(seed),
            asked: BTreeMap::new(),
            charged: BTreeMap::new(),
            outcomes: Vec::new(),
            windows: BTreeMap::new(),
            next_request: 1,
            next_life: 2,
            messages: 0,
        };
        for number in 0..count {
            fleet.start(instance(number), 1);
        }
        fleet
    }

    fn start(&mut self, id: InstanceId, life: u64) {
        let seat = Seat::new(&self.script, id.clone(), life, self.now, &mut self.rng);
        let node = Node {
            rates: Rates::new(&self.cfg),
            seat,
            limits: BTreeMap::new(),
            limits_due: VecDeque::new(),
        };
        self.nodes.insert(id, node);
    }

    /// The map in force.
    pub const fn map(&self) -> &Map {
        &self.script.map
    }

    /// Puts a workspace's limits, in force everywhere within `spread_ms`.
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
        self.windows.entry(workspace.clone()).or_default();
        self.follow_limits();
    }

    /// A request arrives at an instance; its outcome comes up in `outcomes`.
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
            .filter(|node| node.seat.is_running(now))?;
        let limits = (*node.limits.get(workspace)?)?;
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let asked = Asked {
            instance: id.clone(),
            workspace: workspace.clone(),
            charge: Tokens(charge),
            at: self.now,
        };
        self.asked.insert(request, asked);
        let step = self.step(id, |rates, cx| {
            rates.admit(cx, request, workspace, limits, Tokens(charge))
        });
        match step {
            RateStep::Admitted => self.decided(request, Ok(())),
            RateStep::Refused(refusal) => self.decided(request, Err(refusal)),
            RateStep::Waiting => {}
        }
        Some(request)
    }

    /// Requests finish at the instance that charged them, and some of their tokens go back.
    pub fn give_back(&mut self, id: &InstanceId, workspace: &WorkspaceId, percent: u64) {
        if !self.is_running(id) {
            return;
        }
        let place = (id.clone(), workspace.clone());
        let charged = self.charged.remove(&place).unwrap_or(0);
        let unused = charged * percent / 100;
        self.windows
            .entry(workspace.clone())
            .or_default()
            .given_back(self.now, unused);
        self.step(id, |rates, cx| {
            rates.give_back(cx, workspace, Tokens(unused));
        });
    }

    /// The process is gone at once; the map follows with [`Fleet::drop_from_map`].
    pub fn kill(&mut self, id: &InstanceId) {
        self.nodes.remove(id);
        self.charged
            .retain(|(instance, _workspace), _tokens| instance != id);
        self.follow_limits();
    }

    /// The instance does nothing for so long, then goes on where it stood.
    pub fn freeze(&mut self, id: &InstanceId, millis: u64) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.seat.stop(self.now, millis, &mut self.rng);
        }
    }

    /// The instance runs on, but reaches nobody.
    pub fn cut(&mut self, id: &InstanceId, millis: u64) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.seat.cut(self.now, millis);
        }
    }

    /// The map loses a member.
    pub fn drop_from_map(&mut self, id: &InstanceId) {
        self.script.drop(self.now, id);
        self.map_changed();
    }

    /// The map gains a member: a new life, or the same one that was dropped before.
    pub fn join(&mut self, id: &InstanceId) {
        if self.script.map.member(id).is_some() {
            return;
        }
        let life = match self.nodes.get(id) {
            Some(node) => node.seat.own.local.incarnation.0,
            None => self.start_anew(id),
        };
        self.script.add(self.now, id, life);
        self.map_changed();
    }

    fn start_anew(&mut self, id: &InstanceId) -> u64 {
        let life = self.next_life;
        self.next_life += 1;
        let known = self.nodes.values().next().map(|node| node.limits.clone());
        self.start(id.clone(), life);
        let node = self.nodes.get_mut(id).expect("just started");
        for (workspace, limits) in known.unwrap_or_default() {
            node.limits_due.push_back((self.now, workspace, limits));
        }
        life
    }

    /// A member's planned stop begins.
    pub fn leave(&mut self, id: &InstanceId) {
        self.script.set_state(self.now, id, MemberState::Leaving);
        self.map_changed();
    }

    fn map_changed(&mut self) {
        for node in self.nodes.values_mut() {
            node.seat.will_adopt(self.now, &mut self.rng);
        }
    }

    /// Lets time pass, in steps of 10 ms.
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
            let decisions = self.step(&id, Rates::tick);
            for decision in decisions {
                self.decided(decision.request, decision.outcome);
            }
        }
    }

    fn is_running(&self, id: &InstanceId) -> bool {
        self.nodes
            .get(id)
            .is_some_and(|node| node.seat.is_running(self.now))
    }

    fn follow_map(&mut self) {
        let adopted = adopted(&self.script, self.nodes.values().map(|node| &node.seat));
        for node in self.nodes.values_mut() {
            node.seat.follow(self.now, &self.script, &adopted);
        }
    }

    fn follow_limits(&mut self) {
        let now = self.now;
        let ids: Vec<_> = self.nodes.keys().cloned().collect();
        for id in ids {
            while let Some(node) = self.nodes.get_mut(&id) {
                let is_due = node.limits_due.front().is_some_and(|(at, ..)| *at <= now);
                if !is_due || !node.seat.is_running(now) {
                    break;
                }
                let Some((_, workspace, limits)) = node.limits_due.pop_front() else {
                    break;
                };
                node.limits.insert(workspace.clone(), limits);
                self.step(&id, |rates, cx| rates.set_limits(cx, &workspace, limits));
            }
        }
        for (workspace, windows) in &mut self.windows {
            let in_force = self
                .nodes
                .values()
                .map(|node| node.limits.get(workspace).copied().flatten());
            windows.limits(now, in_force.flatten());
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut later = Vec::new();
        let mut due = Vec::new();
        for flight in std::mem::take(&mut self.flights) {
            let stopped = self
                .nodes
                .get(&flight.to)
                .is_some_and(|node| !node.seat.is_running(now));
            if flight.at > now || stopped {
                later.push(flight);
            } else {
                due.push(flight);
            }
        }
        self.flights = later;
        due.sort_by_key(|flight| flight.at);
        for flight in due {
            let lives = self
                .nodes
                .get(&flight.to)
                .is_some_and(|node| !node.seat.is_cut(now));
            if !lives {
                continue;
            }
            let decisions = self.step(&flight.to, |rates, cx| {
                rates.message(cx, &flight.from.id, flight.message.clone())
            });
            for decision in decisions {
                self.decided(decision.request, decision.outcome);
            }
        }
    }

    fn step<R>(&mut self, id: &InstanceId, act: impl FnOnce(&mut Rates, &mut Cx<'_>) -> R) -> R {
        let node = self.nodes.get_mut(id).expect("a running instance");
        let mut out = Vec::new();
        let mut cx = Cx {
            now: node.seat.local(self.now),
            ownership: &node.seat.own,
            out: &mut out,
        };
        let result = act(&mut node.rates, &mut cx);
        let from = node.seat.own.local.clone();
        let cut = node.seat.is_cut(self.now);
        for action in out {
            let Action::Send { to, message } = action else {
                panic!("rates only send messages: {action:?}");
            };
            let PeerMessage::Rates(message) = *message else {
                panic!("rates only send their own messages");
            };
            self.messages += 1;
            if !cut {
                self.post(&from, &to, &message);
            }
        }
        result
    }

    fn post(&mut self, from: &MemberRef, to: &InstanceId, message: &RatesMessage) {
        let network = self.network;
        if self.rng.random_range(0..100) < network.lost_percent {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < network.doubled_percent);
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=network.longest_delay_ms * 1_000);
            self.flights.push(Flight {
                at: self.now + delay,
                from: from.clone(),
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    fn decided(&mut self, request: RequestId, result: Result<(), Refusal>) {
        let asked = self.asked.remove(&request).expect("decided once");
        if result.is_ok() {
            let place = (asked.instance, asked.workspace.clone());
            *self.charged.entry(place).or_default() += asked.charge.0;
            let windows = self.windows.entry(asked.workspace).or_default();
            windows.admitted(self.now, asked.charge.0);
        }
        self.outcomes.push(Outcome {
            request,
            result,
            waited: Duration::from_micros(self.now - asked.at),
        });
    }

    /// The sum of what all instances could spend from.
    pub fn spendable(&self, workspace: &WorkspaceId) -> u64 {
        let held = self
            .nodes
            .values()
            .filter(|node| node.seat.has_standing(self.now));
        held.flat_map(|node| node.rates.shares(node.seat.local(self.now)))
            .filter(|held| held.workspace == *workspace)
            .map(|held| u64::from(held.share.0))
            .sum()
    }

    /// What one instance holds.
    pub fn share(&self, id: &InstanceId, workspace: &WorkspaceId) -> Share {
        let node = self.nodes.get(id).expect("a running instance");
        let mut held = node.rates.shares(node.seat.local(self.now)).into_iter();
        let held = held.find(|held| held.workspace == *workspace);
        held.map_or(Share::NONE, |held| held.share)
    }

    /// As [`Fleet::check`], for a policy that promises it.
    pub fn check_windows_if(&self, promised: bool) {
        if promised {
            self.check();
        }
    }

    /// The limits and the shares' sum hold for every workspace.
    pub fn check(&self) {
        for (workspace, windows) in &self.windows {
            assert!(
                self.spendable(workspace) <= u64::from(Share::WHOLE.0),
                "shares of {workspace} sum to more than the whole at {}",
                self.now
            );
            assert_eq!(
                windows.worst_excess(),
                0,
                "{workspace} exceeded its limits at {}",
                self.now
            );
        }
    }

    /// Names of the running instances.
    pub fn running(&self) -> Vec<InstanceId> {
        self.nodes
            .keys()
            .filter(|id| self.is_running(id))
            .cloned()
            .collect()
    }

    /// Whether the request is still undecided.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.asked.contains_key(&request)
    }
}
