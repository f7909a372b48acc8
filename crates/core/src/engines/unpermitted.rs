//! Loads while the weight store's home can't be heard.

use std::time::Duration;

use crate::{OwnershipKey, Time};

use super::PermitRef;
use super::home::GroupHome;
use super::io::Io;

/// How long the weight store's home must be silent; a takeover is over by then if there can be one.
const SILENT_FOR: Duration = Duration::from_secs(3);

/// Numbers of load permits that a group gives itself start here, far from those of a home.
const FIRST_NUMBER: u64 = 1 << 63;

/// When a group may load without a permit.
#[derive(Debug, Default)]
pub(super) struct Unpermitted {
    silent_since: Option<Time>,
    next: Time,
    given: u64,
}

impl GroupHome {
    /// Loads at the group's part of the store's rate when nobody can give it a permit.
    ///
    /// Guards against a weight store's home that dies while the platform is away: nobody can take
    /// over, and without this nothing would be loaded until the platform is back. The parts of all
    /// groups sum to the store's rate. A home that lives and is only cut off from this instance
    /// goes on permitting, so a cut may double the rate; the store then refuses, and the load is
    /// tried again later.
    pub(super) fn load_without_permit(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        let home = io.cx.own.owner(&OwnershipKey::WeightStore);
        let is_silent = home.is_some_and(|home| io.cx.own.unresponsive.contains(home));
        let state = &mut self.loading.unpermitted;
        if !is_silent {
            state.silent_since = None;
            return;
        }
        let since = *state.silent_since.get_or_insert(now);
        if now < since + SILENT_FOR || now < state.next {
            return;
        }
        let permit = PermitRef {
            revision: io.cx.own.revision(),
            number: FIRST_NUMBER + state.given,
        };
        state.given += 1;
        state.next = now + interval(io);
        let use_before = state.next;
        self.use_load_permit(io, permit, use_before);
    }
}

/// Time between two loads of one group, so that all groups together keep the store's rate.
fn interval(io: &Io<'_, '_>) -> Duration {
    let groups = u32::try_from(io.groups).unwrap_or(u32::MAX).max(1);
    Duration::from_secs(1) * groups / io.cfg.store_loads_per_second.max(1)
}
