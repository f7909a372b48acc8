//! `drain`: a planned stop, awaited.

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::admin::Admin;
use crate::args::DrainArgs;
use crate::error::{CliError, Exit};
use crate::output::Output;

/// Time between two looks at the stopping instance.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

pub(super) async fn run(admin: &Admin, args: &DrainArgs) -> Result<Exit, CliError> {
    let output = Output::new(args.json);
    let name = admin.status().await?.me.id;
    admin.stop().await?;
    output.progress(&format!("{name} is stopping"))?;
    let begun = Instant::now();
    let mut shown = None;
    while begun.elapsed() < Duration::from_secs(args.wait_s) {
        match admin.status().await {
            Ok(status) => {
                if shown != Some(status.requests) {
                    output.progress(&format!("{} requests under way", status.requests))?;
                    shown = Some(status.requests);
                }
            }
            // It closed its ports: the stop is over.
            Err(CliError::Unreachable { .. }) => {
                let took = begun.elapsed().as_millis();
                output.print(&json!({ "stopped": name, "took_ms": took }), || {
                    format!("{name} has stopped")
                })?;
                return Ok(Exit::Done);
            }
            Err(error) => return Err(error),
        }
        sleep(LOOK_INTERVAL).await;
    }
    Err(CliError::StillDraining {
        seconds: args.wait_s,
    })
}
