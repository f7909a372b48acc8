//! Services whose targets' reports don't name the process that sends them.

use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bluebellstage_core::ServiceId;

/// Services whose targets' answers end with their connection, and whose targets' reports name no start time. Only a
/// connection that was open before a request was sent shows afterwards whether the process that got it still runs.
#[derive(Debug, Default)]
pub(super) struct UnnamedServices {
    services: Mutex<HashSet<ServiceId>>,
}

impl UnnamedServices {
    fn lock(&self) -> MutexGuard<'_, HashSet<ServiceId>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the report of a target named no start time after an answer that ended with its connection.
    pub(super) fn record(&self, service: &ServiceId) {
        self.lock().insert(service.clone());
    }

    /// Whether such a report of the service is known.
    pub(super) fn contains(&self, service: &ServiceId) -> bool {
        self.lock().contains(service)
    }

    /// Forgets services that are not configured.
    pub(super) fn sweep(&self, is_configured: impl Fn(&ServiceId) -> bool) {
        self.lock().retain(is_configured);
    }
}
