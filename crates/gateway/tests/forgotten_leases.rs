//! Leases of loader shards while all instances are killed and the store is restored from a copy that lacks them.

mod support;

use std::time::Duration;

use bluebellstage_core::{Revision, Time};
use bluebellstage_gateway::decide::lease::{LeaseRecord, LeaseStep, ShardLease};
use bluebellstage_gateway::decide::store::position::{Era, StorePosition};
use support::{at, member};

/// Minimum time between the orders of two holders.
const HANDOVER: Duration = Duration::from_secs(3);
/// When the store is restored from a copy without the lease, and all instances are killed, in milliseconds.
const RESTORED_MS: u64 = 1_000;
/// When new processes start, in milliseconds.
const STARTED_MS: u64 = 1_500;
const STEP_MS: usize = 20;

#[derive(Default)]
struct Store {
    era: u32,
    counter: u64,
    object: Option<(LeaseRecord, Revision)>,
}

impl Store {
    fn run(&mut self, lease: &mut ShardLease, now: Time) {
        lease.set_era(Era(self.era), now);
        match lease.step(true, now) {
            LeaseStep::Sleep(_) => {}
            LeaseStep::Read => lease.record_read(self.object.clone(), now),
            LeaseStep::Write(record, known) => {
                let current = self.object.as_ref().map(|(_, revision)| *revision);
                if current != known {
                    lease.record_write_failure(true, now);
                    return;
                }
                self.counter += 1;
                let written = StorePosition {
                    era: Era(self.era),
                    counter: self.counter,
                };
                self.object = Some((record.clone(), written.into()));
                lease.record_write(record, written.into(), now, now);
            }
        }
    }
}

fn lease(name: &str) -> ShardLease {
    ShardLease::new(member(name, "north").name, HANDOVER)
}

/// Guards against a new process that orders right after another holder, as neither the store nor any process knows of
/// that one any more.
#[test]
fn a_holder_that_the_restored_store_has_forgotten_is_waited_for_after_a_kill_of_all() {
    let mut store = Store {
        era: 1,
        ..Store::default()
    };
    let mut one = lease("one");
    let mut last_order = None;
    for ms in (0..RESTORED_MS).step_by(STEP_MS) {
        store.run(&mut one, at(ms));
        last_order = one.may_order(at(ms)).map(|_| at(ms)).or(last_order);
    }
    store.era = 2;
    store.object = None;
    drop(one);
    let mut two = lease("two");
    let mut first_order = None;
    for ms in (STARTED_MS..20_000).step_by(STEP_MS) {
        store.run(&mut two, at(ms));
        first_order = first_order.or(two.may_order(at(ms)).map(|_| at(ms)));
    }
    let pause = first_order.unwrap().since(last_order.unwrap());
    assert!(pause >= HANDOVER, "{pause:?}");
}
