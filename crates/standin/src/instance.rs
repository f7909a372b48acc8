//! The command `instance`.

use std::path::Path;

use bluebellstage_daemon::{Daemon, Settings};
use tokio::signal::unix::{SignalKind, signal};

/// Runs one instance until it has stopped as planned.
pub async fn run(settings: &Path) -> eyre::Result<()> {
    let settings = Settings::read(settings)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let daemon = Daemon::start(settings).await?;
    let stopper = daemon.stopper();
    tokio::spawn(async move {
        terminate.recv().await;
        stopper.stop();
    });
    daemon.wait().await;
    Ok(())
}
