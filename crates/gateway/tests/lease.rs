//! Tests of the lease of a loader shard.

mod support;

use std::time::Duration;

use bluebellstage_core::{InstanceId, Revision, Time};
use bluebellstage_gateway::decide::lease::{LEASE_DURATION, LeaseRecord, LeaseStep, ShardLease};
use support::at;

const HANDOVER: Duration = Duration::from_millis(3_150);

fn lease(name: &str) -> ShardLease {
    ShardLease::new(InstanceId::try_from(name).unwrap(), HANDOVER)
}

/// The lease object in the store.
#[derive(Default)]
struct Store {
    object: Option<(LeaseRecord, Revision)>,
    /// Whether another writer has overwritten the object.
    is_unreadable: bool,
}

impl Store {
    fn write(&mut self, record: &LeaseRecord, at: Option<Revision>) -> Option<Revision> {
        let revision = self.object.as_ref().map(|(_, revision)| *revision);
        if revision != at {
            return None;
        }
        let next = Revision(revision.map_or(1, |revision| revision.0 + 1));
        self.object = Some((record.clone(), next));
        self.is_unreadable = false;
        Some(next)
    }

    /// Carries out one step of an instance.
    fn run(&mut self, lease: &mut ShardLease, wanted: bool, now: Time) {
        match lease.step(wanted, now) {
            LeaseStep::Sleep(_) => {}
            LeaseStep::Read if self.is_unreadable => {
                lease.record_unreadable(self.object.clone().unwrap().1, now);
            }
            LeaseStep::Read => lease.record_read(self.object.clone(), now),
            LeaseStep::Write(record, at) => match self.write(&record, at) {
                Some(revision) => lease.record_write(record, revision, now, now),
                None => lease.record_write_failure(true, now),
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
fn the_first_instance_may_order_immediately() {
    let mut store = Store::default();
    let mut first = lease("one");
    take(&mut store, &mut first, at(0));
    assert_eq!(first.may_order(at(0)), Some(1));
}

/// Guards against two instances that order loads on one engine. The first was suspended and its
/// monotonic clock stopped, so on resume its lease looked fresh although another instance had taken
/// over.
#[test]
fn a_suspended_holder_resumes_without_its_lease() {
    let mut store = Store::default();
    let mut first = lease("one");
    let mut second = lease("two");
    take(&mut store, &mut first, at(0));
    let mut concurrent_steps = 0;
    for ms in (0..20_000).step_by(50) {
        store.run(&mut second, true, at(ms));
        let both = first.may_order(at(ms)).is_some() && second.may_order(at(ms)).is_some();
        concurrent_steps += u32::from(both);
    }
    assert_eq!(concurrent_steps, 0);
    assert_eq!(first.may_order(at(20_000)), None);
    assert_eq!(second.may_order(at(20_000)), Some(2));
}

/// Guards against orders of two holders that reach an engine within the handover time: the new
/// holder sent orders as soon as its lease was written to the store.
#[test]
fn a_new_holder_waits_for_the_handover_after_the_last_order() {
    let mut store = Store::default();
    let mut first = lease("one");
    let mut second = lease("two");
    take(&mut store, &mut first, at(0));
    let (record, revision) = first.release_record(at(100)).unwrap();
    first.clear();
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

/// Guards against engines that load nothing for three seconds at a planned restart of their holder,
/// although the same instance is back after one second and need not wait for another holder.
#[test]
fn a_holder_that_released_its_lease_to_restart_continues_immediately() {
    let mut store = Store::default();
    let mut first = lease("one");
    let mut second = lease("two");
    take(&mut store, &mut first, at(0));
    let (record, revision) = first.release_record(at(100)).unwrap();
    store.write(&record, Some(revision));
    for ms in (101..1_200).step_by(10) {
        store.run(&mut second, true, at(ms));
    }
    let mut restarted = lease("one");
    restarted.record_read(store.object.clone(), at(1_200));
    for ms in [1_201, 1_202] {
        store.run(&mut restarted, false, at(ms));
    }
    assert!(restarted.may_order(at(1_203)).is_some());
    for ms in (1_210..12_000).step_by(10) {
        if ms % 500 == 0 {
            store.run(&mut restarted, true, at(ms));
        }
        store.run(&mut second, true, at(ms));
        assert_eq!(second.may_order(at(ms)), None, "at {ms}");
    }
}

#[test]
fn a_restarted_holder_continues_immediately() {
    let mut store = Store::default();
    let mut first = lease("one");
    take(&mut store, &mut first, at(0));
    let mut restarted = lease("one");
    restarted.record_read(store.object.clone(), at(999));
    for ms in [1_000, 1_001, 1_002] {
        store.run(&mut restarted, false, at(ms));
    }
    assert_eq!(restarted.may_order(at(1_003)), Some(2));
}

/// Guards against refusing requests whose adapters must be loaded while the store is unavailable
/// for seconds: no other instance can take over meanwhile.
#[test]
fn a_holder_keeps_its_lease_during_a_store_outage_shorter_than_the_lease() {
    let mut store = Store::default();
    let mut first = lease("one");
    take(&mut store, &mut first, at(0));
    let LeaseStep::Write(..) = first.step(true, at(2_500)) else {
        panic!("a renewal is due");
    };
    first.record_write_failure(false, at(3_700));
    assert!(first.may_order(at(5_000)).is_some());
    let expired = at(0) + LEASE_DURATION;
    assert_eq!(first.may_order(expired), None);
}

/// A renewal without a response took effect after all, and the next one conflicts. The holder must
/// not go on with its old record, and must not wait out a handover from itself.
#[test]
fn a_renewal_whose_response_was_lost_is_detected_by_reading() {
    let mut store = Store::default();
    let mut first = lease("one");
    take(&mut store, &mut first, at(0));
    let LeaseStep::Write(record, revision) = first.step(true, at(2_500)) else {
        panic!("a renewal is due");
    };
    store.write(&record, revision);
    first.record_write_failure(false, at(3_700));
    for ms in [4_000, 4_200, 4_400, 4_600] {
        store.run(&mut first, true, at(ms));
    }
    assert!(first.may_order(at(4_700)).is_some());
}

/// Guards against engines that load nothing for many seconds after their holder was removed for
/// good.
#[test]
fn a_lost_holder_is_replaced_once_its_orders_must_have_expired() {
    let mut store = Store::default();
    let mut first = lease("one");
    let mut second = lease("two");
    take(&mut store, &mut first, at(0));
    let mut taken_over_at = None;
    for ms in (1_000..30_000).step_by(50) {
        store.run(&mut second, true, at(ms));
        if taken_over_at.is_none() && second.may_order(at(ms)).is_some() {
            taken_over_at = Some(at(ms));
        }
    }
    let taken_over_at = taken_over_at.unwrap().since(at(1_000));
    let min_delay = LEASE_DURATION + HANDOVER;
    assert!(
        taken_over_at >= min_delay && taken_over_at < min_delay + Duration::from_millis(1_500),
        "{taken_over_at:?}"
    );
}

/// Guards against reserving two of six slots of each engine for 13 s after a restart of all
/// instances, for orders to a previous incarnation that had ended long before: no instance knew any
/// more when the current one had started.
#[test]
fn settled_incarnations_are_passed_on_to_the_next_holder() {
    let mut tables = support::tables();
    for name in ["e0", "e1"] {
        let engine = support::target(name, "writers");
        tables.registry.put(engine, Revision(1), at(0));
    }
    let age = Duration::from_secs(13);
    let all = |_: &bluebellstage_core::TargetId| true;
    let too_recent = tables
        .registry
        .settled_incarnations(all, &[], age, at(12_000));
    assert_eq!(too_recent, []);
    let incarnations = tables
        .registry
        .settled_incarnations(all, &[], age, at(14_000));
    assert_eq!(incarnations.len(), 2);

    let mut store = Store::default();
    let mut first = lease("one");
    take(&mut store, &mut first, at(14_000));
    first.set_settled(incarnations.clone());
    store.run(&mut first, true, at(16_000));
    let mut restarted = lease("one");
    take(&mut store, &mut restarted, at(17_000));
    assert_eq!(restarted.settled(), incarnations);

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
        .settled_incarnations(all, restarted.settled(), age, at(17_100));
    let unchanged = support::target("e0", "writers").incarnation();
    assert_eq!(known, Vec::from_iter(unchanged));
}

/// Guards against a claim with a fencing token that a former holder had, as its record could not be read: engines would
/// take the orders of both. The claimant is a process that knows no earlier token.
#[test]
fn a_claim_of_a_lease_that_can_not_be_read_has_a_token_of_its_own() {
    let mut store = Store::default();
    let mut tokens = Vec::new();
    for idx in 0..6 {
        let mut holder = lease(&format!("holder-{idx}"));
        let started = idx * 20_000;
        for ms in (started..started + 15_000).step_by(50) {
            store.run(&mut holder, true, at(ms));
        }
        tokens.push(holder.may_order(at(started + 15_000)));
        let (record, revision) = store.object.clone().unwrap();
        store.write(&record, Some(revision));
        store.is_unreadable = idx % 2 == 0;
    }
    assert!(tokens[0].is_some());
    assert!(tokens.is_sorted_by(|one, next| one < next), "{tokens:?}");
}
