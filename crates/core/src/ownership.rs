//! Which instance may act as the owner of what: the view that membership maintains and all other
//! cores decide by.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Fencing, InstanceId, Map, MemberRef, OwnershipKey, PastMap, Revision, Time};

/// One incarnation's report that it has adopted a map. It acts under no earlier map from then on.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Adoption {
    /// The incarnation that adopted the map.
    #[serde(rename = "life")]
    pub member_ref: MemberRef,
    /// The newest map that it is known to have adopted.
    pub map: Revision,
}

/// The map in force, this instance's lease under it, and which former owners are known to have
/// stopped.
///
/// Membership maintains it; the other cores only read it. The result of [`Ownership::may_act`] must
/// not be kept: the caller checks it right before each action, because the process may have been
/// paused since an earlier check.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Ownership {
    /// This incarnation of this instance.
    #[serde(rename = "me")]
    pub local: MemberRef,
    /// The newest known map, without the revisions of its history that are known to be retired.
    pub map: Map,
    /// The lease is valid before this time.
    #[serde(rename = "standing_until")]
    pub lease_expires_at: Time,
    /// The newest maps that the incarnations in the map and its history are known to have adopted;
    /// empty while there is no history.
    pub adopted: BTreeSet<Adoption>,
    /// Members whose heartbeats this instance has not received for a while. Only a hint for whom to
    /// ask first.
    #[serde(rename = "silent")]
    pub unresponsive: BTreeSet<InstanceId>,
    /// From this time on, no map of the history gives any instance a lease; `None` while unknown.
    pub past_retired_at: Option<Time>,
}

impl Ownership {
    /// Creates the view of an incarnation that has no lease yet.
    #[must_use]
    pub const fn new(local: MemberRef, map: Map) -> Self {
        Self {
            local,
            map,
            lease_expires_at: Time(0),
            adopted: BTreeSet::new(),
            unresponsive: BTreeSet::new(),
            past_retired_at: None,
        }
    }

    /// Whether this instance has a lease: a recent confirmation that its map is current.
    #[must_use]
    pub fn has_lease(&self, now: Time) -> bool {
        now < self.lease_expires_at && self.is_member()
    }

    /// Whether the map lists this incarnation of this instance.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.map
            .member(&self.local.id)
            .is_some_and(|member| member.incarnation == self.local.incarnation)
    }

    /// Returns the owner of `key` under the map in force, whether or not it may act yet.
    #[must_use]
    pub fn owner(&self, key: &OwnershipKey) -> Option<&InstanceId> {
        self.map.owner(key)
    }

    /// Whether this instance is the owner of `key` under the map in force.
    #[must_use]
    pub fn is_owner(&self, key: &OwnershipKey) -> bool {
        self.owner(key) == Some(&self.local.id)
    }

    /// Whether this instance may act as the owner of `key` now.
    ///
    /// Prevents two owners from acting at the same time, which would exceed a rate, evict an
    /// adapter in use or run a filing twice. This holds because each former owner either reported
    /// that it has adopted this map, or lost its lease before `past_retired_at`.
    #[must_use]
    pub fn may_act(&self, now: Time, key: &OwnershipKey) -> bool {
        self.has_lease(now) && self.is_owner(key) && self.is_activated(now, key)
    }

    /// Whether every former owner of `key` has stopped.
    #[must_use]
    pub fn is_activated(&self, now: Time, key: &OwnershipKey) -> bool {
        if self.past_retired_at.is_some_and(|at| now >= at) {
            return true;
        }
        let history = &self.map.history;
        history
            .iter()
            .all(|past| self.has_former_owner_stopped(past, key))
    }

    /// Whether the owner of `key` under `past` no longer acts under `past`.
    ///
    /// An earlier incarnation of this instance is a former owner like any other, because its
    /// process may be frozen and resume. An owner of which `past` records no incarnation can't be
    /// known to have stopped.
    fn has_former_owner_stopped(&self, past: &PastMap, key: &OwnershipKey) -> bool {
        let Some(owner) = past.owner(key) else {
            return true;
        };
        let Some(former) = past.members.iter().find(|member| member.id == *owner) else {
            return false;
        };
        let has_adopted_newer =
            |adoption: &Adoption| adoption.member_ref == *former && adoption.map > past.revision;
        *former == self.local || self.adopted.iter().any(has_adopted_newer)
    }

    /// Whether `member_ref` is known to have adopted the map in force, or a newer one.
    #[must_use]
    pub fn has_adopted(&self, member_ref: &MemberRef) -> bool {
        let is_current = |adoption: &Adoption| {
            adoption.member_ref == *member_ref && adoption.map >= self.map.revision
        };
        self.adopted.iter().any(is_current)
    }

    /// Returns the earliest map that may still give an instance a lease.
    #[must_use]
    pub fn retired_below(&self) -> Revision {
        let oldest = self.map.history.first();
        oldest.map_or(self.map.revision, |past| past.revision)
    }

    /// Returns the map's revision.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.map.revision
    }

    /// Returns the fencing token of orders issued under the map in force.
    #[must_use]
    pub const fn fencing(&self) -> Fencing {
        Fencing(self.map.revision.0)
    }
}
