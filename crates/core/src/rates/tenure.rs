//! What a new map revision means for shares: who holds what, and what nobody holds any more.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{Cx, InstanceId, MemberState, Ownership, RatePolicy, Revision, Time, WorkspaceId};

use super::bucket::Parcel;
use super::core::Rates;
use super::message::{Holding, RatesBody, RatesMessage};
use super::share::{MicroTokens, Share};
use super::workspace::Workspace;

/// Holdings are told again after this time without a word that they are noted.
const TELL_AGAIN: Duration = Duration::from_millis(200);

/// The map revision that shares are counted under.
#[derive(Debug, Default)]
pub struct Tenure {
    revision: Option<Revision>,
    reported: BTreeSet<InstanceId>,
    untold: BTreeMap<InstanceId, Time>,
    is_settled: bool,
    // Whether an earlier map had a home, or may have had one.
    had_home: bool,
    has_home: bool,
}

impl Tenure {
    /// The peer has told its holdings under this revision.
    pub fn has_reported(&self, peer: &InstanceId) -> bool {
        self.reported.contains(peer)
    }

    /// The peer has noted this instance's holdings.
    pub fn noted(&mut self, peer: &InstanceId) {
        self.untold.remove(peer);
    }

    /// Whether the peer still has to note this instance's holdings.
    pub fn is_untold(&self, peer: &InstanceId) -> bool {
        self.untold.contains_key(peer)
    }

    fn is_reported_by_all(&self, own: &Ownership) -> bool {
        let others = own
            .map
            .members
            .iter()
            .filter(|member| member.id != own.local.id);
        others.clone().count() <= self.reported.len()
            && others
                .into_iter()
                .all(|member| self.reported.contains(&member.id))
    }
}

impl Rates {
    /// Follows the map in force.
    pub(super) fn sync(&mut self, cx: &mut Cx<'_>) {
        if self.tenure.revision != Some(cx.ownership.revision()) {
            self.adopt(cx);
        }
        self.settle(cx);
    }

    /// Counts shares anew under the map in force and tells each home what is held of its workspaces.
    fn adopt(&mut self, cx: &mut Cx<'_>) {
        if !self.was_member_throughout(cx.ownership) {
            self.let_go();
        }
        let peers = cx
            .ownership
            .map
            .active()
            .filter(|id| **id != cx.ownership.local.id);
        let had_home = self.may_have_had_home(cx.ownership);
        self.tenure = Tenure {
            had_home,
            has_home: cx.ownership.map.active().next().is_some(),
            revision: Some(cx.ownership.revision()),
            reported: BTreeSet::new(),
            untold: peers.map(|id| (id.clone(), cx.now)).collect(),
            is_settled: false,
        };
        for entry in self.workspaces.values_mut() {
            entry.rebase(cx);
        }
        if self.policy == RatePolicy::EvenSplit {
            self.split_evenly(cx);
        }
        self.mark_all();
        self.tell_holdings(cx);
    }

    /// Sends holdings to the homes that have not noted them yet.
    pub(super) fn tell_holdings(&mut self, cx: &mut Cx<'_>) {
        if self.policy == RatePolicy::EvenSplit || !cx.ownership.is_member() {
            return;
        }
        let is_due = |(_peer, due): &(&InstanceId, &Time)| cx.now >= **due;
        let peers: Vec<_> = self
            .tenure
            .untold
            .iter()
            .filter(is_due)
            .map(|(id, _due)| id.clone())
            .collect();
        for peer in peers {
            let message = RatesMessage {
                revision: cx.ownership.revision(),
                body: RatesBody::Holdings(self.holdings_of(cx, &peer)),
            };
            message.send(cx, &peer);
            self.tenure.untold.insert(peer, cx.now + TELL_AGAIN);
        }
    }

    /// Notes what a borrower holds; only its first word under a revision counts, because what it
    /// holds changes from then on by numbered transfers alone.
    pub(super) fn note_holdings(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        holdings: Vec<Holding>,
    ) {
        if !self.tenure.has_reported(from) {
            for holding in holdings {
                let entry = self.entry(cx, &holding.workspace);
                if let Some(lending) = &mut entry.lending {
                    lending.note(cx.now, from, &holding);
                }
            }
            self.tenure.reported.insert(from.clone());
            self.settle(cx);
        }
        let message = RatesMessage {
            revision: cx.ownership.revision(),
            body: RatesBody::HoldingsNoted,
        };
        message.send(cx, from);
    }

    /// The workspace's entry; made as it is first heard of.
    pub(super) fn entry(&mut self, cx: &Cx<'_>, id: &WorkspaceId) -> &mut Workspace {
        if !self.workspaces.contains_key(id) {
            let mut entry = Workspace::new(id.clone(), cx.now);
            entry.rebase(cx);
            if self.tenure.is_settled {
                take_rest(cx, &mut entry, self.tenure.had_home);
            }
            if self.policy == RatePolicy::EvenSplit {
                hold_even_part(cx, &mut entry, self.tenure.had_home);
            }
            self.workspaces.insert(id.clone(), entry);
        }
        self.workspaces
            .entry(id.clone())
            .or_insert_with(|| Workspace::new(id.clone(), cx.now))
    }

