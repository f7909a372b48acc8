//! Tests of rate limits that targets report for all instances together.

mod support;

use bluebellstage_core::{Revision, TargetId};
use bluebellstage_gateway::decide::limits::{
    Change, LimitReport, Limits, ReportedLimit, RequestRate,
};
use bluebellstage_gateway::decide::placement::Pick;
use support::fleet::{Fleet, Network};
use support::limited::{LimitScenario, Simulation, allowed};
use support::{at, call, draft, peer, tables};

/// When the targets start to report limits, in milliseconds.
const LIMITS_FROM_MS: u64 = 2_000;
/// Time after that from which the limits must be kept, in milliseconds.
const PROPAGATION_MS: u64 = 3_000;

/// Creates a scenario in which two of six targets report a limit.
fn two_limited_targets(rate: u64) -> LimitScenario {
    LimitScenario {
        targets: 6,
        limits: vec![1_900, 3_700],
        rate,
        from_ms: LIMITS_FROM_MS,
        for_ms: 60_000,
    }
}

fn assert_limits_kept(simulation: &Simulation, limits: &[u32], what: &str) {
    for (target, limit) in limits.iter().enumerate() {
        let arrivals = simulation.max_arrivals_in_a_window(target, LIMITS_FROM_MS + PROPAGATION_MS);
        assert!(
            arrivals <= allowed(*limit),
            "{what}, c{target}: {arrivals} in 4 s"
        );
    }
}

/// Guards against a limit that each instance applies to its own requests alone, or that is not read at all.
#[test]
fn all_instances_together_stay_within_a_limit() {
    for (count, domains, rate) in [(6, 3, 60), (75, 3, 150), (195, 5, 200)] {
        let scenario = two_limited_targets(rate);
        let limits = scenario.limits.clone();
        let mut simulation = scenario.start(Fleet::start(count, domains, 21));
        simulation.run_ms(20_000);
        assert_limits_kept(&simulation, &limits, &format!("{count} instances"));
    }
}

/// Guards against uncounted spending while relays are killed and instances freeze and restart.
#[test]
fn a_limit_holds_while_relays_are_killed_and_instances_freeze_and_restart() {
    let limits = [1_900, 3_700, 2_000, 5_000];
    let scenario = LimitScenario {
        limits: limits.to_vec(),
        targets: 4,
        ..two_limited_targets(150)
    };
    let mut simulation = scenario.start(Fleet::start(75, 3, 31));
    simulation.run_ms(LIMITS_FROM_MS + PROPAGATION_MS);
    for step in 0..4 {
        let relays = simulation.fleet.relays();
        let relay = relays[step % relays.len()];
        simulation.fleet.kill(relay);
        simulation.run_ms(800);
        simulation.restart(relay, step % 2 == 0);
        let frozen = simulation.fleet.random_below(75);
        simulation.fleet.suspend(frozen);
        simulation.run_ms(800);
        simulation.fleet.resume(frozen);
    }
    assert_limits_kept(&simulation, &limits, "relays die");
}

/// Guards against requests that wait or fail for a limited target although others have free capacity.
#[test]
fn requests_beyond_a_limit_go_to_other_targets() {
    let mut simulation = two_limited_targets(60).start(Fleet::start(6, 3, 22));
    simulation.run_ms(10_000);
    assert_eq!(simulation.refused, 0);
}

/// Guards against a lifted limit that goes unnoticed because no instance sends requests to the target any
/// more.
#[test]
fn a_target_whose_limit_was_lifted_is_used_again() {
    for limit in [0, 1_900] {
        let scenario = LimitScenario {
            limits: vec![limit],
            for_ms: 6_000,
            ..two_limited_targets(60)
        };
        let mut simulation = scenario.start(Fleet::start(6, 3, 23));
        simulation.run_ms(18_000);
        let before = simulation.arrived(0, 0..LIMITS_FROM_MS);
        let meanwhile = simulation.arrived(0, 4_000..8_000);
        let after = simulation.arrived(0, 16_000..18_000);
        assert!(meanwhile <= allowed(limit), "{limit}: {meanwhile}");
        assert!(after * 2 >= before, "{limit}: {after} after {before}");
    }
}

