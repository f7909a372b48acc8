//! Services whose targets' reports don't tell which process sends them.

use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bluebellstage_core::ServiceId;

/// Services whose targets' answers end with their connection, and whose targets' reports don't tell which process sends
/// them. A connection that was open before a request was sent shows afterwards whether the process that got it still
/// runs.
#[derive(Debug, Default)]
pub(super) struct Witnesses {
    needed: Mutex<HashSet<ServiceId>>,
}

impl Witnesses {
    fn lock(&self) -> MutexGuard<'_, HashSet<ServiceId>> {
        self.needed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the report of a target named no start time after an answer that ended with its connection.
    pub(super) fn record_unnamed(&self, service: &ServiceId) {
        self.lock().insert(service.clone());
    }

    /// Whether a connection beside that of a request is needed.
    pub(super) fn is_needed(&self, service: &ServiceId) -> bool {
        self.lock().contains(service)
    }

    /// Forgets services that are not configured.
    pub(super) fn sweep(&self, is_configured: impl Fn(&ServiceId) -> bool) {
        self.lock().retain(is_configured);
    }
}
