//! Time until a change or a withdrawal is in force everywhere.

use std::path::Path;
use std::time::{Duration, Instant};

use bluebellstage_core::KeyId;
use bluebellstage_core::catalogue::Change;
use eyre::ensure;

use super::Figure;
use super::deployment::{self, Size, issue, reading};
use crate::caller::{Caller, Outcome};
use crate::fleet::Fleet;
use crate::load::{Programs, Times};

/// Keys issued and withdrawn.
const ROUNDS: usize = 60;

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// Longest that is waited for one.
const LIMIT: Duration = Duration::from_secs(20);

pub(super) async fn run(programs: &Programs, dir: &Path) -> eyre::Result<Vec<Figure>> {
    let size = Size {
        instances: 6,
        engines: 1,
        max_batch: 8,
        decode_ms: 5.0,
    };
    let mut fleet = deployment::start(size, programs, dir).await?;
    deployment::write_catalogue(&mut fleet, 100).await?;
    deployment::warm_up(&fleet, 1).await?;
    let (mut accepted, mut issued, mut withdrawn) =
        (Times::default(), Times::default(), Times::default());
    for round in 0..ROUNDS {
        let key = format!("key-{round}");
        let admin = &fleet.instances[round % fleet.instances.len()].admin;
        let begun = Instant::now();
        admin
            .apply(&format!("issue-{round}"), &[issue(&key)?])
            .await?;
        accepted.add(micros(begun));
        everywhere(&fleet, &key, true).await?;
        issued.add(micros(begun));
        let begun = Instant::now();
        let change = Change::WithdrawKey(KeyId::try_from(&*key)?);
        admin.apply(&format!("withdraw-{round}"), &[change]).await?;
        accepted.add(micros(begun));
        everywhere(&fleet, &key, false).await?;
        withdrawn.add(micros(begun));
    }
    fleet.stop().await;
    let (accepted, issued, withdrawn) = (
        accepted.quantiles(),
        issued.quantiles(),
        withdrawn.quantiles(),
    );
    Ok(vec![
        Figure::new("a change accepted, p50", "ms", accepted.p50_ms),
        Figure::new("a change accepted, p99", "ms", accepted.p99_ms),
        Figure::new(
            "a key issued, in force on 6 instances, p99",
            "ms",
            issued.p99_ms,
        )
        .goal("<= 1000"),
        Figure::new(
            "a key withdrawn, refused on 6 instances, p50",
            "ms",
            withdrawn.p50_ms,
        ),
        Figure::new(
            "a key withdrawn, refused on 6 instances, p99",
            "ms",
            withdrawn.p99_ms,
        )
        .goal("<= 1000"),
    ])
}

/// Waits until a key works on all instances, or on none.
async fn everywhere(fleet: &Fleet, key: &str, works: bool) -> eyre::Result<()> {
    let waits = fleet.instances.iter().map(async |instance| {
        let caller = Caller::new(vec![instance.caller_address], 0)?;
        let begun = Instant::now();
        loop {
            let attempt = caller
                .attempt_at(instance.caller_address, key, &reading())
                .await;
            if (attempt.outcome == Outcome::Answered) == works {
                return Ok(());
            }
            ensure!(
                begun.elapsed() < LIMIT,
                "{} does not follow: {attempt:?}",
                instance.name
            );
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    });
    futures::future::try_join_all(waits).await?;
    Ok(())
}

fn micros(begun: Instant) -> u64 {
    u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX)
}