    // Takes what nobody holds, once that is certain.
    //
    // Guards against a share that two hold, seen as a rate exceeded after a takeover. All lives in
    // the map have told what they hold and take nothing from an earlier home any more, and all
    // lives no longer in the map have lost their standing, so they spend nothing: what is then
    // missing to the whole was lost on its way or belonged to a life that is gone.
    fn settle(&mut self, cx: &Cx<'_>) {
        if self.tenure.is_settled || self.policy == RatePolicy::EvenSplit {
            return;
        }
        let is_complete = cx.ownership.is_member() && self.tenure.is_reported_by_all(cx.ownership);
        if !is_complete || !departed_have_stopped(cx.ownership, cx.now) {
            return;
        }
        self.tenure.is_settled = true;
        for entry in self.workspaces.values_mut() {
            take_rest(cx, entry, self.tenure.had_home);
        }
    }

    fn holdings_of(&mut self, cx: &Cx<'_>, home: &InstanceId) -> Vec<Holding> {
        let held = self.workspaces.values_mut().filter(|entry| {
            entry.home.as_ref() == Some(home) && entry.bucket.share() != Share::NONE
        });
        held.map(|entry| Holding {
            workspace: entry.id.clone(),
            share: entry.bucket.share(),
            demand: entry.demand.rate(cx.now),
        })
        .collect()
    }

    // An instance that was dropped from the map and is back holds nothing: its share was lent on.
    // Revisions that it can't see any more may have dropped it, so they count as having done so.
    fn was_member_throughout(&self, own: &Ownership) -> bool {
        let Some(Revision(last)) = self.tenure.revision else {
            return false;
        };
        let listed = |revision| {
            let past = own
                .map
                .history
                .iter()
                .find(|past| past.revision == revision);
            past.is_some_and(|past| past.members.contains(&own.local))
        };
        own.is_member() && (last + 1..own.revision().0).all(|number| listed(Revision(number)))
    }

    // Whether anyone may have spent before the map in force. This life has to have followed the map
    // from its first revision, or to find the ones that it missed in the history, and none of them
    // may have had an active member.
    fn may_have_had_home(&self, own: &Ownership) -> bool {
        let Revision(last) = self.tenure.revision.unwrap_or_default();
        let nobody = |revision| {
            let past = own
                .map
                .history
                .iter()
                .find(|past| past.revision == revision);
            past.is_some_and(|past| past.active.is_empty())
        };
        let is_seen = (last + 1..own.revision().0).all(|number| nobody(Revision(number)));
        self.tenure.had_home || self.tenure.has_home || !is_seen
    }

    fn let_go(&mut self) {
        for entry in self.workspaces.values_mut() {
            entry.bucket.clear();
        }
    }

    fn split_evenly(&mut self, cx: &Cx<'_>) {
        for entry in self.workspaces.values_mut() {
            hold_even_part(cx, entry, self.tenure.had_home);
        }
    }
}

// Takes the rest of the workspace that nobody holds, without tokens: who held it may have spent
// them. Only under the first map that ever had a home is it full, because nobody can have spent.
fn take_rest(cx: &Cx<'_>, entry: &mut Workspace, had_home: bool) {
    let Some(lending) = &entry.lending else {
        return;
    };
    entry.is_settled = true;
    let known = entry.bucket.share() + lending.lent();
    let rest = Share::WHOLE.saturating_sub(known);
    entry.bucket.put(
        cx.now,
        Parcel {
            share: rest,
            tokens: MicroTokens::default(),
        },
    );
    entry.is_unspent = rest == Share::WHOLE && !had_home;
    entry.fill_if_unspent(cx.now);
}

// Baseline: the same part for each active instance, for good. It trusts that all are at the same
// map, so it holds the limits less strictly than lent shares do.
fn hold_even_part(cx: &Cx<'_>, entry: &mut Workspace, had_home: bool) {
    let active = cx.ownership.map.active().count() as u128;
    let is_active = cx
        .ownership
        .map
        .active()
        .any(|id| *id == cx.ownership.local.id)
        && cx.ownership.is_member();
    let part = if is_active {
        Share::part(1, active)
    } else {
        Share::NONE
    };
    let held = entry.bucket.share();
    entry
        .bucket
        .split(cx.now, held.saturating_sub(part), MicroTokens::default());
    entry.bucket.put(
        cx.now,
        Parcel {
            share: part.saturating_sub(held),
            tokens: MicroTokens::default(),
        },
    );
    entry.is_unspent = held == Share::NONE && !had_home;
    entry.fill_if_unspent(cx.now);
}

// Whether every life that the map no longer lists has lost its standing.
//
// `Ownership::acts` alone does not say that: it knows of former homes, and a borrower that was
// dropped while the home stayed may spend until its last proof of standing ends.
fn departed_have_stopped(own: &Ownership, now: Time) -> bool {
    if own.past_retired_at.is_some_and(|at| now >= at) {
        return true;
    }
    let mut lives = own.map.history.iter().flat_map(|past| &past.members);
    lives.all(|life| {
        let listed = own.map.member(&life.id);
        listed.is_some_and(|member| member.incarnation == life.incarnation) || own.has_adopted(life)
    })
}

/// Whether this instance is on its way out.
pub fn is_leaving(own: &Ownership) -> bool {
    own.map
        .member(&own.local.id)
        .is_some_and(|me| me.state == MemberState::Leaving)
}
