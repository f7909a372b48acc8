//! The right to order loads on a shard of the engines: one instance at a time.
//!
//! The store's conditional writes arbitrate. A holder renews its lease object and acts only while
//! the last renewal, counted from when it was sent, is younger than [`LEASE`]. Another instance
//! takes over only after the object stood unchanged for longer than that; its conditional write
//! makes the former holder's next renewal fail. Both sides measure with a clock that goes on in
//! suspension.

use std::time::Duration;

use bluebellstage_core::{InstanceId, Revision, Time};
use serde::{Deserialize, Serialize};

use super::rendezvous::ShortHash;

/// Number of shards: as many instances at most order loads at once, and so much of the fleet waits
/// when one of them dies.
pub const SHARDS: u8 = 4;
/// How long a renewal holds. Longer outlasts more outages of the store, in which nobody could take
/// over; shorter lets a lost holder be replaced sooner.
pub const LEASE: Duration = Duration::from_millis(5_500);
/// Pause between renewals; each is a call that is paid for.
pub const RENEW_EVERY: Duration = Duration::from_millis(1_700);
/// How much longer than [`LEASE`] a taker watches: covers clocks that run apart and the time that
/// an order is on its way.
const TAKE_MARGIN: Duration = Duration::from_millis(200);
/// Pause between looks at a lease that somebody else holds.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// The lease object's content.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LeaseRecord {
    /// Who holds it; engines know the holder by this name.
    pub holder: InstanceId,
    /// Grows with each new holder, so that targets and peers can tell a later one.
    pub fencing: u64,
    /// Grows with each renewal, so that each one changes the object.
    pub renewal: u64,
    /// The holder gave it up.
    pub released: bool,
    /// Lives of the shard's engines that began so long ago that no order to a former life can come
    /// any more. Whoever takes over, or restarts, has not seen them begin and would keep places free
    /// on each engine for them.
    #[serde(default)]
    pub settled: Vec<ShortHash>,
}

/// What to do next about one shard's lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Nothing before this time.
    Sleep(Time),
    /// Read the lease object.
    Read,
    /// Write this record, at this revision; none: create it.
    Write(LeaseRecord, Option<Revision>),
}

/// One shard's lease as seen by this instance.
#[derive(Debug)]
pub struct ShardLease {
    me: InstanceId,
    handover: Duration,
    state: State,
    /// Settled lives that the next write tells.
    settled: Vec<ShortHash>,
    /// The last that is known of the object is that this instance held it.
    was_mine: bool,
    quiet_until: Time,
    next: Time,
}

#[derive(Clone, Debug)]
enum State {
    /// The object is unknown.
    Unread,
    /// Somebody's record, unchanged since the time.
    Seen {
        record: Option<LeaseRecord>,
        revision: Option<Revision>,
        since: Time,
    },
    /// Ours, renewed by a call that was sent at the time.
    Held {
        record: LeaseRecord,
        revision: Revision,
        renewed: Time,
    },
}

impl ShardLease {
    /// A lease that is unknown yet. Two holders leave `handover` between their orders.
    #[must_use]
    pub fn new(me: InstanceId, handover: Duration) -> Self {
        Self {
            me,
            handover,
            state: State::Unread,
            settled: Vec::new(),
            was_mine: false,
            quiet_until: Time::default(),
            next: Time::default(),
        }
    }

    /// The fencing number to order with, while this instance may.
    #[must_use]
    pub fn may_order(&self, now: Time) -> Option<u64> {
        match &self.state {
            State::Held {
                record, renewed, ..
            } if now.since(*renewed) < LEASE && now >= self.quiet_until => Some(record.fencing),
            _ => None,
        }
    }

    /// The lease is held, though orders may have to wait for the handover to pass.
    #[must_use]
    pub fn holds(&self, now: Time) -> bool {
        matches!(&self.state, State::Held { renewed, .. } if now.since(*renewed) < LEASE)
    }

    /// Lives that were settled when the lease was written last; none unless it is held.
    #[must_use]
    pub fn settled(&self) -> &[ShortHash] {
        match &self.state {
            State::Held { record, .. } => &record.settled,
            State::Unread | State::Seen { .. } => &[],
        }
    }

    /// The next write tells of these lives.
    pub fn settle(&mut self, lives: Vec<ShortHash>) {
        self.settled = lives;
    }

    fn renewed(&self, record: &LeaseRecord) -> LeaseRecord {
        LeaseRecord {
            renewal: record.renewal + 1,
            settled: self.settled.clone(),
            ..record.clone()
        }
    }

