//! Lease for ordering loads on a shard of the engines; one instance holds it at a time.
//!
//! Conditional writes in the store arbitrate. A holder renews its lease object and acts only while
//! its last renewal, counted from when it was sent, is younger than [`LEASE_DURATION`]. Another
//! instance takes over only after the object has been unchanged for longer than that; its
//! conditional write makes the former holder's next renewal fail. Both sides use a clock that
//! includes time in suspension.

use std::time::Duration;

use bluebellstage_core::{InstanceId, Revision, Time};
use serde::{Deserialize, Serialize};

use super::rendezvous::ShortHash;

/// Number of shards: the maximum number of instances that order loads at the same time, and the
/// inverse of the fraction of engines that wait when one of them dies.
pub const SHARDS: u8 = 4;
/// How long a renewal is valid. A longer duration outlasts more store outages, during which nobody
/// could take over; a shorter one replaces a lost holder sooner.
pub const LEASE_DURATION: Duration = Duration::from_millis(5_500);
/// Interval between renewals; each one is a billed store call.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(1_700);
/// How much longer than [`LEASE_DURATION`] another instance waits before it takes over: covers
/// clocks that run at different rates and the time that an order is in transit.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(200);
/// Interval at which a lease held by another instance is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

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
}

/// Next action for a shard's lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Do nothing before this time.
    Sleep(Time),
    /// Read the lease object.
    Read,
    /// Write this record at this revision; `None` creates the object.
    Write(LeaseRecord, Option<Revision>),
}

/// Lease of one shard as seen by this instance.
#[derive(Debug)]
pub struct ShardLease {
    local_instance: InstanceId,
    handover: Duration,
    state: State,
    /// Settled incarnations that the next write publishes.
    settled: Vec<ShortHash>,
    /// Whether this instance held the object in its last known state.
    was_held_locally: bool,
    no_orders_before: Time,
    next_step_at: Time,
}

#[derive(Clone, Debug)]
enum State {
    /// The object has not been read.
    Unread,
    /// A record of any holder, unchanged since this time.
    Observed {
        record: Option<LeaseRecord>,
        revision: Option<Revision>,
        since: Time,
    },
    /// Held by this instance, and renewed by a call that was sent at this time.
    Held {
        record: LeaseRecord,
        revision: Revision,
        renewed_at: Time,
    },
}

impl ShardLease {
    /// Creates a lease whose object has not been read. `handover` is the minimum time between the
    /// orders of two holders.
    #[must_use]
    pub fn new(local_instance: InstanceId, handover: Duration) -> Self {
        Self {
            local_instance,
            handover,
            state: State::Unread,
            settled: Vec::new(),
            was_held_locally: false,
            no_orders_before: Time::default(),
            next_step_at: Time::default(),
        }
    }

    /// Returns the fencing token to send orders with, while this instance may send them.
    #[must_use]
    pub fn may_order(&self, now: Time) -> Option<u64> {
        match &self.state {
            State::Held {
                record, renewed_at, ..
            } if now.since(*renewed_at) < LEASE_DURATION && now >= self.no_orders_before => {
                Some(record.fencing)
            }
            _ => None,
        }
    }

