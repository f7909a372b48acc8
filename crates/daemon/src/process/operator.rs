//! Operators' changes: handed to the core, and awaited.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::catalogue::{ApplyOutcome, ChangeRequest};
use bluebellstage_core::{ChangeId, Event};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::{Shell, log_event};

/// How long an operator's call waits for the outcome of a change: long enough for a slow platform
/// and a majority's word, short enough for a person.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);

impl Shell {
    /// Hands a change to the core and waits for what becomes of it.
    pub(crate) async fn change(self: &Arc<Self>, request: ChangeRequest) -> ApplyOutcome {
        let (tx, rx) = oneshot::channel();
        let id = request.id.clone();
        self.changes().entry(id.clone()).or_default().push(tx);
        self.feed(Event::Change(request));
        let outcome = match timeout(OUTCOME_TIMEOUT, rx).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => ApplyOutcome::Unknown,
        };
        self.forget_waiters(&id);
        log_event!(ChangeDecided, "change" = id, "outcome" = name(&outcome));
        outcome
    }

    /// Drops the entries of operators that no longer wait.
    fn forget_waiters(&self, id: &ChangeId) {
        let mut changes = self.changes();
        if let Some(waiters) = changes.get_mut(id) {
            waiters.retain(|tx| !tx.is_closed());
            if waiters.is_empty() {
                changes.remove(id);
            }
        }
    }
}

const fn name(outcome: &ApplyOutcome) -> &'static str {
    match outcome {
        ApplyOutcome::Accepted { .. } => "accepted",
        ApplyOutcome::Stale { .. } => "stale",
        ApplyOutcome::Invalid { .. } => "invalid",
        ApplyOutcome::Unavailable => "unavailable",
        ApplyOutcome::Unknown => "unknown",
    }
}
