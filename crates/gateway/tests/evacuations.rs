//! Evacuations of failure domains.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use bluebellstage_core::{FailureDomain, Revision};
use bluebellstage_gateway::decide::availability::Availability;
use bluebellstage_gateway::decide::drain_state::DrainState;
use bluebellstage_gateway::decide::evacuations::{
    DRAIN_PERIOD, EvacuationChange, Evacuations, EvacuationsVersion,
};
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::tables::{Refusal, Tables};
use bluebellstage_gateway::decide::target::Target;
use support::{adapter_at, at, call, config, draft, inform, peer, tables, target};

fn domain(name: &str) -> FailureDomain {
    FailureDomain::try_from(name).unwrap()
}

fn domains(names: &[&str]) -> BTreeSet<FailureDomain> {
    names.iter().map(|name| domain(name)).collect()
}

fn engine_in(name: &str, domain_name: &str, adapters: &[&str]) -> Target {
    Target {
        failure_domain: domain(domain_name),
        adapters: adapters.iter().map(|name| adapter_at(name, 1)).collect(),
        ..target(name, "writers")
    }
}

/// Returns an instance that knows these engines and a peer that orders loads on all of them.
fn with_engines(engines: Vec<Target>) -> Tables {
    let mut tables = tables();
    tables.peers.update(peer("holder", at(0)));
    for engine in engines {
        tables.residency.apply_registration(&engine, at(0));
        tables.registry.put(engine, Revision(2), at(0));
    }
    tables
}

fn evacuate(tables: &mut Tables, name: &str, revision: u64, ms: u64) {
    change(tables, name, true, revision, ms);
}

fn take_back(tables: &mut Tables, name: &str, revision: u64, ms: u64) {
    change(tables, name, false, revision, ms);
}

fn change(tables: &mut Tables, name: &str, evacuated: bool, revision: u64, ms: u64) {
    let stored = vec![(domain(name), evacuated)];
    let revision = Revision(revision);
    let known = tables.evacuations.apply_changes(stored, revision, at(ms));
    tables.record_evacuations(&known, at(ms));
}

fn pick(tables: &mut Tables, adapter: &str, ms: u64) -> Pick {
    let call = draft(adapter);
    let ticket = tables.admit(&call, 0, at(ms)).unwrap();
    tables.pick(&ticket, &call, &[], 0.5, at(ms))
}

/// Guards against requests to an evacuated domain, and against a herd of loads when it is left.
#[test]
fn an_evacuated_domain_is_left_within_the_drain_period() {
    let mut tables = with_engines(vec![
        engine_in("e1", "north", &["a1", "a2"]),
        engine_in("e2", "south", &["a2"]),
    ]);
    evacuate(&mut tables, "north", 2, 1_000);
    let Pick::Send {
        target, load_at, ..
    } = pick(&mut tables, "a1", 1_050)
    else {
        panic!("the adapter is only in the evacuated domain");
    };
    assert_eq!((target.as_str(), load_at[0].as_str()), ("e1", "e2"));
    for ms in [1_050, 2_000, 4_000] {
        let Pick::Send { target, .. } = pick(&mut tables, "a2", ms) else {
            panic!("another domain has the adapter");
        };
        assert_eq!(target.as_str(), "e2");
    }
    let closed_at = 1_000 + u64::try_from(DRAIN_PERIOD.as_millis()).unwrap();
    tables.peers.update(peer("holder", at(closed_at)));
    let Pick::Load(target) = pick(&mut tables, "a1", closed_at) else {
        panic!("nothing is sent to the evacuated domain any more");
    };
    assert_eq!(target.as_str(), "e2");
}

/// Guards against a request that waits for a target that will not come.
#[test]
fn with_all_domains_evacuated_nothing_can_run_a_request() {
    let mut tables = with_engines(vec![
        engine_in("e1", "north", &["a1"]),
        engine_in("e2", "south", &["a1"]),
    ]);
    evacuate(&mut tables, "north", 2, 0);
    evacuate(&mut tables, "south", 3, 0);
    assert_eq!(pick(&mut tables, "a1", 3_000), Pick::NoTarget);
}

