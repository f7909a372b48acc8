//! Stateful fuzzing of map, standing and activation: never two acting homes, and always one again.
//!
//! `BLUEBELLSTAGE_FUZZ_CASES=1000 cargo test -p bluebellstage-core --release --test membership_fuzz
//! fresh -- --nocapture` tries fresh cases; `BLUEBELLSTAGE_FUZZ_SEED=…` repeats one.

mod support {
    pub mod membership_faults;
    pub mod membership_net;
    pub mod membership_oracle;
    pub mod membership_platform;
    pub mod membership_weather;
    pub mod membership_world;
}

use std::env;

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use support::membership_faults::{Faults, Plan, Step};
use support::membership_world::World;

/// Once all faults end, every key has its home within this many milliseconds: the list's lag
/// bound, the pause of an instance that was dropped again and again, and T.
const RECOVERY: u64 = 20_000;

/// Cases of each of the fixed tests.
const FIXED_CASES: u64 = 40;

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = World;
    type Reference = Faults;

    fn init_test(ref_state: &Plan) -> World {
        ref_state.world()
    }

    fn apply(mut state: World, _ref_state: &Plan, transition: Step) -> World {
        state.suffer(&transition);
        state
    }

    fn teardown(mut state: World, _ref_state: Plan) {
        let took = state.recover(RECOVERY);
        if env::var_os("BLUEBELLSTAGE_FUZZ_CASES").is_some() {
            println!("recovered in {took} ms");
        }
    }
}

fn try_seed(seed: u64) {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases: 1,
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Faults::sequential_strategy(5..30);
    let result = runner.run(&strategy, |(plan, steps, seen)| {
        Fuzz::test_sequential(config.clone(), plan, steps, seen);
        Ok(())
    });
    if let Err(failure) = result {
        panic!("repeat with BLUEBELLSTAGE_FUZZ_SEED={seed}: {failure}");
    }
}

fn try_fixed(block: u64) {
    for seed in block * FIXED_CASES..(block + 1) * FIXED_CASES {
        try_seed(seed);
    }
}

#[test]
fn never_two_acting_homes_first_block() {
    try_fixed(0);
}

#[test]
fn never_two_acting_homes_second_block() {
    try_fixed(1);
}

#[test]
fn never_two_acting_homes_third_block() {
    try_fixed(2);
}

#[test]
fn never_two_acting_homes_fourth_block() {
    try_fixed(3);
}

#[test]
fn never_two_acting_homes_in_as_many_fresh_cases_as_asked_for() {
    if let Some(seed) = number("BLUEBELLSTAGE_FUZZ_SEED") {
        try_seed(seed);
        return;
    }
    let cases = number("BLUEBELLSTAGE_FUZZ_CASES").unwrap_or(0);
    for _ in 0..cases {
        try_seed(rand::random());
    }
}

fn number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
