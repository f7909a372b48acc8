//! The world that the nodes live in: one queue of events in virtual time.

use std::collections::{BTreeMap, BTreeSet};

use bluebellstage_core::engines::{
    Engines, EnginesMessage, Permit, PermitDecision, PermitEnd, PermitRequest,
};
use bluebellstage_core::{
    Adoption, Cx, InstanceId, OrderId, OrderOutcome, RequestId, TargetId, TargetInfo, TargetOrder,
    Tuning,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::{Engine, Run, Speed};
use super::membership::{Platform, member};
use super::node::Node;
use super::record::{Record, Recorder};

const TICK_US: u64 = 50_000;

/// Orders and requests are on their way for less than this; see the core's assumptions.
pub(super) const FLIGHT_US: u64 = 900_000;

/// Reports are less old than this; see the core's assumptions.
pub(super) const LAG_US: u64 = 900_000;

/// What the network and the engines do to what passes.
#[derive(Clone, Debug)]
pub struct Faults {
    pub delay_us: (u64, u64),
    pub lose_percent: u32,
    pub double_percent: u32,
    pub late_percent: u32,
    pub late_us: u64,
    pub load_us: (u64, u64),
    pub load_fail_percent: u32,
    pub report_lag_us: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            delay_us: (500, 1_500),
            lose_percent: 0,
            double_percent: 0,
            late_percent: 0,
            late_us: 0,
            load_us: (250_000, 250_000),
            load_fail_percent: 0,
            report_lag_us: 0,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    Tick {
        node: usize,
    },
    Deliver {
        node: usize,
        from: InstanceId,
        message: EnginesMessage,
    },
    ShellOrder {
        node: usize,
        order: TargetOrder,
    },
    EngineOrder {
        node: usize,
        life: u64,
        order: TargetOrder,
    },
    LoadDone {
        node: usize,
        life: u64,
        order: TargetOrder,
        boot: u64,
    },
    OrderEnded {
        node: usize,
        id: OrderId,
        target: TargetId,
        outcome: OrderOutcome,
    },
    ShellSend {
        node: usize,
        request: RequestId,
        permit: Permit,
    },
    EngineRequest {
        target: TargetId,
        run: Run,
        attempt: u64,
    },
    Iteration {
        target: TargetId,
        boot: u64,
        took: u64,
    },
    RequestEnded {
        node: usize,
        request: RequestId,
        end: PermitEnd,
    },
    Adopt {
        node: usize,
    },
    Drop {
        id: InstanceId,
        life: u64,
    },
}

impl Event {
    /// The node that must be awake to take it.
    const fn node(&self) -> Option<usize> {
        match self {
            Self::Tick { node }
            | Self::Deliver { node, .. }
            | Self::ShellOrder { node, .. }
            | Self::OrderEnded { node, .. }
            | Self::ShellSend { node, .. }
            | Self::RequestEnded { node, .. }
            | Self::Adopt { node } => Some(*node),
            _ => None,
        }
    }
}

#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub cfg: Tuning,
    pub nodes: Vec<Node>,
    pub engines: BTreeMap<TargetId, Engine>,
    pub platform: Platform,
    pub faults: Faults,
    pub record: Recorder,
    /// Whether messages are measured.
    pub count_bytes: bool,
    pub(super) rng: ChaCha8Rng,
    queue: BTreeMap<(u64, u64), (u64, Event)>,
    next_event: u64,
    next_request: u128,
}

impl World {
    pub fn new(cfg: Tuning, seed: u64, nodes: usize) -> Self {
        let mut world = Self {
            now: 0,
            platform: Platform::new(&cfg, cfg.grouping),
            cfg,
            nodes: Vec::new(),
            engines: BTreeMap::new(),
            faults: Faults::default(),
            record: Recorder::default(),
            count_bytes: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            next_event: 0,
            next_request: 1,
        };
        let ids: Vec<InstanceId> = (0..nodes)
            .map(|index| InstanceId::try_from(format!("i{index}").as_str()).unwrap())
            .collect();
        let members = ids.iter().map(|id| member(id, 1)).collect();
        world.platform.map.members = members;
        for id in ids {
            let offset = world.rng.random_range(0..1_000_000_000_000);
            let node = Node::new(id, 1, offset, &world.cfg, &world.platform.map);
            world.nodes.push(node);
        }
        for node in 0..nodes {
            world.after(0, Event::Tick { node });
        }
        world
    }

