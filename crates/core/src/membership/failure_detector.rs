//! Detection of unresponsive members, and when they may be removed from the map.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{InstanceId, Map, Member, MemberRef, Time};

use super::peers::Peers;
use super::quorum;

/// Delay between the turns of two proposers, so that usually only one writes the map.
const PROPOSER_STAGGER: Duration = Duration::from_millis(100);

/// Members that this instance finds unresponsive, and since when they may be removed.
///
/// A member is removed when a majority of the map's members finds it unresponsive, or when it is
/// unresponsive here and gone according to the platform's list. The observation of one instance is
/// not enough: an instance that no longer receives messages, but still sends them, would remove
/// healthy peers again and again, and their keys would change owners each time.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    unresponsive: BTreeSet<InstanceId>,
    removable_since: BTreeMap<InstanceId, Time>,
}

impl FailureDetector {
    /// Members that this instance finds unresponsive.
    pub(super) const fn unresponsive(&self) -> &BTreeSet<InstanceId> {
        &self.unresponsive
    }

    pub(super) fn clear(&mut self) {
        self.unresponsive.clear();
        self.removable_since.clear();
    }

    /// Updates the unresponsive members; returns the newly unresponsive ones.
    pub(super) fn observe(
        &mut self,
        now: Time,
        map: &Map,
        peers: &Peers,
        suspect_after: Duration,
    ) -> Vec<InstanceId> {
        let unresponsive: BTreeSet<_> = map
            .members
            .iter()
            .filter(|member| is_unresponsive(now, &member.member_ref(), peers, suspect_after))
            .map(|member| member.id.clone())
            .collect();
        let newly_unresponsive = unresponsive
            .difference(&self.unresponsive)
            .cloned()
            .collect();
        self.unresponsive = unresponsive;
        newly_unresponsive
    }

    /// Updates which members may be removed; returns those that it is this instance's turn to
    /// remove.
    pub(super) fn removable(
        &mut self,
        now: Time,
        map: &Map,
        local: &MemberRef,
        peers: &Peers,
        gone: &BTreeSet<MemberRef>,
    ) -> BTreeSet<InstanceId> {
        let removable: BTreeSet<_> = map
            .members
            .iter()
            .filter(|member| self.unresponsive.contains(&member.id))
            .filter(|member| {
                gone.contains(&member.member_ref()) || self.has_majority(map, peers, member)
            })
            .map(|member| member.id.clone())
            .collect();
        self.removable_since.retain(|id, _| removable.contains(id));
        for id in removable {
            self.removable_since.entry(id).or_insert(now);
        }
        let delay = self.proposal_delay(map, local);
        self.removable_since
            .iter()
            .filter(|(_, at)| now >= **at + delay)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Whether a majority finds `member` unresponsive. Reports of members that are unresponsive
    /// themselves are outdated and not counted.
    fn has_majority(&self, map: &Map, peers: &Peers, member: &Member) -> bool {
        let finds_unresponsive = |other: &Member| {
            !self.unresponsive.contains(&other.id)
                && peers.get(&other.member_ref()).is_some_and(|peer| {
                    peer.adopted == map.revision && peer.unresponsive.contains(&member.id)
                })
        };
        let others = map.members.iter().filter(|m| finds_unresponsive(m)).count();
        quorum::is_majority(others + 1, map.members.len())
    }

    fn proposal_delay(&self, map: &Map, local: &MemberRef) -> Duration {
        let ahead = map
            .members
            .iter()
            .take_while(|member| member.id != local.id)
            .filter(|member| !self.unresponsive.contains(&member.id))
            .count();
        PROPOSER_STAGGER * u32::try_from(ahead).unwrap_or(u32::MAX)
    }
}

/// Whether no heartbeat of a peer was received for `suspect_after`; false for a peer that is not
/// tracked.
pub(super) fn is_unresponsive(
    now: Time,
    peer_ref: &MemberRef,
    peers: &Peers,
    suspect_after: Duration,
) -> bool {
    peers
        .get(peer_ref)
        .is_some_and(|peer| now.since(peer.last_seen) >= suspect_after)
}
