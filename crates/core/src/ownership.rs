//! What membership knows about who may act: the view that all other cores decide by.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Fencing, HomeKey, InstanceId, Map, MemberRef, Revision, Time};

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
    /// The newest map known.
    pub map: Map,
    /// Standing holds before this time.
    pub standing_until: Time,
    /// Lives known to have adopted the map in force; they act under no earlier one.
    pub adopted: BTreeSet<MemberRef>,
    /// From this time on no earlier map can give anyone standing; none while that is not known.
    pub past_retired_at: Option<Time>,
}

impl Ownership {
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
        self.map.history.iter().all(|past| match past.home(key) {
            None => true,
            Some(former) => past
                .members
                .iter()
                .filter(|member| member.id == *former)
                .all(|member| *member == self.me || self.adopted.contains(member)),
        })
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
