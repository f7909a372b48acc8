//! Shares of the workspaces in a service whose targets are short of room.
//!
//! While requests wait for places, what the targets can do is shared among the workspaces that ask for it: max-min
//! fair by the rates of their quotas. A workspace beyond its share comes after the others and gives way where room
//! does not suffice; what some leave unused goes to the others at once. Without a shortage nobody is held back.
//!
//! Every instance decides for itself, by the spending that all instances report for the quotas. Spending is known by
//! workspace over all services, in the unit of the quotas, so it measures the time of engines and not that of plain
//! targets: only services with engines are shared.

mod change;
mod giving_way;
mod level;
mod recent_spending;
mod room;
mod share;
mod shortage;
mod spending;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bluebellstage_core::{ServiceId, Time, WorkspaceId};

pub use self::change::ShareChange;
pub use self::level::{Claim, max_min_level};
pub use self::recent_spending::RecentSpending;
pub use self::room::Room;
pub use self::share::{Share, ShareUse};
pub use self::shortage::Shortage;
pub use self::spending::WorkspaceSpending;
use super::dump::ShareDump;

/// Age from which shares are not used: the instance was suspended, or its reviews are late.
const SHARES_TTL: Duration = Duration::from_secs(1);
/// What a workspace may ask for, in multiples of what it spends: one that is short of room spends less than it asks
/// for.
const GROWTH_FACTOR: f64 = 1.5;
/// Part of the largest excess from which a workspace gives way. The largest one goes first: it frees most room, while
/// what a small workspace spends varies by chance.
const LARGEST_EXCESS_FRACTION: f64 = 0.5;

/// Shares of all workspaces.
#[derive(Debug, Default)]
pub struct FairShares {
    spending: BTreeMap<WorkspaceId, RecentSpending>,
    shares: BTreeMap<WorkspaceId, Share>,
    reviewed_at: Time,
    shortages: BTreeMap<ServiceId, Shortage>,
    /// Services whose shortage was reported as a change, and the workspaces beyond their share in each.
    reported: BTreeMap<ServiceId, BTreeSet<WorkspaceId>>,
}

impl FairShares {
    /// Records that a request was refused because the targets of a service are short of room.
    pub fn record_refusal(&mut self, service: &ServiceId, now: Time) {
        let shortage = self.shortages.entry(service.clone()).or_default();
        shortage.record_refusal(now);
    }

    fn record_late(&mut self, service: &ServiceId, now: Time) {
        let shortage = self.shortages.entry(service.clone()).or_default();
        shortage.record_late(now);
    }

    fn record_scarce(&mut self, service: &ServiceId, now: Time) {
        if let Some(shortage) = self.shortages.get_mut(service) {
            shortage.record_scarce(now);
        }
    }

    /// Records the numbers of requests that wait for a place at the targets of each service. Services that are not
    /// named are forgotten.
    pub fn record_waiting(&mut self, waiting: &BTreeMap<ServiceId, u32>, now: Time) {
        self.shortages
            .retain(|service, _| waiting.contains_key(service));
        for (service, count) in waiting {
            let shortage = self.shortages.entry(service.clone()).or_default();
            shortage.record_waiting(*count, now);
        }
    }

    /// Computes the shares of all workspaces again from their recent spending. Called in each round of gossip with the spending of all workspaces that
    /// have a quota; others are forgotten. Returns what changed under a shortage since the last review.
    pub fn review(&mut self, spending: &[WorkspaceSpending], now: Time) -> Vec<ShareChange> {
        let known = spending.iter().map(|spent| &spent.workspace);
        let known = known.collect::<BTreeSet<_>>();
        self.spending.retain(|name, _| known.contains(name));
        self.shares.retain(|name, _| known.contains(name));
        for spent in spending {
            let recent = self.spending.entry(spent.workspace.clone());
            let recent = recent.or_insert_with(|| RecentSpending::new(spent.units, now));
            recent.record(spent.units, spent.quota, now);
        }
        let (by_tokens, by_requests) = spending
            .iter()
            .partition::<Vec<_>, _>(|spent| spent.counts_tokens());
        self.divide(&by_tokens, now);
        self.divide(&by_requests, now);
        self.reviewed_at = now;
        self.take_changes(now)
    }

