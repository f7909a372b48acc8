//! Majorities of the map's members.

use crate::{Map, MemberRef, Revision, Time};

use super::peers::Peers;

/// The catalogue state that a majority of the instances reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CatalogueQuorum {
    /// Every member of the majority reported its revision at or after this time.
    pub confirmed_at: Time,
    /// The highest revision that any instance reported.
    pub highest: Revision,
    /// The highest revision that is known to be in force on a majority.
    pub majority_revision: Revision,
}

/// Whether `votes` are more than half of `count`.
pub(super) const fn is_majority(votes: usize, count: usize) -> bool {
    votes * 2 > count
}

/// Returns the latest time at or after which a majority of the map's members, including `local`,
/// knew no newer map; `None` while no majority has reported that.
pub(super) fn map_confirmed_at(
    now: Time,
    map: &Map,
    local: &MemberRef,
    peers: &Peers,
) -> Option<Time> {
    let confirmed_at = |member: &MemberRef| {
        if member == local {
            return Some(now);
        }
        let reply = peers.get(member)?.latest_reply?;
        (reply.map <= map.revision).then_some(reply.heartbeat_sent_at)
    };
    majority_time(map, confirmed_at)
}

/// Returns the catalogue state that a majority of the map's members, including `local`, reported;
/// `None` while no majority has.
///
/// A member that is unsure of its revision counts as one that has not replied.
pub(super) fn catalogue(
    now: Time,
    map: &Map,
    local: &MemberRef,
    local_revision: Revision,
    peers: &Peers,
) -> Option<CatalogueQuorum> {
    let reported_at = |member: &MemberRef| {
        if member == local {
            return (local_revision != Revision::UNCERTAIN).then_some(now);
        }
        let reply = peers.get(member)?.latest_reply?;
        (reply.catalogue != Revision::UNCERTAIN).then_some(reply.heartbeat_sent_at)
    };
    let confirmed_at = majority_time(map, reported_at)?;
    let highest = member_refs(map)
        .filter_map(|member| peers.get(&member).map(|peer| peer.catalogue))
        .fold(local_revision, Revision::max);
    let majority_revision = majority_catalogue(map, local, local_revision, peers);
    Some(CatalogueQuorum {
        confirmed_at,
        highest,
        majority_revision,
    })
}

/// Returns the highest catalogue revision that is known to be in force on a majority of the map's
/// members, including `local`.
pub(super) fn majority_catalogue(
    map: &Map,
    local: &MemberRef,
    local_revision: Revision,
    peers: &Peers,
) -> Revision {
    let in_force = |member: MemberRef| match local_revision {
        Revision::UNCERTAIN if member == *local => Revision::default(),
        local_revision if member == *local => local_revision,
        _ => peers
            .get(&member)
            .map(|peer| peer.catalogue)
            .unwrap_or_default(),
    };
    let mut revisions: Vec<_> = member_refs(map).map(in_force).collect();
    revisions.sort_unstable_by(|a, b| b.cmp(a));
    revisions
        .get(map.members.len() / 2)
        .copied()
        .unwrap_or_default()
}

fn member_refs(map: &Map) -> impl Iterator<Item = MemberRef> {
    map.members.iter().map(crate::Member::member_ref)
}

fn majority_time(map: &Map, time_of: impl Fn(&MemberRef) -> Option<Time>) -> Option<Time> {
    let mut times: Vec<_> = member_refs(map)
        .filter_map(|member| time_of(&member))
        .collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    times.get(map.members.len() / 2).copied()
}
