//! Tests of the lease of a loader shard.

mod support;

use std::time::Duration;

use bluebellstage_core::{InstanceId, Revision, Time};
use bluebellstage_gateway::decide::lease::{LEASE, LeaseRecord, LeaseStep, ShardLease};
use support::at;

const HANDOVER: Duration = Duration::from_millis(3_150);

fn lease(name: &str) -> ShardLease {
    ShardLease::new(InstanceId::try_from(name).unwrap(), HANDOVER)
}

/// The object in the store.
#[derive(Default)]
struct Store {
    object: Option<(LeaseRecord, Revision)>,
}

impl Store {
    fn write(&mut self, record: &LeaseRecord, at: Option<Revision>) -> Option<Revision> {
        let revision = self.object.as_ref().map(|(_, revision)| *revision);
        if revision != at {
            return None;
        }
        let next = Revision(revision.map_or(1, |revision| revision.0 + 1));
        self.object = Some((record.clone(), next));
        Some(next)
    }

    /// Carries one step of an instance out.
    fn run(&mut self, lease: &mut ShardLease, wanted: bool, now: Time) {
        match lease.step(wanted, now) {
            LeaseStep::Sleep(_) => {}
            LeaseStep::Read => lease.read(self.object.clone(), now),
            LeaseStep::Write(record, at) => match self.write(&record, at) {
                Some(revision) => lease.wrote(record, revision, now, now),
                None => lease.write_failed(true, now),
            },
        }
    }
}

fn take(store: &mut Store, lease: &mut ShardLease, now: Time) {
    for _ in 0..3 {
        store.run(lease, true, now);
    }
}

#[test]
fn the_first_instance_orders_at_once() {
    let mut store = Store::default();
    let mut first = lease("one");
    take(&mut store, &mut first, at(0));
    assert_eq!(first.may_order(at(0)), Some(1));
}

/// Two instances order loads on one engine. The first was suspended, its monotonic clock stood
/// still, and when it woke its lease looked fresh though another one had taken over.
#[test]
fn a_suspended_holder_wakes_without_its_lease() {
    let mut store = Store::default();
    let mut first = lease("one");
    let mut second = lease("two");
    take(&mut store, &mut first, at(0));
    let mut acted_together = 0;
    for ms in (0..20_000).step_by(50) {
        store.run(&mut second, true, at(ms));
        let both = first.may_order(at(ms)).is_some() && second.may_order(at(ms)).is_some();
        acted_together += u32::from(both);
    }
    assert_eq!(acted_together, 0);
    assert_eq!(first.may_order(at(20_000)), None);
    assert_eq!(second.may_order(at(20_000)), Some(2));
}

/// Orders of two holders reach an engine within the span in which they may not take turns: the new
/// one acted as soon as the store had its name.
#[test]
fn a_new_holder_leaves_a_pause_after_the_last_order() {
    let mut store = Store::default();
    let mut first = lease("one");
    let mut second = lease("two");
    take(&mut store, &mut first, at(0));
    let (record, revision) = first.release(at(100)).unwrap();
    first.forget();
    store.write(&record, Some(revision));
    let mut first_order = None;
    for ms in (101..6_000).step_by(10) {
        store.run(&mut second, true, at(ms));
        if first_order.is_none() && second.may_order(at(ms)).is_some() {
            first_order = Some(ms);
        }
    }
    let first_order = first_order.unwrap();
    assert!((3_251..3_300).contains(&first_order), "{first_order}");
}

/// A planned restart of a holder: the engines of its shard load nothing for three seconds, though the
/// same instance is back after one and has nobody to wait for.
#[test]
fn one_that_gave_its_lease_up_to_restart_goes_on_at_once() {
    let mut store = Store::default();
    let mut first = lease("one");
    let mut second = lease("two");
    take(&mut store, &mut first, at(0));
    let (record, revision) = first.release(at(100)).unwrap();
    store.write(&record, Some(revision));
    for ms in (101..1_200).step_by(10) {
        store.run(&mut second, true, at(ms));
    }
    let mut reborn = lease("one");
    reborn.read(store.object.clone(), at(1_200));
    for ms in [1_201, 1_202] {
        store.run(&mut reborn, false, at(ms));
    }
    assert!(reborn.may_order(at(1_203)).is_some());
    for ms in (1_210..12_000).step_by(10) {
        if ms % 500 == 0 {
            store.run(&mut reborn, true, at(ms));
        }
        store.run(&mut second, true, at(ms));
        assert_eq!(second.may_order(at(ms)), None, "at {ms}");
    }
}

