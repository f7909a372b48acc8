//! Tests of a store that is restored from an older copy: revisions go back and are given out again.

mod support;

use std::time::Duration;

use bluebellstage_core::{InstanceId, Revision, TargetId, Time};
use bluebellstage_gateway::decide::lease::{
    Handover, LEASE_DURATION, LeaseRecord, LeaseStep, ShardLease,
};
use bluebellstage_gateway::decide::registry::Registry;
use bluebellstage_gateway::decide::store::position::{Era, StorePosition};
use bluebellstage_gateway::decide::target::Target;
use support::{at, member, peer, tables, target};

const HANDOVER: Duration = Duration::from_millis(3_150);

fn position(era: u32, counter: u64) -> Revision {
    let era = Era(era);
    StorePosition { era, counter }.into()
}

fn id(name: &str) -> TargetId {
    TargetId::try_from(name).unwrap()
}

fn leaving(name: &str) -> Target {
    Target {
        leaving: true,
        ..target(name, "court")
    }
}

/// Guards against a counter that is compared without its era, and one that runs into the era.
#[test]
fn positions_of_a_later_era_come_after_all_earlier_ones() {
    let ordered = [(0, 7), (0, 1 << 43), (1, 1), (1, 2), (2, 0), (70_000, 3)];
    let packed = ordered.map(|(era, counter)| position(era, counter));
    assert!(packed.is_sorted());
    for (revision, (era, counter)) in packed.into_iter().zip(ordered) {
        let unpacked = StorePosition::from(revision);
        assert_eq!((unpacked.era.0, unpacked.counter), (era, counter));
    }
    assert_eq!(position(0, 280), Revision(280));
    let huge = StorePosition::from(position(u32::MAX, u64::MAX));
    assert!(huge.era > Era(1_000_000) && huge.counter > 1 << 43);
}

/// Guards against an instance that copies nothing until the counter has passed its old value.
#[test]
fn copies_of_the_restored_store_replace_what_was_known_before() {
    let [mut follower, mut copier] = [tables(), tables()];
    let both = vec![target("c1", "court"), target("c2", "court")];
    for tables in [&mut follower, &mut copier] {
        tables
            .registry
            .replace(both.clone(), position(2, 280), at(0));
    }
    follower
        .registry
        .record_store_response(position(3, 226), at(1_000));
    follower.registry.replace(both, position(3, 226), at(1_000));
    follower
        .registry
        .put(leaving("c1"), position(3, 269), at(2_000));
    let mut holder = peer("follower", at(2_000));
    holder.targets = follower.registry.revision();
    holder.targets_digest = follower.registry.digest();
    assert!(copier.is_behind(&holder));
    let old = copier.registry.copy_since(Revision::default(), at(2_100));
    let copy = follower
        .registry
        .copy_since(copier.registry.copied_revision(), at(2_100));
    copier.registry.apply_copy(copy, at(2_100));
    assert!(copier.registry.get(&id("c1")).unwrap().leaving);
    follower.registry.apply_copy(old, at(2_200));
    assert!(follower.registry.get(&id("c1")).unwrap().leaving);
}

/// Guards against targets that nothing registers any more, and live ones that are dropped until they register
/// again.
#[test]
fn registrations_that_the_restored_store_lacks_are_kept_until_they_may_have_come_back() {
    let mut registry = Registry::default();
    let all = ["c1", "c2"].map(|name| target(name, "court"));
    registry.replace(all.to_vec(), position(1, 50), at(0));
    registry.record_store_response(position(2, 20), at(10_000));
    registry.replace(vec![target("c1", "court")], position(2, 20), at(10_000));
    assert!(registry.get(&id("c2")).is_some());
    registry.sweep(at(11_000));
    assert!(registry.get(&id("c2")).is_some());
    registry.sweep(at(12_000));
    assert!(registry.get(&id("c2")).is_none());
}

/// Guards against a leaving target that an older copy of the store shows as ready.
#[test]
fn a_target_that_was_known_to_leave_still_leaves_after_a_restoration() {
    let mut registry = Registry::default();
    let ready = ["c1", "c2"].map(|name| target(name, "court")).to_vec();
    registry.replace(ready.clone(), position(1, 10), at(0));
    for name in ["c1", "c2"] {
        registry.put(leaving(name), position(1, 11), at(1_000));
    }
    registry.remove(&id("c2"), position(1, 12), at(3_000));
    registry.record_store_response(position(2, 10), at(4_000));
    registry.replace(ready, position(2, 10), at(4_000));
    for name in ["c1", "c2"] {
        assert!(registry.get(&id(name)).unwrap().leaving, "{name}");
    }
    let restarted = Target {
        born: Some(7),
        ..target("c1", "court")
    };
    registry.put(restarted, position(2, 14), at(5_000));
    assert!(!registry.get(&id("c1")).unwrap().leaving);
}

