//! Number of random cases in a fuzz test, and their seed.

use std::time::{SystemTime, UNIX_EPOCH};

use proptest::test_runner::{Config, RngSeed};

/// Sets the number of cases for a manual run, which uses a fresh seed.
const CASES_VARIABLE: &str = "BLUEBELLSTAGE_FUZZ_CASES";

/// Sets the seed of a manual run, to repeat an earlier one.
const SEED_VARIABLE: &str = "BLUEBELLSTAGE_FUZZ_SEED";

fn parse_variable<T: std::str::FromStr>(variable: &str) -> Option<T> {
    std::env::var(variable).ok()?.parse().ok()
}

/// Returns the configuration for `cases` cases from a fixed seed, or for the number of cases set in
/// the environment, from a fresh seed.
pub fn cases(cases: u32) -> Config {
    let requested: Option<u32> = parse_variable(CASES_VARIABLE);
    let time_seed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs());
    let seed = match requested {
        None => 1,
        Some(_) => parse_variable(SEED_VARIABLE).unwrap_or(time_seed),
    };
    if requested.is_some() {
        eprintln!("repeat with {SEED_VARIABLE}={seed}");
    }
    Config {
        cases: requested.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    }
}