    pub fn engines(mut self, list: Vec<TargetInfo>, speed: Speed) -> Self {
        for info in list {
            let mut engine = Engine::new(info, speed);
            engine.record(0, LAG_US);
            self.engines.insert(engine.id().clone(), engine);
        }
        for node in 0..self.nodes.len() {
            self.list_targets(node);
        }
        self
    }

    pub fn run_for(&mut self, span_us: u64) {
        let end = self.now + span_us;
        while let Some((key, _)) = self.queue.first_key_value() {
            let key = *key;
            if key.0 > end {
                break;
            }
            let (life, event) = self.queue.remove(&key).unwrap();
            self.now = key.0;
            self.take(life, event);
        }
        self.now = end;
    }

    /// A caller asks node `node`.
    pub fn ask(&mut self, node: usize, mut ask: PermitRequest, answer: u64) -> RequestId {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        ask.request = request;
        let record = Record {
            ask: ask.clone(),
            node,
            life: self.nodes[node].life,
            answer,
            arrived: self.now,
            asked: self.now,
            decided: None,
            refused: None,
            target: None,
            first_token: None,
            done: None,
            attempts: 0,
            cancelled: false,
            stalled: None,
        };
        self.record.requests.insert(request, record);
        self.record.undecided += 1;
        self.step(node, |core, cx| core.request_permit(cx, ask));
        request
    }

    /// The caller of an undecided request goes away.
    pub fn cancel(&mut self, request: RequestId) {
        let Some(record) = self.record.requests.get_mut(&request) else {
            return;
        };
        record.cancelled = true;
        self.record.undecided = self.record.undecided.saturating_sub(1);
        let node = record.node;
        self.step(node, |core, cx| {
            core.cancel(cx, request);
            Vec::new()
        });
    }

    /// A number below `below` from the world's seed.
    pub fn draw(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    /// Permits that acting homes count as out.
    pub fn permits_out(&self) -> usize {
        let living = self.nodes.iter().filter(|it| it.alive);
        living.map(|it| it.core.outstanding_permits()).sum()
    }

    /// Whether callers can reach node `node`.
    pub fn is_awake(&self, node: usize) -> bool {
        let it = &self.nodes[node];
        it.alive && it.frozen_until <= self.now
    }

    /// A new life of a node that was dropped joins with nothing.
    pub fn rejoin(&mut self, node: usize) {
        let old = &self.nodes[node];
        let (id, life) = (old.id.clone(), old.life);
        let offset = self.rng.random_range(0..1_000_000_000_000);
        self.platform.change(self.now, |members| {
            members.retain(|it| it.id != id);
            members.push(member(&id, life + 1));
        });
        self.nodes[node] = Node::new(id, life + 1, offset, &self.cfg, &self.platform.map);
        let retired = self.platform.changed_at + self.platform.span();
        self.nodes[node].own.past_retired_at = Some(self.nodes[node].clock(retired));
        self.list_targets(node);
        self.after(0, Event::Tick { node });
        self.announce();
    }

    pub fn restart_engine(&mut self, target: &TargetId) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let broken = engine.restart();
        engine.underway.clear();
        engine.record(self.now, LAG_US);
        for run in broken {
            let delay = self.delay();
            let end = PermitEnd::EngineFailed;
            let event = Event::RequestEnded {
                node: run.node,
                request: run.request,
                end,
            };
            self.after_for(run.life, delay, event);
        }
    }