/// Guards against a report that relays send to each other forever, each taking it for new: the limit would
/// never become old.
#[test]
fn limit_reports_age_in_a_relayed_fleet() {
    let mut fleet = Fleet::start(45, 3, 24);
    fleet.network = Network::UNRELIABLE;
    let mut simulation = two_limited_targets(0).start(fleet);
    let id = target("c0");
    let now = simulation.fleet.now;
    let first = simulation.fleet.tables_mut(7);
    first.record_reported_limit(&id, ReportedLimit::Limit(rate(1_000)), now, now);
    simulation.fleet.run_ms(500);
    let knows = |simulation: &Simulation, idx: usize| {
        simulation.fleet.tables(idx).limits.get(&id).is_some()
    };
    assert!((0..45).all(|idx| knows(&simulation, idx)));
    simulation.fleet.run_ms(2_000);
    let fresh = (0..45).filter(|idx| {
        let limits = &simulation.fleet.tables(*idx).limits;
        !limits.may_be_lifted(&id, simulation.fleet.now)
    });
    assert_eq!(fresh.collect::<Vec<_>>(), Vec::<usize>::new());
}

fn target(id: &str) -> TargetId {
    TargetId::try_from(id).unwrap()
}

fn rate(milli: u32) -> RequestRate {
    RequestRate::from_milli(milli)
}

/// Guards against a response to a request that was in flight when the limit was reported: it must not lift
/// the limit.
#[test]
fn a_response_to_an_earlier_request_does_not_lift_a_limit() {
    let mut limits = Limits::default();
    let id = target("c0");
    let reported = limits.record_response(&id, ReportedLimit::Limit(rate(3_000)), at(0), at(20));
    assert_eq!(reported, Change::Limited(rate(3_000)));
    let late = limits.record_response(&id, ReportedLimit::Unlimited, at(10), at(30));
    assert_eq!(
        (late, limits.get(&id)),
        (Change::Unchanged, Some(rate(3_000)))
    );
    let lifted = limits.record_response(&id, ReportedLimit::Unlimited, at(25), at(40));
    assert_eq!((lifted, limits.get(&id)), (Change::Lifted, None));
}

#[test]
fn a_malformed_limit_is_ignored() {
    let mut limits = Limits::default();
    let id = target("c0");
    limits.record_response(&id, ReportedLimit::Limit(rate(3_000)), at(0), at(20));
    let change = limits.record_response(&id, ReportedLimit::Malformed, at(30), at(40));
    assert_eq!(
        (change, limits.get(&id)),
        (Change::Unchanged, Some(rate(3_000)))
    );
}

/// Guards against a delayed report that overwrites a newer one.
#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut limits = Limits::default();
    let id = target("c0");
    let report = |limit, age_ms| LimitReport {
        target: target("c0"),
        limit,
        age_ms,
    };
    let first = limits.apply(&report(Some(rate(2_000)), 50), at(100));
    assert_eq!(first, Some(Change::Limited(rate(2_000))));
    assert_eq!(
        limits.apply(&report(None, 10), at(110)),
        Some(Change::Lifted)
    );
    assert_eq!(limits.apply(&report(Some(rate(2_000)), 70), at(120)), None);
    assert_eq!(limits.get(&id), None);
}

#[test]
fn limits_of_removed_targets_are_dropped() {
    let mut limits = Limits::default();
    limits.record_response(
        &target("c0"),
        ReportedLimit::Limit(rate(3_000)),
        at(0),
        at(20),
    );
    let forgotten = limits.remove_gone(|id| id.as_str() == "c0");
    assert_eq!(forgotten, [target("c0")]);
    assert!(limits.is_empty());
}

/// Guards against loading adapters on a target that can serve few requests.
#[test]
fn no_adapter_is_loaded_on_a_rate_limited_engine() {
    let mut tables = tables();
    let now = at(0);
    tables.peers.update(peer("holder", now));
    for id in ["e0", "e1"] {
        tables
            .registry
            .put(support::target(id, "writers"), Revision(1), now);
    }
    let call = draft("a1");
    let ticket = tables.admit(&call, 0, now).unwrap();
    let Pick::Load(first) = tables.pick(&ticket, &call, &[], 0.0, now) else {
        panic!("nothing is loaded yet");
    };
    tables.record_reported_limit(&first, ReportedLimit::Limit(rate(1_000)), now, now);
    let other = if first == target("e0") { "e1" } else { "e0" };
    let pick = tables.pick(&ticket, &call, &[], 0.0, now);
    assert_eq!(pick, Pick::Load(target(other)));
}

/// Guards against reporting targets with a low limit as missing: a request may wait for one of them.
#[test]
fn pick_returns_full_if_all_targets_are_over_their_limit() {
    let mut tables = tables();
    let now = at(0);
    let only = support::target("c0", "court");
    tables.registry.put(only, Revision(1), now);
    let call = call("/file/1", Some("key-1"));
    let ticket = tables.admit(&call, 0, now).unwrap();
    tables.record_reported_limit(&target("c0"), ReportedLimit::Limit(rate(0)), now, now);
    assert_eq!(tables.pick(&ticket, &call, &[], 0.0, now), Pick::Full);
}