/// Guards against a target that stays out of service because its former incarnation, without a start time, left.
#[test]
fn incarnations_without_a_start_time_are_not_taken_for_one_that_left() {
    let mut registry = Registry::default();
    let unknown_start = |target: Target| Target {
        born: None,
        ..target
    };
    registry.put(unknown_start(leaving("c1")), position(1, 5), at(0));
    registry.remove(&id("c1"), position(1, 6), at(3_000));
    let restarted = unknown_start(target("c1", "court"));
    registry.put(restarted, position(1, 9), at(5_000));
    assert!(!registry.get(&id("c1")).unwrap().leaving);
}

fn lease(name: &str) -> ShardLease {
    let mut lease = ShardLease::new(InstanceId::try_from(name).unwrap(), HANDOVER);
    lease.set_era(Era(1), at(0));
    lease
}

/// The lease object in a store that can be restored.
struct Store {
    era: u32,
    counter: u64,
    object: Option<(LeaseRecord, Revision)>,
}

impl Store {
    fn write(&mut self, record: &LeaseRecord, known: Option<Revision>) -> Option<Revision> {
        let current = self.object.as_ref().map(|(_, revision)| *revision);
        if current != known {
            return None;
        }
        self.counter += 1;
        let written = position(self.era, self.counter);
        self.object = Some((record.clone(), written));
        Some(written)
    }

    fn restore(&mut self, copy: Option<LeaseRecord>) {
        self.era += 1;
        self.counter = 3;
        self.object = copy.map(|record| (record, position(self.era, 3)));
    }

    fn run(&mut self, lease: &mut ShardLease, now: Time) {
        lease.set_era(Era(self.era), now);
        match lease.step(true, now) {
            LeaseStep::Sleep(_) => {}
            LeaseStep::Read => lease.record_read(self.object.clone(), now),
            LeaseStep::Write(record, known) => match self.write(&record, known) {
                Some(revision) => lease.record_write(record, revision, now, now),
                None => lease.record_write_failure(true, now),
            },
        }
    }
}

/// Guards against two holders with one fencing token, or two that order at the same time, after the store has
/// lost a lease.
#[test]
fn a_lost_lease_is_taken_with_a_higher_token_and_first_by_its_holder() {
    let former = LeaseRecord {
        holder: member("two", "north").name,
        fencing: 4,
        renewal: 9,
        released: false,
        settled: Vec::new(),
        handover: Handover::Ended,
    };
    for copy in [None, Some(former)] {
        let mut store = Store {
            era: 1,
            counter: 10,
            object: None,
        };
        let [mut one, mut two] = ["one", "two"].map(lease);
        for _ in 0..3 {
            store.run(&mut one, at(0));
        }
        let token = one.may_order(at(0)).unwrap();
        store.restore(copy);
        two.set_era(Era(2), at(1_000));
        let mut tokens = Vec::new();
        for ms in (1_000..6_000).step_by(100) {
            store.run(&mut two, at(ms));
            assert_eq!(two.may_order(at(ms)), None, "{ms}");
        }
        store.run(&mut one, at(1_500));
        assert_eq!(one.may_order(at(1_500)), None);
        for ms in (6_000..6_400).step_by(100) {
            store.run(&mut one, at(ms));
            tokens.extend(one.may_order(at(ms)));
        }
        assert!(!tokens.is_empty() && tokens.iter().all(|later| *later > token));
        for ms in (6_400..9_000).step_by(100) {
            store.run(&mut one, at(ms));
            store.run(&mut two, at(ms));
            let holders = [&one, &two].map(|lease| lease.may_order(at(ms)).is_some());
            assert_eq!(holders, [true, false], "{ms}");
        }
    }
}

/// Guards against a shard that nobody takes after its holder was lost together with the lease.
#[test]
fn another_instance_takes_a_lost_lease_once_the_holders_orders_are_over() {
    let mut store = Store {
        era: 1,
        counter: 10,
        object: None,
    };
    let mut two = lease("two");
    store.run(&mut two, at(0));
    store.restore(None);
    let mut taken_at = None;
    for ms in (1_000..14_000).step_by(100) {
        store.run(&mut two, at(ms));
        if two.may_order(at(ms)).is_some() {
            taken_at.get_or_insert(ms);
        }
    }
    let lease_ms = u64::try_from(LEASE_DURATION.as_millis()).unwrap();
    let handover_ms = u64::try_from(HANDOVER.as_millis()).unwrap();
    let over_ms = 1_000 + lease_ms + handover_ms;
    let taken_at = taken_at.unwrap();
    assert!((over_ms..over_ms + 2_000).contains(&taken_at), "{taken_at}");
}
