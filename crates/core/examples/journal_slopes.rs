//! How the journal's load on the platform grows with calls; the table of docs/design/journal.md.
//!
//! `cargo run --release -p bluebellstage-core --example journal_slopes`. Virtual time: a call to
//! the platform takes up to 10 ms.

#[expect(dead_code, reason = "the bench needs a part of it")]
#[path = "../tests/support/journal_fleet.rs"]
mod journal_fleet;
#[path = "../tests/support/journal_platform.rs"]
mod journal_platform;
#[expect(dead_code, reason = "the bench needs a part of it")]
#[path = "../tests/support/journal_service.rs"]
mod journal_service;
#[expect(dead_code, reason = "the bench needs a part of it")]
#[path = "../tests/support/rates_membership.rs"]
mod rates_membership;

use bluebellstage_core::Tuning;
use journal_fleet::{Fleet, workspace};
use rates_membership::instance;

/// Virtual seconds of each measurement.
const SECONDS: u64 = 10;

/// Steps of 5 ms in a second.
const STEPS: u64 = 200;

fn row(calls_per_second: u64, answer_bytes: usize) {
    let mut fleet = Fleet::new(3, 1, Tuning::default());
    fleet.answer_bytes = answer_bytes;
    let mut asked = 0;
    for step in 0..SECONDS * STEPS {
        while asked * STEPS < step * calls_per_second {
            let at = instance(usize::try_from(asked % 3).expect("small"));
            fleet.ask(&at, &workspace(0), &format!("key-{asked}"), 1);
            asked += 1;
        }
        fleet.run(5);
    }
    fleet.run(2_000);
    fleet.check();
    let decided = fleet
        .asked
        .values()
        .filter_map(|asked| Some(asked.decided_at? - asked.at));
    let mut waits: Vec<_> = decided.collect();
    waits.sort_unstable();
    let (objects, longest, kept) = fleet.platform.size();
    let per_call = |value: u64| value / asked;
    println!(
        "| {calls_per_second} | {answer_bytes} | {} | {}.{:02} | {} | {} | {objects} | {longest} | {} | {} |",
        fleet.platform.writes / SECONDS,
        fleet.platform.writes / asked,
        fleet.platform.writes * 100 / asked % 100,
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
        row(calls_per_second, 200);
    }
    row(100, 2_000);
    row(100, 16_000);
}
