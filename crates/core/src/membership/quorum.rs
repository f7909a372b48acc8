//! Majorities of the map's lives.

use crate::{Map, MemberRef, Revision, Time};

use super::peers::Peers;

/// What a majority of instances say of the catalogue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CatalogueQuorum {
    /// Every one of them said so after this time.
    pub asked: Time,
    /// The highest revision among them.
    pub highest: Revision,
    /// The highest revision that a majority is known to have in force.
    pub held: Revision,
}

/// Whether `votes` of `count` are more than half.
pub(super) const fn is_majority(votes: usize, count: usize) -> bool {
    votes * 2 > count
}

/// The latest time at or after which a majority of the map's lives, `me` among them, knew no newer
/// map; none while no majority has told so.
pub(super) fn map_confirmed_at(
    now: Time,
    map: &Map,
    me: &MemberRef,
    peers: &Peers,
) -> Option<Time> {
    let told = |life: &MemberRef| {
        if life == me {
            return Some(now);
        }
        let told = peers.get(life)?.told?;
        (told.map <= map.revision).then_some(told.asked)
    };
    majority_time(map, told)
}

/// What a majority of the map's lives, `me` among them, says of the catalogue.
///
/// A life that is unsure of its revision counts as one that has not answered.
pub(super) fn catalogue(
    now: Time,
    map: &Map,
    me: &MemberRef,
    mine: Revision,
    peers: &Peers,
) -> Option<CatalogueQuorum> {
    let told = |life: &MemberRef| {
        if life == me {
            return (mine != Revision::UNSURE).then_some(now);
        }
        let told = peers.get(life)?.told?;
        (told.catalogue != Revision::UNSURE).then_some(told.asked)
    };
    let asked = majority_time(map, told)?;
    let highest = lives(map)
        .filter_map(|life| peers.get(&life).map(|peer| peer.catalogue))
        .fold(mine, Revision::max);
    let held = catalogue_held(map, me, mine, peers);
    Some(CatalogueQuorum {
        asked,
        highest,
        held,
    })
}

/// The highest catalogue revision that a majority of the map's lives, `me` among them, is known to
/// have in force.
pub(super) fn catalogue_held(map: &Map, me: &MemberRef, mine: Revision, peers: &Peers) -> Revision {
    let held = |life: MemberRef| match mine {
        Revision::UNSURE if life == *me => Revision::default(),
        mine if life == *me => mine,
        _ => peers
            .get(&life)
            .map(|peer| peer.catalogue)
            .unwrap_or_default(),
    };
    let mut revisions: Vec<_> = lives(map).map(held).collect();
    revisions.sort_unstable_by(|a, b| b.cmp(a));
    revisions
        .get(map.members.len() / 2)
        .copied()
        .unwrap_or_default()
}

fn lives(map: &Map) -> impl Iterator<Item = MemberRef> {
    map.members.iter().map(crate::Member::member_ref)
}

fn majority_time(map: &Map, told: impl Fn(&MemberRef) -> Option<Time>) -> Option<Time> {
    let mut times: Vec<_> = lives(map).filter_map(|life| told(&life)).collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    times.get(map.members.len() / 2).copied()
}
