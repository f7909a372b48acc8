//! Tests of targets that refuse requests and ask for rest.

mod support;

use std::time::Duration;

use bluebellstage_core::{Revision, TargetId};
use bluebellstage_gateway::decide::availability::Availability;
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::rests::{DEFAULT_MAX_REST, Rests};
use bluebellstage_gateway::decide::retry_after::when_targets_rest;
use bluebellstage_gateway::decide::tables::Tables;
use support::answering::{AnswerScenario, Simulation};
use support::fleet::{Fleet, Network};
use support::{at, draft, engine, peer, tables_with_engines};

const REST: Duration = Duration::from_secs(3);

const SCENARIO: AnswerScenario = AnswerScenario {
    targets: 9,
    leaving: 0,
    from_ms: 1_000,
    resting: 3,
    rest_ms: 3_000,
    resting_for_ms: 9_000,
    rate: 200,
};

fn id(name: &str) -> TargetId {
    TargetId::try_from(name).unwrap()
}

fn assert_rests_kept(simulation: &Simulation) {
    assert!(simulation.refusal_count > 0, "no target asked for rest");
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.refused, 0);
}

/// Guards against requests to a target that has asked the instance for rest.
#[test]
fn no_instance_sends_requests_to_a_target_that_asked_it_for_rest() {
    for (count, domains, rate) in [(8, 3, 200), (60, 3, 600), (195, 5, 1_000)] {
        let scenario = AnswerScenario { rate, ..SCENARIO };
        let mut simulation = scenario.start(Fleet::start(count, domains, 51));
        simulation.run_ms(6_000);
        assert_rests_kept(&simulation);
    }
}

/// Guards against a rest that late answers, cuts, freezes or restarts of instances end.
#[test]
fn rests_are_kept_under_cuts_freezes_and_restarts() {
    for seed in 0..6 {
        let mut fleet = Fleet::start(8, 3, seed);
        fleet.network = Network::UNRELIABLE;
        let mut simulation = SCENARIO.start(fleet);
        simulation.run_with_faults(8);
        assert_rests_kept(&simulation);
    }
}

/// Guards against all that waited for a target arriving in the moment in which its rest ends.
#[test]
fn one_request_at_a_time_follows_a_rest() {
    let scenario = AnswerScenario {
        resting: 1,
        rate: 4_000,
        ..SCENARIO
    };
    let mut simulation = scenario.start(Fleet::start(8, 3, 52));
    simulation.run_ms(3_900);
    let before_end = simulation.refusal_count;
    simulation.run_ms(4_000);
    let after_end = simulation.refusal_count - before_end;
    // Each instance asks after the first rest and after the second; an answer in twenty is late.
    let asked = 2 * simulation.fleet.len();
    assert!((1..=2 * asked).contains(&after_end), "{after_end} refusals");
}

fn pick(tables: &mut Tables, adapter: &str, tried: &[TargetId], ms: u64) -> Pick {
    tables.peers.update(peer("holder", at(ms)));
    let call = draft(adapter);
    let ticket = tables.admit(&call, 0, at(ms)).unwrap();
    tables.pick(&ticket, &call, tried, 0.5, at(ms))
}

/// Guards against requests that follow their adapter to an engine that rests.
#[test]
fn adapters_of_a_resting_engine_are_loaded_elsewhere() {
    let mut tables = tables_with_engines(&[engine("e1", 1, &["a1"]), engine("e2", 1, &[])]);
    tables.rests.record(&id("e1"), Some(1), REST, at(0));
    assert_eq!(pick(&mut tables, "a1", &[], 100), Pick::Load(id("e2")));
}

/// Guards against a caller that waits, or is told that nothing can run its request, while all targets rest.
#[test]
fn with_all_targets_resting_the_first_end_is_told() {
    let mut tables = tables_with_engines(&[engine("e1", 1, &["a1"]), engine("e2", 1, &["a1"])]);
    tables.rests.record(&id("e1"), Some(1), REST, at(0));
    tables.rests.record(&id("e2"), Some(1), REST, at(500));
    let left = Duration::from_secs(2);
    for tried in [Vec::new(), vec![id("e1")], vec![id("e1"), id("e2")]] {
        assert_eq!(
            pick(&mut tables, "a1", &tried, 1_000),
            Pick::Resting { left }
        );
    }
    assert!(matches!(
        pick(&mut tables, "a1", &[], 3_000),
        Pick::Send { target, .. } if target == id("e1")
    ));
}

/// Guards against a later, shorter rest that ends a longer one, and one that lasts for a day.
#[test]
fn the_longest_rest_holds_up_to_the_limit() {
    let mut rests = Rests::default();
    let target = engine("e1", 1, &[]);
    assert!(rests.record(&id("e1"), Some(1), REST, at(0)));
    assert!(!rests.record(&id("e1"), Some(1), Duration::from_secs(1), at(100)));
    assert_eq!(rests.time_left(&target, at(1_000)), Duration::from_secs(2));
    assert!(!rests.record(&id("e1"), Some(1), REST, at(1_000)));
    assert_eq!(rests.time_left(&target, at(1_000)), REST);
    let day = Duration::from_hours(24);
    rests.record(&id("e1"), Some(1), day, at(2_000));
    assert_eq!(rests.time_left(&target, at(2_000)), DEFAULT_MAX_REST);
    assert!(!rests.record_taken(&id("e1"), at(2_000)));
}

/// Guards against a rest that the next process with the same name is left alone for.
#[test]
fn a_rest_holds_for_one_incarnation() {
    let mut tables = tables_with_engines(&[engine("e1", 1, &["a1"])]);
    tables.rests.record(&id("e1"), Some(1), REST, at(0));
    let availability = |tables: &Tables| {
        let target = tables.registry.get(&id("e1")).unwrap();
        tables.availability(target, at(1_000))
    };
    let left = Duration::from_secs(2);
    assert_eq!(availability(&tables), Availability::Resting(left));
    tables
        .registry
        .put(engine("e1", 7, &["a1"]), Revision(3), at(1_000));
    assert_eq!(availability(&tables), Availability::Open);
}

/// Guards against a target that stays on trial after it has taken a request.
#[test]
fn a_target_is_on_trial_until_it_takes_a_request() {
    let mut rests = Rests::default();
    let target = engine("e1", 1, &[]);
    rests.record(&id("e1"), Some(1), REST, at(0));
    assert!(rests.time_left(&target, at(3_000)).is_zero());
    rests.record_sent(&id("e1"), at(3_000));
    let pause = rests.time_left(&target, at(3_001));
    assert!(!pause.is_zero() && pause < Duration::from_millis(500));
    assert!(!rests.record_taken(&id("e1"), at(2_900)));
    assert!(rests.record_taken(&id("e1"), at(3_000)));
    assert!(rests.time_left(&target, at(3_002)).is_zero());
}

/// Guards against callers that are told a time that they do not follow.
#[test]
fn callers_are_told_the_end_of_a_rest_within_what_they_follow() {
    let timeout = Some(Duration::from_secs(15));
    let told = |left: u64, sample| when_targets_rest(Duration::from_millis(left), timeout, sample);
    assert_eq!(told(1_000, 0.0), Duration::from_secs(1));
    assert_eq!(told(1_000, 0.5), Duration::from_millis(1_120));
    assert_eq!(told(60_000, 0.0), Duration::from_secs(3));
    assert_eq!(told(60_000, 1.0), Duration::from_millis(1_500));
}
