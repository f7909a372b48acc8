//! One replica of a plain service.

use std::net::SocketAddr;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Map, MemberRef, TargetId, Time};

/// A replica and the number of calls that this instance runs on it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Replica {
    pub(super) id: TargetId,
    pub(super) address: SocketAddr,
    pub(super) concurrency: u32,
    pub(super) leaving: bool,
    pub(super) in_flight: u32,
    pub(super) avoid_until: Time,
    /// The replica asked for rest until then.
    pub(super) rest_until: Time,
}

impl Replica {
    /// Returns the maximum number of concurrent calls from this instance to the replica.
    ///
    /// The shares of all active instances sum to the replica's concurrency. Which instances get one
    /// call more than others differs from replica to replica.
    pub(super) fn concurrency_share(&self, map: &Map, local: &MemberRef) -> u32 {
        let active: Vec<_> = map.active().collect();
        let Some(position) = active.iter().position(|id| **id == local.id) else {
            return 0;
        };
        let count = u32::try_from(active.len()).unwrap_or(u32::MAX);
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        let offset =
            u32::try_from(xxh3_64(self.id.as_str().as_bytes()) % u64::from(count)).unwrap_or(0);
        let rank = (position + offset) % count;
        self.concurrency / count + u32::from(rank < self.concurrency % count)
    }

    /// Returns whether the replica accepts new calls.
    pub(super) fn is_open(&self, now: Time) -> bool {
        !self.leaving && now >= self.avoid_until && now >= self.rest_until
    }

    /// Returns when the replica's rest is over; `None` if it is leaving.
    pub(super) fn opens_at(&self) -> Option<Time> {
        (!self.leaving).then_some(self.rest_until)
    }
}
