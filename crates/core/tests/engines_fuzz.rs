//! Stateful fuzzing of the engines' cores against what must always hold.
//!
//! `BLUEBELLSTAGE_FUZZ_CASES=N` runs N cases of a fresh seed, which is printed;
//! `BLUEBELLSTAGE_FUZZ_SEED=S` repeats it.

#[path = "support/engines/mod.rs"]
mod support;

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use bluebellstage_core::Grouping;
use support::chaos::{NODES, Net, Setup, Step, apply, heal, setups, steps};
use support::fleet::ask;
use support::world::World;

const SECOND: u64 = 1_000_000;

/// Cases of a run with the fixed seed.
const FIXED_CASES: u32 = 40;

/// The seed of runs that must always give the same verdict.
const FIXED_SEED: u64 = 20_261_202;

/// How much later than `max_queue_wait` an ask may be decided: one tick, and the node's standing
/// still while it was frozen.
const DECISION_BOUND: u64 = SECOND / 10;

/// The run's configuration; drawn once, because each case asks for it.
fn config() -> Config {
    static CONFIG: OnceLock<Config> = OnceLock::new();
    CONFIG.get_or_init(draw_config).clone()
}

fn draw_config() -> Config {
    let number = |name| std::env::var(name).ok().and_then(|it| it.parse().ok());
    let cases: Option<u64> = number("BLUEBELLSTAGE_FUZZ_CASES");
    let fresh = || {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        u64::from(now.map(|it| it.subsec_nanos()).unwrap_or_default())
    };
    let seed = match (number("BLUEBELLSTAGE_FUZZ_SEED"), cases) {
        (Some(seed), _) => seed,
        (None, Some(_)) => fresh(),
        (None, None) => FIXED_SEED,
    };
    println!("seed {seed}: repeat with BLUEBELLSTAGE_FUZZ_SEED={seed}");
    Config {
        cases: cases.map_or(FIXED_CASES, |it| u32::try_from(it).unwrap_or(u32::MAX)),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    }
}

/// All the reference needs to know is how the case began.
#[derive(Debug)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Setup;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Setup> {
        setups().boxed()
    }

    fn transitions(_: &Setup) -> BoxedStrategy<Step> {
        steps().boxed()
    }

    fn apply(state: Setup, _: &Step) -> Setup {
        state
    }
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(ref_state: &Setup) -> World {
        ref_state.build()
    }

    fn apply(mut state: World, _ref_state: &Setup, transition: Step) -> World {
        apply(&mut state, &transition);
        state
    }

    fn check_invariants(state: &World, _ref_state: &Setup) {
        check(state);
    }

    fn teardown(mut state: World, _ref_state: Setup) {
        check_recovery(&mut state);
    }
}

fn check(world: &World) {
    assert_eq!(world.record.violations, Vec::<String>::new());
    check_loads(world);
    check_decisions(world);
}

/// Load permits number at most the rate in any second, and each is used within a second.
fn check_loads(world: &World) {
    let rate = usize::try_from(world.cfg.store_loads_per_second).unwrap();
    let most = world.record.most_loads_within(SECOND);
    assert!(most <= 2 * rate, "{most} loads within a second");
    // A home that died had its own loads in flight when the next one began to permit.
    let limit = 2 * u64::from(world.cfg.store_in_flight);
    let peak = world.record.peak_in_flight;
    assert!(peak <= limit, "{peak} loads in flight");
}

fn check_decisions(world: &World) {
    let patience = u64::try_from(world.cfg.max_queue_wait.as_micros()).unwrap();
    for record in world.record.requests.values() {
        let node = &world.nodes[record.node];
        let gone = !node.alive || node.life != record.life || record.cancelled;
        let frozen = node.frozen_until + DECISION_BOUND > world.now;
        let late = record.asked + patience + DECISION_BOUND < world.now;
        let open = record.decided.is_none();
        assert!(!late || !open || gone || frozen, "undecided: {record:#?}");
    }
}

/// Once all is well, each adapter is served again, and nothing is left behind.
fn check_recovery(world: &mut World) {
    heal(world);
    world.run_for(15 * SECOND);
    let fresh: Vec<_> = (0..9)
        .map(|index| world.ask(index as usize % NODES, ask(index), 5))
        .collect();
    world.run_for(20 * SECOND);
    check(world);
    for request in fresh {
        let record = &world.record.requests[&request];
        assert!(record.done.is_some(), "starved: {record:#?}");
    }
    let out = world.permits_out();
    assert_eq!(out, 0, "permits out though nothing runs");
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn no_adapter_is_unloaded_in_use_and_every_ask_is_decided(sequential 20..120 => Fleet);
}

fn drafts(node: usize, adapter: u32, version: u64, answer: u64) -> Step {
    Step::Ask {
        node,
        adapter,
        version,
        workspace: 0,
        urgent: false,
        answer,
    }
}

// A request waits for ever, though it was let in: an instance that is also the home cancels a request,
// the place that comes free goes to another request of the same instance, and that permit's decision
// came out of a step that returns none.
#[test]
fn a_permit_that_a_cancelled_request_frees_is_not_lost() {
    let setup = Setup {
        seed: 7_652_558_193_861_482_739,
        grouping: Grouping::Pool,
        checks_fencing: true,
        report_lag_ms: 789,
        store_in_flight: 3,
    };
    let leaves = |engine| Step::EngineLeaves {
        engine,
        listed: false,
    };
    let steps = [
        Step::Busy { ms: 200 },
        drafts(0, 3, 1, 1),
        Step::Run { ms: 2404 },
        Step::Cut { node: 0, ms: 1367 },
        drafts(2, 4, 1, 1),
        drafts(0, 0, 1, 1),
        Step::Leave { node: 0 },
        leaves(2),
        Step::Cancel { index: 0 },
        drafts(0, 0, 1, 1),
        Step::Freeze { node: 0, ms: 2912 },
        drafts(2, 0, 2, 1),
        Step::RestartEngine { engine: 1 },
        Step::Run { ms: 702 },
        Step::Busy { ms: 350 },
        leaves(1),
        Step::Run { ms: 1599 },
        drafts(1, 1, 1, 11),
        Step::Network(Net::Late),
        Step::Kill { node: 0 },
        Step::Busy { ms: 1300 },
        Step::Run { ms: 1467 },
        Step::Return { node: 0 },
        Step::Run { ms: 2279 },
        Step::Busy { ms: 1162 },
        leaves(2),
        drafts(1, 4, 1, 42),
        Step::Cancel { index: 132 },
        Step::Run { ms: 1069 },
    ];
    let mut world = setup.build();
    for step in &steps {
        apply(&mut world, step);
        check(&world);
    }
    check_recovery(&mut world);
}
