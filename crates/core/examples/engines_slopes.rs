//! What a permit, an engine and a known adapter cost, from 10 to 1,000 engines.
//!
//! `cargo run --release -p bluebellstage-core --example engines_slopes`

#[path = "engines_slopes/counting.rs"]
mod counting;
#[path = "../tests/support/engines/mod.rs"]
mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use bluebellstage_core::engines::Engines;
use bluebellstage_core::{Action, EngineReport, InstanceId, OrderOutcome, TargetOrderKind, Tuning};

use counting::{Counting, live_bytes};
use support::engine::Speed;
use support::fleet::{EngineSpec, adapter, ask};
use support::membership::{Platform, member};
use support::node::Node;
use support::world::World;

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const SECOND: u64 = 1_000_000;
const NODES: usize = 8;
const SLOTS: u32 = 8;

/// Requests a second for each engine; each runs for about a third of a second.
const REQUESTS_PER_ENGINE: u64 = 2;
const ANSWER: u64 = 15;

const SPEED: Speed = Speed {
    base: 18_000,
    per_sequence: 600,
    per_prefill_token: 20,
};

fn main() {
    println!(
        "engines groups  us/permit  msgs/permit  bytes/permit  idle msgs/s  idle reports/s/engine"
    );
    for engines in [10, 30, 100, 300, 1_000] {
        row(engines, 3);
        if engines > 30 {
            row(engines, engines / 10);
        }
    }
    memory();
}

fn row(engines: u16, groups: u16) {
    let mut world = world(engines, groups);
    load(&mut world, 5);
    let before = snapshot(&world);
    load(&mut world, 10);
    let after = snapshot(&world);
    world.run_for(30 * SECOND);
    let idle_from = snapshot(&world);
    world.run_for(20 * SECOND);
    let idle = snapshot(&world);
    let permits = after.permits - before.permits;
    println!(
        "{engines:<7} {groups:<7} {:<10} {:<12} {:<13} {:<12} {}",
        decimal(
            u64::try_from(after.spent.saturating_sub(before.spent).as_nanos()).unwrap(),
            permits * 1_000
        ),
        decimal(after.messages - before.messages, permits),
        decimal(after.bytes - before.bytes, permits),
        decimal(idle.messages - idle_from.messages, 20),
        decimal(idle.reports - idle_from.reports, 20 * u64::from(engines)),
    );
}

fn world(engines: u16, groups: u16) -> World {
    let cfg = Tuning {
        store_loads_per_second: 100_000,
        store_in_flight: 100_000,
        ..Tuning::default()
    };
    let mut world = World::new(cfg, 1, NODES).engines(spec().many(engines, groups), SPEED);
    world.count_bytes = true;
    world.run_for(4 * SECOND);
    world
}

const fn spec() -> EngineSpec {
    EngineSpec {
        slots: SLOTS,
        max_batch: 16,
        checks_fencing: true,
    }
}

/// Asks evenly for as many adapters as there are half of the slots.
fn load(world: &mut World, seconds: u64) {
    let engines = u64::try_from(world.engines.len()).unwrap();
    let adapters = u32::try_from(engines).unwrap() * SLOTS / 2;
    for _ in 0..seconds * engines * REQUESTS_PER_ENGINE {
        let node = world.draw(NODES);
        let index = u32::try_from(world.draw(usize::try_from(adapters).unwrap())).unwrap();
        world.ask(node, ask(index), ANSWER);
        world.run_for(SECOND / (engines * REQUESTS_PER_ENGINE));
    }
}

struct Snapshot {
    spent: Duration,
    permits: u64,
    messages: u64,
    bytes: u64,
    reports: u64,
}

fn snapshot(world: &World) -> Snapshot {
    let requests = world.record.requests.values();
    let permits = requests.filter(|it| it.target.is_some()).count();
    Snapshot {
        spent: world.nodes.iter().map(|node| node.spent).sum(),
        permits: u64::try_from(permits).unwrap(),
        messages: world.record.messages,
        bytes: world.record.bytes,
        reports: world.record.reports,
    }
}

/// `over / under` with two decimals.
fn decimal(over: u64, under: u64) -> String {
    let hundredths = over * 100 / under.max(1);
    format!("{}.{:02}", hundredths / 100, hundredths % 100)
}

/// Memory of one instance that is home of all groups.
fn memory() {
    println!("\nengines  bytes/engine  bytes/resident adapter");
    for engines in [100, 1_000] {
        let mut node = lone_node();
        let list = spec().many(engines, 3);
        let before = live_bytes();
        drop(node.step(1, |core, cx| core.set_targets(cx, &list)));
        let listed = live_bytes();
        let (_, orders) = node.step(2, Engines::tick);
        let asked = live_bytes();
        for order in &orders {
            answer(&mut node, order);
        }
        println!(
            "{engines:<8} {:<13} {}",
            (listed - before) / i64::from(engines),
            (live_bytes() - asked) / i64::from(u32::from(engines) * SLOTS),
        );
    }
}

fn lone_node() -> Node {
    let cfg = Tuning::default();
    let mut platform = Platform::new(&cfg, cfg.grouping);
    let id = InstanceId::try_from("i0").unwrap();
    platform.map.members.push(member(&id, 1));
    let mut node = Node::new(id, 1, 0, &cfg, &platform.map);
    node.observe(0, &platform, &BTreeSet::new());
    node
}

/// An engine reports that it holds an adapter in each slot.
fn answer(node: &mut Node, action: &Action) {
    let Action::Order(order) = action else {
        return;
    };
    let outcome = if order.kind == TargetOrderKind::Report {
        let first = u32::try_from(order.id.0).unwrap() * SLOTS;
        OrderOutcome::Reported(EngineReport {
            boot: 1,
            resident: (first..first + SLOTS).map(adapter).collect(),
            ..EngineReport::default()
        })
    } else {
        OrderOutcome::Failed
    };
    drop(node.step(3, |core, cx| {
        core.order_ended(cx, order.id, &order.target, outcome)
    }));
}
