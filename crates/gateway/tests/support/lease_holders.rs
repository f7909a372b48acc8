//! Instances in virtual time that contend for one lease, and order whenever they may. Some are killed or lose the store.

use std::collections::BTreeSet;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Revision, Time};
use bluebellstage_gateway::decide::lease::{LeaseRecord, LeaseStep, ShardLease};
use bluebellstage_gateway::decide::store::position::{Era, StorePosition};

use super::at;

/// Minimum time between orders of two holders, as targets judge them.
pub const LEASE_TIME: Duration = Duration::from_secs(3);
pub const HANDOVER: Duration = Duration::from_millis(3_150);
/// Resolution of the simulation.
const TICK_MS: u64 = 10;
/// Time that the store takes to respond.
const RESPONSE_TIME: Duration = Duration::from_millis(20);
/// Time after which a call without a response fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The lease object in the store.
#[derive(Debug, Default)]
pub struct LeaseObject {
    pub record: Option<LeaseRecord>,
    pub position: StorePosition,
}

impl LeaseObject {
    fn revision(&self) -> Option<Revision> {
        self.record.as_ref().map(|_| self.position.into())
    }

    /// Writes a record at a revision. Returns the new revision, `None` after a conflict.
    pub fn write(&mut self, record: LeaseRecord, at: Option<Revision>) -> Option<Revision> {
        if self.revision() != at {
            return None;
        }
        self.record = Some(record);
        self.position.counter += 1;
        self.revision()
    }

    /// Restores the store from a copy.
    pub fn restore(&mut self, copy: Option<LeaseRecord>) {
        self.position.era = Era(self.position.era.0 + 1);
        self.position.counter = 1;
        self.record = copy;
    }
}

/// Link of an instance to the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Link {
    #[default]
    Whole,
    /// No call arrives.
    Cut,
    /// Writes arrive, their responses do not.
    LosesResponses,
}

#[derive(Debug)]
enum Response {
    Read(Option<(LeaseRecord, Revision)>),
    Written(LeaseRecord, Revision, Time),
    Conflict,
    Unavailable,
}

/// One instance. Its process may be down.
#[derive(Debug)]
struct Holder {
    name: InstanceId,
    process: Option<ShardLease>,
    starts_at: Option<Time>,
    link: Link,
    /// The response that it awaits, and when it gets that.
    awaited: Option<(Response, Time)>,
}

impl Holder {
    fn start_process(&mut self, object: &LeaseObject, now: Time) {
        let mut lease = ShardLease::new(self.name.clone(), HANDOVER);
        if self.link != Link::Cut {
            lease.set_era(object.position.era, now);
            lease.record_read(object.record.clone().zip(object.revision()), now);
        }
        self.process = Some(lease);
        self.starts_at = None;
    }

    fn receive(&mut self, now: Time) {
        let Some((response, _)) = self.awaited.take_if(|(_, due)| *due <= now) else {
            return;
        };
        let Some(lease) = &mut self.process else {
            return;
        };
        match response {
            Response::Read(found) => lease.record_read(found, now),
            Response::Written(record, revision, sent) => {
                lease.record_write(record, revision, sent, now);
            }
            Response::Conflict => lease.record_write_failure(true, now),
            Response::Unavailable => lease.record_write_failure(false, now),
        }
    }

    fn send(&mut self, object: &mut LeaseObject, now: Time) {
        let Some(lease) = &mut self.process else {
            return;
        };
        if self.link != Link::Cut {
            lease.set_era(object.position.era, now);
        }
        let step = lease.step(true, now);
        let response = match (step, self.link) {
            (LeaseStep::Sleep(_), _) => return,
            (_, Link::Cut) => Response::Unavailable,
            (LeaseStep::Read, _) => Response::Read(object.record.clone().zip(object.revision())),
            (LeaseStep::Write(record, revision), link) => {
                match object.write(record.clone(), revision) {
                    _ if link == Link::LosesResponses => Response::Unavailable,
                    Some(written) => Response::Written(record, written, now),
                    None => Response::Conflict,
                }
            }
        };
        let time = match self.link {
            Link::LosesResponses => CALL_TIMEOUT,
            Link::Whole | Link::Cut => RESPONSE_TIME,
        };
        self.awaited = Some((response, now + time));
    }
}

/// The instances, their store, and the orders that they gave.
#[derive(Debug)]
pub struct Holders {
    pub object: LeaseObject,
    instances: Vec<Holder>,
    now_ms: u64,
    /// When orders were given, in milliseconds, and by which instance.
    orders: Vec<(u64, usize)>,
}

