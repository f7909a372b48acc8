//! Limit reports between instances.

use std::time::Duration;

use bluebellstage_core::TargetId;
use serde::{Deserialize, Serialize};

use super::request_rate::RequestRate;

/// The latest limit of a target, as received by one instance.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LimitReport {
    /// The target.
    pub target: TargetId,
    /// The limit; `None` if it was lifted.
    pub limit: Option<RequestRate>,
    /// Milliseconds since the target reported it.
    pub age_ms: u32,
}

impl LimitReport {
    pub(super) fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ms))
    }
}
