//! What goes wrong in a scenario, and when.

use eyre::ensure;
use serde::{Deserialize, Serialize};

use super::scenario::Scenario;

/// Something that goes wrong at a time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// When, in seconds from the start of the arrivals.
    pub at: f64,
    /// When it is over, in seconds after that; none for never.
    #[serde(default)]
    pub lasts: Option<f64>,
    /// What.
    pub what: FaultSpec,
}

/// What goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultSpec {
    /// An instance is killed; a new life of it starts when the fault is over.
    KillInstance(usize),
    /// An instance stops as planned; a new life of it starts when the fault is over.
    StopInstance(usize),
    /// An instance is frozen, and thawed when the fault is over.
    FreezeInstance(usize),
    /// The platform refuses all calls.
    PlatformAway,
    /// The platform answers so many milliseconds later.
    PlatformSlow(u64),
    /// The platform does what it is told to but its answers are lost.
    PlatformLosesAnswers,
    /// The weight store takes so many milliseconds longer.
    StoreSlow(u64),
    /// An engine restarts cold.
    RestartEngine(usize),
    /// An engine answers nobody.
    FreezeEngine(usize),
    /// A workspace asks for so many times its demand.
    Surge {
        /// Which workspace.
        workspace: String,
        /// How many times.
        times: f64,
    },
}

impl Scenario {
    pub(super) fn check_fault(&self, fault: &FaultSpec) -> eyre::Result<()> {
        match fault {
            FaultSpec::KillInstance(index)
            | FaultSpec::StopInstance(index)
            | FaultSpec::FreezeInstance(index) => {
                ensure!(
                    *index < self.instances.count,
                    "there is no instance {index}"
                );
            }
            FaultSpec::RestartEngine(index) | FaultSpec::FreezeEngine(index) => {
                ensure!(*index < self.engines.count, "there is no engine {index}");
            }
            FaultSpec::Surge { workspace, .. } => {
                let known = self.workspaces.iter().any(|one| one.name == *workspace);
                ensure!(known, "there is no workspace `{workspace}`");
            }
            FaultSpec::PlatformAway
            | FaultSpec::PlatformSlow(_)
            | FaultSpec::PlatformLosesAnswers
            | FaultSpec::StoreSlow(_) => {}
        }
        Ok(())
    }
}
