//! The map object: which instances there are, and who is home of what.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    FailureDomain, GroupId, Grouping, Incarnation, InstanceId, Revision, Tuning, WorkspaceId,
};

/// One life of one instance.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct MemberRef {
    /// Name of the instance.
    pub id: InstanceId,
    /// Which of its lives.
    pub incarnation: Incarnation,
}

impl fmt::Display for MemberRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.id, self.incarnation.0)
    }
}

/// How far an instance takes part.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Catching up: named to no caller, home of nothing.
    Joining,
    /// Serves callers and is home of its part.
    Active,
    /// Planned stop under way: home of nothing, finishing its callers.
    Leaving,
}

/// An instance as the map records it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub id: InstanceId,
    /// Which of its lives.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other instances connect.
    pub peer_address: SocketAddr,
    /// How far it takes part.
    pub state: MemberState,
}

impl Member {
    /// The life of the instance that this entry is about.
    #[must_use]
    pub fn member_ref(&self) -> MemberRef {
        MemberRef {
            id: self.id.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// An earlier revision of the map whose homes might not have noticed its end.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PastMap {
    /// Its revision.
    pub revision: Revision,
    /// All its members.
    pub members: Vec<MemberRef>,
    /// Those of them that could be home of something.
    pub active: Vec<InstanceId>,
}

/// Settings that all instances have to go by alike; the instance that creates the map fixes them.
///
/// Guards against settings that differ while a release is rolled out: instances that group engines
/// differently would each hold themselves home of the same engine, and one that waits for a former
/// home by a shorter standing than that home's own would act beside it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Terms {
    /// How engines are grouped.
    pub grouping: Grouping,
    /// How long a proof of standing holds, counted from when its question was sent.
    pub standing: Duration,
    /// Bound on how much two clocks drift apart over one `standing`.
    pub drift: Duration,
}

impl From<&Tuning> for Terms {
    fn from(cfg: &Tuning) -> Self {
        Self {
            grouping: cfg.grouping,
            standing: cfg.standing,
            drift: cfg.drift,
        }
    }
}

/// The map object.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Map {
    /// Grows by one with each change.
    pub revision: Revision,
    /// What all instances have to go by alike.
    pub terms: Terms,
    /// The instances, in order of their names.
    pub members: Vec<Member>,
    /// Earlier revisions not yet known to be retired everywhere, oldest first.
    pub history: Vec<PastMap>,
}

/// Something that has exactly one home.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HomeKey {
    /// A workspace's shares of its rate, and its journal of calls that may not be repeated.
    Workspace(WorkspaceId),
    /// A group of engines: their queue, permits and orders.
    Group(GroupId),
    /// The weight store: the permits to load from it.
    WeightStore,
    /// The catalogue's compaction.
    Catalogue,
}

impl fmt::Display for HomeKey {
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
    /// The map before anyone joined.
    #[must_use]
    pub const fn empty(terms: Terms) -> Self {
        Self {
            revision: Revision(0),
            terms,
            members: Vec::new(),
            history: Vec::new(),
        }
    }

    /// The entry of an instance.
    #[must_use]
    pub fn member(&self, id: &InstanceId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// Names of the instances that can be home of something.
    pub fn active(&self) -> impl Iterator<Item = &InstanceId> {
        self.members
            .iter()
            .filter(|member| member.state == MemberState::Active)
            .map(|member| &member.id)
    }

    /// All lives that the map or its history lists; one may come more than once.
    pub fn known_lives(&self) -> impl Iterator<Item = MemberRef> {
        let current = self.members.iter().map(Member::member_ref);
        let past = self.history.iter().flat_map(|past| past.members.clone());
        current.chain(past)
    }

    /// The home of `key` under this revision; none while no instance is active.
    #[must_use]
    pub fn home(&self, key: &HomeKey) -> Option<&InstanceId> {
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
    /// The home of `key` under this earlier revision.
    #[must_use]
    pub fn home(&self, key: &HomeKey) -> Option<&InstanceId> {
        rendezvous(key, self.active.iter())
    }
}

/// Rendezvous hashing: the candidate with the highest hash of key and name.
///
/// A change of one candidate moves only that candidate's keys.
pub fn rendezvous<'a>(
    key: &HomeKey,
    candidates: impl Iterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    let seed = xxh3_64(key.to_string().as_bytes());
    candidates.max_by_key(|id| (xxh3_64_with_seed(id.as_str().as_bytes(), seed), *id))
}
