//! Recounts shares under a new map revision: which instance holds which share, and which share is
//! held by no instance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{Cx, InstanceId, MemberState, Ownership, RatePolicy, Revision, Time, WorkspaceId};

use super::bucket::Portion;
use super::core::Rates;
use super::message::{Holding, RatesBody, RatesMessage};
use super::share::{MicroTokens, Share};
use super::workspace::Workspace;

/// Interval at which holdings are resent until they are acknowledged.
const HOLDINGS_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// State of the recount under one map revision.
#[derive(Debug, Default)]
pub struct RevisionState {
    revision: Option<Revision>,
    reported_by: BTreeSet<InstanceId>,
    unacknowledged: BTreeMap<InstanceId, Time>,
    is_reconciled: bool,
    // Whether an earlier map had an owner for workspaces, or may have had one.
    had_owner: bool,
    has_owner: bool,
}

impl RevisionState {
    /// Whether the peer has reported its holdings under this revision.
    pub fn has_reported(&self, peer: &InstanceId) -> bool {
        self.reported_by.contains(peer)
    }

    /// Records that the peer has acknowledged this instance's holdings.
    pub fn record_acknowledgement(&mut self, peer: &InstanceId) {
        self.unacknowledged.remove(peer);
    }

    /// Whether the peer has still to acknowledge this instance's holdings.
    pub fn is_unacknowledged(&self, peer: &InstanceId) -> bool {
        self.unacknowledged.contains_key(peer)
    }

    fn has_all_reports(&self, own: &Ownership) -> bool {
        let other_members = own
            .map
            .members
            .iter()
            .filter(|member| member.id != own.local.id);
        other_members.clone().count() <= self.reported_by.len()
            && other_members
                .into_iter()
                .all(|member| self.reported_by.contains(&member.id))
    }
}

impl Rates {
    /// Follows the map in force.
    pub(super) fn sync(&mut self, cx: &mut Cx<'_>) {
        if self.revision_state.revision != Some(cx.ownership.revision()) {
            self.adopt_revision(cx);
        }
        self.reconcile(cx);
    }

    /// Recounts shares under the map in force and reports the holdings of this instance to the
    /// owners of their workspaces.
    fn adopt_revision(&mut self, cx: &mut Cx<'_>) {
        if !self.was_member_throughout(cx.ownership) {
            self.clear_buckets();
        }
        let peers = cx
            .ownership
            .map
            .active()
            .filter(|id| **id != cx.ownership.local.id);
        let had_owner = self.may_have_had_owner(cx.ownership);
        self.revision_state = RevisionState {
            had_owner,
            has_owner: cx.ownership.map.active().next().is_some(),
            revision: Some(cx.ownership.revision()),
            reported_by: BTreeSet::new(),
            unacknowledged: peers.map(|id| (id.clone(), cx.now)).collect(),
            is_reconciled: false,
        };
        for entry in self.workspaces.values_mut() {
            entry.reset_for_revision(cx);
        }
        if self.policy == RatePolicy::EvenSplit {
            self.split_evenly(cx);
        }
        self.rebuild_busy();
        self.send_holdings(cx);
    }

    /// Sends holdings to the owners that have not acknowledged them yet.
    pub(super) fn send_holdings(&mut self, cx: &mut Cx<'_>) {
        if self.policy == RatePolicy::EvenSplit || !cx.ownership.is_member() {
            return;
        }
        let is_due = |(_peer, due): &(&InstanceId, &Time)| cx.now >= **due;
        let peers: Vec<_> = self
            .revision_state
            .unacknowledged
            .iter()
            .filter(is_due)
            .map(|(id, _due)| id.clone())
            .collect();
        for peer in peers {
            let message = RatesMessage {
                revision: cx.ownership.revision(),
                body: RatesBody::Holdings(self.holdings_for(cx, &peer)),
            };
            message.send(cx, &peer);
            self.revision_state
                .unacknowledged
                .insert(peer, cx.now + HOLDINGS_RETRY_INTERVAL);
        }
    }

    /// Records a borrower's holdings. Only its first report under a revision counts, because
    /// afterwards its holdings change only by numbered transfers.
    pub(super) fn record_holdings(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        holdings: Vec<Holding>,
    ) {
        if !self.revision_state.has_reported(from) {
            for holding in holdings {
                let entry = self.entry(cx, &holding.workspace);
                if let Some(lending) = &mut entry.lending {
                    lending.record_holding(cx.now, from, &holding);
                }
            }
            self.revision_state.reported_by.insert(from.clone());
            self.reconcile(cx);
        }
        let message = RatesMessage {
            revision: cx.ownership.revision(),
            body: RatesBody::HoldingsAcknowledged,
        };
        message.send(cx, from);
    }

    /// Returns the workspace's entry, and creates it if it is missing.
    pub(super) fn entry(&mut self, cx: &Cx<'_>, id: &WorkspaceId) -> &mut Workspace {
        if !self.workspaces.contains_key(id) {
            let mut entry = Workspace::new(id.clone(), cx.now);
            entry.reset_for_revision(cx);
            if self.revision_state.is_reconciled {
                claim_unheld_share(cx, &mut entry, self.revision_state.had_owner);
            }
            if self.policy == RatePolicy::EvenSplit {
                apply_even_share(cx, &mut entry, self.revision_state.had_owner);
            }
            self.workspaces.insert(id.clone(), entry);
        }
        self.workspaces
            .entry(id.clone())
            .or_insert_with(|| Workspace::new(id.clone(), cx.now))
    }

