//! The map object: the instances, and which of them owns what.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    FailureDomain, GroupId, Grouping, Incarnation, InstanceId, Revision, Tuning, WorkspaceId,
};

/// Identifies one incarnation of an instance.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct MemberRef {
    /// Name of the instance.
    pub id: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for MemberRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.id, self.incarnation.0)
    }
}

/// The state of an instance in the map.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Loading the catalogue: callers are not sent to it, and it owns nothing.
    Joining,
    /// Serves callers and owns its share of the keys.
    Active,
    /// In a planned stop: owns nothing and finishes its callers' requests.
    Leaving,
}

/// An instance's entry in the map.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub id: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other instances connect to.
    pub peer_address: SocketAddr,
    /// Its state.
    pub state: MemberState,
}

impl Member {
    /// Returns the incarnation of this entry.
    #[must_use]
    pub fn member_ref(&self) -> MemberRef {
        MemberRef {
            id: self.id.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// An earlier revision of the map whose owners may not know yet that it was replaced.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PastMap {
    /// The revision.
    pub revision: Revision,
    /// All members.
    pub members: Vec<MemberRef>,
    /// The members that could be owners.
    pub active: Vec<InstanceId>,
}

/// Settings that must be the same on all instances; the instance that creates the map sets them.
///
/// Settings may differ while a release is rolled out. Instances that group engines differently
/// would each consider themselves the owner of the same engine. An instance that waits for a former
/// owner with a shorter lease duration than that owner's would act at the same time as it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Terms {
    /// How engines are grouped.
    pub grouping: Grouping,
    /// How long a lease is valid, counted from when the request that confirms it was sent.
    #[serde(rename = "standing")]
    pub lease_duration: Duration,
    /// Maximum drift between two clocks over one `lease_duration`.
    pub drift: Duration,
}

impl From<&Tuning> for Terms {
    fn from(cfg: &Tuning) -> Self {
        Self {
            grouping: cfg.grouping,
            lease_duration: cfg.lease_duration,
            drift: cfg.max_clock_drift,
        }
    }
}

/// The map object.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Map {
    /// Increases by one with each change.
    pub revision: Revision,
    /// Settings that are the same on all instances.
    pub terms: Terms,
    /// The instances, sorted by name.
    pub members: Vec<Member>,
    /// Earlier revisions not yet known to be retired everywhere, oldest first.
    pub history: Vec<PastMap>,
}

/// Something that has exactly one owner.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OwnershipKey {
    /// A workspace: the shares of its rate, and its journal of calls that must not be repeated.
    Workspace(WorkspaceId),
    /// A group of engines: its queue, permits and orders.
    Group(GroupId),
    /// The weight store: the permits to load weights from it.
    WeightStore,
    /// The compaction of the catalogue.
    Catalogue,
}

impl fmt::Display for OwnershipKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Workspace(id) => write!(f, "workspace:{id}"),
            Self::Group(id) => write!(f, "group:{id}"),
            Self::WeightStore => f.write_str("weight-store"),
            Self::Catalogue => f.write_str("catalogue"),
        }
    }
}

impl Map {
    /// Creates the map without any members.
    #[must_use]
    pub const fn empty(terms: Terms) -> Self {
        Self {
            revision: Revision(0),
            terms,
            members: Vec::new(),
            history: Vec::new(),
        }
    }

    /// Returns the entry of an instance.
    #[must_use]
    pub fn member(&self, id: &InstanceId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// Returns the names of the active instances, which are the ones that can be owners.
    pub fn active(&self) -> impl Iterator<Item = &InstanceId> {
        self.members
            .iter()
            .filter(|member| member.state == MemberState::Active)
            .map(|member| &member.id)
    }

    /// Returns all incarnations that the map or its history lists, possibly with duplicates.
    pub fn known_member_refs(&self) -> impl Iterator<Item = MemberRef> {
        let current = self.members.iter().map(Member::member_ref);
        let past = self.history.iter().flat_map(|past| past.members.clone());
        current.chain(past)
    }

    /// Returns the owner of `key` under this revision; `None` while no instance is active.
    #[must_use]
    pub fn owner(&self, key: &OwnershipKey) -> Option<&InstanceId> {
        rendezvous(key, self.active())
    }
}

impl From<&Map> for PastMap {
    fn from(map: &Map) -> Self {
        Self {
            revision: map.revision,
            members: map.members.iter().map(Member::member_ref).collect(),
            active: map.active().cloned().collect(),
        }
    }
}

impl PastMap {
    /// Returns the owner of `key` under this earlier revision.
    #[must_use]
    pub fn owner(&self, key: &OwnershipKey) -> Option<&InstanceId> {
        rendezvous(key, self.active.iter())
    }
}

/// Selects an owner by rendezvous hashing: the candidate with the highest hash of key and name.
///
/// When one candidate is added or removed, only the keys of that candidate change owners.
pub fn rendezvous<'a>(
    key: &OwnershipKey,
    candidates: impl Iterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    let seed = xxh3_64(key.to_string().as_bytes());
    candidates.max_by_key(|id| (xxh3_64_with_seed(id.as_str().as_bytes(), seed), *id))
}
