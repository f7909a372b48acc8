//! Tests of brittle targets before fleets of several sizes.

mod support;

use std::time::Duration;

use bluebellstage_core::Time;
use bluebellstage_gateway::decide::brittle::{BrittleReport, BrittleTargets, ReportedBrittleness};
use bluebellstage_gateway::decide::owner::{Owner, Way};
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use support::brittle::{MAX_REFUSALS, Simulation};
use support::fleet::{Fleet, Network};
use support::{at, target};

/// Numbers of instances, failure domains and targets, and requests a second.
const FLEETS: [(usize, usize, usize, u64); 3] =
    [(8, 3, 6, 200), (75, 3, 6, 200), (380, 18, 30, 600)];

/// Requests that a target runs at once.
const SLOTS: u32 = 6;

/// Falls that users allow in one time in which a service's targets are brittle.
fn allowed_falls(targets: usize) -> usize {
    2 + targets / 10
}

/// Starts fleets of these sizes whose instances were told that the targets are brittle.
fn fleets(
    sizes: &[(usize, usize, usize, u64)],
    seed: u64,
) -> impl Iterator<Item = Simulation> + use<'_> {
    sizes
        .iter()
        .map(move |(instances, domains, targets, rate)| {
            let fleet = Fleet::start(*instances, *domains, seed);
            let mut simulation = Simulation::start(fleet, *targets, SLOTS);
            simulation.rate = *rate;
            simulation
        })
}

/// Guards against instances that together send more to a full target than it bears to refuse.
#[test]
fn full_brittle_targets_refuse_no_more_than_they_bear() {
    for mut simulation in fleets(&FLEETS, 71) {
        simulation.run_ms(200);
        simulation.set_full(0, true);
        simulation.set_full(1, true);
        simulation.run_ms(1_500);
        assert!(simulation.worst_second() <= usize::try_from(MAX_REFUSALS).unwrap());
        assert_eq!(simulation.falls(), 0);
        simulation.assert_served();
    }
}

/// Guards against a thundering herd: many instances that see the same room at once.
#[test]
fn bursts_at_many_instances_do_not_make_brittle_targets_fall() {
    for mut simulation in fleets(&FLEETS[..2], 72) {
        simulation.burst = 100;
        simulation.run_ms(1_500);
        simulation.set_full(0, true);
        simulation.run_ms(1_500);
        assert_eq!(simulation.falls(), 0);
    }
}

/// Guards against an owner that sends as many requests as a large target has slots before it hears the first refusal.
#[test]
fn full_targets_with_many_slots_refuse_no_more_than_they_bear() {
    let mut simulation = Simulation::start(Fleet::start(8, 3, 78), 2, 64);
    simulation.rate = 400;
    simulation.burst = 100;
    simulation.run_ms(500);
    simulation.set_full(0, true);
    simulation.run_ms(2_000);
    assert!(simulation.worst_second() > 0);
    assert!(simulation.worst_second() <= usize::try_from(MAX_REFUSALS).unwrap());
}

/// Guards against restarted instances that know nothing of brittle targets, nor of their owners' refusals.
#[test]
fn restarts_in_series_do_not_make_brittle_targets_fall() {
    for mut simulation in fleets(&FLEETS[..2], 73) {
        simulation.fleet.network = Network::UNRELIABLE;
        simulation.burst = 20;
        simulation.set_full(0, true);
        for round in 0..6 {
            simulation.run_ms(300);
            let killed = (0..simulation.fleet.len()).filter(|idx| idx % 3 == round % 3);
            let killed = killed.collect::<Vec<_>>();
            for idx in &killed {
                simulation.fleet.kill(*idx);
            }
            simulation.run_ms(200);
            for idx in killed {
                simulation.restart(idx);
            }
        }
        simulation.run_ms(1_500);
        assert!(
            simulation.falls() <= allowed_falls(6),
            "{}",
            simulation.falls()
        );
    }
}

/// Guards against two parts of a fleet that both send as the owner.
#[test]
fn partitioned_fleets_do_not_make_brittle_targets_fall() {
    for mut simulation in fleets(&FLEETS[..2], 74) {
        simulation.set_full(0, true);
        simulation.run_ms(500);
        for other in 1..18 {
            simulation.fleet.partitions.push((0, other));
            simulation.fleet.partitions.push((other, 0));
        }
        simulation.run_ms(3_000);
        simulation.fleet.partitions.clear();
        simulation.run_ms(1_000);
        assert_eq!(simulation.falls(), 0);
    }
}

/// Guards against many small parts of a fleet that each send as the owner.
#[test]
fn a_fleet_in_three_parts_does_not_make_brittle_targets_fall() {
    let mut simulation = Simulation::start(Fleet::start(9, 3, 79), 2, 64);
    simulation.rate = 400;
    simulation.burst = 100;
    for from in 0..3 {
        let others = (0..3).filter(|to| *to != from);
        let cut = others.map(|to| (from, to));
        simulation.fleet.partitions.extend(cut);
    }
    simulation.run_ms(2_000);
    simulation.set_full(0, true);
    simulation.run_ms(2_000);
    assert_eq!(simulation.falls(), 0);
}

fn brittle(max_refusals: u32) -> ReportedBrittleness {
    ReportedBrittleness::Brittle(max_refusals)
}

fn now() -> Time {
    at(0)
}

