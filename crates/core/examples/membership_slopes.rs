//! Prints the cost of membership per idle instance, by the number of instances.
//!
//! `cargo run --release -p bluebellstage-core --example membership_slopes`

#[expect(
    dead_code,
    reason = "shared with tests that also kill, freeze and partition instances"
)]
#[path = "../tests/support"]
mod support {
    pub mod membership_cluster;
    pub mod membership_conditions;
    pub mod membership_net;
    pub mod membership_oracle;
    pub mod membership_platform;
}

use std::time::Instant;

use support::membership_cluster::{Cluster, Traffic};

const COUNTS: [usize; 4] = [3, 8, 20, 60];
/// Length of a measurement in virtual seconds.
const MEASURED_SECONDS: u64 = 60;
/// Maximum virtual milliseconds until all instances are active.
const STARTING_MS: u64 = 120_000;
/// Virtual milliseconds after which the history of the start is pruned.
const RESTING_MS: u64 = 20_000;

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
    println!(
        "CPU: time of one core per instance and second, including the queue and the simulated network"
    );
}

fn row(count: usize) -> String {
    let mut cluster = Cluster::started(count, 1);
    let active_after_ms = cluster.run_until_settled(STARTING_MS);
    cluster.run(RESTING_MS);
    // Without keys the oracle checks nothing, so that its cost is not measured.
    cluster.keys.clear();
    cluster.owners.clear();
    let start = Instant::now();
    cluster.run(MEASURED_SECONDS * 1_000);
    let cpu_us = start.elapsed().as_micros();
    let per_second = |total: u128| total / u128::from(MEASURED_SECONDS) / count as u128;
    cluster.traffic.fill_with(Default::default);
    cluster.count_bytes = true;
    cluster.run(MEASURED_SECONDS * 1_000);
    let sum = |field: fn(&Traffic) -> u64| rate(cluster.traffic.iter().map(field).sum(), count);
    let map = cluster
        .platform
        .object
        .as_ref()
        .map_or(0, |o| o.value.len());
    format!(
        "{count} | {active_after_ms} ms | {:.1} | {:.0} | {:.0} | {:.2} | {map} | {}",
        sum(|t| t.messages),
        sum(|t| t.json_bytes),
        sum(|t| t.bincode_bytes),
        sum(|t| t.platform_calls),
        per_second(cpu_us)
    )
}

/// Converts a total to the rate per instance and second.
#[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
fn rate(total: u64, count: usize) -> f64 {
    total as f64 / MEASURED_SECONDS as f64 / count as f64
}
