//! What can happen to a world, as values that a fuzzer draws.

use bluebellstage_core::{AdapterVersion, Grouping, MemberState, TargetId, Tokens, Tuning};
use proptest::prelude::*;

use super::engine::Speed;
use super::fleet::{EngineSpec, ask, workspace};
use super::world::{Faults, World};

const MILLISECOND: u64 = 1_000;

/// Nodes and engines of a fuzzed world.
pub const NODES: usize = 4;
const ENGINES: u16 = 3;
const ADAPTERS: u32 = 7;

/// How the network behaves.
#[derive(Clone, Copy, Debug)]
pub enum Net {
    Calm,
    Lossy,
    Late,
}

/// How the weight store behaves.
#[derive(Clone, Copy, Debug)]
pub enum Store {
    Quick,
    Slow,
    Failing,
}

/// The world that a case begins with.
#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub grouping: Grouping,
    pub checks_fencing: bool,
    pub report_lag_ms: u64,
    pub store_in_flight: u32,
}

/// One step of a case.
#[derive(Clone, Debug)]
pub enum Step {
    Ask {
        node: usize,
        adapter: u32,
        version: u64,
        workspace: u32,
        urgent: bool,
        answer: u64,
    },
    Run {
        ms: u64,
    },
    Kill {
        node: usize,
    },
    Rejoin {
        node: usize,
    },
    Freeze {
        node: usize,
        ms: u64,
    },
    Cut {
        node: usize,
        ms: u64,
    },
    Network(Net),
    Loads(Store),
    RestartEngine {
        engine: u16,
    },
    EngineLeaves {
        engine: u16,
        listed: bool,
    },
    Cancel {
        index: usize,
    },
    /// Runs with an ask every 50 ms at whatever node is awake.
    Busy {
        ms: u64,
    },
    /// A planned stop begins: the node is home of nothing any more.
    Leave {
        node: usize,
    },
    /// The node takes its part again.
    Return {
        node: usize,
    },
}

pub fn setups() -> impl Strategy<Value = Setup> {
    let groupings = prop_oneof![
        Just(Grouping::Engine),
        Just(Grouping::FailureDomain),
        Just(Grouping::Pool),
    ];
    (any::<u64>(), groupings, any::<bool>(), 0..900_u64, 1..4_u32).prop_map(
        |(seed, grouping, checks_fencing, report_lag_ms, store_in_flight)| Setup {
            seed,
            grouping,
            checks_fencing,
            report_lag_ms,
            store_in_flight,
        },
    )
}

pub fn steps() -> impl Strategy<Value = Step> {
    let nets = prop_oneof![Just(Net::Calm), Just(Net::Lossy), Just(Net::Late)];
    let stores = prop_oneof![Just(Store::Quick), Just(Store::Slow), Just(Store::Failing)];
    prop_oneof![
        24 => asks(),
        8 => (200..2_500_u64).prop_map(|ms| Step::Busy { ms }),
        3 => (0..NODES).prop_map(|node| Step::Leave { node }),
        3 => (0..NODES).prop_map(|node| Step::Return { node }),
        12 => (1..2_500_u64).prop_map(|ms| Step::Run { ms }),
        1 => (0..NODES).prop_map(|node| Step::Kill { node }),
        2 => (0..NODES).prop_map(|node| Step::Rejoin { node }),
        3 => (0..NODES, 20..7_000_u64).prop_map(|(node, ms)| Step::Freeze { node, ms }),
        2 => (0..NODES, 20..5_000_u64).prop_map(|(node, ms)| Step::Cut { node, ms }),
        2 => nets.prop_map(Step::Network),
        2 => stores.prop_map(Step::Loads),
        1 => (0..ENGINES).prop_map(|engine| Step::RestartEngine { engine }),
        1 => (1..ENGINES, any::<bool>())
            .prop_map(|(engine, listed)| Step::EngineLeaves { engine, listed }),
        2 => any::<prop::sample::Index>().prop_map(|it| Step::Cancel { index: it.index(1_000) }),
    ]
}

fn asks() -> impl Strategy<Value = Step> {
    let long = prop_oneof![3 => 1..60_u64, 1 => 200..1_500_u64];
    (
        0..NODES,
        0..ADAPTERS,
        1..3_u64,
        0..3_u32,
        any::<bool>(),
        long,
    )
        .prop_map(
            |(node, adapter, version, workspace, urgent, answer)| Step::Ask {
                node,
                adapter,
                version,
                workspace,
                urgent,
                answer,
            },
        )
}

