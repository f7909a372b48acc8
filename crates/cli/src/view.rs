//! What an instance's administration API answers, as far as this tool reads it.

use std::net::SocketAddr;

use bluebellstage_core::catalogue::Document;
use bluebellstage_core::engines::GroupSummary;
use bluebellstage_core::journal::InDoubt;
use bluebellstage_core::{
    FailureDomain, InstanceId, KeyId, MemberRef, MemberState, OwnershipKey, Revision, WorkspaceId,
};
use serde::{Deserialize, Serialize};

/// The catalogue in force.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Catalogue {
    pub(crate) revision: Revision,
    #[serde(flatten)]
    pub(crate) document: Document,
    #[serde(default)]
    pub(crate) keys: Vec<Key>,
}

/// A key by its public name.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Key {
    pub(crate) id: KeyId,
    pub(crate) workspace: WorkspaceId,
}

/// An instance's status.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Status {
    pub(crate) me: MemberRef,
    pub(crate) ready: bool,
    pub(crate) standing: bool,
    pub(crate) map: Map,
    pub(crate) catalogue: CatalogueStatus,
    pub(crate) instances: Vec<InstanceCatalogue>,
    pub(crate) homes: Vec<OwnershipKey>,
    pub(crate) groups: Vec<GroupSummary>,
    pub(crate) requests: u64,
    pub(crate) in_doubt: u64,
    pub(crate) stopping: bool,
}

/// The map in force.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Map {
    pub(crate) revision: Revision,
    pub(crate) members: Vec<Member>,
}

/// An instance of the map.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Member {
    pub(crate) id: InstanceId,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) caller_address: SocketAddr,
    pub(crate) state: MemberState,
}

/// The catalogue at the asked instance.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct CatalogueStatus {
    pub(crate) revision: Revision,
    pub(crate) fresh: bool,
}

/// The catalogue at an instance, as the asked one knows it.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct InstanceCatalogue {
    pub(crate) id: InstanceId,
    pub(crate) revision: Option<Revision>,
}

/// Calls in doubt.
pub(crate) type InDoubtList = Vec<InDoubt>;

impl Status {
    /// Whether every instance is known to have `revision` in force.
    pub(crate) fn is_everywhere(&self, revision: Revision) -> bool {
        let has =
            |instance: &InstanceCatalogue| instance.revision.is_some_and(|known| known >= revision);
        self.instances.iter().all(has)
    }
}
