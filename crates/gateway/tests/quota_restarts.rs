//! Quotas while instances are killed: in a fleet whose failure domains are cut off from each other, and in series, in
//! virtual time.

mod support;

use bluebellstage_gateway::decide::config::Quota;
use support::fleet::Fleet;
use support::quota;

/// Tokens a second of the workspace, and its burst.
const RATE: u64 = 250_000;
/// Tokens of a request.
const DRAFT: u64 = 1_300;
/// Tokens that are allowed above 110 % of the quota.
const SLACK: u64 = 17_000;
const STEPS_PER_SECOND: u64 = 100;
/// What the workspace asks for, in multiples of its rate.
const DEMAND: u64 = 5;
/// Time until a killed instance runs again, in steps.
const DOWN_STEPS: u64 = 50;
const CUT_AT_STEP: u64 = 200;
const KILLED_AT_STEP: u64 = 300;
const END_STEP: u64 = 1_100;
/// Time between two kills of all instances, in steps.
const KILL_INTERVAL_STEPS: u64 = 200;

/// Runs a fleet of which the first failure domain can't hear the others. Instances in the failure domains `killed` are
/// killed meanwhile. Returns the most tokens that were admitted in eight seconds.
fn most_admitted(count: usize, seed: u64, killed: &[usize]) -> u64 {
    let limit = quota(RATE, RATE);
    let mut fleet = Fleet::with_quota(count, 3, seed, limit);
    fleet.run_ms(3_000);
    let is_killed = |idx: &usize| killed.contains(&(idx % 3));
    let mut admitted = Vec::new();
    for step in 0..END_STEP {
        match step {
            CUT_AT_STEP => fleet.partitions = vec![(0, 1), (0, 2), (1, 0), (2, 0)],
            KILLED_AT_STEP => (0..count).filter(is_killed).for_each(|idx| fleet.kill(idx)),
            back if back == KILLED_AT_STEP + DOWN_STEPS => (0..count)
                .filter(is_killed)
                .for_each(|idx| fleet.restart(idx, false)),
            _ => {}
        }
        admitted.push(run_step(&mut fleet, limit));
    }
    most_in_a_window(&admitted)
}

/// Sends what the workspace asks for in a step. Returns the tokens that were admitted.
fn run_step(fleet: &mut Fleet, limit: Quota) -> u64 {
    let mut tokens = 0;
    for _ in 0..RATE * DEMAND / STEPS_PER_SECOND / DRAFT {
        let idx = fleet.random_below(fleet.len());
        if fleet.is_running(idx) && fleet.charge(idx, limit, DRAFT) {
            tokens += DRAFT;
        }
    }
    fleet.run_ms(1_000 / STEPS_PER_SECOND);
    tokens
}

/// Returns the most tokens that were admitted in eight seconds.
fn most_in_a_window(admitted: &[u64]) -> u64 {
    let window = usize::try_from(8 * STEPS_PER_SECOND).unwrap();
    let totals = admitted.windows(window).map(|window| window.iter().sum());
    totals.max().unwrap()
}

fn assert_within_quota(count: usize, killed: &[usize]) {
    let allowed = (RATE * 8 + RATE) * 11 / 10 + SLACK;
    let most = [17, 18, 19].map(|seed| most_admitted(count, seed, killed));
    println!("{count} instances, killed {killed:?}: {most:?} of {allowed}");
    let worst = most.into_iter().max().unwrap();
    assert!(worst <= allowed, "{count} instances: {worst} of {allowed}");
}

/// Guards against parts of a fleet that spend a quota each while they are cut off from each other for a few seconds.
#[test]
fn parts_of_a_fleet_stay_within_a_quota() {
    assert_within_quota(9, &[]);
}

/// Guards against parts of a fleet with relays that spend a quota each while they are cut off.
#[test]
fn parts_of_a_relayed_fleet_stay_within_a_quota() {
    assert_within_quota(60, &[]);
}

/// Guards against new processes in a part that is cut off, which forget that instances that they can't hear may spend.
#[test]
fn a_part_that_restarts_leaves_the_others_their_share_of_a_quota() {
    assert_within_quota(9, &[0]);
}

/// Guards against new processes in a part of a fleet with relays, which forget instances that they can't hear.
#[test]
fn a_part_of_a_relayed_fleet_that_restarts_leaves_the_others_their_share_of_a_quota() {
    assert_within_quota(60, &[0]);
}

/// Guards against new processes in all parts of a fleet, which spend a quota for each part.
#[test]
fn parts_that_all_restart_stay_within_a_quota() {
    assert_within_quota(9, &[0, 1, 2]);
}

/// Guards against new processes in all parts of a fleet with relays, which spend a quota for each part.
#[test]
fn parts_of_a_relayed_fleet_that_all_restart_stay_within_a_quota() {
    assert_within_quota(60, &[0, 1, 2]);
}

/// Guards against a part of the burst for each of several kills of all instances of a small fleet.
#[test]
fn kills_of_all_instances_in_series_stay_within_a_quota() {
    let limit = quota(RATE, RATE * 2);
    for count in [1, 3, 8] {
        let mut fleet = Fleet::with_quota(count, 3, 18, limit);
        fleet.run_ms(3_000);
        let mut admitted = Vec::new();
        for step in 0..END_STEP {
            match step % KILL_INTERVAL_STEPS {
                0 if step > 0 => (0..count).for_each(|idx| fleet.kill(idx)),
                DOWN_STEPS if step > DOWN_STEPS => {
                    (0..count).for_each(|idx| fleet.restart(idx, false));
                }
                _ => {}
            }
            admitted.push(run_step(&mut fleet, limit));
        }
        let most = most_in_a_window(&admitted);
        let allowed = (RATE * 8 + RATE * 2) * 11 / 10 + SLACK;
        println!("{count} instances: {most} of {allowed}");
        assert!(most <= allowed, "{count} instances: {most} of {allowed}");
    }
}
