//! Tests of targets that report in their responses that they leave.

mod support;

use std::time::Duration;

use bluebellstage_core::{Revision, TargetId};
use bluebellstage_gateway::decide::availability::Availability;
use bluebellstage_gateway::decide::departures::{DRAIN_PERIOD, Departures};
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::tables::Tables;
use support::answering::{AnswerScenario, Simulation};
use support::fleet::{Fleet, Network};
use support::{at, draft, engine, peer, tables_with_engines};

const SCENARIO: AnswerScenario = AnswerScenario {
    targets: 9,
    leaving: 2,
    from_ms: 1_000,
    resting: 0,
    rest_ms: 0,
    resting_for_ms: 0,
    rate: 200,
};

fn id(name: &str) -> TargetId {
    TargetId::try_from(name).unwrap()
}

fn assert_left_alone(simulation: &Simulation) {
    let told = (0..SCENARIO.leaving).map(|number| simulation.instances_told(number));
    assert!(told.sum::<usize>() > 0, "no instance was told");
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.refused, 0);
}

/// Guards against a report that is not acted on while the store says that the target is ready.
#[test]
fn no_instance_sends_requests_to_a_target_that_told_it_that_it_leaves() {
    for (count, domains, rate) in [(8, 3, 200), (60, 3, 600), (195, 5, 1_000)] {
        let scenario = AnswerScenario { rate, ..SCENARIO };
        let mut simulation = scenario.start(Fleet::start(count, domains, 41));
        simulation.run_ms(6_000);
        assert_left_alone(&simulation);
    }
}

/// Guards against a belief that copies, restarts or freezes end.
#[test]
fn leaving_targets_are_left_alone_under_cuts_freezes_and_restarts() {
    for seed in 0..6 {
        let mut fleet = Fleet::start(8, 3, seed);
        fleet.network = Network::UNRELIABLE;
        let mut simulation = SCENARIO.start(fleet);
        simulation.run_ms(2_000);
        simulation.run_with_faults(10);
        simulation.run_ms(3_000);
        assert_left_alone(&simulation);
    }
}

fn pick(tables: &mut Tables, adapter: &str, ms: u64) -> Pick {
    tables.peers.update(peer("holder", at(ms)));
    let call = draft(adapter);
    let ticket = tables.admit(&call, 0, at(ms)).unwrap();
    tables.pick(&ticket, &call, &[], 0.5, at(ms))
}

/// Guards against a wait for each adapter that only the leaving engine holds.
#[test]
fn adapters_of_a_leaving_engine_are_loaded_elsewhere_while_it_still_serves_them() {
    let mut tables =
        tables_with_engines(&[engine("e1", 1, &["a1", "a2"]), engine("e2", 1, &["a2"])]);
    tables.departures.record(&id("e1"), Some(1), at(1_000));
    let Pick::Send {
        target, load_at, ..
    } = pick(&mut tables, "a1", 1_100)
    else {
        panic!("only the leaving engine holds it");
    };
    assert_eq!((target.as_str(), load_at[0].as_str()), ("e1", "e2"));
    let Pick::Send { target, .. } = pick(&mut tables, "a2", 1_100) else {
        panic!("another engine holds it");
    };
    assert_eq!(target.as_str(), "e2");
    let closed_at = 1_000 + u64::try_from(DRAIN_PERIOD.as_millis()).unwrap();
    assert_eq!(pick(&mut tables, "a1", closed_at), Pick::Load(id("e2")));
}

/// Guards against a report that holds for the next process with the same name, or ends with an older
/// registration.
#[test]
fn a_report_holds_for_one_incarnation() {
    let mut tables = tables_with_engines(&[engine("e1", 1, &["a1"])]);
    tables.departures.record(&id("e1"), Some(1), at(0));
    let availability = |tables: &Tables, ms| {
        let target = tables.registry.get(&id("e1")).unwrap();
        tables.availability(target, at(ms))
    };
    tables
        .registry
        .put(engine("e1", 1, &[]), Revision(5), at(2_000));
    assert_eq!(availability(&tables, 2_000), Availability::Closed);
    assert_eq!(tables.sweep_departures(at(2_000)), []);
    tables
        .registry
        .put(engine("e1", 7, &[]), Revision(6), at(3_000));
    assert_eq!(availability(&tables, 3_000), Availability::Open);
    assert_eq!(tables.sweep_departures(at(3_000)), [id("e1")]);
    assert_eq!(tables.departures.count(), 0);
}

/// Guards against a registration that expires in an outage of the store and comes back as if nothing was
/// reported, and against reports that are kept forever.
#[test]
fn a_report_outlasts_an_expired_registration_for_two_minutes() {
    let mut departures = Departures::default();
    assert!(departures.record(&id("c1"), Some(1), at(0)));
    assert!(!departures.record(&id("c1"), Some(1), at(500)));
    assert_eq!(departures.sweep(|_| None, at(60_000)), []);
    assert_eq!(departures.sweep(|_| Some(Some(1)), at(100_000)), []);
    let back = engine("c1", 1, &[]);
    assert_eq!(
        departures.age(&back, at(100_000)),
        Some(Duration::from_secs(100))
    );
    assert_eq!(departures.sweep(|_| None, at(219_000)), []);
    assert_eq!(departures.sweep(|_| None, at(220_000)), [id("c1")]);
}

/// Guards against a request that waits for targets that will not come back.
#[test]
fn with_all_targets_leaving_nothing_can_run_a_request() {
    let mut tables = tables_with_engines(&[engine("e1", 1, &["a1"]), engine("e2", 1, &["a1"])]);
    for name in ["e1", "e2"] {
        tables.departures.record(&id(name), Some(1), at(0));
    }
    assert_eq!(pick(&mut tables, "a1", 2_000), Pick::NoTarget);
}
