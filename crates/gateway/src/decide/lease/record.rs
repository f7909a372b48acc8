//! The lease object of a shard.

use bluebellstage_core::{InstanceId, Time};
use serde::{Deserialize, Serialize};

use crate::decide::rendezvous::ShortHash;

/// Remaining time before the holder of a lease may order: targets must not get orders of two holders in quick succession.
/// Stored because the next process of the instance has to wait for it, too; a duration because the clocks of processes
/// can't be compared.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Handover {
    /// The record is of a release that stores no handover: it may just have begun.
    #[default]
    Unknown,
    /// It ends so many milliseconds after the record was written.
    EndsInMs(u32),
    /// The holder may order, and so may a next process of the same instance.
    Ended,
}

impl Handover {
    /// Returns the handover that ends at `end`, as of `now`.
    pub(super) fn ending_at(end: Time, now: Time) -> Self {
        if now >= end {
            return Self::Ended;
        }
        let left = end.since(now).as_millis() + 1;
        u32::try_from(left).map_or(Self::Unknown, Self::EndsInMs)
    }
}

/// Content of the lease object.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LeaseRecord {
    /// Holder of the lease; engines identify the holder by this name.
    pub holder: InstanceId,
    /// Fencing token: increases with each new holder, so that targets and peers can tell a later
    /// holder.
    pub fencing: u64,
    /// Increases with each renewal, so that each renewal changes the object.
    pub renewal: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
    /// Incarnations of the shard's engines that started so long ago that no order to a previous
    /// incarnation can arrive any more. An instance that takes over or restarts has not seen them
    /// start, and would otherwise reserve slots on each engine for such orders.
    #[serde(default)]
    pub settled: Vec<ShortHash>,
    /// The handover from the previous holder.
    #[serde(default)]
    pub handover: Handover,
}

/// What was read of the lease object.
#[derive(Clone, Debug)]
pub(super) enum Found {
    /// There is none.
    Absent,
    /// It can't be decoded: its holder and fencing token are not known.
    Unreadable,
    /// A record of any holder.
    Record(LeaseRecord),
}

impl Found {
    pub(super) const fn record(&self) -> Option<&LeaseRecord> {
        match self {
            Self::Record(record) => Some(record),
            Self::Absent | Self::Unreadable => None,
        }
    }
}
