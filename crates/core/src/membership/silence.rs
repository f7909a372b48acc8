//! Which members are silent, and when one may be dropped.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{InstanceId, Map, Member, MemberRef, Time};

use super::peers::Peers;
use super::quorum;

/// Head start of each proposer over the next, so that as a rule only one writes.
const STAGGER: Duration = Duration::from_millis(100);

/// Members that are silent here, and since when they may be dropped.
///
/// A member is dropped when a majority of the map's members calls it silent, or when it is silent
/// here and gone by the platform's list. One instance's word is not enough: behind a one-way cut
/// it would drop healthy peers again and again, moving their homes each time.
#[derive(Debug, Default)]
pub(super) struct Silence {
    silent: BTreeSet<InstanceId>,
    agreed_at: BTreeMap<InstanceId, Time>,
}

impl Silence {
    /// Members that are silent here.
    pub(super) const fn members(&self) -> &BTreeSet<InstanceId> {
        &self.silent
    }

    pub(super) fn clear(&mut self) {
        self.silent.clear();
        self.agreed_at.clear();
    }

    /// Looks who is silent by now; gives those who were not before.
    pub(super) fn observe(
        &mut self,
        now: Time,
        map: &Map,
        peers: &Peers,
        suspect_after: Duration,
    ) -> Vec<InstanceId> {
        let silent: BTreeSet<_> = map
            .members
            .iter()
            .filter(|member| is_silent(now, &member.member_ref(), peers, suspect_after))
            .map(|member| member.id.clone())
            .collect();
        let fresh = silent.difference(&self.silent).cloned().collect();
        self.silent = silent;
        fresh
    }

    /// Notes who may be dropped; gives those whose turn it is for this instance to drop.
    pub(super) fn droppable(
        &mut self,
        now: Time,
        map: &Map,
        me: &MemberRef,
        peers: &Peers,
        gone: &BTreeSet<MemberRef>,
    ) -> BTreeSet<InstanceId> {
        let agreed: BTreeSet<_> = map
            .members
            .iter()
            .filter(|member| self.silent.contains(&member.id))
            .filter(|member| {
                gone.contains(&member.member_ref()) || self.is_agreed(map, peers, member)
            })
            .map(|member| member.id.clone())
            .collect();
        self.agreed_at.retain(|id, _| agreed.contains(id));
        for id in agreed {
            self.agreed_at.entry(id).or_insert(now);
        }
        let wait = self.wait(map, me);
        self.agreed_at
            .iter()
            .filter(|(_, at)| now >= **at + wait)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Whether a majority calls `member` silent; words of those who are silent themselves are old.
    fn is_agreed(&self, map: &Map, peers: &Peers, member: &Member) -> bool {
        let calls_silent = |other: &Member| {
            !self.silent.contains(&other.id)
                && peers.get(&other.member_ref()).is_some_and(|peer| {
                    peer.adopted == map.revision && peer.silent.contains(&member.id)
                })
        };
        let others = map.members.iter().filter(|m| calls_silent(m)).count();
        quorum::is_majority(others + 1, map.members.len())
    }

    fn wait(&self, map: &Map, me: &MemberRef) -> Duration {
        let ahead = map
            .members
            .iter()
            .take_while(|member| member.id != me.id)
            .filter(|member| !self.silent.contains(&member.id))
            .count();
        STAGGER * u32::try_from(ahead).unwrap_or(u32::MAX)
    }
}

/// Whether a life has not been heard for `suspect_after`; one that is not tracked is not silent.
pub(super) fn is_silent(
    now: Time,
    life: &MemberRef,
    peers: &Peers,
    suspect_after: Duration,
) -> bool {
    peers
        .get(life)
        .is_some_and(|peer| now.since(peer.heard_at) >= suspect_after)
}