    /// Divides what the workspaces spend among them; their quotas count in the same unit.
    fn divide(&mut self, among: &[&WorkspaceSpending], now: Time) {
        let rates = among
            .iter()
            .map(|spent| self.spending[&spent.workspace].rate(now));
        let rates = rates.collect::<Vec<_>>();
        let claims = among.iter().zip(&rates).map(|(spent, rate)| Claim {
            weight: spent.weight(),
            demand: rate * GROWTH_FACTOR,
        });
        let claims = claims.collect::<Vec<_>>();
        let level = max_min_level(&claims, rates.iter().sum());
        for (spent, rate) in among.iter().zip(rates) {
            let share = self.shares.entry(spent.workspace.clone()).or_default();
            share.set(level * spent.weight(), rate);
        }
        let excesses = among.iter();
        let excesses = excesses.map(|spent| self.shares[&spent.workspace].excess());
        let far = excesses.fold(0.0, f64::max) * LARGEST_EXCESS_FRACTION;
        for spent in among {
            if let Some(share) = self.shares.get_mut(&spent.workspace) {
                share.set_far_excess(far);
            }
        }
    }

    /// Returns how a workspace uses its share in a service.
    #[must_use]
    pub fn use_of(&self, workspace: &WorkspaceId, service: &ServiceId, now: Time) -> ShareUse {
        let is_short = self.is_short(service, now);
        if !is_short || now.since(self.reviewed_at) > SHARES_TTL {
            return ShareUse::Within;
        }
        let Some(share) = self.shares.get(workspace) else {
            return ShareUse::Within;
        };
        share.in_use()
    }

    /// Decides whether a request of a workspace gives way, by the room that it finds. Returns the time after which the
    /// workspace's share is back if it does.
    pub fn gives_way(
        &mut self,
        workspace: &WorkspaceId,
        service: &ServiceId,
        room: Room,
        now: Time,
    ) -> Option<Duration> {
        match room {
            Room::Free => return None,
            Room::Scarce => self.record_scarce(service, now),
            Room::Late => self.record_late(service, now),
            Room::NoSlot => {}
        }
        match self.use_of(workspace, service, now) {
            ShareUse::Within | ShareUse::Beyond => None,
            ShareUse::FarBeyond { back_in } => Some(back_in),
        }
    }

    /// Whether the targets of a service are short of room.
    #[must_use]
    pub fn is_short(&self, service: &ServiceId, now: Time) -> bool {
        let shortage = self.shortages.get(service);
        shortage.is_some_and(|shortage| shortage.is_in_force(now))
    }

    /// Returns the number of workspaces that were beyond their share in a service at the last review.
    #[must_use]
    pub fn beyond_count(&self) -> usize {
        let all = self.reported.values().flatten();
        all.collect::<BTreeSet<_>>().len()
    }

    /// Returns the services whose targets are short of room, by name.
    #[must_use]
    pub fn short_services(&self, now: Time) -> Vec<ServiceId> {
        let short = self.shortages.iter();
        let short = short.filter(|(_, shortage)| shortage.is_in_force(now));
        short.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the shares of all workspaces for operators, by name.
    #[must_use]
    pub fn dump(&self) -> Vec<ShareDump> {
        let shares = self.shares.iter().map(|(name, share)| ShareDump {
            workspace: name.clone(),
            share: share.units(),
            spending: share.spent_units(),
            beyond: share.is_beyond(),
        });
        shares.collect()
    }

    fn take_changes(&mut self, now: Time) -> Vec<ShareChange> {
        let before = std::mem::take(&mut self.reported);
        let beyond = self.shares.iter();
        let beyond = beyond.filter(|(_, share)| share.is_beyond());
        let beyond = beyond.map(|(name, _)| name.clone());
        let beyond = beyond.collect::<BTreeSet<_>>();
        let mut changes = Vec::new();
        for (service, shortage) in &self.shortages {
            let known = before.get(service);
            let is_short = shortage.is_in_force(now);
            if is_short != known.is_some() {
                changes.push(ShareChange::shortage(service, shortage, is_short));
            }
            if !is_short {
                continue;
            }
            let none = BTreeSet::new();
            let moved = known.unwrap_or(&none).symmetric_difference(&beyond);
            changes.extend(moved.map(|name| {
                let share = self.shares.get(name).copied().unwrap_or_default();
                ShareChange::workspace(service, name, share, shortage)
            }));
            self.reported.insert(service.clone(), beyond.clone());
        }
        changes
    }
}
