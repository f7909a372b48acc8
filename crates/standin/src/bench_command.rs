//! The command `bench`.

use bluebellstage_standin::bench::{self, Measurement};
use eyre::{bail, eyre};
use tokio::signal::unix::{SignalKind, signal};

use crate::args::BenchArgs;
use crate::load_command::programs;

/// Measures and prints; ends all that it started, also when it is told to end.
pub async fn run(args: BenchArgs) -> eyre::Result<()> {
    let measurements = measurements(&args.only)?;
    let programs = programs(args.daemon)?;
    let dir = args.out.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("bluebellstage-bench-{}", std::process::id()))
    });
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        done = bench::run(&measurements, &programs, &dir, |figure| println!("{figure}")) => done?,
        _ = terminate.recv() => bail!("told to end"),
        _ = tokio::signal::ctrl_c() => bail!("told to end"),
    };
    println!("figures: {}", dir.join("figures.json").display());
    Ok(())
}

fn measurements(only: &[String]) -> eyre::Result<Vec<Measurement>> {
    if only.is_empty() {
        return Ok(Measurement::ALL.into());
    }
    let named = only.iter().map(|name| {
        let mut all = Measurement::ALL.into_iter();
        all.find(|one| one.name() == name).ok_or_else(|| {
            let names = Measurement::ALL.map(Measurement::name).join(", ");
            eyre!("there is no measurement `{name}`: name one of {names}")
        })
    });
    named.collect()
}
