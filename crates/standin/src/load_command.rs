//! The command `load`.

use std::path::PathBuf;

use bluebellstage_standin::fleet::DaemonProgram;
use bluebellstage_standin::load::{self, Programs, Scenario};
use eyre::{WrapErr, bail, ensure};
use tokio::signal::unix::{SignalKind, signal};

use crate::args::LoadArgs;

/// File name of the daemon.
const DAEMON: &str = "bluebellstaged";

/// Runs a scenario; ends all that it started, also when it is told to end.
pub async fn run(args: LoadArgs) -> eyre::Result<()> {
    let mut scenario = Scenario::read(&args.scenario)?;
    if let Some(seconds) = args.seconds {
        scenario.seconds = seconds;
    }
    if !args.variant.is_empty() {
        scenario
            .variants
            .retain(|variant| args.variant.contains(&variant.name));
        ensure!(
            !scenario.variants.is_empty(),
            "no variant of the scenario has this name"
        );
    }
    let programs = programs(args.daemon)?;
    let dir = args.out.unwrap_or_else(|| default_dir(&scenario.name));
    let seed = args.seed.unwrap_or(scenario.seed);
    let mut terminate = signal(SignalKind::terminate())?;
    let report = tokio::select! {
        report = load::run(&scenario, seed, &programs, &dir) => report?,
        _ = terminate.recv() => bail!("told to end; what was measured so far is in {}", dir.display()),
        _ = tokio::signal::ctrl_c() => bail!("told to end; what was measured so far is in {}", dir.display()),
    };
    print!("{}", report.summary());
    println!("report: {}", dir.join("report.html").display());
    Ok(())
}

pub fn programs(daemon: Option<PathBuf>) -> eyre::Result<Programs> {
    let standin = std::env::current_exe().wrap_err("this program's own path is not known")?;
    let path = daemon.unwrap_or_else(|| standin.with_file_name(DAEMON));
    ensure!(
        path.exists(),
        "there is no daemon at {}: build it, or name it by --daemon",
        path.display()
    );
    Ok(Programs {
        standin,
        daemon: DaemonProgram {
            path,
            args: Vec::new(),
        },
    })
}

fn default_dir(scenario: &str) -> PathBuf {
    let name = format!("bluebellstage-{scenario}-{}", std::process::id());
    std::env::temp_dir().join(name)
}