/// Guards against requests to plain targets of an evacuated domain.
#[test]
fn plain_requests_leave_an_evacuated_domain_at_once() {
    let mut tables = with_engines(vec![
        Target {
            failure_domain: domain("north"),
            ..target("c1", "court")
        },
        Target {
            failure_domain: domain("south"),
            ..target("c2", "court")
        },
    ]);
    evacuate(&mut tables, "north", 2, 0);
    for ms in [0, 100, 5_000] {
        let call = call("/file/1", Some("key-1"));
        let ticket = tables.admit(&call, 0, at(ms)).unwrap();
        let Pick::Send { target, .. } = tables.pick(&ticket, &call, &[], 0.5, at(ms)) else {
            panic!("the other domain's target is free");
        };
        assert_eq!(target.as_str(), "c2");
    }
}

/// Guards against an instance that serves by an old list.
#[test]
fn an_instance_that_does_not_know_the_evacuations_is_not_ready() {
    let mut tables = support::tables();
    tables.evacuations = Evacuations::default();
    assert!(!tables.ready());
    let refused = tables.admit(&call("/file/1", Some("key-1")), 0, at(0));
    assert_eq!(refused.err(), Some(Refusal::StoreUnreachable));
    inform(&mut tables);
    assert!(tables.ready());
    assert!(!tables.adopt(config(1), at(0)));
}

/// Guards against an evacuation that a copy from a peer makes younger, or reverts.
#[test]
fn evacuations_spread_with_their_age() {
    let [mut store_reader, mut other] = [tables(), tables()];
    evacuate(&mut store_reader, "north", 7, 1_000);
    let version = store_reader.evacuations.version();
    assert!(other.evacuations.is_behind(version));
    assert!(!store_reader.evacuations.is_behind(version));
    let old = other.evacuations.copy(at(1_000)).unwrap();
    let copy = store_reader.evacuations.copy(at(2_200)).unwrap();
    assert_eq!(
        copy.domains,
        [(domain("north"), Duration::from_millis(1_200))]
    );
    let changes = other.evacuations.apply_copy(copy, at(2_500));
    assert_eq!(changes, [EvacuationChange::Begun(domain("north"))]);
    assert!(!other.evacuations.is_behind(version));
    assert_eq!(store_reader.evacuations.apply_copy(old, at(2_600)), []);
    let state = |ms| other.evacuations.state(&domain("north"), at(ms));
    assert_eq!(state(3_000), DrainState::Draining);
    assert_eq!(state(3_100), DrainState::Closed);
}

/// Guards against an entry that is removed and put again within a second, and told by a peer first.
#[test]
fn the_last_change_of_a_domain_decides() {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.is_known());
    evacuations.replace(&domains(&["north"]), Revision(5), at(0));
    let ahead = vec![(domain("north"), false), (domain("north"), true)];
    evacuations.apply_changes(ahead.clone(), Revision(7), at(100));
    assert_eq!(
        evacuations.state(&domain("north"), at(100)),
        DrainState::Closed
    );
    let late = vec![(domain("north"), false)];
    assert_eq!(evacuations.apply_changes(late, Revision(6), at(200)), []);
    let more = [ahead, vec![(domain("north"), false)]].concat();
    let changes = evacuations.apply_changes(more, Revision(8), at(300));
    assert_eq!(changes, [EvacuationChange::Lifted(domain("north"))]);
    assert_eq!(
        evacuations.replace(&domains(&["south"]), Revision(4), at(400)),
        []
    );
    let version = evacuations.version();
    assert_eq!(version.revision, Revision(8));
    assert!(!evacuations.is_behind(EvacuationsVersion {
        revision: Revision(9),
        ..version
    }));
}

/// Guards against a herd on targets that are cold when their domain is taken back.
#[test]
fn targets_are_taken_as_cold_when_their_domain_is_taken_back() {
    let mut tables = with_engines(vec![
        engine_in("e1", "north", &["a1"]),
        engine_in("e2", "south", &["a2"]),
    ]);
    let mut cfg = config(2);
    cfg.services[0].cold_start = Some(support::cold_start());
    tables.adopt(cfg, at(0));
    evacuate(&mut tables, "north", 2, 0);
    take_back(&mut tables, "north", 3, 10_000);
    let availability = |ms| {
        let target = tables.registry.all().next().unwrap();
        tables.availability(target, at(ms))
    };
    let left = Duration::from_secs(1);
    assert_eq!(
        availability(10_000),
        Availability::Cold(Duration::from_secs(3))
    );
    assert_eq!(availability(12_000), Availability::Cold(left));
    assert_eq!(availability(13_000), Availability::Open);
}
