//! What instances tell each other of limits.

use std::time::Duration;

use bluebellstage_core::TargetId;
use serde::{Deserialize, Serialize};

use super::request_rate::RequestRate;

/// What a target said last, as one instance heard it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LimitWord {
    /// The target.
    pub target: TargetId,
    /// Its limit; none: it names none any more.
    pub limit: Option<RequestRate>,
    /// Milliseconds since then.
    pub age_ms: u32,
}

impl LimitWord {
    pub(super) fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ms))
    }
}