#[test]
fn a_restarted_holder_goes_on_at_once() {
    let mut store = Store::default();
    let mut first = lease("one");
    take(&mut store, &mut first, at(0));
    let mut reborn = lease("one");
    reborn.read(store.object.clone(), at(999));
    for ms in [1_000, 1_001, 1_002] {
        store.run(&mut reborn, false, at(ms));
    }
    assert_eq!(reborn.may_order(at(1_003)), Some(2));
}

/// The store is away for seconds: drafts whose adapters must be loaded go on being served, because
/// nobody can take over meanwhile.
#[test]
fn a_holder_acts_on_while_the_store_is_away_for_less_than_the_lease() {
    let mut store = Store::default();
    let mut first = lease("one");
    take(&mut store, &mut first, at(0));
    let LeaseStep::Write(..) = first.step(true, at(2_500)) else {
        panic!("a renewal is due");
    };
    first.write_failed(false, at(3_700));
    assert!(first.may_order(at(5_000)).is_some());
    let expired = at(0) + LEASE;
    assert_eq!(first.may_order(expired), None);
}

/// A renewal without an answer took effect after all: the next one conflicts. The holder must not
/// go on by its old record, and must not wait out a handover from itself.
#[test]
fn a_renewal_whose_answer_was_lost_is_found_by_reading() {
    let mut store = Store::default();
    let mut first = lease("one");
    take(&mut store, &mut first, at(0));
    let LeaseStep::Write(record, revision) = first.step(true, at(2_500)) else {
        panic!("a renewal is due");
    };
    store.write(&record, revision);
    first.write_failed(false, at(3_700));
    for ms in [4_000, 4_200, 4_400, 4_600] {
        store.run(&mut first, true, at(ms));
    }
    assert!(first.may_order(at(4_700)).is_some());
}

/// The engines of a shard load nothing for many seconds after their holder was removed for good.
#[test]
fn a_lost_holder_is_replaced_as_soon_as_its_orders_are_surely_old() {
    let mut store = Store::default();
    let mut first = lease("one");
    let mut second = lease("two");
    take(&mut store, &mut first, at(0));
    let mut taken = None;
    for ms in (1_000..30_000).step_by(50) {
        store.run(&mut second, true, at(ms));
        if taken.is_none() && second.may_order(at(ms)).is_some() {
            taken = Some(at(ms));
        }
    }
    let taken = taken.unwrap().since(at(1_000));
    let surely = LEASE + HANDOVER;
    assert!(
        taken >= surely && taken < surely + Duration::from_millis(1_500),
        "{taken:?}"
    );
}

/// After a restart of all instances each engine had two of six places kept free for 13 s, for orders to
/// a former life that had ended long before: nobody knew any more when the present one began.
#[test]
fn lives_that_began_long_ago_are_told_to_whoever_holds_the_lease_next() {
    let mut tables = support::tables();
    for name in ["e0", "e1"] {
        let engine = support::target(name, "writers");
        tables.registry.put(engine, Revision(1), at(0));
    }
    let age = Duration::from_secs(13);
    let all = |_: &bluebellstage_core::TargetId| true;
    let young = tables
        .registry
        .settled_incarnations(all, &[], age, at(12_000));
    assert_eq!(young, []);
    let lives = tables
        .registry
        .settled_incarnations(all, &[], age, at(14_000));
    assert_eq!(lives.len(), 2);

    let mut store = Store::default();
    let mut first = lease("one");
    take(&mut store, &mut first, at(14_000));
    first.settle(lives.clone());
    store.run(&mut first, true, at(16_000));
    let mut reborn = lease("one");
    take(&mut store, &mut reborn, at(17_000));
    assert_eq!(reborn.settled(), lives);

    let mut fresh = support::tables();
    for name in ["e0", "e1"] {
        let mut engine = support::target(name, "writers");
        if name == "e1" {
            engine.born = Some(99);
        }
        fresh.registry.put(engine, Revision(2), at(17_000));
    }
    let known = fresh
        .registry
        .settled_incarnations(all, reborn.settled(), age, at(17_100));
    let unchanged = support::target("e0", "writers").life();
    assert_eq!(known, Vec::from_iter(unchanged));
}
