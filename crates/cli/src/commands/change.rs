//! Sending a change and waiting until it is in force everywhere.

use std::time::Duration;

use bluebellstage_core::catalogue::{ApplyOutcome, Change, ChangeRequest};
use bluebellstage_core::{ChangeId, Revision};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::admin::Admin;
use crate::error::CliError;
use crate::output::Output;
use crate::view::Status;

/// How long to wait until each instance has the change in force; the promise is 3 s.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// A change that was accepted.
#[derive(Debug, Serialize)]
pub(super) struct Accepted {
    pub(super) revision: Revision,
    pub(super) in_force_at: Vec<String>,
}

/// A drawn name for a change.
pub(super) fn drawn_id() -> ChangeId {
    let name = format!("change-{:032x}", rand::random::<u128>());
    name.as_str()
        .try_into()
        .expect("hex digits are legal in names")
}

/// Sends changes and waits until every instance has them in force.
pub(super) async fn send(
    admin: &Admin,
    id: ChangeId,
    expected: Option<Revision>,
    changes: Vec<Change>,
    output: Output,
) -> Result<Accepted, CliError> {
    let request = ChangeRequest {
        id,
        expected,
        changes,
    };
    match admin.change(&request).await? {
        ApplyOutcome::Accepted { revision } => everywhere(admin, revision, output).await,
        ApplyOutcome::Stale { revision } => Err(CliError::Stale {
            in_force: revision,
            expected: expected.unwrap_or_default(),
        }),
        ApplyOutcome::Invalid { cause } => Err(CliError::Invalid { cause }),
        ApplyOutcome::Unavailable => Err(CliError::PlatformUnavailable),
        ApplyOutcome::Unknown => Err(CliError::OutcomeUnknown { change: request.id }),
    }
}

async fn everywhere(
    admin: &Admin,
    revision: Revision,
    output: Output,
) -> Result<Accepted, CliError> {
    output.progress(&format!("accepted as revision {revision}"))?;
    let begun = Instant::now();
    let mut seen = Vec::new();
    while begun.elapsed() < IN_FORCE_TIMEOUT {
        // One lost answer is no reason to give up: the change is accepted already.
        if let Ok(status) = admin.status().await {
            note_new(&status, revision, &mut seen, begun, output)?;
            if status.is_everywhere(revision) {
                return Ok(Accepted {
                    revision,
                    in_force_at: seen,
                });
            }
        }
        sleep(LOOK_INTERVAL).await;
    }
    Err(CliError::NotEverywhere { revision })
}

fn note_new(
    status: &Status,
    revision: Revision,
    seen: &mut Vec<String>,
    begun: Instant,
    output: Output,
) -> Result<(), CliError> {
    for instance in &status.instances {
        let name = instance.id.to_string();
        let has = instance.revision.is_some_and(|known| known >= revision);
        if has && !seen.contains(&name) {
            let millis = begun.elapsed().as_millis();
            output.progress(&format!("in force at {name} (seen after {millis} ms)"))?;
            seen.push(name);
        }
    }
    Ok(())
}