impl Setup {
    pub fn build(&self) -> World {
        let cfg = Tuning {
            grouping: self.grouping,
            max_queue_wait: std::time::Duration::from_secs(12),
            store_loads_per_second: 2,
            store_in_flight: self.store_in_flight,
            ..Tuning::default()
        };
        let spec = EngineSpec {
            slots: 2,
            max_batch: 3,
            checks_fencing: self.checks_fencing,
        };
        let speed = Speed {
            base: 4_000,
            per_sequence: 500,
            per_prefill_token: 10,
        };
        let world = World::new(cfg, self.seed, NODES);
        let mut world = world.engines(spec.many(ENGINES, 2), speed);
        world.faults.report_lag_us = self.report_lag_ms * MILLISECOND;
        world
    }
}

/// Does one step; those that can't be done are passed over.
pub fn apply(world: &mut World, step: &Step) {
    match *step {
        Step::Ask {
            node,
            adapter,
            version,
            workspace: owner,
            urgent,
            answer,
        } => {
            if world.is_awake(node) {
                let mut ask = ask(adapter);
                ask.adapter.version = AdapterVersion(version);
                ask.workspace = workspace(owner);
                ask.urgent = urgent;
                ask.max_answer = Tokens(answer);
                world.ask(node, ask, answer);
            }
        }
        Step::Run { ms } => world.run_for(ms * MILLISECOND),
        Step::Kill { node } => kill(world, node),
        Step::Rejoin { node } => rejoin(world, node),
        Step::Freeze { node, ms } => {
            if world.is_awake(node) {
                world.freeze(node, ms * MILLISECOND);
            }
        }
        Step::Cut { node, ms } => {
            if world.is_awake(node) {
                world.cut(node, ms * MILLISECOND);
            }
        }
        Step::Network(net) => set_net(&mut world.faults, net),
        Step::Loads(store) => set_store(&mut world.faults, store),
        Step::RestartEngine { engine } => world.restart_engine(&target(engine)),
        Step::EngineLeaves { engine, listed } => world.engine_leaves(&target(engine), listed),
        Step::Cancel { index } => cancel(world, index),
        Step::Busy { ms } => busy(world, ms),
        Step::Leave { node } => set_state(world, node, MemberState::Leaving),
        Step::Return { node } => set_state(world, node, MemberState::Active),
    }
}

/// The network and the store are well again, and every node is back.
pub fn heal(world: &mut World) {
    let report_lag_us = world.faults.report_lag_us;
    world.faults = Faults {
        report_lag_us,
        ..Faults::default()
    };
    world.run_for(10_000 * MILLISECOND);
    for node in 0..NODES {
        rejoin(world, node);
        set_state(world, node, MemberState::Active);
    }
    world.run_for(10_000 * MILLISECOND);
}

fn target(engine: u16) -> TargetId {
    TargetId::try_from(format!("e{engine}").as_str()).unwrap()
}

fn busy(world: &mut World, ms: u64) {
    for _ in 0..ms / 50 {
        let node = world.draw(NODES);
        if world.is_awake(node) {
            let index = u32::try_from(world.draw(7)).unwrap();
            let mut ask = ask(index);
            ask.urgent = world.draw(2) == 0;
            let answer = [2, 10, 40, 150][world.draw(4)];
            world.ask(node, ask, answer);
        }
        world.run_for(50 * MILLISECOND);
    }
}

/// Changes how far a node takes part, unless nobody would be left to be home of anything.
fn set_state(world: &mut World, node: usize, state: MemberState) {
    let active = |it: &usize| *it != node && world.is_active(*it);
    let others = (0..NODES).filter(active).count();
    if others > 0 && world.is_in_map(node) {
        world.set_state(node, state);
    }
}

fn kill(world: &mut World, node: usize) {
    let others = (0..NODES).filter(|it| *it != node && world.is_active(*it));
    if others.count() > 0 && world.nodes[node].alive {
        world.kill(node);
    }
}

fn rejoin(world: &mut World, node: usize) {
    if !world.is_in_map(node) {
        world.rejoin(node);
    }
}

fn cancel(world: &mut World, index: usize) {
    let open: Vec<_> = world
        .record
        .requests
        .iter()
        .filter(|(_, it)| it.decided.is_none() && world.is_awake(it.node))
        .filter(|(_, it)| it.life == world.nodes[it.node].life)
        .map(|(request, _)| *request)
        .collect();
    if !open.is_empty() {
        world.cancel(open[index % open.len()]);
    }
}

const fn set_net(faults: &mut Faults, net: Net) {
    let (lose, double, late, late_us) = match net {
        Net::Calm => (0, 0, 0, 0),
        Net::Lossy => (15, 10, 0, 0),
        Net::Late => (2, 15, 30, 4_000_000),
    };
    faults.lose_percent = lose;
    faults.double_percent = double;
    faults.late_percent = late;
    faults.late_us = late_us;
}

const fn set_store(faults: &mut Faults, store: Store) {
    let (load_us, fail) = match store {
        Store::Quick => ((250_000, 250_000), 0),
        Store::Slow => ((300_000, 2_500_000), 0),
        Store::Failing => ((100_000, 400_000), 40),
    };
    faults.load_us = load_us;
    faults.load_fail_percent = fail;
}