    // Claims the shares that no instance holds, once that is certain.
    //
    // Guards against a share held by two instances, which would exceed the rate after a takeover.
    // All incarnations in the map have reported their holdings and accept nothing from an earlier
    // owner any more. All incarnations that are no longer in the map have lost their leases, so
    // they spend nothing. The share that is then missing from the whole was lost in transit or
    // belonged to an incarnation that has ended.
    fn reconcile(&mut self, cx: &Cx<'_>) {
        if self.revision_state.is_reconciled || self.policy == RatePolicy::EvenSplit {
            return;
        }
        let is_complete =
            cx.ownership.is_member() && self.revision_state.has_all_reports(cx.ownership);
        if !is_complete || !departed_leases_have_expired(cx.ownership, cx.now) {
            return;
        }
        self.revision_state.is_reconciled = true;
        for entry in self.workspaces.values_mut() {
            claim_unheld_share(cx, entry, self.revision_state.had_owner);
        }
    }

    fn holdings_for(&mut self, cx: &Cx<'_>, owner: &InstanceId) -> Vec<Holding> {
        let held = self.workspaces.values_mut().filter(|entry| {
            entry.owner.as_ref() == Some(owner) && entry.bucket.share() != Share::NONE
        });
        held.map(|entry| Holding {
            workspace: entry.id.clone(),
            share: entry.bucket.share(),
            demand: entry.demand.rate(cx.now),
        })
        .collect()
    }

    // An instance that was removed from the map and is back holds nothing, because its share has
    // been lent to others. Revisions that are no longer in the history count as having removed it.
    fn was_member_throughout(&self, own: &Ownership) -> bool {
        let Some(Revision(last)) = self.revision_state.revision else {
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

    // Returns whether any instance may have spent before the map in force. To exclude that, this
    // incarnation must have followed the map from its first revision, or find the revisions that it
    // missed in the history, and none of them may have had an active member.
    fn may_have_had_owner(&self, own: &Ownership) -> bool {
        let Revision(last) = self.revision_state.revision.unwrap_or_default();
        let had_no_active_member = |revision| {
            let past = own
                .map
                .history
                .iter()
                .find(|past| past.revision == revision);
            past.is_some_and(|past| past.active.is_empty())
        };
        let is_verified =
            (last + 1..own.revision().0).all(|number| had_no_active_member(Revision(number)));
        self.revision_state.had_owner || self.revision_state.has_owner || !is_verified
    }

    fn clear_buckets(&mut self) {
        for entry in self.workspaces.values_mut() {
            entry.bucket.clear();
        }
    }

    fn split_evenly(&mut self, cx: &Cx<'_>) {
        for entry in self.workspaces.values_mut() {
            apply_even_share(cx, entry, self.revision_state.had_owner);
        }
    }
}

// Claims the unheld share of the workspace, without tokens, because its previous holder may have
// spent them. The bucket is full only under the first map that ever had an owner, because then no
// instance can have spent.
fn claim_unheld_share(cx: &Cx<'_>, entry: &mut Workspace, had_owner: bool) {
    let Some(lending) = &entry.lending else {
        return;
    };
    entry.is_reconciled = true;
    let accounted = entry.bucket.share() + lending.total_lent();
    let unheld = Share::WHOLE.saturating_sub(accounted);
    entry.bucket.add(
        cx.now,
        Portion {
            share: unheld,
            tokens: MicroTokens::default(),
        },
    );
    entry.is_unspent = unheld == Share::WHOLE && !had_owner;
    entry.fill_if_unspent(cx.now);
}

// Baseline policy: a constant, equal share for each active instance. It relies on all instances
// being at the same map, so it enforces the limits less strictly than lent shares do.
fn apply_even_share(cx: &Cx<'_>, entry: &mut Workspace, had_owner: bool) {
    let active = cx.ownership.map.active().count() as u128;
    let is_active = cx
        .ownership
        .map
        .active()
        .any(|id| *id == cx.ownership.local.id)
        && cx.ownership.is_member();
    let even_share = if is_active {
        Share::fraction(1, active)
    } else {
        Share::NONE
    };
    let held = entry.bucket.share();
    entry.bucket.split(
        cx.now,
        held.saturating_sub(even_share),
        MicroTokens::default(),
    );
    entry.bucket.add(
        cx.now,
        Portion {
            share: even_share.saturating_sub(held),
            tokens: MicroTokens::default(),
        },
    );
    entry.is_unspent = held == Share::NONE && !had_owner;
    entry.fill_if_unspent(cx.now);
}

// Returns whether every incarnation that the map no longer lists has lost its lease.
//
// `Ownership::acts` alone doesn't ensure that, because it covers only former owners. A borrower
// that was removed while the owner stayed may spend until its last lease ends.
fn departed_leases_have_expired(own: &Ownership, now: Time) -> bool {
    if own.past_retired_at.is_some_and(|at| now >= at) {
        return true;
    }
    let mut former_members = own.map.history.iter().flat_map(|past| &past.members);
    former_members.all(|former| {
        let listed = own.map.member(&former.id);
        listed.is_some_and(|member| member.incarnation == former.incarnation)
            || own.has_adopted(former)
    })
}

/// Whether this instance is leaving.
pub fn is_leaving(own: &Ownership) -> bool {
    own.map
        .member(&own.local.id)
        .is_some_and(|me| me.state == MemberState::Leaving)
}
