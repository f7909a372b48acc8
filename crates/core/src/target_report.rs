//! What a target reports about itself in the head of a response.

use serde::{Deserialize, Serialize};

/// What a target reports about itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct TargetReport {
    /// Whether it is shutting down.
    pub is_leaving: bool,
}
