//! Who gives way while the targets of a service are short of room.

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::Time;

use crate::decide::call::Call;
use crate::decide::placement::Pick;
use crate::decide::rendezvous::ShortHash;
use crate::decide::tables::{Tables, Ticket};
use crate::decide::wait_queue::Standing;

use super::change::ShareChange;
use super::room::Room;
use super::share::ShareUse;
use super::spending::WorkspaceSpending;

/// Time until an engine begins a request, as a fraction of the route's target latency, from which the room there is
/// left to workspaces within their shares. They get theirs in time although others came first.
const SCARCE_WAIT_FRACTION: f64 = 0.25;
/// Fewest workspaces with quotas among which something is shared.
const MIN_SHARING_WORKSPACES: usize = 2;

impl Tables {
    /// Computes the shares of all workspaces again from their recent spending. Called in each round of gossip. Returns what changed.
    pub fn review_shares(&mut self, now: Time) -> Vec<ShareChange> {
        let spending = self.workspace_spending();
        if spending.len() < MIN_SHARING_WORKSPACES {
            self.fair_shares.record_waiting(&BTreeMap::new(), now);
            return self.fair_shares.review(&[], now);
        }
        let mut waiting = self.peers.waiting(now);
        waiting.add_all(&self.wait_queue.local_counts(now));
        let services = self.routes.config().services.iter();
        let engines = services.filter(|service| {
            service.engine.is_some() && self.routes.later_ranks_can_wait(&service.name)
        });
        let waiting = engines.map(|service| {
            let count = waiting.of(ShortHash::of(service.name.as_str()));
            (service.name.clone(), count)
        });
        self.fair_shares.record_waiting(&waiting.collect(), now);
        self.fair_shares.review(&spending, now)
    }

    fn workspace_spending(&self) -> Vec<WorkspaceSpending> {
        let workspaces = self.routes.config().workspaces.iter();
        let spending = workspaces.filter_map(|workspace| {
            Some(WorkspaceSpending {
                workspace: workspace.name.clone(),
                quota: workspace.quota?,
                units: self.quotas.spent_by_all(&workspace.name)?,
            })
        });
        spending.collect()
    }

    /// Returns whether the request's workspace is within its share of the service.
    #[must_use]
    pub fn standing(&self, ticket: &Ticket, now: Time) -> Standing {
        let used = ticket
            .workspace
            .as_ref()
            .map(|workspace| self.fair_shares.use_of(workspace, &ticket.service, now));
        match used {
            None | Some(ShareUse::Within) => Standing::Within,
            Some(ShareUse::Beyond | ShareUse::FarBeyond { .. }) => Standing::Beyond,
        }
    }

    /// Decides whether a request that has not run gives way to those of other workspaces. Returns the time after
    /// which its workspace's share is back if it does. One that continues a stream never does: what its caller has
    /// already would be lost.
    pub fn gives_way(
        &mut self,
        ticket: &Ticket,
        call: &Call,
        pick: &Pick,
        now: Time,
    ) -> Option<Duration> {
        if call.resume_after.is_some() || ticket.software.is_some() {
            return None;
        }
        let workspace = ticket.workspace.as_ref()?;
        let room = self.room_for(ticket, call, pick, now);
        self.fair_shares
            .gives_way(workspace, &ticket.service, room, now)
    }

    fn room_for(&self, ticket: &Ticket, call: &Call, pick: &Pick, now: Time) -> Room {
        let target = match pick {
            Pick::Send { target, .. } => target,
            Pick::Late { .. } => return Room::Late,
            Pick::Load(_) => return Room::NoSlot,
            Pick::Full | Pick::Cold { .. } | Pick::Resting { .. } | Pick::NoTarget => {
                return Room::Free;
            }
        };
        if call.wanted.is_none() || self.limits.get(target).is_some() {
            // The request is charged to the target's limit already.
            return Room::Free;
        }
        let others = self.peers.load(ShortHash::of(target.as_str()));
        let mut prompts = self.queues.local_tokens(target);
        prompts.add(others.prompts);
        let wait = self.reading_time(target, prompts.ahead_of(ticket.rank_class()), now);
        if wait > ticket.route().target_latency.mul_f64(SCARCE_WAIT_FRACTION) {
            Room::Scarce
        } else {
            Room::Free
        }
    }
}