    /// Returns whether the lease is held; orders may still have to wait for the handover.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        matches!(&self.state, State::Held { renewed_at, .. } if now.since(*renewed_at) < LEASE_DURATION)
    }

    /// Returns the settled incarnations as of the last write; empty unless the lease is held.
    #[must_use]
    pub fn settled(&self) -> &[ShortHash] {
        match &self.state {
            State::Held { record, .. } => &record.settled,
            State::Unread | State::Observed { .. } => &[],
        }
    }

    /// Sets the settled incarnations that the next write publishes.
    pub fn set_settled(&mut self, incarnations: Vec<ShortHash>) {
        self.settled = incarnations;
    }

    fn renewal_of(&self, record: &LeaseRecord) -> LeaseRecord {
        LeaseRecord {
            renewal: record.renewal + 1,
            settled: self.settled.clone(),
            ..record.clone()
        }
    }

    /// Returns the next action. `wanted` says whether this instance should hold the lease.
    #[must_use]
    pub fn step(&self, wanted: bool, now: Time) -> LeaseStep {
        if now < self.next_step_at {
            return LeaseStep::Sleep(self.next_step_at);
        }
        match &self.state {
            State::Held {
                record,
                revision,
                renewed_at,
            } => {
                let due = *renewed_at + RENEW_INTERVAL;
                if now < due {
                    return LeaseStep::Sleep(due);
                }
                LeaseStep::Write(self.renewal_of(record), Some(*revision))
            }
            State::Unread if !wanted && !self.was_held_locally => {
                LeaseStep::Sleep(now + POLL_INTERVAL)
            }
            State::Unread => LeaseStep::Read,
            State::Observed { record, .. }
                if !wanted && !self.names_local_instance(record.as_ref()) =>
            {
                LeaseStep::Sleep(now + POLL_INTERVAL)
            }
            State::Observed {
                record,
                revision,
                since,
            } => self.claim(record.as_ref(), *revision, *since, now),
        }
    }

    /// Returns whether the record names this instance, from an earlier incarnation or before a
    /// conflict. Engines treat both as the same holder, so it continues without a delay.
    fn names_local_instance(&self, record: Option<&LeaseRecord>) -> bool {
        record.is_some_and(|record| record.holder == self.local_instance)
    }

    /// Returns when this instance may claim a lease whose record is unchanged since `since`.
    ///
    /// A released lease is left alone for as long as a new holder could not send orders anyway, so
    /// that an instance that restarts in place continues without a delay. If it were claimed at
    /// once, the engines of a shard would load nothing during the handover at each planned restart
    /// of a holder.
    fn claimable_from(&self, record: Option<&LeaseRecord>, since: Time) -> Time {
        match record {
            None => since,
            Some(record) if record.holder == self.local_instance => since,
            Some(record) if record.released => since + self.handover,
            Some(_) => since + LEASE_DURATION + TAKEOVER_MARGIN,
        }
    }

    fn claim(
        &self,
        record: Option<&LeaseRecord>,
        revision: Option<Revision>,
        since: Time,
        now: Time,
    ) -> LeaseStep {
        if now < self.claimable_from(record, since) {
            return LeaseStep::Read;
        }
        let fencing = record.map_or(1, |record| record.fencing + 1);
        let claim = LeaseRecord {
            holder: self.local_instance.clone(),
            fencing,
            renewal: 1,
            released: false,
            settled: record.map_or_else(Vec::new, |record| record.settled.clone()),
        };
        LeaseStep::Write(claim, revision)
    }

    /// Records the object as read from the store; `None` if there is none.
    pub fn record_read(&mut self, found: Option<(LeaseRecord, Revision)>, now: Time) {
        self.was_held_locally = false;
        let (record, revision) = match found {
            Some((record, revision)) => (Some(record), Some(revision)),
            None => (None, None),
        };
        let unchanged = match &self.state {
            State::Observed {
                revision: previous,
                since,
                ..
            } if *previous == revision => Some(*since),
            _ => None,
        };
        let since = unchanged.unwrap_or(now);
        let claimable_from = self.claimable_from(record.as_ref(), since);
        self.next_step_at = claimable_from.max(now).min(now + POLL_INTERVAL);
        self.state = State::Observed {
            record,
            revision,
            since,
        };
    }

    /// Records that a write sent at `sent` took effect at `revision`.
    pub fn record_write(&mut self, record: LeaseRecord, revision: Revision, sent: Time, now: Time) {
        if let State::Observed {
            record: Some(previous),
            since,
            ..
        } = &self.state
            && previous.holder != self.local_instance
        {
            // A holder that released its lease may have sent orders until then; an unresponsive one
            // has sent none since its last renewal, observed or not, expired.
            let last_order = if previous.released {
                *since
            } else {
                *since + LEASE_DURATION
            };
            self.no_orders_before = last_order + self.handover;
        }
        self.was_held_locally = true;
        self.state = State::Held {
            record,
            revision,
            renewed_at: sent,
        };
        self.next_step_at = now;
    }

    /// Records that a write conflicted with another one, or that its result is unknown.
    pub fn record_write_failure(&mut self, conflict: bool, now: Time) {
        let is_still_held = self.is_held(now) && !conflict;
        if !is_still_held {
            self.state = State::Unread;
        }
        self.next_step_at = now + Duration::from_millis(if conflict { 100 } else { 300 });
    }

    /// Returns the record that releases the lease, if it is held.
    #[must_use]
    pub fn release_record(&self, now: Time) -> Option<(LeaseRecord, Revision)> {
        let State::Held {
            record, revision, ..
        } = &self.state
        else {
            return None;
        };
        let released = LeaseRecord {
            released: true,
            ..self.renewal_of(record)
        };
        self.is_held(now).then_some((released, *revision))
    }

    /// Clears the lease after, or right before, its release: no more orders are sent.
    pub fn clear(&mut self) {
        self.was_held_locally = false;
        self.state = State::Unread;
    }
}
