//! The total spending of a workspace.

use bluebellstage_core::WorkspaceId;

use crate::decide::config::{Quota, QuotaUnit};

/// What a workspace spent through all instances, as far as known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceSpending {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its quota.
    pub quota: Quota,
    /// Units since this instance started; they fall when charges are refunded.
    pub units: i64,
}

impl WorkspaceSpending {
    pub(super) const fn counts_tokens(&self) -> bool {
        matches!(self.quota.unit, QuotaUnit::Tokens { .. })
    }

    /// Weight of its share: the rate of its quota.
    #[expect(clippy::cast_precision_loss, reason = "rates stay far below 2^52")]
    pub(super) fn weight(&self) -> f64 {
        self.quota.rate.0.max(1) as f64
    }
}
