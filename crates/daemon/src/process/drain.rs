//! The end of a planned stop: when the last answer is out.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::connection::{Port, open_connections};

use super::{Shell, log_event};

/// Time between two looks at what is still open.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until the core is done and no request is under way.
pub(super) async fn drained(shell: &Shell) {
    let mut drained = shell.drained.subscribe();
    if drained.wait_for(|drained| *drained).await.is_err() {
        // Only without a sender, and that lives in the shell.
        return;
    }
    log_event!(Drained, "requests" = shell.open_requests());
    while shell.open_requests() > 0 {
        sleep(LOOK_INTERVAL).await;
    }
}

/// Closes the callers' port and waits until its connections have written their last bytes.
///
/// Rocket's own end would cut a reader that is slower than its grace period, or wait that period out
/// for nothing: the kernel's table says exactly when the last connection is gone.
pub(super) async fn flush(shell: &Arc<Shell>, port: &Port) {
    port.close();
    let limit = shell.settings.limits.flush_timeout;
    let begun = Instant::now();
    while begun.elapsed() < limit {
        let open = open_connections(port.address().port());
        match open {
            Some(open) if open.is_empty() => return,
            Some(_) => sleep(LOOK_INTERVAL).await,
            // No table to read: the whole time is given.
            None => sleep(limit).await,
        }
    }
    let left = open_connections(port.address().port()).map_or(0, |open| open.len());
    if left > 0 {
        log_event!(FlushTimeout, "connections" = left);
    }
}
