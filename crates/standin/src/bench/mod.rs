//! Figures of one instance and of a small fleet, each beside its baseline from the same run.

mod changes;
mod control;
mod deployment;
mod figure;
mod latency;
mod memory;
mod takeover;
mod throughput;

use std::path::Path;

use eyre::WrapErr;

pub use self::figure::Figure;
use crate::load::Programs;

/// What can be measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Measurement {
    /// Time to the first token that an instance adds.
    Latency,
    /// Streamed tokens and short requests a second through one instance.
    Throughput,
    /// Memory of a catalogue.
    Memory,
    /// Control traffic of an idle fleet.
    Control,
    /// Time until a change or a withdrawal is in force everywhere.
    Changes,
    /// Time until work goes on after an instance was killed.
    Takeover,
}

impl Measurement {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Latency,
        Self::Throughput,
        Self::Memory,
        Self::Control,
        Self::Changes,
        Self::Takeover,
    ];

    /// Its name on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Latency => "latency",
            Self::Throughput => "throughput",
            Self::Memory => "memory",
            Self::Control => "control",
            Self::Changes => "changes",
            Self::Takeover => "takeover",
        }
    }

    async fn run(self, programs: &Programs, dir: &Path) -> eyre::Result<Vec<Figure>> {
        let dir = dir.join(self.name());
        match self {
            Self::Latency => latency::run(programs, &dir).await,
            Self::Throughput => throughput::run(programs, &dir).await,
            Self::Memory => memory::run(programs, &dir).await,
            Self::Control => control::run(programs, &dir).await,
            Self::Changes => changes::run(programs, &dir).await,
            Self::Takeover => takeover::run(programs, &dir).await,
        }
    }
}

/// Measures one thing after the other, hands each figure to `each`, and writes all to
/// `figures.json` in `dir`.
///
/// # Errors
/// If a deployment can't be started or something can't be measured; whatever was started is ended.
pub async fn run(
    measurements: &[Measurement],
    programs: &Programs,
    dir: &Path,
    mut each: impl FnMut(&Figure),
) -> eyre::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for measurement in measurements {
        let measured = measurement.run(programs, dir).await;
        let measured = measured.wrap_err_with(|| format!("`{}` broke off", measurement.name()))?;
        measured.iter().for_each(&mut each);
        figures.extend(measured);
    }
    let json = serde_json::to_string_pretty(&figures)?;
    std::fs::write(dir.join("figures.json"), json).wrap_err("the figures can't be written")?;
    Ok(figures)
}
