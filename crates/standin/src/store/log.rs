//! What the weight store saw and did.

use serde::{Deserialize, Serialize};

use crate::{Micros, SeenRequest};

/// What the weight store saw and did.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StoreLog {
    /// All requests.
    pub seen: Vec<SeenRequest>,
    /// All reads of weights.
    pub reads: Vec<StoreRead>,
    /// Most reads in flight at once.
    pub most_in_flight: u32,
}

/// One read of weights.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoreRead {
    /// `adapter@version`.
    pub adapter: Box<str>,
    /// When it arrived.
    pub started: Micros,
    /// When it ended.
    pub ended: Micros,
    /// What became of it.
    pub outcome: StoreOutcome,
}

/// What became of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreOutcome {
    /// The weights were sent.
    Read,
    /// It was over the rate.
    OverRate,
}
