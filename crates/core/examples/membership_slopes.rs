//! Prints what membership costs an idle instance, by the number of instances.
//!
//! `cargo run --release -p bluebellstage-core --example membership_slopes`

#[expect(dead_code, reason = "shared with tests that also kill, freeze and cut")]
#[path = "../tests/support"]
mod support {
    pub mod membership_net;
    pub mod membership_oracle;
    pub mod membership_platform;
    pub mod membership_weather;
    pub mod membership_world;
}

use std::time::Instant;

use support::membership_world::{Traffic, World};

const COUNTS: [usize; 4] = [3, 8, 20, 60];
/// Virtual seconds that are measured.
const SECONDS: u64 = 60;
/// Virtual milliseconds in which all must have started.
const STARTING: u64 = 120_000;
/// Virtual milliseconds until the histories of the start are gone.
const RESTING: u64 = 20_000;

fn main() {
    println!(
        "instances | all active after | messages/s | JSON B/s | bincode B/s | platform calls/s | map B | CPU us/s"
    );
    for count in COUNTS {
        println!("{}", row(count));
    }
    println!(
        "per instance; bincode: variable-width integers, without the framing of tarpc and TCP"
    );
    println!("CPU: one core's time for an instance's second, queue and fake network included");
}

fn row(count: usize) -> String {
    let mut world = World::started(count, 1);
    let started = world.run_until_settled(STARTING);
    world.run(RESTING);
    // Without keys the oracle has nothing to look at.
    world.keys.clear();
    world.homes.clear();
    let begin = Instant::now();
    world.run(SECONDS * 1_000);
    let spent = begin.elapsed().as_micros();
    let per_second = |total: u128| total / u128::from(SECONDS) / count as u128;
    world.traffic.fill_with(Default::default);
    world.count_bytes = true;
    world.run(SECONDS * 1_000);
    let sum = |part: fn(&Traffic) -> u64| rate(world.traffic.iter().map(part).sum(), count);
    let map = world.platform.object.as_ref().map_or(0, |o| o.value.len());
    format!(
        "{count} | {started} ms | {:.1} | {:.0} | {:.0} | {:.2} | {map} | {}",
        sum(|t| t.messages),
        sum(|t| t.bytes),
        sum(|t| t.binary_bytes),
        sum(|t| t.platform_calls),
        per_second(spent)
    )
}

/// Of one instance in one second.
#[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
fn rate(total: u64, count: usize) -> f64 {
    total as f64 / SECONDS as f64 / count as f64
}
