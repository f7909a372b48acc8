//! Tests of how instances learn of the speed of targets from each other, in virtual time.

mod support;

use std::time::Duration;

use bluebellstage_gateway::decide::pace::PaceTarget;
use support::fleet::{Fleet, target_id};

/// Numbers of instances and failure domains.
const FLEETS: [(usize, usize); 3] = [(8, 3), (72, 3), (380, 18)];

/// Records one prompt of 1,000 tokens at a target.
fn read_prompt(fleet: &mut Fleet, idx: usize, target: usize, ms: u64) {
    let now = fleet.now;
    let tables = fleet.tables_mut(idx);
    let known = tables.registry.get(&target_id(target)).unwrap();
    let known = PaceTarget::from(known);
    let elapsed = Duration::from_millis(ms);
    tables.pace.record_prompt(known, 1_000, elapsed, now);
}

/// Predicted milliseconds for 1,000 prompt tokens.
fn reading_ms(fleet: &Fleet, idx: usize, target: usize) -> u128 {
    let tables = fleet.tables(idx);
    let known = tables.registry.get(&target_id(target)).unwrap();
    let speed = tables.pace.speed(PaceTarget::from(known), fleet.now);
    speed.reading_time(1_000).as_millis()
}

/// Each instance sees one outcome of a fast target, and every second one an outcome of a slow one.
fn fleet_with_outcomes(count: usize, domains: usize) -> Fleet {
    let mut fleet = Fleet::start(count, domains, 5);
    fleet.run_ms(2_500);
    for idx in 0..count {
        read_prompt(&mut fleet, idx, 0, 50);
        if idx % 2 == 1 {
            read_prompt(&mut fleet, idx, 1, 200);
        }
    }
    fleet
}

fn assert_known(fleet: &Fleet, instances: impl Iterator<Item = usize>) {
    for idx in instances.filter(|idx| fleet.is_running(*idx)) {
        let [fast, slow] = [0, 1].map(|target| reading_ms(fleet, idx, target));
        let count = fleet.len();
        assert!((50..80).contains(&fast), "i{idx} of {count}: {fast} ms");
        assert!((120..=200).contains(&slow), "i{idx} of {count}: {slow} ms");
    }
}

#[test]
fn every_instance_knows_the_speeds_that_all_have_measured() {
    for (count, domains) in FLEETS {
        let mut fleet = fleet_with_outcomes(count, domains);
        fleet.run_ms(2_000);
        assert_known(&fleet, 0..count);
    }
}

/// Guards against speeds that are lost with the relays that added them up.
#[test]
fn speeds_stay_known_when_relays_fail() {
    let mut fleet = fleet_with_outcomes(72, 3);
    fleet.run_ms(1_000);
    for idx in fleet.relays().into_iter().step_by(2) {
        fleet.kill(idx);
    }
    fleet.run_ms(3_000);
    assert_known(&fleet, 0..72);
}

/// An instance that restarts has no outcome of its own, and learns the speeds from the sums.
#[test]
fn a_restarted_instance_learns_the_speeds() {
    let mut fleet = fleet_with_outcomes(72, 3);
    fleet.run_ms(1_000);
    fleet.restart(40, true);
    fleet.run_ms(3_000);
    assert_known(&fleet, std::iter::once(40));
}
