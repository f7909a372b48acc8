//! Control traffic of an idle fleet.

use std::path::Path;
use std::time::Duration;

use super::Figure;
use super::deployment::{self, Size};
use crate::fleet::{Fleet, Process};
use crate::load::Programs;
use crate::platform::CallCounts;

/// Instances of the fleet.
const INSTANCES: usize = 8;

/// Time for the fleet to settle, and then to be measured.
const SETTLE: Duration = Duration::from_secs(5);
const SPAN: Duration = Duration::from_secs(20);

/// Counters of the whole fleet.
#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    bytes: f64,
    calls: u64,
    cpu_seconds: f64,
}

pub(super) async fn run(programs: &Programs, dir: &Path) -> eyre::Result<Vec<Figure>> {
    let size = Size {
        instances: INSTANCES,
        engines: 3,
        max_batch: 8,
        decode_ms: 5.0,
    };
    let mut fleet = deployment::start(size, programs, dir).await?;
    deployment::write_catalogue(&mut fleet, 100).await?;
    tokio::time::sleep(SETTLE).await;
    let before = counters(&fleet).await?;
    tokio::time::sleep(SPAN).await;
    let after = counters(&fleet).await?;
    fleet.stop().await;
    let each = |total: f64| total / float(INSTANCES as u64) / SPAN.as_secs_f64();
    Ok(vec![
        Figure::new(
            "control traffic of an idle instance, 8 instances",
            "bytes/s",
            each(after.bytes - before.bytes),
        )
        .goal("<= 2000"),
        Figure::new(
            "platform calls of an idle instance, 8 instances",
            "calls/s",
            each(float(after.calls - before.calls)),
        )
        .goal("<= 2"),
        Figure::new(
            "processors of an idle instance, 8 instances",
            "cores",
            each(after.cpu_seconds - before.cpu_seconds),
        ),
    ])
}

async fn counters(fleet: &Fleet) -> eyre::Result<Counters> {
    let calls: CallCounts = fleet.platform.get("/control/calls").await?;
    let mut counters = Counters {
        calls: calls.total(),
        ..Counters::default()
    };
    for instance in &fleet.instances {
        counters.bytes += instance.admin.metrics().await?.control_sent_bytes();
        let usage = instance.process.as_ref().and_then(Process::usage);
        counters.cpu_seconds += usage.unwrap_or_default().cpu_seconds;
    }
    Ok(counters)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of seconds are far below 2^52"
)]
const fn float(count: u64) -> f64 {
    count as f64
}
