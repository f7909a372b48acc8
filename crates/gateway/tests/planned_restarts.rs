//! The budget of retries while instances are stopped as planned and start again, in virtual time.

mod support;

use std::time::Duration;

use bluebellstage_core::{ServiceId, Time};
use bluebellstage_gateway::decide::retry_budget::RetryBudget;
use support::fleet::Fleet;

const WINDOW: Duration = Duration::from_secs(10);
const BUDGET: RetryBudget = RetryBudget {
    ratio: 0.2,
    window: WINDOW,
    slack: 56.0,
};
/// Time between two requests of all callers, 100 a second.
const REQUEST_INTERVAL_MS: u64 = 10;
/// Time after the end of a process until the next one runs.
const DOWN_MS: u64 = 500;
const INSTANCES: usize = 8;

fn court() -> ServiceId {
    ServiceId::try_from("court").unwrap()
}

#[derive(Default)]
struct Seen {
    requests: Vec<Time>,
    retries: Vec<Time>,
}

/// Runs a fleet that sends requests once more, if `is_eager`, whenever its budget allows it.
fn run_ms(fleet: &mut Fleet, seen: &mut Seen, ms: u64, is_eager: bool) {
    for _ in 0..ms / REQUEST_INTERVAL_MS {
        fleet.run_ms(REQUEST_INTERVAL_MS);
        let now = fleet.now;
        seen.requests.push(now);
        let idx = fleet.random_below(INSTANCES);
        if fleet.is_running(idx) {
            fleet.tables_mut(idx).retries.record_request(&court(), now);
        }
        for idx in (0..INSTANCES).filter(|_| is_eager) {
            while fleet.is_running(idx) && fleet.tables_mut(idx).take_retry(&court(), now) {
                seen.retries.push(now);
            }
        }
    }
}

/// Checks each window. The requests for it are those in it, in the window before it or in the one half a window before
/// it, whichever are most.
fn assert_within_budget(seen: &Seen) {
    let count = |times: &[Time], from: Time| {
        let inside = times.iter();
        let inside = inside.filter(|at| **at >= from && at.since(from) < WINDOW);
        u32::try_from(inside.count()).unwrap()
    };
    for from in &seen.retries {
        let retries = count(&seen.retries, *from);
        let earlier = [Duration::ZERO, WINDOW / 2, WINDOW];
        let requests = earlier.map(|earlier| count(&seen.requests, *from - earlier));
        let requests = requests.into_iter().max().unwrap();
        let allowed = BUDGET.ratio * f64::from(requests) + BUDGET.slack;
        assert!(
            f64::from(retries) <= allowed,
            "{retries} retries for {requests} requests, allowed {allowed}"
        );
    }
}

fn start() -> Fleet {
    let mut fleet = Fleet::start(INSTANCES, 3, 86);
    for idx in 0..INSTANCES {
        fleet.tables_mut(idx).set_retry_budget(BUDGET);
    }
    fleet
}

/// Stops instances, which start again after a short time. Their registrations are removed, so that the next processes find
/// none.
fn stop(fleet: &mut Fleet, seen: &mut Seen, stopped: &[usize]) {
    for idx in stopped {
        fleet.kill(*idx);
    }
    run_ms(fleet, seen, DOWN_MS, true);
    for idx in stopped {
        fleet.restart(*idx, false);
        let tables = fleet.tables_mut(*idx);
        tables.set_retry_budget(BUDGET);
        tables.is_first_process = true;
    }
}

/// Guards against a new process that takes its whole part of the budget, as its predecessor removed its registration when
/// it was stopped as planned.
#[test]
fn planned_restarts_of_all_instances_leave_retries_within_their_budget() {
    let (mut fleet, mut seen) = (start(), Seen::default());
    run_ms(&mut fleet, &mut seen, 12_000, false);
    run_ms(&mut fleet, &mut seen, 500, true);
    let all = (0..INSTANCES).collect::<Vec<_>>();
    stop(&mut fleet, &mut seen, &all);
    run_ms(&mut fleet, &mut seen, 10_000, true);
    assert_within_budget(&seen);
}

/// Guards against retries beyond the budget when instances are stopped one after the other.
#[test]
fn planned_restarts_in_turn_leave_retries_within_their_budget() {
    let (mut fleet, mut seen) = (start(), Seen::default());
    run_ms(&mut fleet, &mut seen, 12_000, true);
    for idx in 0..INSTANCES {
        stop(&mut fleet, &mut seen, &[idx]);
        run_ms(&mut fleet, &mut seen, 200, true);
    }
    run_ms(&mut fleet, &mut seen, 6_000, true);
    assert_within_budget(&seen);
}
