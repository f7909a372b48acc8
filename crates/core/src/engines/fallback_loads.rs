//! Loads while the weight store's owner is unresponsive.

use std::time::Duration;

use crate::{OwnershipKey, Time};

use super::PermitId;
use super::io::Io;
use super::owner::GroupOwner;

/// How long the weight store's owner must be unresponsive. A takeover is finished by then if one is
/// possible.
const UNRESPONSIVE_THRESHOLD: Duration = Duration::from_secs(3);

/// First number of the load permits that a group issues to itself; far above those of an owner.
const FIRST_FALLBACK_PERMIT_NUMBER: u64 = 1 << 63;

/// The state of a group's loads without a permit from the store's owner.
#[derive(Debug, Default)]
pub(super) struct FallbackLoads {
    unresponsive_since: Option<Time>,
    next_load_at: Time,
    permits_issued: u64,
}

impl GroupOwner {
    /// Loads at the group's share of the store's rate when no owner can grant a load permit.
    ///
    /// Guards against a weight store's owner that dies while the platform is unavailable: no
    /// instance can take over, so nothing would be loaded until the platform is back. The shares of
    /// all groups add up to the store's rate. An owner that is only partitioned from this instance
    /// goes on granting permits, so a partition may double the rate; the store then refuses loads,
    /// which are retried later.
    pub(super) fn load_without_permit(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        let owner = io.cx.ownership.owner(&OwnershipKey::WeightStore);
        let is_unresponsive =
            owner.is_some_and(|owner| io.cx.ownership.unresponsive.contains(owner));
        let state = &mut self.loading.fallback;
        if !is_unresponsive {
            state.unresponsive_since = None;
            return;
        }
        let since = *state.unresponsive_since.get_or_insert(now);
        if now < since + UNRESPONSIVE_THRESHOLD || now < state.next_load_at {
            return;
        }
        let permit = PermitId {
            revision: io.cx.ownership.revision(),
            number: FIRST_FALLBACK_PERMIT_NUMBER + state.permits_issued,
        };
        state.permits_issued += 1;
        state.next_load_at = now + interval(io);
        let use_before = state.next_load_at;
        self.use_load_permit(io, permit, use_before);
    }
}

/// Returns the time between two loads of one group at which all groups together keep the store's
/// rate.
fn interval(io: &Io<'_, '_>) -> Duration {
    let groups = u32::try_from(io.group_count).unwrap_or(u32::MAX).max(1);
    Duration::from_secs(1) * groups / io.cfg.store_loads_per_second.max(1)
}
