//! `bluebellstaged`: the daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use bluebellstage_daemon::{Daemon, Settings, init_logger};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that are wrong.
const EXIT_SETTINGS: u8 = 2;

/// One instance of bluebellstage. Every instance runs the same program.
#[derive(Debug, FromArgs)]
#[argh(
    note = "SIGTERM or SIGINT begins a planned stop: no answer is cut off. BLUEBELLSTAGE_LOG sets the log's level (error, warn, info, debug).",
    error_code(0, "stopped as planned, or the settings are right"),
    error_code(1, "could not start, or failed"),
    error_code(2, "the settings are wrong")
)]
struct Args {
    /// the settings file; docs/SETTINGS.md describes it
    #[argh(option)]
    settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match Settings::read(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("{}: no problems", args.settings.display());
        return ExitCode::SUCCESS;
    }
    init_logger();
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bluebellstaged: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(settings).await?;
    let stopper = daemon.stopper();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stopper.stop();
    });
    daemon.wait().await;
    Ok(())
}
