//! What the platform saw.

use serde::{Deserialize, Serialize};

use super::CallCounts;
use crate::SeenRequest;

/// What the platform saw.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PlatformLog {
    /// All requests, unless only their number was kept.
    pub seen: Vec<SeenRequest>,
    /// Calls by kind.
    pub calls: CallCounts,
    /// The latest object version.
    pub version: u64,
    /// Bytes of all values written.
    pub written_bytes: u64,
    /// Writes that found another version.
    pub conflicts: u64,
}
