//! Identifiers of the models and adapters that engines run.

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

/// A version of an adapter.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct VersionedAdapter {
    /// The adapter.
    pub key: AdapterKey,
    /// Version of its weights.
    pub version: AdapterVersion,
}

/// Model or adapter that a request runs on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestedModel {
    /// A base model without an adapter.
    Base(BaseModel),
    /// An adapter.
    Adapter(AdapterKey),
}

impl RequestedModel {
    /// Returns the base model in either case.
    #[must_use]
    pub fn model(&self) -> &BaseModel {
        match self {
            Self::Base(model) => model,
            Self::Adapter(key) => &key.model,
        }
    }
}
