//! Tells the decision core that time passed.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::Event;
use tokio::time::{MissedTickBehavior, interval};

use super::Shell;

/// Time between two ticks; the cores ask for one at least every 50 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Ticks until the task is dropped.
pub(super) async fn tick(shell: Arc<Shell>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        shell.feed(Event::Tick);
    }
}
