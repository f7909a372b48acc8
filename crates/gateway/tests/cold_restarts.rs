//! Cold targets while all instances are killed and start again.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::{Revision, TargetId, Time};
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::tables::Tables;
use bluebellstage_gateway::decide::target::Target;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{adapter_at, at, cold_start, config, draft, inform, member, peer, target};

/// Requests that may arrive at a cold target in one second: 7.5 x 1.5 + 5, as the deployment promises it.
const BOUND: usize = 16;
const INSTANCES: usize = 8;
const ENGINES: usize = 9;
/// Adapters; each engine holds all.
const ADAPTERS: u32 = 6;
const DOMAINS: [&str; 3] = ["north", "south", "west"];
/// When the evacuation of a failure domain ends, from which on its targets are cold, in milliseconds.
const TAKEN_BACK_MS: u64 = 8_000;
/// Requests that arrive in each step, 300 a second.
const REQUESTS_PER_STEP: usize = 3;
const STEP_MS: usize = 10;
/// Time that a request runs.
const RUN_TIME: Duration = Duration::from_millis(250);

fn engine(idx: usize) -> Target {
    Target {
        born: Some(1),
        slots: 64,
        failure_domain: DOMAINS[idx % DOMAINS.len()].try_into().unwrap(),
        adapters: (0..ADAPTERS)
            .map(|idx| adapter_at(&format!("a{idx}"), 1))
            .collect(),
        cold_left: Some(Duration::ZERO),
        ..target(&format!("e{idx}"), "writers")
    }
}

/// An instance as a process has it that reads the store at `now`.
fn start(idx: usize, now: Time) -> Tables {
    let mut cfg = config(1);
    cfg.services[0].cold_start = Some(cold_start());
    cfg.services[0].max_connections = 100_000;
    let mut tables = Tables::new(
        member(&format!("i{idx}"), DOMAINS[idx % DOMAINS.len()]),
        support::retry_budget(),
    );
    tables.started = now;
    assert!(tables.adopt(cfg, now));
    inform(&mut tables);
    for idx in 0..ENGINES {
        let engine = engine(idx);
        tables.residency.apply_registration(&engine, now);
        tables.registry.put(engine, Revision(1), now);
    }
    tables
}

fn change_evacuation(fleet: &mut [Tables], is_evacuated: bool, ms: u64) {
    for tables in fleet {
        let changes = vec![("south".try_into().unwrap(), is_evacuated)];
        let changes = tables
            .evacuations
            .apply_changes(changes, Revision(ms), at(ms));
        tables.record_evacuations(&changes, at(ms));
    }
}

/// Sends requests to a fleet, and returns the arrivals at each engine of the cold failure domain.
fn arrivals(fleet: &mut [Tables], from_ms: u64, until_ms: u64) -> BTreeMap<TargetId, Vec<Time>> {
    let mut arrivals = BTreeMap::<TargetId, Vec<Time>>::new();
    let mut running = Vec::<(Time, usize, TargetId)>::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for ms in (from_ms..until_ms).step_by(STEP_MS) {
        let now = at(ms);
        for (_, instance, target) in running.extract_if(.., |(ends, _, _)| *ends <= now) {
            fleet[instance].end_request(&target);
        }
        if ms.is_multiple_of(100) {
            for idx in 0..fleet.len() {
                for other in (0..fleet.len()).filter(|other| *other != idx) {
                    fleet[idx].peers.update(peer(&format!("i{other}"), now));
                }
            }
        }
        for _ in 0..REQUESTS_PER_STEP {
            let instance = rng.random_range(0..fleet.len());
            let tables = &mut fleet[instance];
            let call = draft(&format!("a{}", rng.random_range(0..ADAPTERS)));
            let ticket = tables.admit(&call, 0, now).unwrap();
            let Pick::Send { target, .. } = tables.pick(&ticket, &call, &[], rng.random(), now)
            else {
                continue;
            };
            tables.start_request(&target, now);
            let domain = &tables.registry.get(&target).unwrap().failure_domain;
            if domain.as_str() == "south" {
                arrivals.entry(target.clone()).or_default().push(now);
            }
            running.push((now + RUN_TIME, instance, target));
        }
    }
    arrivals
}

fn assert_within_bound(arrivals: &BTreeMap<TargetId, Vec<Time>>) {
    let worst = arrivals.values().flat_map(|times| {
        let first = times.iter().enumerate();
        first.map(|(idx, first)| {
            let inside = times[idx..].iter();
            inside
                .take_while(|at| at.since(*first) < Duration::from_secs(1))
                .count()
        })
    });
    let worst = worst.max().unwrap_or(0);
    println!("{worst} arrivals in the worst second");
    assert!(worst <= BOUND, "{worst} arrivals in a second");
}

fn fleet_with_domain_taken_back() -> Vec<Tables> {
    let fleet = (0..INSTANCES).map(|idx| start(idx, at(0)));
    let mut fleet = fleet.collect::<Vec<_>>();
    change_evacuation(&mut fleet, true, 3_000);
    change_evacuation(&mut fleet, false, TAKEN_BACK_MS);
    fleet
}

/// Guards against a domain that is taken back and gets its full load at once.
#[test]
fn running_instances_leave_a_domain_alone_that_was_taken_back() {
    let mut fleet = fleet_with_domain_taken_back();
    let until = TAKEN_BACK_MS + 3_000;
    assert_within_bound(&arrivals(&mut fleet, TAKEN_BACK_MS, until));
}

/// Guards against new processes that take the targets of a domain for warm that was taken back just before all
/// instances were killed.
#[test]
fn kills_of_all_instances_leave_a_domain_alone_that_was_taken_back() {
    drop(fleet_with_domain_taken_back());
    let started = TAKEN_BACK_MS + 500;
    let fleet = (0..INSTANCES).map(|idx| start(idx, at(started)));
    let mut fleet = fleet.collect::<Vec<_>>();
    let until = TAKEN_BACK_MS + 3_000;
    assert_within_bound(&arrivals(&mut fleet, started, until));
}
