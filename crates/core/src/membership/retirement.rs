//! When earlier revisions of the map stop giving standing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{Map, MemberRef, PastMap, Revision, Time};

use super::peers::Peers;
use super::quorum;

/// Retirements kept behind the map in force; an older one can be in no history.
const KEPT_REVISIONS: u64 = 64;

/// From when on each earlier revision gives nobody standing.
///
/// Guards against a former home that still acts while its successor begins. Standing under a
/// revision rests on a question sent at a time t, and ends at t + T. Once a majority of that
/// revision's lives has adopted a newer map, at a time u, no question sent at or after u can prove
/// it again: a consistent read shows the newer map, and two majorities of the same lives share one
/// life, which has told the newer map or is another life by now. So t < u, and at u + T, plus what
/// two clocks drift apart over T, nobody has standing under it.
///
/// Lives that the platform's list shows gone count out of this majority: all lives that a later
/// proof of standing could count are among the rest. They do not count out of the majority that
/// proves standing, because they may have adopted a newer map, and said so, before they went.
#[derive(Debug, Default)]
pub(super) struct Retirement {
    due: BTreeMap<Revision, Time>,
    /// Others know that all revisions before this one are retired.
    below: Revision,
}

impl Retirement {
    /// Notes which revisions a majority of their lives has left behind; `wait` is T plus drift.
    pub(super) fn observe(
        &mut self,
        now: Time,
        map: &Map,
        me: &MemberRef,
        peers: &Peers,
        gone: &BTreeSet<MemberRef>,
        wait: Duration,
    ) {
        for past in &map.history {
            let left_behind = |life: &MemberRef| {
                life == me
                    || peers
                        .get(life)
                        .is_some_and(|peer| peer.adopted > past.revision)
            };
            if !self.due.contains_key(&past.revision) && has_left(past, gone, left_behind) {
                self.due.insert(past.revision, now + wait);
            }
        }
        let oldest = Revision(map.revision.0.saturating_sub(KEPT_REVISIONS));
        self.due = self.due.split_off(&oldest);
    }

    /// Takes a peer's word that all revisions before `below` are retired: that stays true for ever.
    pub(super) fn learn(&mut self, below: Revision) {
        self.below = self.below.max(below);
    }

    /// Takes retired revisions out of the history.
    pub(super) fn prune(&self, now: Time, map: &mut Map) {
        let is_retired = |past: &PastMap| {
            let due = self.due.get(&past.revision);
            past.revision < self.below || due.is_some_and(|at| now >= *at)
        };
        map.history.retain(|past| !is_retired(past));
    }

    /// From when on none of the history's revisions gives standing; none while that is not known.
    pub(super) fn all_retired_at(&self, map: &Map) -> Option<Time> {
        map.history
            .iter()
            .map(|past| self.due.get(&past.revision).copied())
            .try_fold(Time::default(), |latest, at| Some(latest.max(at?)))
    }
}

fn has_left(
    past: &PastMap,
    gone: &BTreeSet<MemberRef>,
    left_behind: impl Fn(&MemberRef) -> bool,
) -> bool {
    let present = || past.members.iter().filter(|life| !gone.contains(life));
    let count = present().count();
    count == 0 || quorum::is_majority(present().filter(|life| left_behind(life)).count(), count)
}
