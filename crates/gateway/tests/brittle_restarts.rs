//! Tests of brittle targets while their senders are killed, start again or are cut off from each other.

mod support;

use bluebellstage_core::Time;
use bluebellstage_gateway::decide::brittle::ReportedBrittleness;
use bluebellstage_gateway::decide::fleet_part::{FleetPart, Tenure};
use bluebellstage_gateway::decide::owner::Owner;
use support::brittle::{Simulation, TargetModel};
use support::fleet::{Fleet, Network};
use support::target;

/// Numbers of instances and failure domains.
const FLEETS: [(usize, usize); 3] = [(8, 3), (24, 3), (75, 3)];
const LARGE_FLEET: (usize, usize) = (380, 18);
const TARGETS: usize = 6;
/// Falls that users allow in one time in which a service's targets are brittle.
const ALLOWED_FALLS: usize = 2;

/// Requests a second, and how many arrive together, before targets that bear so many refusals.
#[derive(Clone, Copy, Debug)]
struct Load {
    max_refusals: u32,
    rate: u64,
    burst: usize,
}

const BURSTS: Load = Load {
    max_refusals: 6,
    rate: 200,
    burst: 20,
};

/// One by one before targets that hardly bear a refusal.
const fn single(max_refusals: u32) -> Load {
    Load {
        max_refusals,
        rate: 100,
        burst: 1,
    }
}

/// Starts a fleet whose instances know that the targets are brittle. One target is full.
fn start((instances, domains): (usize, usize), seed: u64, load: Load) -> Simulation {
    let model = TargetModel {
        max_refusals: load.max_refusals,
        ..TargetModel::with_slots(6)
    };
    let fleet = Fleet::start(instances, domains, seed);
    let mut simulation = Simulation::with(fleet, TARGETS, model);
    simulation.rate = load.rate;
    simulation.burst = load.burst;
    simulation.set_full(0, true);
    simulation.run_ms(1_500);
    simulation
}

/// Time in milliseconds after which an instance is back: from 200 to 500.
fn back_after(idx: usize) -> u64 {
    200 + u64::try_from(idx * 7 % 61).unwrap() * 5
}

/// Users allow two falls, and one request in a hundred may be refused while instances are killed.
fn assert_borne(simulation: &Simulation, case: &str) {
    let (falls, refused, served) = (simulation.falls(), simulation.refused, simulation.served);
    let size = simulation.fleet.len();
    let seen =
        format!("{case}, {size} instances: {falls} falls, {refused} refused, {served} served");
    println!("{seen}");
    assert!(falls <= ALLOWED_FALLS, "{seen}");
    assert!(refused * 100 <= served, "{seen}");
}

fn assert_kills_of_all_borne(size: (usize, usize), load: Load) {
    let mut simulation = start(size, 81, load);
    for _ in 0..3 {
        simulation.restart_some(|_| true, back_after);
        simulation.run_ms(2_500);
    }
    assert_borne(&simulation, &format!("all killed, {load:?}"));
}

/// Guards against instances that know of no brittle target as nobody is left who could tell them.
#[test]
fn kills_of_all_instances_do_not_make_brittle_targets_fall() {
    for size in FLEETS {
        for load in [BURSTS, single(3), single(2)] {
            assert_kills_of_all_borne(size, load);
        }
    }
}

/// Guards against requests that are refused after a kill of all, as the first instances that are back find no owner.
#[test]
fn kills_of_all_instances_of_a_large_fleet_do_not_make_brittle_targets_fall() {
    assert_kills_of_all_borne(LARGE_FLEET, BURSTS);
}

/// Guards against targets that fall once for each kill of all instances, where one refusal more is too much.
#[test]
fn kills_of_all_instances_do_not_make_targets_fall_that_bear_one_refusal() {
    for size in &FLEETS {
        let mut simulation = start(*size, 81, single(1));
        for _ in 0..6 {
            simulation.restart_some(|_| true, back_after);
            simulation.run_ms(2_500);
        }
        assert_borne(&simulation, "all killed, one borne");
    }
}

fn assert_kills_of_all_but_one_borne(size: (usize, usize), seed: u64) {
    let mut simulation = start(size, seed, BURSTS);
    simulation.restart_some(|idx| idx > 0, back_after);
    simulation.run_ms(2_500);
    assert_borne(&simulation, "all but one killed");
}

/// Guards against new instances that hear the reports of one peer too late.
#[test]
fn kills_of_all_instances_but_one_do_not_make_brittle_targets_fall() {
    for size in FLEETS {
        for seed in [81, 82] {
            assert_kills_of_all_but_one_borne(size, seed);
        }
    }
}

/// Guards against requests that the one instance left refuses, as it finds no owner until others are back.
#[test]
fn kills_of_all_instances_of_a_large_fleet_but_one_do_not_make_brittle_targets_fall() {
    assert_kills_of_all_but_one_borne(LARGE_FLEET, 81);
}

/// Guards against owners that change with each restart, and refusals of instances that can't tell the owner.
#[test]
fn kills_of_a_third_over_a_lossy_network_do_not_make_brittle_targets_fall() {
    for size in FLEETS.into_iter().chain([LARGE_FLEET]) {
        let mut simulation = start(size, 82, BURSTS);
        simulation.fleet.network = Network::UNRELIABLE;
        for round in 0..3 {
            simulation.restart_some(|idx| idx % 3 == round, back_after);
            simulation.run_ms(2_000);
        }
        assert_borne(&simulation, "thirds killed");
    }
}