    pub fn engine_leaves(&mut self, target: &TargetId, listed: bool) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        engine.leaving = true;
        engine.info.leaving = engine.info.leaving || listed;
        engine.record(self.now, LAG_US);
        for node in 0..self.nodes.len() {
            if self.is_awake(node) {
                self.list_targets(node);
            }
        }
    }

    pub(super) fn list_targets(&mut self, node: usize) {
        let list: Vec<TargetInfo> = self.engines.values().map(|it| it.info.clone()).collect();
        self.step(node, |core, cx| core.set_targets(cx, &list));
    }

    pub(super) fn announce(&mut self) {
        for node in 0..self.nodes.len() {
            let delay = self.rng.random_range(1_000..60_000);
            self.after(delay, Event::Adopt { node });
        }
    }

    pub(super) fn after(&mut self, delay: u64, event: Event) {
        let life = event.node().map_or(0, |node| self.nodes[node].life);
        self.after_for(life, delay, event);
    }

    pub(super) fn after_for(&mut self, life: u64, delay: u64, event: Event) {
        self.next_event += 1;
        let key = (self.now + delay, self.next_event);
        self.queue.insert(key, (life, event));
    }

    pub(super) fn delay(&mut self) -> u64 {
        let (from, to) = self.faults.delay_us;
        let late = self.faults.late_us > 0 && self.chance(self.faults.late_percent);
        let extra = if late {
            self.rng.random_range(0..self.faults.late_us)
        } else {
            0
        };
        self.rng.random_range(from..=to) + extra
    }

    pub(super) fn engine_delay(&mut self) -> u64 {
        self.delay().min(FLIGHT_US)
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    pub(super) fn take(&mut self, life: u64, event: Event) {
        if let Some(node) = event.node() {
            let it = &self.nodes[node];
            if !it.alive || it.life != life {
                return;
            }
            if it.frozen_until > self.now {
                let wait = it.frozen_until - self.now;
                self.after_for(life, wait, event);
                return;
            }
        }
        self.apply(event);
    }

    pub(super) fn apply(&mut self, event: Event) {
        match event {
            Event::Tick { node } => {
                self.observe(node);
                self.step(node, Engines::tick);
                self.after(TICK_US, Event::Tick { node });
            }
            Event::Adopt { node } => self.observe(node),
            Event::Deliver {
                node,
                from,
                message,
            } => {
                self.step(node, |core, cx| core.message(cx, &from, message));
            }
            Event::ShellOrder { node, order } => self.send_order(node, order),
            Event::EngineOrder { node, life, order } => self.engine_order(node, life, order),
            Event::LoadDone {
                node,
                life,
                order,
                boot,
            } => self.load_done(node, life, &order, boot),
            Event::OrderEnded {
                node,
                id,
                target,
                outcome,
            } => {
                self.step(node, |core, cx| core.order_ended(cx, id, &target, outcome));
            }
            Event::ShellSend {
                node,
                request,
                permit,
            } => self.send_request(node, request, permit),
            Event::EngineRequest {
                target,
                run,
                attempt,
            } => self.engine_request(&target, run, attempt),
            Event::Iteration { target, boot, took } => self.iteration(&target, boot, took),
            Event::RequestEnded { node, request, end } => self.request_ended(node, request, end),
            Event::Drop { id, life } => self.drop_member(&id, life),
        }
    }

    pub(super) fn observe(&mut self, node: usize) {
        let adopted: BTreeSet<Adoption> = self
            .nodes
            .iter()
            .filter(|it| it.own.map.revision == self.platform.map.revision)
            .map(|it| Adoption {
                member_ref: it.own.local.clone(),
                map: it.own.map.revision,
            })
            .collect();
        if self.nodes[node].observe(self.now, &self.platform, &adopted) {
            self.step(node, Engines::map_changed);
        }
    }

    pub(super) fn step(
        &mut self,
        node: usize,
        act: impl FnOnce(&mut Engines, &mut Cx<'_>) -> Vec<PermitDecision>,
    ) {
        let (decisions, actions) = self.nodes[node].step(self.now, act);
        for action in actions {
            self.carry_out(node, action);
        }
        for decision in decisions {
            self.decided(node, decision);
        }
    }
}
