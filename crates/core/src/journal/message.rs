//! What a workspace's home and the instances that hold callers say about recorded calls.

use serde::{Deserialize, Serialize};

/// A call that may not be repeated, between the caller's instance and the journal's home.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum JournalMessage {}
