//! What a plain service saw and did.

use serde::{Deserialize, Serialize};

use crate::{Micros, SeenRequest};

/// What a plain service saw and did.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ServiceLog {
    /// All requests.
    pub seen: Vec<SeenRequest>,
    /// All calls that ran.
    pub runs: Vec<ServiceRun>,
    /// Most calls at once.
    pub most_at_once: u32,
    /// Calls refused because too many ran, or while draining.
    pub refused: u64,
}

/// One call that ran.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServiceRun {
    /// Counts the runs from 1.
    pub number: u64,
    /// When it began.
    pub at: Micros,
    /// Method.
    pub method: Box<str>,
    /// Path.
    pub path: Box<str>,
    /// The caller's name for a call that may not be repeated.
    pub idempotency_key: Option<Box<str>>,
    /// The request's name.
    pub request_id: Option<Box<str>>,
}
