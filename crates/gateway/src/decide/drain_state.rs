//! How far a target or a failure domain is drained.

use serde::{Deserialize, Serialize};

/// Whether a target, or the targets of a failure domain, may receive requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// It is not drained.
    Open,
    /// It is drained, and receives only requests that nothing else can run now.
    Draining,
    /// It is drained and receives nothing.
    Closed,
}
