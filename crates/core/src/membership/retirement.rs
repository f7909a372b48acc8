//! When earlier revisions of the map stop giving leases.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{Map, MemberRef, PastMap, Revision, Time};

use super::peers::Peers;
use super::quorum;

/// Number of revisions before the current one whose retirement time is kept; no history contains
/// an older one.
const RETAINED_REVISIONS: u64 = 64;

/// The time from which each earlier revision gives no instance a lease.
///
/// Prevents a former owner from still acting when its successor starts. A lease under a revision is
/// confirmed by a request sent at a time t, and expires at t + T, where T is the lease duration.
/// Once a majority of that revision's members has adopted a newer map, at a time u, no request sent
/// at or after u can confirm the lease again: a consistent read returns the newer map, and any two
/// majorities of the same members share one member, which reports the newer map or has been
/// replaced by another incarnation. So t < u, and at u + T, plus the drift between two clocks over
/// T, no instance has a lease under that revision.
///
/// Incarnations that are gone according to the platform's list are not counted in this majority:
/// every incarnation that could count in a later confirmation of the lease is among the others.
/// They do count in the majority that confirms the lease, because they may have adopted a newer map
/// and reported it before they went.
#[derive(Debug, Default)]
pub(super) struct Retirement {
    retired_at: BTreeMap<Revision, Time>,
    /// A peer reported that all revisions before this one are retired.
    retired_below: Revision,
}

impl Retirement {
    /// Records which revisions have been superseded on a majority of their members; `wait` is the
    /// lease duration plus the clock drift.
    pub(super) fn observe(
        &mut self,
        now: Time,
        map: &Map,
        local: &MemberRef,
        peers: &Peers,
        gone: &BTreeSet<MemberRef>,
        wait: Duration,
    ) {
        for past in &map.history {
            let has_adopted_newer = |member: &MemberRef| {
                member == local
                    || peers
                        .get(member)
                        .is_some_and(|peer| peer.adopted > past.revision)
            };
            if !self.retired_at.contains_key(&past.revision)
                && is_superseded(past, gone, has_adopted_newer)
            {
                self.retired_at.insert(past.revision, now + wait);
            }
        }
        let oldest = Revision(map.revision.0.saturating_sub(RETAINED_REVISIONS));
        self.retired_at = self.retired_at.split_off(&oldest);
    }

    /// Applies a peer's report that all revisions before `retired_below` are retired, which is
    /// permanent.
    pub(super) fn apply_peer_report(&mut self, retired_below: Revision) {
        self.retired_below = self.retired_below.max(retired_below);
    }

    /// Removes retired revisions from the history.
    pub(super) fn prune(&self, now: Time, map: &mut Map) {
        let is_retired = |past: &PastMap| {
            let retired_at = self.retired_at.get(&past.revision);
            past.revision < self.retired_below || retired_at.is_some_and(|at| now >= *at)
        };
        map.history.retain(|past| !is_retired(past));
    }

    /// Returns the time from which no revision of the history gives a lease; `None` while that is
    /// unknown.
    pub(super) fn all_retired_at(&self, map: &Map) -> Option<Time> {
        map.history
            .iter()
            .map(|past| self.retired_at.get(&past.revision).copied())
            .try_fold(Time::default(), |latest, at| Some(latest.max(at?)))
    }
}

/// Whether a majority of the members of `past` that are not gone has adopted a newer map.
fn is_superseded(
    past: &PastMap,
    gone: &BTreeSet<MemberRef>,
    has_adopted_newer: impl Fn(&MemberRef) -> bool,
) -> bool {
    let present = || past.members.iter().filter(|member| !gone.contains(member));
    let count = present().count();
    count == 0
        || quorum::is_majority(
            present().filter(|member| has_adopted_newer(member)).count(),
            count,
        )
}
