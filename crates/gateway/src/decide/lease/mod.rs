//! Lease for ordering loads on a shard of the engines; one instance holds it at a time.
//!
//! Conditional writes in the store arbitrate. A holder renews its lease object and acts only while
//! its last renewal, counted from when it was sent, is younger than [`LEASE_DURATION`]. Another
//! instance takes over only after the object has been unchanged for longer than that; its
//! conditional write makes the former holder's next renewal fail. Both sides use a clock that
//! includes time in suspension.

mod record;

use std::time::Duration;

use bluebellstage_core::{InstanceId, Revision, Time};

use super::rendezvous::ShortHash;
use super::store::position::{Era, StorePosition};
use record::Found;

pub use record::{Handover, LeaseRecord};

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

/// Number of fencing tokens of one era of the store. The store may forget holders when it is restored, so the
/// tokens of an era are higher than all earlier ones.
const TOKENS_PER_ERA: u64 = 1 << 24;
/// No lease is claimed more often in an era of the store, by a wide margin.
const MAX_CLAIMS_PER_ERA: u64 = TOKENS_PER_ERA / 2;

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
    /// Fencing token of the lease that this process held last.
    held_token: Option<u64>,
    /// Highest fencing token that this process has seen.
    highest_token: u64,
    /// End of the handover under that token.
    no_orders_before: Time,
    next_step_at: Time,
    /// The store's era as of the last step; `None` before the first one.
    era: Option<Era>,
    restoration: Option<Restoration>,
}

/// The last time at which the store was restored from a copy.
#[derive(Clone, Copy, Debug)]
struct Restoration {
    noticed_at: Time,
    /// Whether this instance held the lease then.
    held_lease: bool,
}