/// Guards against a series of restarts in which nobody can tell who owns a target.
#[test]
fn restarts_one_after_the_other_do_not_make_brittle_targets_fall() {
    for size in FLEETS.into_iter().chain([LARGE_FLEET]) {
        let mut simulation = start(size, 81, BURSTS);
        for idx in 0..size.0.min(15) {
            simulation.restart_some(|other| other == idx, |_| 100);
            simulation.run_ms(100);
        }
        assert_borne(&simulation, "one each 200 ms");
    }
}

/// Guards against a part of the fleet that refuses all requests although the targets bear refusals of both parts.
#[test]
fn a_failure_domain_that_is_cut_off_serves_its_part() {
    for size in &FLEETS {
        for load in [BURSTS, single(3)] {
            let mut simulation = start(*size, 81, load);
            for other in 1..size.1 {
                simulation.fleet.partitions.push((0, other));
                simulation.fleet.partitions.push((other, 0));
            }
            simulation.run_ms(5_000);
            assert_eq!(simulation.falls(), 0);
            assert_borne(&simulation, &format!("a third cut off, {load:?}"));
        }
    }
}

/// Guards against parts of a fleet that together cause more refusals than a target bears.
#[test]
fn the_parts_of_a_fleet_share_the_refusals_that_a_target_bears() {
    let usable = |max_refusals, seen, known| {
        let part = FleetPart { seen, known };
        part.usable_refusals(max_refusals, Tenure::Settled)
    };
    for max_refusals in [2, 3, 6, 20, 100] {
        for known in [3, 8, 24, 75, 380] {
            for seen in 1..known {
                let both =
                    usable(max_refusals, seen, known) + usable(max_refusals, known - seen, known);
                assert!(both <= max_refusals, "{max_refusals}, {seen} of {known}");
            }
        }
    }
    let small_parts = usable(6, 1, 8) * 8;
    assert_eq!(small_parts, 0);
}

/// Guards against a new owner that uses what the former one has used up.
#[test]
fn a_new_owner_stays_within_what_a_settled_one_leaves() {
    let part = FleetPart::default();
    for max_refusals in 2..100 {
        let [new, settled] =
            [Tenure::New, Tenure::Settled].map(|tenure| part.usable_refusals(max_refusals, tenure));
        assert!(new >= 1 && new + settled <= max_refusals, "{max_refusals}");
    }
}

fn owners(fleet: &Fleet, now: Time) -> Vec<Owner> {
    let tables = (0..fleet.len()).map(|idx| fleet.tables(idx));
    let owners = tables.map(|tables| {
        let owner = tables.owner_of(&target("c1", "court"), now);
        match owner {
            Owner::Local => Owner::Peer(tables.local.name.clone()),
            owner => owner,
        }
    });
    owners.collect()
}

/// Guards against a second owner while the first one restarts.
#[test]
fn a_restart_does_not_change_the_owner() {
    let mut simulation = start((8, 3), 81, BURSTS);
    let before = owners(&simulation.fleet, simulation.fleet.now);
    let first = (0..8).find(|idx| {
        let name = simulation.fleet.tables(*idx).local.name.clone();
        before[*idx] == Owner::Peer(name)
    });
    simulation.fleet.kill(first.unwrap());
    simulation.run_ms(200);
    simulation.restart(first.unwrap());
    for _ in 0..10 {
        simulation.run_ms(20);
        assert_eq!(owners(&simulation.fleet, simulation.fleet.now), before);
    }
}

/// Guards against an instance that asks an owner again and again to which it can send nothing.
#[test]
fn an_owner_that_can_not_be_reached_is_passed_over_until_it_is_heard() {
    let mut simulation = start((8, 3), 81, BURSTS);
    let now = simulation.fleet.now;
    let c1 = target("c1", "court");
    let tables = simulation.fleet.tables_mut(0);
    let Owner::Peer(first) = tables.owner_of(&c1, now) else {
        panic!("a peer owns it");
    };
    tables.record_owner_unreached(&first, now);
    assert_ne!(tables.owner_of(&c1, now), Owner::Peer(first.clone()));
    simulation.fleet.run_ms(300);
    let now = simulation.fleet.now;
    let owner = simulation.fleet.tables(0).owner_of(&c1, now);
    assert_eq!(owner, Owner::Peer(first));
}

/// Guards against requests that are sent before anything is known of the targets.
#[test]
fn a_new_instance_refuses_requests_until_targets_have_reported() {
    let mut fleet = Fleet::start(3, 3, 81);
    fleet.run_ms(500);
    let now = fleet.now;
    let tables = fleet.tables_mut(0);
    let call = support::call("/file/1", Some("key-1"));
    tables.awaits_first_reports = true;
    assert!(!tables.ready());
    let _refusal = tables.admit(&call, 0, now).unwrap_err();
    let c1 = target("c1", "court");
    let reported = ReportedBrittleness::Brittle(6);
    tables.brittle.record(&c1, c1.born, reported, now, now);
    tables.awaits_first_reports = false;
    assert!(tables.ready());
    let _ticket = tables.admit(&call, 0, now).unwrap();
}

/// Guards against new instances that all ask the same targets, or many of them.
#[test]
fn a_new_instance_asks_a_few_targets_of_each_service() {
    let mut fleet = Fleet::start(8, 3, 81);
    let mut asked_by_all = std::collections::BTreeSet::new();
    for idx in 0..8 {
        let now = fleet.now;
        let tables = fleet.tables_mut(idx);
        tables
            .registry
            .put(target("c1", "court"), bluebellstage_core::Revision(1), now);
        let asked = tables.targets_to_ask_first(now);
        let courts = asked
            .iter()
            .filter(|asked| asked.service.as_str() == "court");
        assert_eq!((courts.count(), asked.len()), (1, 4));
        asked_by_all.extend(asked.into_iter().map(|target| target.id));
    }
    assert!(asked_by_all.len() > 8);
}
