//! Prints how long keys have no acting home after a kill and after a planned leave.
//!
//! `cargo run --release -p bluebellstage-core --example membership_takeover`

#[expect(dead_code, reason = "shared with tests that also freeze and cut")]
#[path = "../tests/support"]
mod support {
    pub mod membership_net;
    pub mod membership_oracle;
    pub mod membership_platform;
    pub mod membership_weather;
    pub mod membership_world;
}

use support::membership_world::World;

const COUNTS: [usize; 3] = [3, 5, 8];
const SEEDS: u64 = 100;
/// Virtual milliseconds in which all must have started, or a change must be over.
const LIMIT: u64 = 20_000;
/// Time is looked at in steps of this many milliseconds.
const STEP: u64 = 10;

fn main() {
    println!("instances | change | p50 | p99 | longest, in ms of {SEEDS} seeds");
    for count in COUNTS {
        println!("{count} | killed | {}", spread(count, World::kill));
        println!("{count} | planned leave | {}", spread(count, World::stop));
    }
}

fn spread(count: usize, change: fn(&mut World, usize)) -> String {
    let mut gaps: Vec<_> = (0..SEEDS).map(|seed| gap(count, seed, change)).collect();
    gaps.sort_unstable();
    let percentile = |percent: usize| gaps[(gaps.len() - 1) * percent / 100];
    format!(
        "{} | {} | {}",
        percentile(50),
        percentile(99),
        percentile(100)
    )
}

/// The longest time in which some key had no acting home.
fn gap(count: usize, seed: u64, change: fn(&mut World, usize)) -> u64 {
    let mut world = World::started(count, seed);
    world.run_until_settled(LIMIT);
    world.run(5_000 + seed * 7);
    change(&mut world, 0);
    let mut gap = 0;
    let mut longest = 0;
    for _ in 0..LIMIT / STEP {
        world.run(STEP);
        gap = if world.orphans() == 0 { 0 } else { gap + STEP };
        longest = longest.max(gap);
    }
    longest
}