/// Guards against a target that is taken for a sound one because it has not spoken since it fell.
#[test]
fn a_new_incarnation_counts_as_brittle_until_it_speaks() {
    let mut targets = BrittleTargets::default();
    let fallen = target("c1", "court");
    targets.record(&fallen, Some(1), brittle(6), now(), now());
    let back = bluebellstage_gateway::decide::target::Target {
        born: Some(2),
        ..fallen
    };
    let other = target("c2", "court");
    let of_other_service = target("e1", "writers");
    assert_eq!(targets.max_refusals(&back, now()), Some(6));
    assert_eq!(targets.max_refusals(&other, now()), Some(6));
    assert_eq!(targets.max_refusals(&of_other_service, now()), None);
    let later = now() + Duration::from_millis(10);
    targets.record(&back, Some(2), ReportedBrittleness::None, later, later);
    assert_eq!(targets.max_refusals(&back, later), None);
    assert_eq!(targets.max_refusals(&other, later), Some(6));
}

/// Guards against a report that holds for good where nobody speaks any more.
#[test]
fn a_report_ends_after_a_time_without_a_word() {
    let mut targets = BrittleTargets::default();
    let target = target("c1", "court");
    targets.record(&target, Some(1), brittle(6), now(), now());
    let later = now() + Duration::from_secs(14);
    assert_eq!(targets.max_refusals(&target, later), Some(6));
    let later = now() + Duration::from_secs(15);
    assert_eq!(targets.max_refusals(&target, later), None);
    assert!(targets.is_empty(later));
}

/// Guards against an end of brittleness by an answer to a request from before the report.
#[test]
fn an_earlier_answer_does_not_withdraw_a_report() {
    let mut targets = BrittleTargets::default();
    let target = target("c1", "court");
    let later = now() + Duration::from_millis(10);
    targets.record(&target, Some(1), brittle(6), later, later);
    targets.record(&target, Some(1), ReportedBrittleness::None, now(), later);
    assert_eq!(targets.max_refusals(&target, later), Some(6));
    let last = later + Duration::from_millis(20);
    targets.record(&target, Some(1), brittle(6), last, last);
    let between = later + Duration::from_millis(10);
    targets.record(&target, Some(1), ReportedBrittleness::None, between, last);
    assert_eq!(targets.max_refusals(&target, last), Some(6));
}

/// Guards against an answer from before the trouble that makes an instance which was only told take a target for sound.
#[test]
fn an_earlier_answer_does_not_withdraw_what_others_told() {
    let mut targets = BrittleTargets::default();
    let told = BrittleReport {
        service: ShortHash::of("court"),
        max_refusals: 6,
        age_ms: 0,
    };
    let target = target("c1", "court");
    let [begun, renewed, answered] = [10, 200, 210].map(|ms| now() + Duration::from_millis(ms));
    targets.apply(&told, begun);
    targets.apply(&told, renewed);
    let sound = ReportedBrittleness::None;
    targets.record(&target, Some(1), sound, now(), answered);
    assert_eq!(targets.max_refusals(&target, answered), Some(6));
    let since = begun + Duration::from_millis(1);
    targets.record(&target, Some(1), sound, since, answered);
    assert_eq!(targets.max_refusals(&target, answered), None);
}

/// Guards against two instances that both take themselves for the owner, and against a target without one.
#[test]
fn each_target_has_one_owner() {
    for mut simulation in fleets(&FLEETS[..2], 75) {
        simulation.run_ms(500);
        let now = simulation.fleet.now;
        for number in 0..20 {
            let target = target(&format!("c{number}"), "court");
            let owners = (0..simulation.fleet.len())
                .filter(|idx| simulation.fleet.tables(*idx).owner_of(&target, now) == Owner::Local);
            assert_eq!(owners.count(), 1);
        }
    }
}

/// Guards against an instance that sends to a brittle target which it does not own.
#[test]
fn others_forward_requests_to_the_owner() {
    let mut simulation = Simulation::start(Fleet::start(8, 3, 76), 2, SLOTS);
    let now = simulation.fleet.now;
    let id = target("c1", "court").id;
    let ways = (0..8).map(|idx| {
        let tables = simulation.fleet.tables_mut(idx);
        let call = support::call("/file/1", Some("key-1"));
        let ticket = tables.admit(&call, 0, now).unwrap();
        let _updates_the_owners = tables.pick(&ticket, &call, &[], 0.5, now);
        tables.way_to(&id, now)
    });
    let ways = ways.collect::<Vec<_>>();
    let forwarded = ways.iter().filter(|way| matches!(way, Way::Owner(_)));
    assert_eq!(forwarded.count(), 7);
    let charged_at = Some(now);
    assert!(ways.contains(&Way::Direct { charged_at }));
}

/// Guards against a sound target that others leave to the owner that it had while it was brittle.
#[test]
fn a_target_that_is_sound_again_is_used_by_all() {
    let mut simulation = Simulation::start(Fleet::start(8, 3, 77), 2, SLOTS);
    let now = simulation.fleet.now;
    let sound = target("c1", "court");
    for idx in 0..8 {
        let tables = simulation.fleet.tables_mut(idx);
        let call = support::call("/file/1", Some("key-1"));
        let mut ticket = tables.admit(&call, 0, now).unwrap();
        let _updates_the_owners = tables.pick(&ticket, &call, &[], 0.5, now);
        let reported = ReportedBrittleness::None;
        tables
            .brittle
            .record(&sound, sound.born, reported, now, now);
        ticket.may_go_to_owner = false;
        let tried = [target("c0", "court").id];
        let pick = tables.pick(&ticket, &call, &tried, 0.5, now);
        assert!(matches!(pick, Pick::Send { target, .. } if target == sound.id));
        assert_eq!(
            tables.way_to(&sound.id, now),
            Way::Direct { charged_at: None }
        );
    }
}
