//! What the home of an engine group, the weight store's home and callers' instances say.

use serde::{Deserialize, Serialize};

/// Permits to use engines and to load adapters.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum EnginesMessage {}
