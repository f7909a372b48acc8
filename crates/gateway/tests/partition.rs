//! Instances of small and large fleets that are partitioned from all targets, in virtual time.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bluebellstage_core::{InstanceId, ServiceId};
use bluebellstage_gateway::decide::partition::PathChange;
use bluebellstage_gateway::decide::paths::ConnectOutcome;
use support::fleet::{Fleet, TARGETS, target_id};

const DOMAINS: usize = 3;
/// Sizes of fleets: one that gossips directly, and two whose news go through relays.
const SIZES: [usize; 3] = [8, 60, 195];
/// Time until relays are elected and all instances know each other.
const SETTLING_MS: u64 = 4_000;
/// Time within which all instances know of lost paths.
const SPREAD_MS: u64 = 1_000;
/// Requests that a partitioned instance forwards at the same time.
const FORWARDED: usize = 30;

fn writers() -> ServiceId {
    ServiceId::try_from("writers").unwrap()
}

fn name(idx: usize) -> InstanceId {
    InstanceId::try_from(&*format!("i{idx}")).unwrap()
}

fn connect_to_all(fleet: &mut Fleet, instances: &[usize], outcome: ConnectOutcome) {
    let now = fleet.now;
    for idx in instances {
        for target in 0..TARGETS {
            let target = target_id(target);
            let _change = fleet.tables_mut(*idx).record_connect(&target, outcome, now);
        }
    }
}

/// Returns the instances that the directory of instance `idx` names to callers of a failure domain.
fn named(fleet: &Fleet, idx: usize, domain: usize) -> BTreeSet<InstanceId> {
    let domain = format!("d{domain}");
    let instances = fleet.tables(idx).instances_for(Some(&domain), fleet.now);
    instances
        .into_iter()
        .map(|member| member.name.clone())
        .collect()
}

/// Guards against callers and requests that are sent to partitioned instances, or all to one that is not.
fn check_partition(size: usize, partitioned: &[usize]) {
    let mut fleet = Fleet::start(size, DOMAINS, 7);
    fleet.run_ms(SETTLING_MS);
    connect_to_all(&mut fleet, partitioned, ConnectOutcome::TimedOut);
    fleet.run_ms(SPREAD_MS);
    let cut_off = partitioned
        .iter()
        .map(|idx| name(*idx))
        .collect::<BTreeSet<_>>();
    for idx in 0..size {
        for domain in 0..DOMAINS {
            let named = named(&fleet, idx, domain);
            assert!(!named.is_empty(), "size {size}");
            assert!(
                named.is_disjoint(&cut_off),
                "size {size}: i{idx} names {named:?}"
            );
        }
    }
    for idx in partitioned {
        let mut forwarded = BTreeMap::<InstanceId, usize>::new();
        for sample in 0..FORWARDED {
            let now = fleet.now;
            let tables = fleet.tables_mut(*idx);
            let peer = tables
                .choose_peer(&writers(), &[], sample * 7, now)
                .unwrap();
            assert!(!cut_off.contains(&peer.name), "size {size}: {}", peer.name);
            tables.partitions.start_forwarded(&peer.name);
            *forwarded.entry(peer.name).or_default() += 1;
        }
        let most = forwarded.values().max().unwrap();
        let least = forwarded.values().min().unwrap();
        assert!(most - least <= 1, "size {size}: {forwarded:?}");
    }
    connect_to_all(&mut fleet, partitioned, ConnectOutcome::Opened);
    fleet.run_ms(SPREAD_MS);
    let all = (0..DOMAINS).flat_map(|domain| named(&fleet, 0, domain));
    assert_eq!(all.collect::<BTreeSet<_>>().len(), size);
}

#[test]
fn a_partitioned_third_of_the_instances_gets_no_callers() {
    for size in SIZES {
        let third = (0..size).step_by(3).collect::<Vec<_>>();
        check_partition(size, &third);
    }
}

#[test]
fn two_partitioned_thirds_of_the_instances_get_no_callers() {
    for size in SIZES {
        let two_thirds = (0..size).filter(|idx| !(idx / DOMAINS).is_multiple_of(3));
        check_partition(size, &two_thirds.collect::<Vec<_>>());
    }
}

#[test]
fn a_partitioned_failure_domain_gets_no_callers() {
    for size in SIZES {
        let domain = (0..size).filter(|idx| idx % DOMAINS == 1);
        check_partition(size, &domain.collect::<Vec<_>>());
    }
}

/// Guards against requests that instances send each other, and an empty directory, when the targets are down.
#[test]
fn targets_that_no_instance_reaches_leave_the_directory_whole() {
    for size in SIZES {
        let mut fleet = Fleet::start(size, DOMAINS, 7);
        fleet.run_ms(SETTLING_MS);
        let all = (0..size).collect::<Vec<_>>();
        connect_to_all(&mut fleet, &all, ConnectOutcome::Refused);
        fleet.run_ms(SPREAD_MS);
        let named = (0..DOMAINS).flat_map(|domain| named(&fleet, 0, domain));
        assert_eq!(named.collect::<BTreeSet<_>>().len(), size);
        let now = fleet.now;
        assert!(!fleet.tables(0).can_forward(&writers(), now), "size {size}");
        assert!(
            fleet
                .tables(0)
                .choose_peer(&writers(), &[], 0, now)
                .is_none()
        );
    }
}

/// Guards against an instance that takes a few targets that are down for a partition.
#[test]
fn targets_that_fail_among_others_are_no_partition() {
    let mut fleet = Fleet::start(3, DOMAINS, 7);
    fleet.run_ms(SETTLING_MS);
    for round in 0..20 {
        let now = fleet.now;
        let tables = fleet.tables_mut(0);
        for target in 0..TARGETS {
            let outcome = if target % 5 == 0 {
                ConnectOutcome::Refused
            } else {
                ConnectOutcome::Opened
            };
            let change = tables.record_connect(&target_id(target), outcome, now);
            assert_eq!(change, PathChange::None, "round {round}");
        }
        fleet.run(Duration::from_millis(100));
    }
}
