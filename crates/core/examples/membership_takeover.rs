//! Prints how long keys have no acting owner after a kill and after a planned leave.
//!
//! `cargo run --release -p bluebellstage-core --example membership_takeover`

#[expect(
    dead_code,
    reason = "shared with tests that also freeze and partition instances"
)]
#[path = "../tests/support"]
mod support {
    pub mod membership_cluster;
    pub mod membership_conditions;
    pub mod membership_net;
    pub mod membership_oracle;
    pub mod membership_platform;
}

use support::membership_cluster::Cluster;

const COUNTS: [usize; 3] = [3, 5, 8];
const SEEDS: u64 = 100;
/// Maximum virtual milliseconds until all instances are active, and until a change is complete.
const LIMIT_MS: u64 = 20_000;
/// Resolution of the measured gaps, in milliseconds.
const STEP_MS: u64 = 10;

fn main() {
    println!("instances | change | p50 | p99 | longest, in ms of {SEEDS} seeds");
    for count in COUNTS {
        println!("{count} | killed | {}", percentiles(count, Cluster::kill));
        println!(
            "{count} | planned leave | {}",
            percentiles(count, Cluster::stop)
        );
    }
}

fn percentiles(count: usize, change: fn(&mut Cluster, usize)) -> String {
    let mut gaps: Vec<_> = (0..SEEDS)
        .map(|seed| longest_gap_ms(count, seed, change))
        .collect();
    gaps.sort_unstable();
    let percentile = |percent: usize| gaps[(gaps.len() - 1) * percent / 100];
    format!(
        "{} | {} | {}",
        percentile(50),
        percentile(99),
        percentile(100)
    )
}

/// Returns the longest time during which some key had no acting owner, in milliseconds.
fn longest_gap_ms(count: usize, seed: u64, change: fn(&mut Cluster, usize)) -> u64 {
    let mut cluster = Cluster::started(count, seed);
    cluster.run_until_settled(LIMIT_MS);
    cluster.run(5_000 + seed * 7);
    change(&mut cluster, 0);
    let mut longest_gap_ms = 0;
    let mut longest = 0;
    for _ in 0..LIMIT_MS / STEP_MS {
        cluster.run(STEP_MS);
        longest_gap_ms = if cluster.unowned_keys() == 0 {
            0
        } else {
            longest_gap_ms + STEP_MS
        };
        longest = longest.max(longest_gap_ms);
    }
    longest
}
