//! Names of what an engine runs.

use std::fmt;

use bluebellstage_core::{AdapterId, AdapterVersion, BaseModel};
use serde::{Deserialize, Serialize};

/// An adapter of a base model.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct AdapterKey {
    /// The base model.
    pub model: BaseModel,
    /// The adapter's name, unique within its model.
    pub adapter: AdapterId,
}

impl fmt::Display for AdapterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.adapter)
    }
}

/// An adapter in one of its versions.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AdapterAt {
    /// The adapter.
    pub key: AdapterKey,
    /// Version of its weights.
    pub version: AdapterVersion,
}

/// What a request wants to run on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Wanted {
    /// The base model itself.
    Base(BaseModel),
    /// An adapter.
    Adapter(AdapterKey),
}

impl Wanted {
    /// The base model in either case.
    #[must_use]
    pub fn model(&self) -> &BaseModel {
        match self {
            Self::Base(model) => model,
            Self::Adapter(key) => &key.model,
        }
    }
}
