//! What membership knows about who may act: the view that all other cores decide by.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Fencing, HomeKey, InstanceId, Map, MemberRef, PastMap, Revision, Time};

/// A life's word that it has adopted a map: it acts under no earlier one.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Adoption {
    /// Which life.
    pub life: MemberRef,
    /// The newest map that it is known to have adopted.
    pub map: Revision,
}

/// The map in force, this instance's standing under it, and which former homes are known to have
/// stopped.
///
/// Membership keeps it; the other cores only read it. Nothing in it is decided twice: whoever acts
/// asks [`Ownership::acts`] right before the act, so that a pause between deciding and acting is
/// met.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Ownership {
    /// This life of this instance.
    pub me: MemberRef,
    /// The newest map known; its history lacks what is known here to be retired.
    pub map: Map,
    /// Standing holds before this time.
    pub standing_until: Time,
    /// What the lives in the map and its history are known to have adopted, while there is a history.
    pub adopted: BTreeSet<Adoption>,
    /// Members that this instance has not heard for a while; only a hint for whom to ask first.
    pub silent: BTreeSet<InstanceId>,
    /// From this time on no map of the history gives anyone standing; none while that is not known.
    pub past_retired_at: Option<Time>,
}

impl Ownership {
    /// The view of a life that has no proof of anything yet.
    #[must_use]
    pub const fn new(me: MemberRef, map: Map) -> Self {
        Self {
            me,
            map,
            standing_until: Time(0),
            adopted: BTreeSet::new(),
            silent: BTreeSet::new(),
            past_retired_at: None,
        }
    }

    /// Whether this instance has standing: a recent proof that its map is current.
    #[must_use]
    pub fn has_standing(&self, now: Time) -> bool {
        now < self.standing_until && self.is_member()
    }

    /// Whether the map lists this life of this instance.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.map
            .member(&self.me.id)
            .is_some_and(|member| member.incarnation == self.me.incarnation)
    }

    /// The home of `key` under the map in force, whether it acts yet or not.
    #[must_use]
    pub fn home(&self, key: &HomeKey) -> Option<&InstanceId> {
        self.map.home(key)
    }

    /// Whether this instance is the home of `key` under the map in force.
    #[must_use]
    pub fn is_home(&self, key: &HomeKey) -> bool {
        self.home(key) == Some(&self.me.id)
    }

    /// Whether this instance may act as home of `key` right now.
    ///
    /// Guards against two homes that act at once, which would show as a rate exceeded, an adapter
    /// evicted in use or a filing run twice. It holds because a former home either said that it has
    /// adopted this map, or lost its standing before `past_retired_at`.
    #[must_use]
    pub fn acts(&self, now: Time, key: &HomeKey) -> bool {
        self.has_standing(now) && self.is_home(key) && self.is_activated(now, key)
    }

    /// Whether every former home of `key` has stopped.
    #[must_use]
    pub fn is_activated(&self, now: Time, key: &HomeKey) -> bool {
        if self.past_retired_at.is_some_and(|at| now >= at) {
            return true;
        }
        let history = &self.map.history;
        history.iter().all(|past| self.has_stopped(past, key))
    }

    /// Whether the home of `key` under `past` no longer acts under `past`.
    ///
    /// An earlier life of this instance is a former home like any other: its process may be frozen
    /// and thaw. A home of which `past` records no life can't be known to have stopped.
    fn has_stopped(&self, past: &PastMap, key: &HomeKey) -> bool {
        let Some(home) = past.home(key) else {
            return true;
        };
        let Some(former) = past.members.iter().find(|life| life.id == *home) else {
            return false;
        };
        let adopted_later =
            |adoption: &Adoption| adoption.life == *former && adoption.map > past.revision;
        *former == self.me || self.adopted.iter().any(adopted_later)
    }

    /// Whether `life` is known to have adopted the map in force, or a newer one.
    #[must_use]
    pub fn has_adopted(&self, life: &MemberRef) -> bool {
        let current =
            |adoption: &Adoption| adoption.life == *life && adoption.map >= self.map.revision;
        self.adopted.iter().any(current)
    }

    /// The earliest map that may still give standing to someone.
    #[must_use]
    pub fn retired_below(&self) -> Revision {
        let oldest = self.map.history.first();
        oldest.map_or(self.map.revision, |past| past.revision)
    }

    /// The map's revision.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.map.revision
    }

    /// The fencing number of orders issued under the map in force.
    #[must_use]
    pub const fn fencing(&self) -> Fencing {
        Fencing(self.map.revision.0)
    }
}