impl Holders {
    pub fn start(count: usize) -> Self {
        let mut object = LeaseObject::default();
        object.restore(None);
        let new = |idx| Holder {
            name: InstanceId::try_from(&*format!("instance-{idx}")).unwrap(),
            process: None,
            starts_at: None,
            link: Link::default(),
            awaited: None,
        };
        let mut instances = (0..count).map(new).collect::<Vec<_>>();
        for instance in &mut instances {
            instance.start_process(&object, at(0));
        }
        Self {
            object,
            instances,
            now_ms: 0,
            orders: Vec::new(),
        }
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.tick();
            self.now_ms += TICK_MS;
        }
    }

    pub fn run_for(&mut self, span_ms: u64) {
        self.run_until(self.now_ms + span_ms);
    }

    fn tick(&mut self) {
        let now = at(self.now_ms);
        for (idx, holder) in self.instances.iter_mut().enumerate() {
            if holder.starts_at.is_some_and(|due| due <= now) {
                holder.start_process(&self.object, now);
            }
            holder.receive(now);
            if holder.awaited.is_none() {
                holder.send(&mut self.object, now);
            }
            let lease = holder.process.as_ref();
            if lease.is_some_and(|lease| lease.may_order(now).is_some()) {
                self.orders.push((self.now_ms, idx));
            }
        }
    }

    /// Runs until the record in the store names the instance.
    pub fn run_until_named(&mut self, idx: usize) {
        while !self.names(idx) {
            self.run_for(TICK_MS);
        }
    }

    /// Runs until the instance orders.
    pub fn run_until_ordering(&mut self, idx: usize) {
        while !self.is_ordering(idx) {
            self.run_for(TICK_MS);
        }
    }

    /// Whether the record in the store names the instance.
    pub fn names(&self, idx: usize) -> bool {
        let record = self.object.record.as_ref();
        record.is_some_and(|record| record.holder == self.instances[idx].name)
    }

    /// Whether the instance has just ordered.
    pub fn is_ordering(&self, idx: usize) -> bool {
        let last = self.orders.iter().rev().find(|(_, by)| *by == idx);
        last.is_some_and(|(at, _)| at + TICK_MS == self.now_ms)
    }

    /// The instance that the record in the store names.
    pub fn named(&self) -> Option<usize> {
        (0..self.instances.len()).find(|idx| self.names(*idx))
    }

    pub fn set_link(&mut self, idx: usize, link: Link) {
        self.instances[idx].link = link;
    }

    /// Kills the instance, which starts again after `away_ms`.
    pub fn kill(&mut self, idx: usize, away_ms: u64) {
        let holder = &mut self.instances[idx];
        holder.process = None;
        holder.awaited = None;
        holder.starts_at = Some(at(self.now_ms + away_ms));
    }

    /// Releases the lease, if the instance holds it, and ends the process, which starts again after `away_ms`.
    pub fn stop(&mut self, idx: usize, away_ms: u64) {
        let now = at(self.now_ms);
        let holder = &mut self.instances[idx];
        let lease = holder.process.as_mut();
        let released = lease.and_then(|lease| lease.release_record(now));
        if let Some((record, revision)) = released.filter(|_| holder.link != Link::Cut) {
            self.object.write(record, Some(revision));
        }
        self.kill(idx, away_ms);
    }

    /// Now, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the longest time without an order since `from_ms`.
    pub fn longest_idle(&self, from_ms: u64) -> Duration {
        let orders = self.orders.iter().map(|(at, _)| *at);
        let times = orders.filter(|at| *at >= from_ms).chain([self.now_ms]);
        let times = times.collect::<Vec<_>>();
        let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
        Duration::from_millis(gaps.max().unwrap_or(0))
    }

    /// Returns the time without an order.
    pub fn idle(&self) -> Duration {
        let orders = self.orders.iter().map(|(at, _)| *at);
        let ticks = orders.collect::<BTreeSet<_>>().len();
        let ticks = u64::try_from(ticks).unwrap();
        Duration::from_millis(self.now_ms - ticks * TICK_MS)
    }

    /// Returns the times between an order and one of another holder that came too early.
    pub fn early_turns(&self) -> Vec<Duration> {
        let pairs = self.orders.windows(2);
        let turns = pairs.filter(|pair| pair[0].1 != pair[1].1);
        let gaps = turns.map(|pair| Duration::from_millis(pair[1].0 - pair[0].0));
        gaps.filter(|gap| *gap < LEASE_TIME).collect()
    }

    /// Returns the time from `from_ms` to the instance's first order after it.
    pub fn first_order_after(&self, idx: usize, from_ms: u64) -> Option<Duration> {
        let mut orders = self.orders.iter();
        let found = orders.find(|(at, by)| *by == idx && *at >= from_ms);
        found.map(|(at, _)| Duration::from_millis(at - from_ms))
    }
}
