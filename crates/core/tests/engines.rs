//! The engines' cores of several instances together, in memory.

#[path = "support/engines/mod.rs"]
mod support;

use std::time::Duration;

use bluebellstage_core::engines::{AskNumber, EnginesMessage, GroupStatus};
use bluebellstage_core::{AdapterVersion, Refusal, RefusalKind, TargetId, Tuning};

use support::engine::Speed;
use support::fleet::{EngineSpec, ask};
use support::lone::{Lone, group};
use support::world::World;

const SECOND: u64 = 1_000_000;

const SPEED: Speed = Speed {
    base: 5_000,
    per_sequence: 200,
    per_prefill_token: 10,
};

const SPEC: EngineSpec = EngineSpec {
    slots: 2,
    max_batch: 4,
    checks_fencing: true,
};

fn world(nodes: usize, engines: u16) -> World {
    let world = World::new(Tuning::default(), 1, nodes);
    let mut world = world.engines(SPEC.many(engines, 1), SPEED);
    world.run_for(4 * SECOND);
    world
}

fn assert_all_done(world: &World) {
    assert_eq!(world.record.violations, Vec::<String>::new());
    let undone: Vec<_> = world
        .record
        .requests
        .values()
        .filter(|it| it.done.is_none())
        .collect();
    assert!(undone.is_empty(), "{undone:#?}");
}

#[test]
fn a_request_waits_for_its_load_and_runs() {
    let mut world = world(3, 1);
    let request = world.ask(0, ask(1), 10);
    world.run_for(2 * SECOND);
    assert_all_done(&world);
    assert_eq!(world.record.loads.len(), 1);
    let record = &world.record.requests[&request];
    let decided = record.decided.unwrap() - record.arrived;
    assert!((250_000..320_000).contains(&decided), "{decided}");
}

#[test]
fn many_waiters_share_one_load() {
    let mut world = world(3, 1);
    for node in [0, 1, 2, 0, 1, 2] {
        world.ask(node, ask(1), 10);
    }
    world.run_for(3 * SECOND);
    assert_all_done(&world);
    assert_eq!(world.record.loads.len(), 1);
}

#[test]
fn an_idle_adapter_makes_room_when_slots_are_full() {
    let mut world = world(3, 1);
    for index in 0..5 {
        world.ask(0, ask(index), 10);
        world.run_for(2 * SECOND);
    }
    assert_all_done(&world);
    assert_eq!(world.record.unloads, 3);
}

// A draft waits for ever though its store and engine are well: the slots' adapters always have work,
// so none of them is ever idle.
#[test]
fn busy_adapters_are_drained_for_one_that_waits() {
    let mut world = world(2, 1);
    let mut waiting = None;
    for round in 0..200_u64 {
        for index in 0..2 {
            world.ask(0, ask(index), 20);
        }
        if round == 50 {
            waiting = Some(world.ask(1, ask(7), 20));
        }
        world.run_for(SECOND / 25);
    }
    let record = &world.record.requests[&waiting.unwrap()];
    let waited = record.decided.unwrap_or(u64::MAX) - record.arrived;
    assert!(waited < 2 * SECOND, "{waited}");
    world.run_for(20 * SECOND);
    assert_all_done(&world);
}

#[test]
fn versions_of_an_adapter_are_loaded_apart() {
    let mut world = world(3, 1);
    let old = ask(1);
    let mut new = ask(1);
    new.adapter.version = AdapterVersion(2);
    world.ask(0, old, 10);
    world.ask(0, new, 10);
    world.run_for(3 * SECOND);
    assert_all_done(&world);
    assert_eq!(world.record.loads.len(), 2);
}

#[test]
fn a_model_without_engines_is_refused_at_once() {
    let mut world = World::new(Tuning::default(), 1, 2);
    let request = world.ask(0, ask(1), 10);
    let record = &world.record.requests[&request];
    assert_eq!(record.refused, Some(RefusalKind::NoTarget));
}

#[test]
fn a_leaving_engine_gets_no_new_work() {
    let mut world = world(3, 2);
    let leaving = TargetId::try_from("e0").unwrap();
    for index in 0..4 {
        world.ask(0, ask(index), 400);
    }
    world.run_for(2 * SECOND);
    world.engine_leaves(&leaving, true);
    let at = world.now;
    for index in 0..4 {
        world.ask(1, ask(index), 10);
    }
    world.run_for(20 * SECOND);
    assert_all_done(&world);
    let late =
        |it: &&support::record::Record| it.arrived >= at && it.target.as_ref() == Some(&leaving);
    assert_eq!(world.record.requests.values().filter(late).count(), 0);
}

#[test]
fn a_killed_home_is_replaced_and_its_queue_goes_on() {
    let mut world = world(3, 2);
    for index in 0..4 {
        world.ask(index as usize % 3, ask(index), 100);
    }
    world.run_for(SECOND / 10);
    world.kill(0);
    world.run_for(30 * SECOND);
    let open: Vec<_> = world
        .record
        .requests
        .values()
        .filter(|it| it.node != 0 && it.done.is_none())
        .collect();
    assert!(open.is_empty(), "{open:#?}");
    assert_eq!(world.record.violations, Vec::<String>::new());
}

// Each draft waits seconds for a load though every adapter had a slot: rendezvous gives one group
// more adapters than it has slots and another fewer, so the first evicts and loads without end.
#[test]
fn adapters_that_fit_into_all_slots_are_loaded_once() {
    for seed in 1..6 {
        let world = World::new(Tuning::default(), seed, 4);
        let spec = EngineSpec { slots: 4, ..SPEC };
        let mut world = world.engines(spec.many(3, 3), SPEED);
        world.run_for(4 * SECOND);
        for round in 0..240_u32 {
            let node = usize::try_from(round * 7 % 4).unwrap();
            world.ask(node, ask(round % 12), 5);
            world.run_for(SECOND / 4);
        }
        world.run_for(5 * SECOND);
        assert_all_done(&world);
        let loads = world.record.loads.len();
        assert!(loads <= 13, "seed {seed}: {loads} loads of 12 adapters");
    }
}

// A caller is told to come back at once, over and over, though the store needs ten seconds for what
// waits already.
#[test]
fn an_ask_is_given_up_in_time_and_told_when_to_return() {
    let mut lone = Lone::entry(&SPEC);
    lone.step(|core, cx| core.ask(cx, ask(1)));
    let asked = lone.now;
    let status = GroupStatus {
        stalled: 30,
        places: 4,
        ..GroupStatus::default()
    };
    while lone.decisions.is_empty() {
        let queued = EnginesMessage::Queued {
            number: AskNumber(0),
            group: group(),
            status,
        };
        lone.hear("b", queued);
        lone.pass(50);
    }
    assert_eq!(lone.now, asked + Tuning::default().queue_patience);
    let refusal = lone.decisions.remove(0).outcome.unwrap_err();
    let expected = Refusal::retry_after(RefusalKind::Overloaded, Duration::from_secs(10));
    assert_eq!(refusal, expected);
}
