//! The entries of the catalogue.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterId, AdapterVersion, BaseModel, KeyDigest, KeyId, Rate, ServiceId, Tokens, WorkspaceId,
};

/// The priority class of an adapter's requests.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum WorkClass {
    /// A person is waiting for the response.
    #[default]
    Urgent,
    /// Batch requests, such as those that run overnight.
    Batch,
}

impl WorkClass {
    /// Whether a person is waiting for the response.
    #[must_use]
    pub const fn is_urgent(self) -> bool {
        matches!(self, Self::Urgent)
    }
}

/// A workspace.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceEntry {
    /// The entry's name.
    #[serde(deserialize_with = "crate::ids::deserialize_id")]
    pub id: WorkspaceId,
    /// Tokens per second over all instances.
    pub rate: Rate,
    /// Tokens that the workspace may use at once over all instances.
    pub burst: Tokens,
}

/// A workspace's key. Only its digest is stored.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// The key's public name.
    pub id: KeyId,
    /// The workspace that the key belongs to.
    #[serde(deserialize_with = "crate::ids::deserialize_id")]
    pub workspace: WorkspaceId,
    /// Digest of the key.
    pub digest: KeyDigest,
}

/// An adapter.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// The entry's name.
    pub id: AdapterId,
    /// The workspace that owns the adapter. Only this workspace may use it.
    #[serde(deserialize_with = "crate::ids::deserialize_id")]
    pub owner: WorkspaceId,
    /// The base model that the adapter extends.
    #[serde(deserialize_with = "crate::ids::deserialize_id")]
    pub base_model: BaseModel,
    /// The version that runs if the caller names none.
    pub current: AdapterVersion,
    /// Earlier versions that callers may still name.
    #[serde(default)]
    pub also: BTreeSet<AdapterVersion>,
    /// The priority class of the adapter's requests.
    #[serde(default)]
    pub class: WorkClass,
    /// The maximum length of a response.
    pub max_answer: Tokens,
}

/// A plain service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The entry's name.
    #[serde(deserialize_with = "crate::ids::deserialize_id")]
    pub id: ServiceId,
    /// The workspaces that may call it.
    #[serde(deserialize_with = "crate::ids::deserialize_id_set")]
    pub workspaces: BTreeSet<WorkspaceId>,
    /// Tokens charged to the workspace for each call.
    #[serde(default)]
    pub charge: Tokens,
}
