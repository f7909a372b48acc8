//! Marks of the budget.

use serde::{Deserialize, Serialize};

/// The highest mark of the budget that the held bytes reach.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mark {
    /// None: nothing is bounded.
    #[default]
    Below,
    /// Memory is divided, and callers that make no progress are ended.
    First,
    /// New requests are refused.
    Last,
}

impl Mark {
    /// Short name for the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Below => "below",
            Self::First => "first",
            Self::Last => "last",
        }
    }
}
