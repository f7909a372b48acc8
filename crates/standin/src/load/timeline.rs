//! Faults on a timeline.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until};

use super::fault::FaultSpec;
use super::scenario::Scenario;
use crate::fleet::{Control, Fleet, Signal};
use crate::{CallKind, Fault, FaultKind};

/// Time for an instance to stop as planned.
const STOP_LIMIT: Duration = Duration::from_mins(1);

/// One turn of the timeline.
#[derive(Debug)]
struct Turn {
    at: f64,
    begins: bool,
    what: FaultSpec,
}

/// Lets the scenario's faults happen; what went wrong with doing so.
pub(super) async fn run(
    scenario: &Scenario,
    fleet: Arc<Mutex<Fleet>>,
    begun: Instant,
) -> eyre::Result<()> {
    let mut turns = Vec::new();
    for fault in &scenario.faults {
        turns.push(Turn {
            at: fault.at,
            begins: true,
            what: fault.what.clone(),
        });
        if let Some(lasts) = fault.lasts {
            turns.push(Turn {
                at: fault.at + lasts,
                begins: false,
                what: fault.what.clone(),
            });
        }
    }
    turns.sort_by(|a, b| a.at.total_cmp(&b.at));
    for turn in turns {
        sleep_until(begun + Duration::from_secs_f64(turn.at)).await;
        let mut fleet = fleet.lock().await;
        if turn.begins {
            begin(&mut fleet, &turn.what).await?;
        } else {
            end(&mut fleet, &turn.what).await?;
        }
    }
    Ok(())
}

async fn begin(fleet: &mut Fleet, what: &FaultSpec) -> eyre::Result<()> {
    match what {
        FaultSpec::KillInstance(index) => fleet.kill_instance(*index).await,
        FaultSpec::StopInstance(index) => signal(fleet, *index, Signal::Terminate).await?,
        FaultSpec::FreezeInstance(index) => signal(fleet, *index, Signal::Stop).await?,
        FaultSpec::PlatformAway => show(&fleet.platform, FaultKind::Refuse, 0).await?,
        FaultSpec::PlatformSlow(ms) => show(&fleet.platform, FaultKind::Delay, *ms).await?,
        FaultSpec::PlatformLosesAnswers => {
            show(&fleet.platform, FaultKind::LoseAnswer, 0).await?;
        }
        FaultSpec::StoreSlow(ms) => show(&fleet.store, FaultKind::Delay, *ms).await?,
        FaultSpec::RestartEngine(index) => fleet.engines[*index].restart().await?,
        FaultSpec::FreezeEngine(index) => {
            show(&fleet.engines[*index], FaultKind::Freeze, 0).await?;
        }
        FaultSpec::Surge { .. } => {}
    }
    Ok(())
}

async fn end(fleet: &mut Fleet, what: &FaultSpec) -> eyre::Result<()> {
    match what {
        FaultSpec::KillInstance(index) => fleet.start_instance(*index).await,
        FaultSpec::StopInstance(index) => {
            if let Some(process) = &mut fleet.instances[*index].process {
                process.wait(STOP_LIMIT).await;
            }
            fleet.start_instance(*index).await
        }
        FaultSpec::FreezeInstance(index) => signal(fleet, *index, Signal::Continue).await,
        FaultSpec::PlatformAway | FaultSpec::PlatformSlow(_) | FaultSpec::PlatformLosesAnswers => {
            fleet.platform.heal().await
        }
        FaultSpec::StoreSlow(_) => fleet.store.heal().await,
        FaultSpec::FreezeEngine(index) => fleet.engines[*index].heal().await,
        FaultSpec::RestartEngine(_) | FaultSpec::Surge { .. } => Ok(()),
    }
}

async fn show(control: &Control, kind: FaultKind, delay_ms: u64) -> eyre::Result<()> {
    let fault = Fault::new(CallKind::All, kind).delay_ms(delay_ms);
    control.fault(&fault).await
}

async fn signal(fleet: &Fleet, index: usize, signal: Signal) -> eyre::Result<()> {
    match &fleet.instances[index].process {
        Some(process) => process.signal(signal).await,
        None => Ok(()),
    }
}
