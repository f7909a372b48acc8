//! Measures how the journal's load on the platform grows with the number of calls, and prints the
//! table of docs/design/journal.md.
//!
//! Run with `cargo run --release -p bluebellstage-core --example journal_slopes`. Time is virtual;
//! a call to the platform takes up to 10 ms.

#[expect(dead_code, reason = "this example uses only a part of it")]
#[path = "../tests/support/journal_fleet.rs"]
mod journal_fleet;
#[path = "../tests/support/journal_platform.rs"]
mod journal_platform;
#[expect(dead_code, reason = "this example uses only a part of it")]
#[path = "../tests/support/journal_service.rs"]
mod journal_service;
#[expect(dead_code, reason = "this example uses only a part of it")]
#[path = "../tests/support/rates_membership.rs"]
mod rates_membership;

use bluebellstage_core::Tuning;
use journal_fleet::{Fleet, workspace};
use rates_membership::instance;

/// Duration of each measurement in virtual seconds.
const SECONDS: u64 = 10;

/// Number of 5 ms steps per second.
const STEPS: u64 = 200;

fn print_row(calls_per_second: u64, response_bytes: usize) {
    let mut fleet = Fleet::new(3, 1, Tuning::default());
    fleet.response_bytes = response_bytes;
    let mut sent_count = 0;
    for step in 0..SECONDS * STEPS {
        while sent_count * STEPS < step * calls_per_second {
            let id = instance(usize::try_from(sent_count % 3).expect("small"));
            fleet.send_request(&id, &workspace(0), &format!("key-{sent_count}"), 1);
            sent_count += 1;
        }
        fleet.run(5);
    }
    fleet.run(2_000);
    fleet.check_invariants();
    let decided = fleet
        .attempts
        .values()
        .filter_map(|attempt| Some(attempt.decided_at? - attempt.sent_at));
    let mut waits: Vec<_> = decided.collect();
    waits.sort_unstable();
    let (objects, longest, kept) = fleet.platform.size();
    let per_call = |value: u64| value / sent_count;
    println!(
        "| {calls_per_second} | {response_bytes} | {} | {}.{:02} | {} | {} | {objects} | {longest} | {} | {} |",
        fleet.platform.writes / SECONDS,
        fleet.platform.writes / sent_count,
        fleet.platform.writes * 100 / sent_count % 100,
        per_call(fleet.platform.bytes),
        per_call(kept),
        waits[waits.len() / 2] / 1_000,
        waits[waits.len() * 99 / 100] / 1_000,
    );
}

fn main() {
    println!(
        "| calls/s | answer bytes | writes/s | writes a call | bytes written a call | bytes kept a call | objects | longest | p50 ms to Go | p99 ms to Go |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for calls_per_second in [1, 10, 100, 500] {
        print_row(calls_per_second, 200);
    }
    print_row(100, 2_000);
    print_row(100, 16_000);
}