    /// What to do next. `wanted`: this instance is the one that should hold the lease.
    #[must_use]
    pub fn step(&self, wanted: bool, now: Time) -> LeaseStep {
        if now < self.next {
            return LeaseStep::Sleep(self.next);
        }
        match &self.state {
            State::Held {
                record,
                revision,
                renewed,
            } => {
                let due = *renewed + RENEW_EVERY;
                if now < due {
                    return LeaseStep::Sleep(due);
                }
                LeaseStep::Write(self.renewed(record), Some(*revision))
            }
            State::Unread if !wanted && !self.was_mine => LeaseStep::Sleep(now + LOOK_EVERY),
            State::Unread => LeaseStep::Read,
            State::Seen { record, .. } if !wanted && !self.is_mine(record.as_ref()) => {
                LeaseStep::Sleep(now + LOOK_EVERY)
            }
            State::Seen {
                record,
                revision,
                since,
            } => self.claim(record.as_ref(), *revision, *since, now),
        }
    }

    /// The record names this instance, in an earlier life or before a conflict; engines know both
    /// as one holder, so it goes on without a pause.
    fn is_mine(&self, record: Option<&LeaseRecord>) -> bool {
        record.is_some_and(|record| record.holder == self.me)
    }

    /// When this instance may claim a lease whose record stands unchanged since `since`.
    ///
    /// One that was given up is left alone for as long as its new holder could not order anyway: an
    /// instance that restarts in place then goes on without a pause. Claimed at once, the engines of
    /// a shard would load nothing for the handover with each planned restart of a holder.
    fn free_from(&self, record: Option<&LeaseRecord>, since: Time) -> Time {
        match record {
            None => since,
            Some(record) if record.holder == self.me => since,
            Some(record) if record.released => since + self.handover,
            Some(_) => since + LEASE + TAKE_MARGIN,
        }
    }

    fn claim(
        &self,
        record: Option<&LeaseRecord>,
        revision: Option<Revision>,
        since: Time,
        now: Time,
    ) -> LeaseStep {
        if now < self.free_from(record, since) {
            return LeaseStep::Read;
        }
        let fencing = record.map_or(1, |record| record.fencing + 1);
        let claim = LeaseRecord {
            holder: self.me.clone(),
            fencing,
            renewal: 1,
            released: false,
            settled: record.map_or_else(Vec::new, |record| record.settled.clone()),
        };
        LeaseStep::Write(claim, revision)
    }

    /// The object was read; none: there is none.
    pub fn read(&mut self, found: Option<(LeaseRecord, Revision)>, now: Time) {
        self.was_mine = false;
        let (record, revision) = match found {
            Some((record, revision)) => (Some(record), Some(revision)),
            None => (None, None),
        };
        let unchanged = match &self.state {
            State::Seen {
                revision: before,
                since,
                ..
            } if *before == revision => Some(*since),
            _ => None,
        };
        let since = unchanged.unwrap_or(now);
        let free_from = self.free_from(record.as_ref(), since);
        self.next = free_from.max(now).min(now + LOOK_EVERY);
        self.state = State::Seen {
            record,
            revision,
            since,
        };
    }

    /// A write that was sent at `sent` took effect at `revision`.
    pub fn wrote(&mut self, record: LeaseRecord, revision: Revision, sent: Time, now: Time) {
        if let State::Seen {
            record: Some(before),
            since,
            ..
        } = &self.state
            && before.holder != self.me
        {
            // One that gave its lease up may have ordered until then; one that fell silent has not
            // ordered since its last renewal, seen or not, expired.
            let last_order = if before.released {
                *since
            } else {
                *since + LEASE
            };
            self.quiet_until = last_order + self.handover;
        }
        self.was_mine = true;
        self.state = State::Held {
            record,
            revision,
            renewed: sent,
        };
        self.next = now;
    }

    /// A write conflicted with another one, or nobody knows whether it took effect.
    pub fn write_failed(&mut self, conflict: bool, now: Time) {
        let still_held = self.holds(now) && !conflict;
        if !still_held {
            self.state = State::Unread;
        }
        self.next = now + Duration::from_millis(if conflict { 100 } else { 300 });
    }

    /// The record that gives the lease up, if it is held.
    #[must_use]
    pub fn release(&self, now: Time) -> Option<(LeaseRecord, Revision)> {
        let State::Held {
            record, revision, ..
        } = &self.state
        else {
            return None;
        };
        let released = LeaseRecord {
            released: true,
            ..self.renewed(record)
        };
        self.holds(now).then_some((released, *revision))
    }

    /// The lease was given up, or is about to be: nothing is ordered any more.
    pub fn forget(&mut self) {
        self.was_mine = false;
        self.state = State::Unread;
    }
}
