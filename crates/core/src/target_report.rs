//! What a target reports about itself in the head of a response.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Default of the longest rest that is kept. A target that asks for more is tried again after it.
pub const DEFAULT_MAX_REST: Duration = Duration::from_mins(5);

/// What a target reports about itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct TargetReport {
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// How long it wants no requests.
    pub rest: Option<Duration>,
}

impl TargetReport {
    /// Returns the rest, at most [`DEFAULT_MAX_REST`]; zero if it wants none.
    #[must_use]
    pub fn bounded_rest(&self) -> Duration {
        self.rest.unwrap_or_default().min(DEFAULT_MAX_REST)
    }
}
