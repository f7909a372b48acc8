//! How many random cases a fuzz test runs, and from which seed.

use std::time::{SystemTime, UNIX_EPOCH};

use proptest::test_runner::{Config, RngSeed};

/// More cases from a fresh seed, for a run by hand.
const CASES: &str = "BLUEBELLSTAGE_FUZZ_CASES";

/// The seed of an earlier run by hand, to repeat it.
const SEED: &str = "BLUEBELLSTAGE_FUZZ_SEED";

fn number<T: std::str::FromStr>(variable: &str) -> Option<T> {
    std::env::var(variable).ok()?.parse().ok()
}

/// `cases` from a fixed seed, or as many fresh ones as the environment asks for.
pub fn cases(cases: u32) -> Config {
    let asked: Option<u32> = number(CASES);
    let fresh = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_secs());
    let seed = match asked {
        None => 1,
        Some(_) => number(SEED).unwrap_or(fresh),
    };
    if asked.is_some() {
        eprintln!("repeat with {SEED}={seed}");
    }
    Config {
        cases: asked.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    }
}
