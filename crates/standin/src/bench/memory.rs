//! Memory of a catalogue.

use std::path::Path;
use std::time::Duration;

use super::Figure;
use super::deployment::{self, Size};
use crate::fleet::{Fleet, Process};
use crate::load::Programs;

/// Adapters in the catalogue of the letter's size.
const ADAPTERS: usize = 62_000;

/// Time for what the changes themselves needed to be given back.
const SETTLE: Duration = Duration::from_secs(5);

const MEBIBYTE: f64 = 1_048_576.0;

pub(super) async fn run(programs: &Programs, dir: &Path) -> eyre::Result<Vec<Figure>> {
    let size = Size {
        instances: 3,
        engines: 1,
        max_batch: 8,
        decode_ms: 5.0,
    };
    let mut fleet = deployment::start(size, programs, dir).await?;
    tokio::time::sleep(SETTLE).await;
    let empty = resident(&fleet);
    deployment::write_catalogue(&mut fleet, ADAPTERS).await?;
    tokio::time::sleep(SETTLE).await;
    let full = resident(&fleet);
    fleet.kill_instance(0).await;
    fleet.start_instance(0).await?;
    fleet.wait_ready().await?;
    tokio::time::sleep(SETTLE).await;
    let read = resident(&fleet);
    fleet.stop().await;
    let [written_through, others, ..] = [full[0] - empty[0], full[1] - empty[1]];
    Ok(vec![
        Figure::new(
            "memory of 62,000 adapters, beyond an empty instance",
            "MiB",
            others,
        )
        .beside(empty[1])
        .goal("<= 64"),
        Figure::new(
            "the same, at the instance that they were written through",
            "MiB",
            written_through,
        )
        .beside(empty[0]),
        Figure::new(
            "the same, at an instance that began with them",
            "MiB",
            read[0] - empty[0],
        )
        .beside(empty[0])
        .goal("<= 64"),
    ])
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a process has far less than 2^52 bytes"
)]
fn resident(fleet: &Fleet) -> Vec<f64> {
    let processes = fleet.instances.iter().map(|one| one.process.as_ref());
    let usages = processes.map(|process| process.and_then(Process::usage).unwrap_or_default());
    usages
        .map(|usage| usage.resident as f64 / MEBIBYTE)
        .collect()
}