#[derive(Clone, Debug)]
enum State {
    /// The object has not been read.
    Unread,
    /// What any holder has written, unchanged since this time.
    Observed {
        found: Found,
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
            held_token: None,
            highest_token: 0,
            no_orders_before: Time::default(),
            next_step_at: Time::default(),
            era: None,
            restoration: None,
        }
    }

    /// Sets the store's era. After a restoration the lease counts as lost, since the store may have forgotten it:
    /// this instance orders nothing until it has written it again, with a higher fencing token.
    pub fn set_era(&mut self, era: Era, now: Time) {
        let known = self.era.replace(era.max(self.era.unwrap_or(era)));
        if known.is_none_or(|known| era <= known) {
            return;
        }
        let held_lease = self.is_held(now);
        self.restoration = Some(Restoration {
            noticed_at: now,
            held_lease,
        });
        self.was_held_locally |= held_lease;
        self.state = State::Unread;
        self.next_step_at = now;
    }

    /// Returns the store's era as of the last step.
    #[must_use]
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Returns the lowest fencing token of the store's era.
    fn first_token(&self) -> u64 {
        u64::from(self.era().0) * TOKENS_PER_ERA + 1
    }

    /// Returns a token that is higher than all that were claimed in the store's era: each claim was a change of the store.
    fn token_after_unreadable(&self, revision: Option<Revision>) -> u64 {
        let changes = revision.map_or(0, |revision| StorePosition::from(revision).counter);
        let by_changes = self.first_token() + changes.min(MAX_CLAIMS_PER_ERA);
        by_changes.max(self.highest_token + 1)
    }

    /// Whether the store was restored after the record was written, or lost. Holders of that time may be unknown.
    fn is_from_before_restoration(&self, found: &Found) -> bool {
        match found {
            Found::Record(record) => record.fencing < self.first_token(),
            Found::Absent => self.restoration.is_some(),
            Found::Unreadable => false,
        }
    }

    /// Whether this instance held the lease when the store was restored, and so is the only one that may have ordered.
    fn continues_from_before(&self, found: &Found) -> bool {
        let held_lease = self
            .restoration
            .is_some_and(|restoration| restoration.held_lease);
        held_lease && self.is_from_before_restoration(found)
    }

    /// Returns a time after which a holder that the restored store does not know can't have renewed its lease: when the
    /// restoration was noticed, or when the record was read if that was before this process started.
    fn last_unknown_renewal(&self, since: Time) -> Time {
        self.restoration
            .map_or(since, |restoration| restoration.noticed_at)
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

    fn renewal_of(&self, record: &LeaseRecord, now: Time) -> LeaseRecord {
        LeaseRecord {
            renewal: record.renewal + 1,
            settled: self.settled.clone(),
            handover: Handover::ending_at(self.no_orders_before, now),
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
                let due = self.renewal_due(record, *renewed_at);
                if now < due {
                    return LeaseStep::Sleep(due);
                }
                LeaseStep::Write(self.renewal_of(record, now), Some(*revision))
            }
            State::Unread if !wanted && !self.was_held_locally => {
                LeaseStep::Sleep(now + POLL_INTERVAL)
            }
            State::Unread => LeaseStep::Read,
            State::Observed { found, .. }
                if !wanted && !self.names_local_instance(found.record()) =>
            {
                LeaseStep::Sleep(now + POLL_INTERVAL)
            }
            State::Observed {
                found,
                revision,
                since,
            } => self.claim(found, *revision, *since, now),
        }
    }

    /// Returns when the next renewal is due. The end of a handover is stored at once, so that a next process need not
    /// wait for another one.
    fn renewal_due(&self, record: &LeaseRecord, renewed_at: Time) -> Time {
        let due = renewed_at + RENEW_INTERVAL;
        match record.handover {
            Handover::Unknown | Handover::EndsInMs(_) => due.min(self.no_orders_before),
            Handover::Ended => due,
        }
    }

    /// Returns whether the record names this instance, from an earlier incarnation or before a
    /// conflict. Engines treat both as the same holder, so it claims the lease without a delay.
    fn names_local_instance(&self, record: Option<&LeaseRecord>) -> bool {
        record.is_some_and(|record| record.holder == self.local_instance)
    }

    /// Returns when this instance may claim a lease whose record is unchanged since `since`.
    ///
    /// A released lease is left alone for as long as a new holder could not send orders anyway, so
    /// that an instance that restarts in place continues without a delay. If it were claimed at
    /// once, the engines of a shard would load nothing during the handover at each planned restart
    /// of a holder.
    ///
    /// A record from before a restoration of the store may name a former holder, or be missing. The holder of
    /// that time claims the lease at once; others wait until its orders are over.
    ///
    /// An object that can't be read may hide a renewal of any holder.
    fn claimable_from(&self, found: &Found, since: Time) -> Time {
        if self.continues_from_before(found) {
            return since;
        }
        if self.is_from_before_restoration(found) {
            return self.last_unknown_renewal(since) + LEASE_DURATION + TAKEOVER_MARGIN;
        }
        match found {
            Found::Absent => since,
            Found::Record(record) if record.holder == self.local_instance => since,
            Found::Record(record) if record.released => since + self.handover,
            Found::Record(_) | Found::Unreadable => since + LEASE_DURATION + TAKEOVER_MARGIN,
        }
    }

    /// Returns from when this instance may order if it claims the lease whose record is unchanged since `since`.
    ///
    /// A holder that released its lease may have sent orders until then; an unresponsive one has sent none since its
    /// last renewal, observed or not, expired. If an earlier process of this instance has claimed the lease and its
    /// handover has not ended, the holder before had sent its last order when the record was written.
    fn orders_from(&self, found: &Found, since: Time) -> Time {
        if self.continues_from_before(found) {
            return self.no_orders_before;
        }
        if self.is_from_before_restoration(found) {
            return self.last_unknown_renewal(since) + LEASE_DURATION + self.handover;
        }
        let record = match found {
            Found::Absent => return since,
            Found::Unreadable => return since + LEASE_DURATION + self.handover,
            Found::Record(record) => record,
        };
        if record.holder == self.local_instance {
            return match record.handover {
                Handover::Ended => since,
                _ if self.held_token == Some(record.fencing) => self.no_orders_before,
                Handover::EndsInMs(left) => since + Duration::from_millis(left.into()),
                Handover::Unknown => since + self.handover,
            };
        }
        let last_order = if record.released {
            since
        } else {
            since + LEASE_DURATION
        };
        last_order + self.handover
    }

    fn claim(
        &self,
        found: &Found,
        revision: Option<Revision>,
        since: Time,
        now: Time,
    ) -> LeaseStep {
        if now < self.claimable_from(found, since) {
            return LeaseStep::Read;
        }
        let record = found.record();
        let next_token = match found {
            Found::Absent => 1,
            Found::Unreadable => self.token_after_unreadable(revision),
            Found::Record(record) => record.fencing + 1,
        };
        let fencing = next_token.max(self.first_token());
        let claim = LeaseRecord {
            holder: self.local_instance.clone(),
            fencing,
            renewal: 1,
            released: false,
            settled: record.map_or_else(Vec::new, |record| record.settled.clone()),
            handover: Handover::ending_at(self.orders_from(found, since), now),
        };
        LeaseStep::Write(claim, revision)
    }

    /// Records the object as read from the store; `None` if there is none.
    pub fn record_read(&mut self, found: Option<(LeaseRecord, Revision)>, now: Time) {
        match found {
            Some((record, revision)) => {
                self.highest_token = self.highest_token.max(record.fencing);
                self.observe(Found::Record(record), Some(revision), now);
            }
            None => self.observe(Found::Absent, None, now),
        }
    }

    /// Records that the object was read and can't be decoded.
    pub fn record_unreadable(&mut self, revision: Revision, now: Time) {
        self.observe(Found::Unreadable, Some(revision), now);
    }

    fn observe(&mut self, found: Found, revision: Option<Revision>, now: Time) {
        self.was_held_locally = false;
        let unchanged = match &self.state {
            State::Observed {
                revision: previous,
                since,
                ..
            } if *previous == revision => Some(*since),
            _ => None,
        };
        let since = unchanged.unwrap_or(now);
        let claimable_from = self.claimable_from(&found, since);
        self.next_step_at = claimable_from.max(now).min(now + POLL_INTERVAL);
        self.state = State::Observed {
            found,
            revision,
            since,
        };
    }

    /// Records that a write sent at `sent` took effect at `revision`.
    pub fn record_write(&mut self, record: LeaseRecord, revision: Revision, sent: Time, now: Time) {
        match &self.state {
            State::Observed {
                found: previous,
                since,
                ..
            } => self.no_orders_before = self.orders_from(previous, *since),
            State::Unread if record.handover != Handover::Ended => {
                self.no_orders_before = now + self.handover;
            }
            State::Unread | State::Held { .. } => {}
        }
        self.held_token = Some(record.fencing);
        self.highest_token = self.highest_token.max(record.fencing);
        self.was_held_locally = true;
        self.restoration = None;
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
            ..self.renewal_of(record, now)
        };
        self.is_held(now).then_some((released, *revision))
    }

    /// Clears the lease after, or right before, its release: no more orders are sent.
    pub fn clear(&mut self) {
        self.was_held_locally = false;
        self.state = State::Unread;
    }
}
