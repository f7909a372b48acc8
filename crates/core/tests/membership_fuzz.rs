//! Stateful fuzzing of map, leases and activation: no key ever has two acting owners, and after all
//! faults have ended each key has one again.
//!
//! `BLUEBELLSTAGE_FUZZ_CASES=1000 cargo test -p bluebellstage-core --release --test membership_fuzz
//! fresh -- --nocapture` runs new random cases; `BLUEBELLSTAGE_FUZZ_SEED=…` repeats one.

mod support {
    pub mod membership_cluster;
    pub mod membership_conditions;
    pub mod membership_faults;
    pub mod membership_net;
    pub mod membership_oracle;
    pub mod membership_platform;
}

use std::env;
use std::ops::Range;

use bluebellstage_core::{InstanceId, Map};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use support::membership_cluster::{Cluster, Rule};
use support::membership_faults::{Fault, Faults, Plan, Step};

/// After all faults have ended, every key has its owner within this many milliseconds: the maximum
/// lag of the instance list, the maximum rejoin backoff, and the lease duration.
const RECOVERY_MS: u64 = 20_000;

/// Number of cases in each fixed block.
const FIXED_CASES: u64 = 40;

/// Without faults, all instances are active within this many milliseconds.
const SETTLING_MS: u64 = 10_000;

/// Number of cases that each naive rule is tried with.
const NAIVE_CASES: u64 = 20;

/// Number of faults in a case.
const STEP_COUNTS: Range<usize> = 5..30;

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = Cluster;
    type Reference = Faults;

    fn init_test(ref_state: &Plan) -> Cluster {
        let mut cluster = ref_state.cluster();
        if ref_state.starts_settled {
            cluster.run_until_settled(SETTLING_MS);
        }
        cluster
    }

    fn apply(mut state: Cluster, _ref_state: &Plan, transition: Step) -> Cluster {
        state.apply_step(&transition);
        state
    }

    fn teardown(mut state: Cluster, _ref_state: Plan) {
        let took = state.recover(RECOVERY_MS);
        let took = took
            + state.run_until(
                RECOVERY_MS - took,
                "the owners by the platform's map act",
                |cluster| cluster.acting_owners() == owners_by_platform_map(cluster),
            );
        if env::var_os("BLUEBELLSTAGE_FUZZ_CASES").is_some() {
            println!("recovered in {took} ms");
        }
    }
}

fn runner(seed: u64) -> TestRunner {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases: 1,
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    TestRunner::new_with_rng(config, rng)
}

fn try_seed(seed: u64) {
    let mut runner = runner(seed);
    let config = runner.config().clone();
    let strategy = Faults::sequential_strategy(STEP_COUNTS);
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
fn two_owners_never_act_first_block() {
    try_fixed(0);
}

#[test]
fn two_owners_never_act_second_block() {
    try_fixed(1);
}

#[test]
fn two_owners_never_act_third_block() {
    try_fixed(2);
}

#[test]
fn two_owners_never_act_fourth_block() {
    try_fixed(3);
}

#[test]
fn two_owners_never_act_in_the_requested_number_of_fresh_cases() {
    if let Some(seed) = env_number("BLUEBELLSTAGE_FUZZ_SEED") {
        try_seed(seed);
        return;
    }
    let cases = env_number("BLUEBELLSTAGE_FUZZ_CASES").unwrap_or(0);
    for _ in 0..cases {
        try_seed(rand::random());
    }
}

/// A process is started twice under one name. The first incarnation was frozen; it thaws, takes the
/// entry of the second and dies, and all other instances die too. The second incarnation, now
/// alone, considered itself superseded forever, so no key had an owner.
#[test]
fn a_superseded_incarnation_rejoins_after_the_other_died() {
    let plan = Plan {
        instances: 3,
        seed: 17_842_061_391_711_751_685,
        starts_settled: false,
        has_watch: false,
    };
    let lossy = Fault::Network {
        loss_percent: 9,
        duplicated_percent: 0,
        max_delay_ms: 5,
    };
    let steps = [
        (Fault::Replace(0), 0),
        (lossy, 3),
        (Fault::Restart(0), 668),
        (Fault::Freeze(0), 1_868),
        (Fault::Kill(1), 509),
        (Fault::Kill(2), 0),
    ];
    let steps = steps.map(|(fault, then_run_ms)| Step { fault, then_run_ms });
    Fuzz::test_sequential(Config::default(), plan, steps.to_vec(), None);
}

/// Guards against regressions: these seeds failed because of the case above, and because of bugs in
/// the simulation itself.
#[test]
fn formerly_failing_seeds_pass() {
    for seed in [
        14_807_131_227_008_137_276,
        6_794_708_489_869_766_114,
        5_548_993_068_034_690_265,
        5_667_417_350_776_436_345,
    ] {
        try_seed(seed);
    }
}

/// The owner under the newest map that an instance knows acts.
const NEWEST_MAP_ONLY: Rule =
    |ownership, _now, _platform_lease_until, key| ownership.is_member() && ownership.is_owner(key);

/// As above, and the platform responded to a read of the map within the lease duration: a lease in
/// the platform.
const PLATFORM_LEASE: Rule = |ownership, now, platform_lease_until, key| {
    NEWEST_MAP_ONLY(ownership, now, now, key) && now < platform_lease_until
};

/// The owner acts with the lease of this crate, but without waiting for the former owner.
const QUORUM_LEASE_ONLY: Rule = |ownership, now, _platform_lease_until, key| {
    ownership.has_lease(now) && ownership.is_owner(key)
};

/// Proves that the fuzz tests detect two acting owners: rules with a known flaw must fail in the
/// fixed cases.
#[test]
fn naive_rules_let_two_owners_act_in_the_fixed_cases() {
    let rules = [
        ("newest map", NEWEST_MAP_ONLY),
        ("platform lease", PLATFORM_LEASE),
        ("quorum lease", QUORUM_LEASE_ONLY),
    ];
    for (name, rule) in rules {
        let detected = (0..NAIVE_CASES).filter(|seed| lets_two_owners_act(rule, *seed));
        let detected = detected.count();
        println!("{name} only: two owners act in {detected} of {NAIVE_CASES} cases");
        assert!(detected > 0);
    }
}

fn lets_two_owners_act(rule: Rule, seed: u64) -> bool {
    let strategy = Faults::sequential_strategy(STEP_COUNTS);
    let tree = strategy.new_tree(&mut runner(seed)).expect("a case");
    let (plan, steps, _) = tree.current();
    let mut cluster = plan.cluster();
    cluster.run_until_settled(SETTLING_MS);
    cluster.rule = rule;
    cluster.is_strict = false;
    steps.iter().any(|step| {
        cluster.apply_step(step);
        cluster.violation.is_some()
    })
}

/// Returns the owners of all keys by the stored map: the reference that the cluster must converge
/// to.
fn owners_by_platform_map(cluster: &Cluster) -> Vec<Vec<InstanceId>> {
    let stored = cluster.platform.object.as_ref().expect("a map is stored");
    let map: Map = serde_json::from_str(&stored.value).expect("the map parses");
    let owners = cluster.keys.iter().map(|key| map.owner(key).cloned());
    owners.map(|owner| owner.into_iter().collect()).collect()
}

fn env_number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
