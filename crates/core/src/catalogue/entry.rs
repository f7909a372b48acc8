//! The entries of the catalogue.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterId, AdapterVersion, BaseModel, KeyDigest, KeyId, Rate, ServiceId, Tokens, WorkspaceId,
};

/// How pressing an adapter's work is.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum WorkClass {
    /// Someone is waiting at a counter or a desk.
    #[default]
    Urgent,
    /// Overnight work.
    Batch,
}

impl WorkClass {
    /// Whether someone is waiting for it.
    #[must_use]
    pub const fn is_urgent(self) -> bool {
        matches!(self, Self::Urgent)
    }
}

/// A workspace.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceEntry {
    /// Its name.
    pub id: WorkspaceId,
    /// Tokens a second over all instances.
    pub rate: Rate,
    /// Tokens that it may use at once over all instances.
    pub burst: Tokens,
}

/// A workspace's key, as far as it is kept.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// Its public name.
    pub id: KeyId,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// Digest of the key.
    pub digest: KeyDigest,
}

/// An adapter.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// Its name.
    pub id: AdapterId,
    /// The workspace that owns it, and alone may use it.
    pub owner: WorkspaceId,
    /// The base model it belongs to.
    pub base_model: BaseModel,
    /// The version that runs where a caller names none.
    pub current: AdapterVersion,
    /// Earlier versions that callers may still name.
    #[serde(default)]
    pub also: BTreeSet<AdapterVersion>,
    /// How pressing its work is.
    #[serde(default)]
    pub class: WorkClass,
    /// The longest answer it gives.
    pub max_answer: Tokens,
}

/// A plain service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Its name.
    pub id: ServiceId,
    /// The workspaces that may call it.
    pub workspaces: BTreeSet<WorkspaceId>,
    /// Tokens charged to the workspace for each call.
    #[serde(default)]
    pub charge: Tokens,
}
