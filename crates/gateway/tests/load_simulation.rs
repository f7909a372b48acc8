//! Simulates load scenarios in virtual time and checks what callers get.

mod support;

use std::time::Duration;

use support::load_simulation::{LoadScenario, Results};

/// Returns a scenario whose engines have few slots and are saturated by prompts; its figures vary
/// with the seed.
fn scenario(seed: u64) -> LoadScenario {
    let varied = |from: u64, span: u64| from + (seed * 7_919) % span;
    LoadScenario {
        instances: 7,
        engines: usize::try_from(varied(16, 6)).unwrap(),
        adapter_slots: 6,
        host_copies: 36,
        max_concurrent_loads: 8,
        adapters: 3_000,
        skew: 1.2,
        requests_per_second: 60.0,
        prompt_tokens: varied(1_800, 900),
        tokens_per_ms: (17.0, 24.0),
        response_duration: Duration::from_millis(varied(500, 400)),
        seconds: 20,
        seed,
    }
}

fn worst_fraction(scenarios: impl Iterator<Item = LoadScenario>) -> (f64, Vec<Results>) {
    let results = scenarios.map(LoadScenario::run).collect::<Vec<_>>();
    let fractions = results.iter().map(Results::in_time_fraction);
    (fractions.fold(1.0, f64::min), results)
}

/// Guards against an overloaded engine while others idle. A fifth of all requests is for one
/// adapter, more than two engines can process; its engine was saturated for seconds, but only a
/// fifth of its slots was taken.
#[test]
fn a_hot_adapter_is_served_in_time() {
    let hot = (1..=3).map(|seed| LoadScenario {
        adapters: 60,
        requests_per_second: 110.0,
        ..scenario(seed)
    });
    let (worst_fraction, results) = worst_fraction(hot);
    assert!(worst_fraction >= 0.9, "{worst_fraction} {results:?}");
}

/// More adapters are requested than there are slots, but no more than the weight store can load.
/// Guards against requests that waited for slots on one engine while others had idle ones.
#[test]
fn more_adapters_than_slots_are_served_in_time() {
    let (worst_fraction, results) = worst_fraction((1..=3).map(scenario));
    assert!(worst_fraction >= 0.9, "{worst_fraction} {results:?}");
}

/// More loads are requested than the weight store can carry, 32 a second. Guards against loads that
/// all complete after their request was refused, so that the store's work is wasted. At best the
/// most popular adapters, one per slot, need no load and each load serves one request; seven tenths
/// of that is required.
#[test]
fn requests_are_served_in_time_while_the_weight_store_is_overloaded() {
    let overload = (1..=3).map(|seed| LoadScenario {
        skew: 0.9,
        requests_per_second: 90.0,
        ..scenario(seed)
    });
    for scenario in overload {
        let adapter_slots = u32::try_from(scenario.engines * scenario.adapter_slots).unwrap();
        let popularity = |ranks: u32| (1..=ranks).map(|rank| f64::from(rank).powf(-scenario.skew));
        let resident =
            popularity(adapter_slots).sum::<f64>() / popularity(scenario.adapters).sum::<f64>();
        let loaded = 32.0 / scenario.requests_per_second;
        let results = scenario.run();
        let fraction = results.in_time_fraction();
        assert!(
            fraction >= 0.7 * (resident + loaded),
            "{fraction} {results:?}"
        );
    }
}

/// Guards against decisions that depend on the order of a hash map, so that no failure can be replayed.
#[test]
fn the_same_seed_gives_the_same_decisions() {
    let overload = LoadScenario {
        skew: 0.9,
        requests_per_second: 90.0,
        ..scenario(1)
    };
    let (_, first) = overload.clone().run_recorded();
    let (_, second) = overload.run_recorded();
    let differing = first.iter().zip(&second).find(|(a, b)| a != b);
    assert_eq!(differing, None);
    assert_eq!(first.len(), second.len());
}
